package tgproxy

import (
	"fmt"
	"net/http"
	"time"

	"tanagergrade/core/tgpicker"
	"tanagergrade/io/tghttp"
)

const streamReadBytes = 4 << 10

// deliverStream forwards complete events as they arrive. A stream that breaks may be resumed at another upstream after
// the last event that was forwarded.
func (k *callerConn) deliverStream(a *responseState, c *call, x *exchange) (tgpicker.Outcome, verdict) {
	var events eventSplitter
	a.lastEventAt = time.Time{}
	held := c.buffers.held
	defer func() { c.buffers.releaseTo(held) }()
	buf := make([]byte, streamReadBytes)
	for {
		n, err := x.body.Read(buf)
		if n > 0 {
			if err := c.buffers.Reserve(events.growth(n)); err != nil {
				c.detail = "event is not buffered: " + err.Error()
				return k.failStream(a, c)
			}
			complete := events.feed(buf[:n])
			if len(complete) > 0 {
				r := parseEventRange(complete)
				if !r.follows(a.lastEventID) {
					c.detail = fmt.Sprintf("event ID %d does not follow event ID %d", r.first, a.lastEventID)
					return k.failStream(a, c)
				}
				if !k.writeEvents(a, c, x, complete, r) {
					return tgpicker.OutcomeCancelled, verdictDone
				}
				events.consume(len(complete))
			}
			if events.tooLong() {
				c.detail = "event exceeds the size limit"
				return k.failStream(a, c)
			}
		}
		if x.body.Complete() {
			if events.hasPartial() {
				c.detail = "stream ends in the middle of an event"
				return k.failStream(a, c)
			}
			return k.endStream(a, c, x)
		}
		if err != nil {
			c.detail = "stream truncated: " + err.Error()
			return k.failStream(a, c)
		}
	}
}

// failStream returns what follows a broken stream: a route whose streams are resumable allows another attempt.
func (k *callerConn) failStream(a *responseState, c *call) (tgpicker.Outcome, verdict) {
	if a.ctx.Err() != nil {
		k.abandon(a, c)
		return tgpicker.OutcomeCancelled, verdictDone
	}
	if c.route.Resumable {
		return tgpicker.OutcomeFailed, verdictRetry
	}
	return tgpicker.OutcomeFailed, verdictStop
}

// writeEvents writes complete events to the caller and reports whether the stream goes on.
func (k *callerConn) writeEvents(a *responseState, c *call, x *exchange, events []byte, r eventRange) bool {
	now := time.Now()
	var b []byte
	if !a.headWritten {
		b = k.streamHead(a, c, x)
		a.headWritten = true
	} else if a.limiter != nil && r.count > 0 && !a.lastEventAt.IsZero() {
		a.limiter.ObserveGap(now.Sub(a.lastEventAt)/time.Duration(r.count), now)
	}
	a.lastEventAt = now
	if r.count > 0 {
		c.events.record(c.receivedAt, now)
	}
	if c.request.Minor > 0 {
		b = tghttp.AppendChunk(b, events)
	} else {
		b = append(b, events...)
	}
	if err := k.write(b); err != nil {
		c.detail = err.Error()
		k.abortResponse(a, c, outcomeCancelled)
		return false
	}
	a.lastEventID = max(a.lastEventID, r.last)
	return true
}

// streamHead returns the head of a streamed response. A caller of HTTP/1.0 gets an unframed body, which ends with the
// connection.
func (k *callerConn) streamHead(a *responseState, c *call, x *exchange) []byte {
	if c.request.Minor == 0 {
		a.keepAlive = false
		return append(responseHead(x.response, false), "\r\n"...)
	}
	b := responseHead(x.response, a.decideKeepAlive())
	return append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// endStream ends the response after the upstream has ended the stream.
func (k *callerConn) endStream(a *responseState, c *call, x *exchange) (tgpicker.Outcome, verdict) {
	var b []byte
	if !a.headWritten {
		b = k.streamHead(a, c, x)
		a.headWritten = true
	}
	if c.request.Minor > 0 {
		b = append(b, tghttp.LastChunk...)
	}
	err := k.write(b)
	a.keepAlive = a.keepAlive && err == nil
	k.server.observer.Request(c.newEvent(outcomeAnswered, http.StatusOK, time.Now()))
	return tgpicker.OutcomeAnswered, verdictDone
}
