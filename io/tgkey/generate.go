package tgkey

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io/fs"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	clockMargin       = time.Hour // tolerated clock difference between peers: certificates are valid from this long before now
	serialBits        = 128
)

// Generate writes a certificate and key for name into directory. The authority in directory signs the certificate; it is
// created first if there is none and never replaced. Existing files of name are replaced only if replace is set.
func Generate(directory, name string, lifetime time.Duration, replace bool) (Files, error) {
	files := Files{
		Authority:   filepath.Join(directory, "authority.pem"),
		Certificate: filepath.Join(directory, name+".pem"),
		Key:         filepath.Join(directory, name+"-key.pem"),
	}
	if filepath.Base(name) != name || name == "authority" {
		return files, errors.Newf("name %q cannot be the name of a certificate file", name)
	}
	if !replace {
		for _, path := range []string{files.Certificate, files.Key} {
			if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
				return files, errors.Newf("%s exists already", path)
			}
		}
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return files, errors.Wrap(err, "make directory for key material")
	}
	authority, signer, err := loadAuthority(files.Authority, filepath.Join(directory, "authority-key.pem"))
	if err != nil {
		return files, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(name, lifetime)
	if err != nil {
		return files, err
	}
	template.DNSNames = []string{ServerName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, signer)
	if err != nil {
		return files, errors.Wrap(err, "create certificate")
	}
	return files, writePair(files.Certificate, files.Key, der, key)
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		BasicConstraintsValid: true,
		NotAfter:              time.Now().Add(lifetime),
		NotBefore:             time.Now().Add(-clockMargin),
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
	}, errors.Wrap(err, "generate serial number of the certificate")
}

// loadAuthority reads the authority's certificate and key; if neither file exists, it creates them.
func loadAuthority(certificatePath, keyPath string) (*x509.Certificate, crypto.PrivateKey, error) {
	_, certificateErr := os.Stat(certificatePath)
	_, keyErr := os.Stat(keyPath)
	if errors.Is(certificateErr, fs.ErrNotExist) && errors.Is(keyErr, fs.ErrNotExist) {
		if err := makeAuthority(certificatePath, keyPath); err != nil {
			return nil, nil, err
		}
	}
	pair, err := tls.LoadX509KeyPair(certificatePath, keyPath)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load authority")
	}
	if !pair.Leaf.IsCA {
		return nil, nil, errors.Newf("%s is not the certificate of an authority", certificatePath)
	}
	return pair.Leaf, pair.PrivateKey, nil
}

func makeAuthority(certificatePath, keyPath string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key of the authority")
	}
	template, err := newTemplate("tanagergrade authority", authorityLifetime)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return errors.Wrap(err, "create certificate of the authority")
	}
	return writePair(certificatePath, keyPath, der, key)
}

func writePair(certificatePath, keyPath string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writePEM(keyPath, "PRIVATE KEY", keyDER, 0o600); err != nil {
		return err
	}
	return writePEM(certificatePath, "CERTIFICATE", der, 0o644)
}

// writePEM replaces the file atomically, so that a daemon never reads a partial file.
func writePEM(path, blockType string, der []byte, mode fs.FileMode) error {
	temporary := path + ".new"
	data := pem.EncodeToMemory(&pem.Block{Bytes: der, Type: blockType})
	if err := os.WriteFile(temporary, data, mode); err != nil {
		return errors.Wrap(err, "write key material")
	}
	return errors.Wrap(os.Rename(temporary, path), "write key material")
}
