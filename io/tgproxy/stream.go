package tgproxy

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgpicker"
	"tanagergrade/core/tgquarantine"
	"tanagergrade/io/tghttp"
)

const streamReadBytes = 4 << 10

// deliverStream forwards complete events as they arrive. A stream that breaks or stalls may be resumed at another upstream
// after the last event that was forwarded.
func (k *callerConn) deliverStream(a *responseState, c *call, x *exchange) (tgpicker.Outcome, verdict) {
	if got := x.response.Header.Get("Content-Type"); a.headWritten && !strings.EqualFold(got, a.contentType) {
		return k.failStream(a, c, fmt.Sprintf("resumed stream has content type %q, not %q", got, a.contentType))
	}
	var events eventSplitter
	a.begunAt, a.lastEventAt, a.proven, a.resumes = time.Time{}, time.Time{}, false, a.headWritten
	held := c.buffers.Held()
	defer func() { c.buffers.ReleaseTo(held) }()
	stall := c.route.StallTimeout()
	buf := make([]byte, streamReadBytes)
	for lastID := noEventID - 1; ; {
		if a.lastEventID > lastID { // only a new event shows that the stream goes on
			lastID = a.lastEventID
			if err := x.conn.SetReadDeadline(time.Now().Add(stall)); err != nil {
				return k.failStream(a, c, "stream truncated: "+err.Error())
			}
		}
		n, err := x.body.Read(buf)
		if n > 0 {
			failure, ok := k.forwardEvents(a, c, x, &events, buf[:n])
			if failure != "" {
				return k.failStream(a, c, failure)
			}
			if !ok {
				return tgpicker.OutcomeCancelled, verdictDone
			}
		}
		if failure := k.streamFailure(a, x, &events, err); failure != "" {
			return k.failStream(a, c, failure)
		}
		if x.body.Complete() {
			return k.endStream(a, c, x)
		}
	}
}

// streamFailure returns why a stream is broken after a read of its body, or an empty text if it is not. The error is that
// of the read.
func (k *callerConn) streamFailure(a *responseState, x *exchange, events *eventSplitter, err error) string {
	endsWithConnection := x.response.Framing == tghttp.FramingClose
	switch {
	case x.body.Complete() && events.hasPartial():
		x.connEnded = endsWithConnection
		return "stream ends in the middle of an event"
	case x.body.Complete() && !x.begun && endsWithConnection:
		x.connEnded = true // an upstream that crashes before the first event leaves such an answer
		return "stream ends without an event"
	case x.body.Complete() && !x.begun && a.lastEventID != noEventID:
		return "resumed stream ends without a new event"
	case x.body.Complete() || err == nil:
		return ""
	case errors.Is(err, os.ErrDeadlineExceeded): // the one set for the next event; a connection may also time out by itself
		k.server.counters.Add("stalledStreams", 1)
		return "stream stalled: no new event in time"
	default:
		x.connEnded = isConnectionEnd(err)
		return "stream truncated: " + err.Error()
	}
}

// forwardEvents forwards the events that are complete with new bytes of the stream. It returns why the stream is faulty, if
// it is, and whether the caller is still connected.
func (k *callerConn) forwardEvents(
	a *responseState, c *call, x *exchange, events *eventSplitter, data []byte,
) (failure string, ok bool) {
	if err := c.buffers.Reserve(events.growth(len(data))); err != nil {
		return "event is not buffered: " + err.Error(), true
	}
	complete := events.feed(data)
	if len(complete) > 0 {
		r := parseEventRange(complete)
		if !r.follows(a.lastEventID) {
			return fmt.Sprintf("event ID %d does not follow event ID %d", r.first, a.lastEventID), true
		}
		if !k.writeEvents(a, c, x, complete, r) {
			return "", false
		}
		events.consume(len(complete))
	}
	if events.tooLong() {
		return "event exceeds the size limit", true
	}
	return "", true
}

// failStream returns what follows a broken stream: a route whose streams are resumable allows another attempt.
func (k *callerConn) failStream(a *responseState, c *call, detail string) (tgpicker.Outcome, verdict) {
	c.detail = detail
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
	} else if a.limiter != nil && r.count > 0 && !a.lastEventAt.IsZero() && !k.server.spansStall(c, x, a.lastEventAt) {
		a.limiter.ObserveGap(now.Sub(a.lastEventAt)/time.Duration(r.count), now)
	}
	if r.count > 0 && !a.lastEventAt.IsZero() {
		c.forecast.RecordGap(now.Sub(a.lastEventAt), r.count, now)
	}
	a.lastEventAt = now
	if r.count > 0 {
		k.server.recordProgress(c, x, now)
		k.noteProgress(a, c, x, now)
		c.events.record(r.count, c.receivedAt, now)
		c.recordTokens(r.count)
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

// noteProgress records what an event shows of the parts of the prompt.
func (k *callerConn) noteProgress(a *responseState, c *call, x *exchange, now time.Time) {
	isFirst := !x.begun
	if isFirst {
		x.begun, a.begunAt = true, now
		k.server.unbegun.remove(x)
	}
	age := now.Sub(a.begunAt)
	if isFirst || !a.proven && age >= tgquarantine.ProofTime {
		a.proven = !isFirst
		k.server.quarantine.Begun(c.promptParts, age, now)
	}
}

// streamHead returns the head of a streamed response. A caller of HTTP/1.0 gets an unframed body, which ends with the
// connection.
func (k *callerConn) streamHead(a *responseState, c *call, x *exchange) []byte {
	a.contentType = x.response.Header.Get("Content-Type")
	if c.request.Minor == 0 {
		a.keepAlive = false
		k.setUnfinished(true)
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
	if x.begun && (!a.resumes || !c.atCrash) { // the rest of an answer does not show that all of it crashes no upstream
		k.server.recordAnswer(c, x)
	}
	err := k.write(b)
	if err == nil {
		k.setUnfinished(false)
	}
	a.keepAlive = a.keepAlive && err == nil
	k.server.recordCost(c)
	now := time.Now()
	first := c.events.first
	if c.events.count == 0 {
		first = now.Sub(c.receivedAt)
	}
	c.forecast.RecordEnd(first-c.waited, c.events.count, c.costRequest.MaxOutput, now)
	k.server.observer.Request(c.newEvent(outcomeAnswered, http.StatusOK, now))
	return tgpicker.OutcomeAnswered, verdictDone
}
