package tgkey

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// Files are the paths of the PEM files with the mutual TLS key material of a process.
type Files struct {
	Authority   string `json:"authority"`   // certificates of the authorities that sign the certificates of peers
	Certificate string `json:"certificate"` // certificate of this process, followed by intermediates if there are any
	Key         string `json:"key"`
}

// MismatchError reports that the files were read but are invalid or do not belong together.
type MismatchError struct {
	Err   error
	Files Files
}

// Error implements error.
func (e *MismatchError) Error() string {
	return "certificate " + e.Files.Certificate + ", key " + e.Files.Key + " and authority " + e.Files.Authority +
		" do not match: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *MismatchError) Unwrap() error { return e.Err }

// fileContents are the bytes of Files.
type fileContents struct{ authority, certificate, key []byte }

// material is verified key material; it is immutable.
type material struct {
	certificate *tls.Certificate
	contents    fileContents
	roots       *x509.CertPool
}

func (f Files) read() (fileContents, error) {
	var c fileContents
	var err error
	for _, file := range []struct {
		data *[]byte
		path string
	}{{&c.authority, f.Authority}, {&c.certificate, f.Certificate}, {&c.key, f.Key}} {
		data, readErr := os.ReadFile(file.path)
		err = errors.CombineErrors(err, errors.Wrap(readErr, "read key material"))
		*file.data = data
	}
	return c, err
}

func (c fileContents) equal(d fileContents) bool {
	return bytes.Equal(c.authority, d.authority) && bytes.Equal(c.certificate, d.certificate) && bytes.Equal(c.key, d.key)
}

// parse verifies c, the contents of f: the key fits the certificate, and the authority signed it for both TLS roles.
func (f Files) parse(c fileContents) (*material, error) {
	certificate, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return nil, &MismatchError{Err: err, Files: f}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(c.authority) {
		return nil, &MismatchError{Err: errors.New("authority file has no certificate"), Files: f}
	}
	chain := make([]*x509.Certificate, len(certificate.Certificate))
	for i, der := range certificate.Certificate {
		if chain[i], err = x509.ParseCertificate(der); err != nil {
			return nil, &MismatchError{Err: err, Files: f}
		}
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth} {
		if err := verify(chain, roots, usage); err != nil {
			return nil, &MismatchError{Err: err, Files: f}
		}
	}
	return &material{certificate: &certificate, contents: c, roots: roots}, nil
}

// verify verifies a certificate chain, the leaf first, in the way that every peer does.
func verify(chain []*x509.Certificate, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(chain) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		DNSName: ServerName, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}, Roots: roots,
	})
	return errors.Wrap(err, "verify certificate")
}
