package tgcompanion

import (
	"encoding/binary"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgframe"
)

func testID(n int) uuid.UUID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(n))
	return id
}

func testAttempt(n int) *attempt {
	e := &tgframe.Execute{Attempt: testID(n), Deadline: time.Now().Add(time.Minute), Idempotent: true}
	return newAttempt(e, func(error) {})
}

// Guards against a delayed execute frame that still runs although an entry was told that its attempt had never arrived: the
// entry may have run the request elsewhere.
func TestUnseenAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		var draining atomic.Bool
		time.Sleep(time.Second)
		a, unseen := r.get(testID(1), time.Now().Add(time.Minute))
		assert.Assert(t, a == nil)
		assert.Equal(t, unseen.Uptime, time.Second)
		_, added, refused := r.start(testAttempt(1), &draining)
		assert.Assert(t, !added && refused)
		_, unseen = r.get(testID(1), time.Now().Add(time.Minute))
		assert.Assert(t, unseen != nil, "repeated calls must return the same result")
	})
}

// Guards against a finished attempt that runs again, or is reported as never arrived, once its output has been dropped.
func TestDroppedAttemptIsNotUnseen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		var draining atomic.Bool
		a, added, _ := r.start(testAttempt(1), &draining)
		assert.Assert(t, added)
		same, added, refused := r.start(testAttempt(1), &draining)
		assert.Assert(t, same == a && !added && !refused, "a repeated execute frame joins the attempt")
		r.finish(a)
		known, _ := r.get(testID(1), a.execute.Deadline)
		assert.Assert(t, known == a)
		time.Sleep(attemptRetention + time.Second)
		known, unseen := r.get(testID(1), a.execute.Deadline)
		assert.Assert(t, known == nil && unseen == nil)
		_, added, refused = r.start(testAttempt(1), &draining)
		assert.Assert(t, !added && refused)
	})
}

// Guards against unbounded memory for refused IDs, and against reporting an attempt as never arrived when the ID of one
// that ran may have been dropped.
func TestRefusedIDsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		var draining atomic.Bool
		deadline := time.Now().Add(time.Minute)
		for i := range maxRefusedIDs {
			_, unseen := r.get(testID(i), deadline)
			assert.Assert(t, unseen != nil)
		}
		_, unseen := r.get(testID(maxRefusedIDs), deadline)
		assert.Assert(t, unseen == nil, "no UnseenAttempt without room to remember the ID")
		a, _, _ := r.start(testAttempt(maxRefusedIDs+1), &draining)
		r.finish(a)
		time.Sleep(attemptRetention + time.Second) // the attempt is dropped; there is no room for its ID
		assert.Equal(t, len(r.refusedIDs), maxRefusedIDs)
		time.Sleep(time.Minute)
		_, unseen = r.get(testID(maxRefusedIDs+2), time.Now().Add(time.Minute))
		assert.Assert(t, unseen != nil, "expired IDs make room")
		assert.Equal(t, len(r.refusedIDs), 1)
	})
}

// Guards against unbounded memory for the output of finished attempts.
func TestFinishedOutputIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		var draining atomic.Bool
		const n = 2 * maxFinishedBytes / maxReplayBytes
		for i := range n {
			a, _, _ := r.start(testAttempt(i), &draining)
			assert.NilError(t, a.buffer.Append(t.Context(), make([]byte, maxReplayBytes)))
			r.finish(a)
		}
		assert.Equal(t, len(r.finished), n/2)
		first, _ := r.get(testID(0), time.Now())
		last, _ := r.get(testID(n-1), time.Now())
		assert.Assert(t, first == nil && last != nil, "the oldest output must be dropped first")
		time.Sleep(attemptRetention)
		synctest.Wait()
		assert.Equal(t, r.finishedBytes, 0)
	})
}

// Guards against new attempts on a stopping companion, and against a stop before its answers have reached their readers.
func TestDrainingRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		var draining atomic.Bool
		a, _, _ := r.start(testAttempt(1), &draining)
		draining.Store(true)
		refused, added, known := r.start(testAttempt(2), &draining)
		assert.Assert(t, refused == nil && !added && !known)
		same, _, _ := r.start(testAttempt(1), &draining)
		assert.Assert(t, same == a, "attempts in flight must stay available")
		drained := func() bool { return r.drained(time.Now().Add(-reattachTimeout)) }
		assert.Assert(t, !drained(), "running")
		r.addReader(a)
		r.finish(a)
		assert.Assert(t, !drained(), "not delivered")
		r.removeReader(a, false)
		time.Sleep(reattachTimeout)
		assert.Assert(t, drained(), "no entry fetched the answer in time")
	})
}
