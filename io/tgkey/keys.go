package tgkey

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// checkInterval is the minimum time between two reads of the files.
const checkInterval = time.Second

// Keys is mutual TLS key material from files. A handshake reads the files again if the last read is at least
// checkInterval ago; existing connections are not affected. Files that are invalid or cannot be read are logged, and the
// last valid material stays in use. Keys is safe for concurrent use.
type Keys struct {
	checkedAt time.Time // when the files were last read
	current   *material
	files     Files
	interval  time.Duration // checkInterval, except in tests
	log       *logrus.Entry
	mu        sync.Mutex   // guards checkedAt, current, problem and rejected
	problem   string       // why the current files are not used; empty if they are
	rejected  fileContents // last contents that were logged as invalid
}

// State is the state of Keys that a dump shows.
type State struct {
	Files    Files     `json:"files"`
	NotAfter time.Time `json:"notAfter"`          // expiry of the certificate in use
	Problem  string    `json:"problem,omitempty"` // why the current files are not used; empty if they are
}

// Open reads the files. The error is a *MismatchError if they were read but are invalid or do not belong together.
func Open(files Files, log *logrus.Entry) (*Keys, error) {
	contents, err := files.read()
	if err != nil {
		return nil, err
	}
	m, err := files.parse(contents)
	if err != nil {
		return nil, err
	}
	return &Keys{checkedAt: time.Now(), current: m, files: files, interval: checkInterval, log: log}, nil
}

// Config returns a TLS configuration for clients and servers that uses the newest valid material at each handshake.
func (k *Keys) Config() *tls.Config {
	return &tls.Config{
		ClientAuth: tls.RequireAnyClientCert,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.material().certificate, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.serverConfig(), nil },
		// The standard verification uses a fixed pool of roots; VerifyConnection verifies with the newest roots instead.
		InsecureSkipVerify:     true,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ServerName:             ServerName,
		SessionTicketsDisabled: true, // a resumed session would not see a replaced authority
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s.PeerCertificates, k.material().roots, x509.ExtKeyUsageServerAuth)
		},
	}
}

// State returns the state of the material in use. Like a handshake, it may read the files first.
func (k *Keys) State() State {
	m := k.material()
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{Files: k.files, NotAfter: m.certificate.Leaf.NotAfter, Problem: k.problem}
}

func (k *Keys) serverConfig() *tls.Config {
	m := k.material()
	return &tls.Config{
		Certificates:           []tls.Certificate{*m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.roots,
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		SessionTicketsDisabled: true,
	}
}

// material returns the newest valid material.
func (k *Keys) material() *material {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.checkedAt) >= k.interval {
		k.checkedAt = now
		k.reload()
	}
	return k.current
}

func (k *Keys) reload() {
	contents, err := k.files.read()
	switch {
	case err != nil:
		k.rejected = fileContents{}
	case contents.equal(k.current.contents):
		k.problem, k.rejected = "", fileContents{}
		return
	case contents.equal(k.rejected):
		return
	default:
		var m *material
		if m, err = k.files.parse(contents); err == nil {
			k.current, k.problem, k.rejected = m, "", fileContents{}
			k.log.WithField("notAfter", m.certificate.Leaf.NotAfter).Info("key material replaced")
			return
		}
		k.rejected = contents
	}
	if k.problem != err.Error() {
		k.problem = err.Error()
		k.log.WithError(err).Error("changed key files are not usable; the last valid key material stays in use")
	}
}
