// Package tgkey generates, loads and reloads the mutual TLS key material of daemons and operators.
package tgkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerName is the DNS name in every certificate of the system. Peers verify it rather than addresses, which change.
const ServerName = "tanagergrade"

const (
	memoryLifetime = 7 * 24 * time.Hour
	protocol       = "tanagergrade/1"
)

// NewMemoryConfig returns a TLS configuration with a new self-signed certificate that is its own authority, for the demo and
// for tests.
func NewMemoryConfig() (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		BasicConstraintsValid: true,
		DNSNames:              []string{ServerName},
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		NotAfter:              time.Now().Add(memoryLifetime),
		NotBefore:             time.Now().Add(-time.Hour),
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: ServerName},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(leaf)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, Leaf: leaf, PrivateKey: key}},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		RootCAs:      roots,
		ServerName:   ServerName,
	}, nil
}
