// Package tgkey has the mutual TLS material of daemons and operators.
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

// ServerName is the name in every certificate of the system; addresses change, the name does not.
const ServerName = "tanagergrade"

const (
	memoryLifetime = 7 * 24 * time.Hour
	protocol       = "tanagergrade/1"
)

// NewMemoryConfig returns TLS settings with a fresh authority and one certificate, for the demo and tests.
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
