package tgproxy

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a long answer that is cut off because its caller reads it slowly, and against a caller that keeps its answer
// in memory, because it stops reading or goes on after its own deadline.
func TestWriteToSlowCaller(t *testing.T) {
	const bodyBytes, readBytes = 1 << 20, 16 << 10
	for name, c := range map[string]struct {
		pause    time.Duration // before each read
		patience time.Duration
		complete bool
	}{
		"slow":      {pause: writeTimeout / 4, patience: time.Minute, complete: true},
		"slowAfter": {pause: writeTimeout / 4, patience: 10 * time.Second},
		"stopped":   {pause: 2 * writeTimeout, patience: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				done := make(chan int64, 1)
				go func() {
					total := int64(0)
					for {
						time.Sleep(c.pause)
						n, err := io.CopyN(io.Discard, far, readBytes)
						if total += n; err != nil {
							done <- total
							return
						}
					}
				}()
				k := &callerConn{conn: near}
				err := k.writeWithBody([]byte("head"), make([]byte, bodyBytes), time.Now().Add(c.patience))
				assert.Check(t, (err == nil) == c.complete, "%v", err)
				assert.NilError(t, near.Close())
				assert.Equal(t, <-done == int64(len("head")+bodyBytes), c.complete)
			})
		})
	}
}
