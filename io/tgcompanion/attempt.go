package tgcompanion

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgadmit"
	"tanagergrade/core/tganswer"
	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgupstream"
)

// attempt is one run of a request at this upstream.
type attempt struct {
	buffer  *tganswer.Buffer
	cancel  context.CancelFunc
	execute *tgframe.Execute
}

func newAttempt(e *tgframe.Execute, cancel context.CancelFunc) *attempt {
	return &attempt{buffer: tganswer.NewBuffer(uint64(e.Delivered)), cancel: cancel, execute: e}
}

func (a *attempt) reader(next uint64) *tganswer.Reader { return tganswer.NewReader(a.buffer, next) }

func (a *attempt) fail(f *tgcall.Failure) {
	a.buffer.Finish(tgframe.End{Failure: f, Outcome: f.Outcome})
}

func (a *attempt) digest() [sha256.Size]byte {
	e := a.execute
	return sha256.Sum256([]byte(e.Method + "\x00" + e.Path + "\x00" + string(e.Body)))
}

// run decides whether the attempt may run here and runs it.
func (c *Companion) run(ctx context.Context, a *attempt) {
	if f := c.check(a.execute); f != nil {
		a.fail(f)
		return
	}
	release, f := c.admit(ctx, a.execute)
	if f != nil {
		a.fail(f)
		return
	}
	var sample tgadmit.Sample
	defer func() { release(sample) }()
	if a.execute.Idempotent || c.node.Config().Upstreams[c.upstream].ChecksIdempotencyKeys {
		sample = c.call(ctx, a)
		return
	}
	sample = c.runClaimed(ctx, a)
}

// runClaimed runs a non-idempotent attempt under a claim in the log.
func (c *Companion) runClaimed(ctx context.Context, a *attempt) tgadmit.Sample {
	claim := tgclaim.Claim{
		Digest:      a.digest(),
		Holder:      c.node.Settings.Name,
		Incarnation: c.node.Incarnation,
		Key:         tgclaim.NewKey(a.execute.Account, a.execute.Pool, a.execute.IdempotencyKey),
	}
	id, replay, failure := c.acquireClaim(ctx, a.execute.Pool, claim)
	switch {
	case failure != nil:
		a.fail(failure)
		return tgadmit.Sample{}
	case replay != nil:
		a.buffer.SetHead(replay.Head)
		a.buffer.Append(replay.Body)
		a.buffer.Finish(tgframe.End{Outcome: tgcall.Answered, Replayed: true})
		return tgadmit.Sample{}
	}
	sample := c.call(ctx, a)
	c.recordOutcome(ctx, a, claim.Key, id)
	return sample
}

// call hands the attempt to the upstream, once.
func (c *Companion) call(ctx context.Context, a *attempt) tgadmit.Sample {
	s := &sink{buffer: a.buffer, observe: c.observe(a.execute), started: time.Now()}
	err := c.client.Do(ctx, a.execute, s)
	sample := tgadmit.Sample{
		FirstToken: s.first, Observed: s.observed, OK: err == nil, Tokens: s.chunks, Total: time.Since(s.started),
	}
	var notSent *tgupstream.NotSentError
	switch {
	case errors.As(err, &notSent):
		a.fail(tgcall.NotRunFailure(tgcall.CodeUpstreamUnreachable, "upstream %q: %v", c.upstream, err))
	case err != nil:
		a.fail(tgcall.UnknownFailure(tgcall.CodeUpstreamLost, "upstream %q: %v", c.upstream, err))
	case s.events && !s.splitter.Done():
		sample.OK = false
		a.fail(tgcall.UnknownFailure(tgcall.CodeAnswerIncomplete, "the upstream's stream ended without its last event"))
	default:
		a.buffer.Finish(tgframe.End{Outcome: tgcall.Answered})
	}
	return sample
}
