package tgcommand

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgkey"
)

// Guards against a withdrawal during a log outage that does not reach the daemon, or that is reported as accepted although
// the daemon refused it.
func TestViaSendsMark(t *testing.T) {
	directory := t.TempDir()
	assert.Equal(t, Main([]string{"key", "generate", "--directory", directory, "--name", "operator"}, io.Discard, io.Discard), 0)
	files := tgkey.Files{
		Authority: filepath.Join(directory, "authority.pem"), Certificate: filepath.Join(directory, "operator.pem"),
		Key: filepath.Join(directory, "operator-key.pem"),
	}
	keys, err := tgkey.Open(files, logrus.NewEntry(logrus.New()))
	assert.NilError(t, err)
	var marks []tgadmin.Mark
	registry := tgadmin.NewRegistry()
	registry.SetMarkHandler(func(_ context.Context, m tgadmin.Mark) error {
		if m.Entity.Name == "none" {
			return errors.New("no such data centre")
		}
		marks = append(marks, m)
		return nil
	})
	server, err := tgadmin.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), keys.Config(), registry)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	flags := []string{
		"--via", server.Address().String(), "--writer", "ann", "--authority-file", files.Authority,
		"--certificate-file", files.Certificate, "--key-file", files.Key,
	}
	var stderr bytes.Buffer
	assert.Equal(t, Main(append([]string{"data-centre", "withdraw", "bkk-a"}, flags...), io.Discard, &stderr), tgexit.OK, "%s", &stderr)
	assert.Equal(t, Main(append([]string{"upstream", "drain", "draft-1"}, flags...), io.Discard, &stderr), tgexit.OK, "%s", &stderr)
	assert.Equal(t, Main(append([]string{"data-centre", "withdraw", "none"}, flags...), io.Discard, &stderr), tgexit.Failed)
	assert.Assert(t, bytes.Contains(stderr.Bytes(), []byte("no such data centre")), "%s", &stderr)
	assert.Equal(t, Main(append([]string{"data-centre", "restore", "bkk-a"}, flags...), io.Discard, &stderr), tgexit.Usage,
		"a mark can only remove capacity")
	cancel()
	assert.NilError(t, <-done)
	assert.Equal(t, len(marks), 2)
	assert.Equal(t, marks[0].Entity, tgconfig.Entity{Kind: tgconfig.EntityDataCentre, Name: "bkk-a"})
	assert.Equal(t, marks[1].Entity, tgconfig.Entity{Kind: tgconfig.EntityUpstream, Name: "draft-1"})
	assert.Equal(t, marks[0].Writer, "ann")
	assert.Assert(t, marks[0].ID != marks[1].ID)
}
