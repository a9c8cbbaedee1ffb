package tglogline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowOutput blocks writes until open is closed.
type slowOutput struct {
	buf  bytes.Buffer
	mu   sync.Mutex
	open chan struct{}
}

// Write implements io.Writer.
func (o *slowOutput) Write(p []byte) (int, error) {
	<-o.open
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

// Guards against requests that block, and against a buffer that grows without limit, while the log's output is not read.
func TestWriterNeverBlocks(t *testing.T) {
	out := &slowOutput{open: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 999) + "\n")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2000 {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is not read")
	}
	assert.Assert(t, w.Dropped() > 1000)
	close(out.open)
	assert.NilError(t, w.Close())
	out.mu.Lock()
	defer out.mu.Unlock()
	written := bytes.Count(out.buf.Bytes(), []byte("\n"))
	assert.Equal(t, int64(written)+w.Dropped(), int64(2000))
}
