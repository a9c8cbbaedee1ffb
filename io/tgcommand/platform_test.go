package tgcommand

import (
	"context"
	"io"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tglogtable"
	"tanagergrade/io/tgfleet"
	"tanagergrade/io/tgreport"
	tgplatform "tanagergrade/platform"
)

// Guards against a daemon that is ended by SIGHUP while it starts: the platform changes the settings and sends the signal
// before the daemon watches the file. Found by seed 103 of the soak.
func TestHangUpAtStart(t *testing.T) {
	d := newTestDaemon(t)
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP)) // would end the test
	select {
	case <-d.reloadSignals:
	case <-time.After(5 * time.Second):
		t.Fatal("SIGHUP did not reach the daemon's channel")
	}
}

// newTestDaemon returns an entry daemon with the settings of a test.
func newTestDaemon(t *testing.T) *platformDaemon {
	t.Helper()
	procs, memory, percent := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1), debug.SetGCPercent(-1)
	t.Cleanup(func() { // newPlatformDaemon changes them for the process
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
		debug.SetGCPercent(percent)
	})
	t.Setenv(tgplatform.SettingsEnv, "../../platform/testdata/settings.json")
	d, err := (&config{stderr: io.Discard, stdout: io.Discard}).newPlatformDaemon(tgfleet.RoleEntry)
	assert.NilError(t, err)
	t.Cleanup(func() { signal.Stop(d.reloadSignals) })
	return d
}

// Guards against a second SIGTERM that ends a daemon at once and cuts off the requests that its shutdown lets finish: the
// command stops catching signals with the first one. Found by the soak (seed 12023).
func TestFurtherTermination(t *testing.T) {
	ctx, stop := signal.NotifyContext(t.Context(), syscall.SIGTERM)
	defer stop()
	newTestDaemon(t)
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-ctx.Done()
	stop()
	assert.NilError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM)) // would end the test
	time.Sleep(100 * time.Millisecond)
}

// lossyStore lets the first waiting read time out, although there is a new record. Later reads return the record.
type lossyStore struct {
	lost bool
}

var errNoAnswer = errors.New("no answer")

// Newest implements tgfleet.Store.
func (s *lossyStore) Newest(context.Context, string) ([]tglogtable.Record, tglogtable.Position, error) {
	return nil, tglogtable.Position{}, nil
}

// PutOrdered implements tgfleet.Store.
func (s *lossyStore) PutOrdered(string, string, []byte, tglogtable.WriteOrder) error { return nil }

// Read implements tgfleet.Store.
func (s *lossyStore) Read(
	_ string, from tglogtable.Position, wait time.Duration,
) ([]tglogtable.Record, tglogtable.Position, error) {
	if !s.lost {
		s.lost = true
		time.Sleep(wait + tgplatform.CallTimeout)
		return nil, from, errNoAnswer
	}
	if from.Offset > 0 {
		time.Sleep(wait)
		return nil, from, nil
	}
	return []tglogtable.Record{{Key: "new", Offset: 0, Value: []byte("{}")}}, tglogtable.Position{Offset: 1}, nil
}

// Guards against an entry that treats its configuration as current although the store has lost its read: the store was
// unavailable twice without resetting connections, and reads with a wait of 25 s outlasted it. The entry answered 404 for
// a new route 2.6 s after the store had acknowledged it. Found as CONFIG on khoji-clues, mix with seed 501999455947.
func TestFollowersNoticeLostReads(t *testing.T) {
	settings, err := tgplatform.LoadSettings("../../platform/testdata/settings.json")
	assert.NilError(t, err)
	assert.Equal(t, settings.Bounds.StableAfter, 3*time.Second)
	for name, follower := range map[string]func(e *platformEntry) *tgfleet.Follower{
		"operator":  (*platformEntry).operatorFollower,
		"upstreams": (*platformEntry).upstreamsFollower,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				report := tgreport.NewReporter(settings.VM, io.Discard)
				defer func() { _ = report.Close() }()
				e := newPlatformEntry(&platformDaemon{peers: tgfleet.NewPeers(settings.VM), report: report, settings: settings}, newEntryFlags())
				f := follower(e)
				f.Store = &lossyStore{}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.Run(ctx)
				}()
				time.Sleep(settings.Bounds.StableAfter)
				synctest.Wait()
				assert.Equal(t, f.Table.End(), tglogtable.Position{Offset: 1})
				stop()
				<-done
			})
		})
	}
}

// Guards against a request to the admin server that ends the daemon because of an unexpected fault in its handling.
func TestAdminOutlivesPanic(t *testing.T) {
	var ctx fasthttp.RequestCtx
	guarded(func(*fasthttp.RequestCtx) { panic("odd request") })(&ctx)
	assert.Equal(t, ctx.Response.StatusCode(), fasthttp.StatusInternalServerError)
}
