package tgkey

import (
	"crypto/tls"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

func generate(t *testing.T, directory, name string, replace bool) Files {
	t.Helper()
	files, err := Generate(directory, name, time.Hour, replace)
	assert.NilError(t, err)
	return files
}

func open(t *testing.T, files Files) (*Keys, *logtest.Hook) {
	t.Helper()
	logger, hook := logtest.NewNullLogger()
	k, err := Open(files, logrus.NewEntry(logger))
	assert.NilError(t, err)
	k.interval = 0
	return k, hook
}

// handshake connects client to server and returns the serial number of the server certificate and the errors of both sides.
func handshake(t *testing.T, client, server *tls.Config) (serial string, clientErr, serverErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Read(make([]byte, 1))
			err = errors.CombineErrors(err, conn.Close())
		}
		done <- err
	}()
	dialer := &tls.Dialer{Config: client}
	conn, clientErr := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if c, ok := conn.(*tls.Conn); ok {
		serial = c.ConnectionState().PeerCertificates[0].SerialNumber.String()
		_, clientErr = c.Write([]byte{1})
		clientErr = errors.CombineErrors(clientErr, c.Close())
	}
	return serial, clientErr, <-done
}

// Guards against replaced certificates or authorities that take effect only after a restart.
func TestReplacedMaterialIsUsed(t *testing.T) {
	directory := t.TempDir()
	keys, hook := open(t, generate(t, directory, "a", false))
	before, _, _ := handshake(t, keys.Config(), keys.Config())
	generate(t, directory, "a", true)
	after, clientErr, serverErr := handshake(t, keys.Config(), keys.Config())
	assert.NilError(t, errors.CombineErrors(clientErr, serverErr))
	assert.Assert(t, before != "" && after != "" && before != after)
	assert.Equal(t, hook.LastEntry().Message, "key material replaced")
}

// Guards against clients or servers that accept peers with a certificate of another authority.
func TestForeignPeersAreRefused(t *testing.T) {
	own, _ := open(t, generate(t, t.TempDir(), "a", false))
	foreign, _ := open(t, generate(t, t.TempDir(), "a", false))
	_, clientErr, _ := handshake(t, own.Config(), foreign.Config())
	assert.ErrorContains(t, clientErr, "verify certificate")
	unverifying := foreign.Config()
	unverifying.VerifyConnection = nil
	_, _, serverErr := handshake(t, unverifying, own.Config())
	assert.ErrorContains(t, serverErr, "unknown authority")
}

// Guards against a daemon that cannot connect any more because its key files were replaced by invalid ones, and against a
// log line for each handshake after that.
func TestBadReplacementKeepsLastGoodMaterial(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(files, others Files) error
	}{
		{"authority of others", func(files, others Files) error { return copyFile(others.Authority, files.Authority) }},
		{"key of another certificate", func(files, others Files) error { return copyFile(others.Key, files.Key) }},
		{"missing certificate", func(files, _ Files) error { return os.Remove(files.Certificate) }},
		{"truncated key", func(files, _ Files) error { return os.Truncate(files.Key, 20) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			files := generate(t, t.TempDir(), "a", false)
			keys, hook := open(t, files)
			assert.NilError(t, tt.corrupt(files, generate(t, t.TempDir(), "b", false)))
			for range 2 {
				_, clientErr, serverErr := handshake(t, keys.Config(), keys.Config())
				assert.NilError(t, errors.CombineErrors(clientErr, serverErr))
			}
			assert.Equal(t, len(hook.AllEntries()), 1)
			assert.Equal(t, hook.LastEntry().Level, logrus.ErrorLevel)
			assert.Assert(t, keys.State().Problem != "", "operators must see in the dump that the files are not used")
		})
	}
}

// Guards against a daemon that starts with a key that does not fit its certificate.
func TestOpenRefusesMismatch(t *testing.T) {
	files := generate(t, t.TempDir(), "a", false)
	files.Key = generate(t, t.TempDir(), "a", false).Key
	_, err := Open(files, logrus.NewEntry(logrus.New()))
	var mismatch *MismatchError
	assert.Assert(t, errors.As(err, &mismatch), "%v", err)
	assert.ErrorContains(t, err, files.Key)
}

// Guards against a second run that replaces a certificate without being told to, or the authority, and against key files
// that others can read.
func TestGenerateKeepsExistingFiles(t *testing.T) {
	directory := t.TempDir()
	files := generate(t, directory, "a", false)
	authority, err := os.ReadFile(files.Authority)
	assert.NilError(t, err)
	_, err = Generate(directory, "a", time.Hour, false)
	assert.ErrorContains(t, err, "exists already")
	generate(t, directory, "b", false)
	after, err := os.ReadFile(files.Authority)
	assert.NilError(t, err)
	assert.DeepEqual(t, after, authority)
	info, err := os.Stat(files.Key)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
}

func copyFile(from, to string) error {
	data, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	return os.WriteFile(to, data, 0o600)
}
