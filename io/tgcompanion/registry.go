package tgcompanion

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgframe"
)

const (
	attemptRetention = 30 * time.Second // entries can re-attach to a finished attempt for this time
	maxFinishedBytes = 32 << 20         // output of finished attempts that is kept, in all
	maxRefusedIDs    = 1 << 16          // at 10 attempts/s they cover more than an hour

	// readerGrace is how long an idempotent attempt runs on without a reader. An entry needs this time to detect a silent
	// connection and to open a new one.
	readerGrace = 10 * time.Second
)

// registry has the attempts of this process, running and finished, and the IDs of attempts that must not run any more.
type registry struct {
	mu                     sync.Mutex
	attempts               map[uuid.UUID]*attempt
	finished               []*attempt // oldest first
	finishedBytes          int        // of finished
	refusedIDs             map[uuid.UUID]refusedAttempt
	refusedIncompleteUntil time.Time // until then refusedIDs may lack an ID, for which there was no room
	running                int       // attempts that have not ended
	startedAt              time.Time
	sweptAt                time.Time // when expired refusedIDs were last deleted
}

// refusedAttempt is an ID that is refused until the attempt's deadline has passed.
type refusedAttempt struct {
	expires time.Time
	ran     bool // false if the attempt had not arrived when an entry attached to it or cancelled it
}

func newRegistry() *registry {
	return &registry{
		attempts: map[uuid.UUID]*attempt{}, refusedIDs: map[uuid.UUID]refusedAttempt{}, startedAt: time.Now(), sweptAt: time.Now(),
	}
}

// start registers a and returns it with added set. If an attempt with its ID exists, start returns that one instead. It
// returns refused if the ID must not run any more, and neither an attempt nor refused while the companion is draining.
// The flag draining is read under the lock, so that drain sees every attempt that was started.
func (r *registry) start(a *attempt, draining *atomic.Bool) (current *attempt, added, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := a.execute.Attempt
	if old, ok := r.attempts[id]; ok {
		return old, false, false
	}
	if _, ok := r.refusedIDs[id]; ok {
		return nil, false, true
	}
	if draining.Load() {
		return nil, false, false
	}
	r.attempts[id] = a
	r.running++
	return a, true, false
}

// get returns the attempt with the given ID. If there is none, it refuses the ID from now on and returns an
// UnseenAttempt, which tells the entry that this process has not run the attempt and will not run it. Both results are
// nil if this process may have run the attempt, or if there is no room to remember the refusal.
func (r *registry) get(id uuid.UUID, deadline time.Time) (*attempt, *tgframe.UnseenAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a, ok := r.attempts[id]; ok {
		return a, nil
	}
	now := time.Now()
	p, ok := r.refusedIDs[id]
	if !ok {
		if now.Before(r.refusedIncompleteUntil) || !r.refuseID(id, refusedAttempt{expires: deadline}) {
			return nil, nil
		}
	}
	if p.ran {
		return nil, nil
	}
	return nil, &tgframe.UnseenAttempt{Uptime: now.Sub(r.startedAt)}
}

// refuseID adds id to refusedIDs and reports whether there was room. It deletes expired IDs once a minute, and whenever
// there is no room.
func (r *registry) refuseID(id uuid.UUID, p refusedAttempt) bool {
	now := time.Now()
	if len(r.refusedIDs) >= maxRefusedIDs || now.Sub(r.sweptAt) > time.Minute {
		r.sweptAt = now
		for id, p := range r.refusedIDs {
			if now.After(p.expires) {
				delete(r.refusedIDs, id)
			}
		}
	}
	if len(r.refusedIDs) >= maxRefusedIDs {
		return false
	}
	r.refusedIDs[id] = p
	return true
}

// finish marks a as ended. Its output is kept for entries that re-attach, within attemptRetention and maxFinishedBytes.
func (r *registry) finish(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	a.endedAt = time.Now()
	if a.idleTimer != nil {
		a.idleTimer.Stop()
	}
	r.finished = append(r.finished, a)
	r.finishedBytes += a.buffer.Bytes()
	for r.finishedBytes > maxFinishedBytes && len(r.finished) > 1 {
		r.dropOldestFinished(r.finished[0])
	}
	time.AfterFunc(attemptRetention, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for len(r.finished) > 0 && time.Since(r.finished[0].endedAt) >= attemptRetention {
			r.dropOldestFinished(r.finished[0])
		}
	})
}

// dropOldestFinished drops a, which must be the oldest finished attempt, and refuses its ID until its deadline. If there
// is no room for the ID, refusedIDs is incomplete until then.
func (r *registry) dropOldestFinished(a *attempt) {
	r.finished[0] = nil
	r.finished = r.finished[1:]
	r.finishedBytes -= a.buffer.Bytes()
	delete(r.attempts, a.execute.Attempt)
	if !r.refuseID(a.execute.Attempt, refusedAttempt{expires: a.execute.Deadline, ran: true}) {
		r.refusedIncompleteUntil = later(r.refusedIncompleteUntil, a.execute.Deadline)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addReader counts a reader of a and stops the timer that would cancel an attempt without a reader.
func (r *registry) addReader(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.readers++
	if a.idleTimer != nil {
		a.idleTimer.Stop()
		a.idleTimer = nil
	}
}

// removeReader removes a reader of a; delivered reports whether it has confirmed the end. An idempotent attempt without a
// reader is cancelled after readerGrace.
func (r *registry) removeReader(a *attempt, delivered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.readers--
	a.delivered = a.delivered || delivered
	if a.readers == 0 && a.endedAt.IsZero() && a.execute.Idempotent {
		a.idleTimer = time.AfterFunc(readerGrace, func() { a.cancel(errNoReader) })
	}
}

// drained reports whether no attempt runs and every answer was delivered, or was finished before the given time.
func (r *registry) drained(before time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running > 0 {
		return false
	}
	for _, a := range r.finished {
		if !a.delivered && a.endedAt.After(before) {
			return false
		}
	}
	return true
}

// each calls f for every attempt, holding the lock.
func (r *registry) each(f func(*attempt)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		f(a)
	}
}
