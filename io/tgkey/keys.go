package tgkey

import (
	"crypto/tls"
	"crypto/x509"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// checkInterval bounds how often handshakes read the files.
const checkInterval = time.Second

// Keys is mutual TLS material from files. Files are read again at a handshake if the last check is older than
// a second; connections that exist are not affected. Bad files are logged and the last good material stays.
type Keys struct {
	checkedAt time.Time
	current   *material
	files     Files
	interval  time.Duration
	log       *logrus.Entry
	mu        sync.Mutex
	problem   string       // why the files are not used, empty if they are
	rejected  fileContents // contents that were logged as bad
}

// State is what a dump shows of Keys.
type State struct {
	Files    Files     `json:"files"`
	NotAfter time.Time `json:"notAfter"`          // expiry of the certificate in use
	Problem  string    `json:"problem,omitempty"` // why changed files are not used
}

// Open reads the files. The error is a *MismatchError if they were read but do not belong together.
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

// Config returns TLS settings for clients and servers that use the newest good material at each handshake.
func (k *Keys) Config() *tls.Config {
	return &tls.Config{
		ClientAuth: tls.RequireAnyClientCert,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return k.material().certificate, nil
		},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.serverConfig(), nil },
		// The standard verification uses a fixed pool; VerifyConnection does the same with the newest one.
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

// State returns the state of the material in use, after a check of the files.
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

// material returns the newest good material.
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
		k.log.WithError(err).Error("changed key material is bad; the last good material stays in use")
	}
}
