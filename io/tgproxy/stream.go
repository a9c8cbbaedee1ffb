package tgproxy

import (
	"fmt"
	"net/http"
	"time"

	"tanagergrade/core/tgpick"
	"tanagergrade/io/tghttp"
)

const readSize = 4 << 10

// deliverStream passes whole events on as they arrive. A stream that breaks off may go on at another upstream after
// the last event that was passed on.
func (k *caller) deliverStream(a *answer, c *call, x *exchange) (tgpick.Outcome, verdict) {
	var events eventSplitter
	a.lastGap = time.Time{}
	buf := make([]byte, readSize)
	for {
		n, err := x.body.Read(buf)
		if n > 0 {
			whole := events.feed(buf[:n])
			if len(whole) > 0 {
				r := rangeOf(whole)
				if !r.follows(a.last) {
					c.detail = fmt.Sprintf("event %d comes after event %d", r.first, a.last)
					return k.streamBroke(a, c)
				}
				if !k.passEvents(a, c, x, whole, r) {
					return tgpick.OutcomeCancelled, verdictDone
				}
				events.consume(len(whole))
			}
			if events.tooLong() {
				c.detail = "event is too long"
				return k.streamBroke(a, c)
			}
		}
		if x.body.Complete() {
			if events.partial() {
				c.detail = "stream ends within an event"
				return k.streamBroke(a, c)
			}
			return k.endStream(a, c, x)
		}
		if err != nil {
			c.detail = "stream ends early: " + err.Error()
			return k.streamBroke(a, c)
		}
	}
}

func (k *caller) streamBroke(a *answer, c *call) (tgpick.Outcome, verdict) {
	if a.ctx.Err() != nil {
		k.giveUp(a, c)
		return tgpick.OutcomeCancelled, verdictDone
	}
	if c.route.Resumable {
		return tgpick.OutcomeFailed, verdictRetry
	}
	return tgpick.OutcomeFailed, verdictStop
}

// passEvents writes whole events to the caller and reports whether the stream goes on.
func (k *caller) passEvents(a *answer, c *call, x *exchange, events []byte, r eventRange) bool {
	now := time.Now()
	var b []byte
	if !a.started {
		b = k.streamHead(a, c, x)
		a.started = true
	} else if a.pacer != nil && r.count > 0 && !a.lastGap.IsZero() {
		a.pacer.ObserveGap(now.Sub(a.lastGap)/time.Duration(r.count), now)
	}
	a.lastGap = now
	if r.count > 0 {
		c.events.passed(c.began, now)
	}
	if c.request.Minor > 0 {
		b = tghttp.AppendChunk(b, events)
	} else {
		b = append(b, events...)
	}
	if err := k.write(b); err != nil {
		c.detail = err.Error()
		k.breakOff(a, c, outcomeCancelled)
		return false
	}
	a.last = max(a.last, r.last)
	return true
}

func (k *caller) streamHead(a *answer, c *call, x *exchange) []byte {
	if c.request.Minor == 0 {
		a.keep = false
		return append(responseHead(x.response, false), "\r\n"...)
	}
	b := responseHead(x.response, a.keepsOpen())
	return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// endStream ends a stream whose upstream ended it.
func (k *caller) endStream(a *answer, c *call, x *exchange) (tgpick.Outcome, verdict) {
	var b []byte
	if !a.started {
		b = k.streamHead(a, c, x)
		a.started = true
	}
	if c.request.Minor > 0 {
		b = append(b, tghttp.LastChunk...)
	}
	err := k.write(b)
	a.keep = a.keep && err == nil
	k.server.observer.Request(c.event(outcomeAnswered, http.StatusOK, time.Now()))
	return tgpick.OutcomeAnswered, verdictDone
}
