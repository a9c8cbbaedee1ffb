package tgproxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tgmemory"
	"tanagergrade/io/tghttp"
)

const (
	callerBufferBytes    = 4 << 10
	writeTimeout         = 3 * time.Second // a caller that reads less than writeBlockBytes in this time counts as disconnected
	writeBlockBytes      = 32 << 10
	defaultHeaderBytes   = 16 << 10 // the defaults apply while no configuration is known
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	lingerTimeout        = 300 * time.Millisecond // for the caller to read a refusal before the connection is reset
)

// errSlowCaller means that a caller has not read its answer by the end of its patience.
var errSlowCaller = errors.New("the caller reads its answer too slowly")

// callerConn is the connection of a caller.
type callerConn struct {
	conn   net.Conn
	br     *bufio.Reader
	server *Server

	mu         sync.Mutex // guards the fields below
	busy       bool       // a request is being read or handled
	unfinished bool       // a response whose end is that of the connection has begun and is not complete
	used       bool       // a request was received
}

// serve answers requests until the connection ends.
func (k *callerConn) serve(ctx context.Context) {
	defer k.close()
	defer k.recoverPanic()
	for ctx.Err() == nil && k.serveRequest(ctx) {
	}
}

// close ends the connection. It is reset if a response is unfinished that would look complete otherwise.
func (k *callerConn) close() {
	k.mu.Lock()
	unfinished := k.unfinished
	k.mu.Unlock()
	if unfinished {
		reset(k.conn)
		return
	}
	_ = k.conn.Close() // the connection ends whether or not this fails
}

func (k *callerConn) setUnfinished(unfinished bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unfinished = unfinished
}

// recoverPanic makes an unexpected fault cost only the request that met it: other connections go on.
func (k *callerConn) recoverPanic() {
	if r := recover(); r != nil {
		k.server.counters.Add("panics", 1)
		k.server.observer.Request(Event{Detail: fmt.Sprintf("panic: %v\n%s", r, debug.Stack()), Outcome: outcomeBroken})
	}
}

func (k *callerConn) limits() tgcatalog.Limits {
	if cfg, _ := k.server.catalog.Config(); cfg != nil {
		return cfg.Limits
	}
	return tgcatalog.Limits{
		BodyBytes: defaultBodyBytes, HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout,
		IdleTimeout: defaultIdleTimeout,
	}
}

// serveRequest reads and answers one request and reports whether the connection may carry another.
func (k *callerConn) serveRequest(ctx context.Context) bool {
	limits := k.limits()
	if !k.waitForRequest(limits.IdleTimeout) {
		return false
	}
	receivedAt := time.Now()
	if err := k.conn.SetReadDeadline(receivedAt.Add(limits.HeaderTimeout)); err != nil {
		return false
	}
	r, err := tghttp.ReadRequest(k.br, limits.HeaderBytes)
	if err != nil {
		return k.reject(err)
	}
	buffers := k.server.buffers.Lease(k.server.limits.Load().BufferBytes)
	defer buffers.ReleaseTo(0)
	body, err := k.readBody(r, limits, buffers)
	if errors.Is(err, tgmemory.ErrExhausted) {
		c := k.server.newCall(r, nil, buffers, receivedAt)
		c.detail = err.Error()
		_ = k.refuse(c, http.StatusServiceUnavailable, outcomeRefused, retryAfterNoUpstream, false)
		k.linger()
		return false
	}
	if err != nil {
		return k.reject(err)
	}
	if err := k.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	return k.handle(ctx, r, body, buffers, receivedAt)
}

// waitForRequest reports whether the first byte of a request came before the idle timeout, or before the server ended
// its idle connections.
func (k *callerConn) waitForRequest(idle time.Duration) bool {
	if err := k.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return false
	}
	k.setBusy(false) // only after SetReadDeadline, which would overwrite the deadline that closeIdle sets
	if k.server.closingIdle.Load() {
		k.closeIdle() // it may have passed over this connection while it was busy
	}
	_, err := k.br.Peek(1)
	k.setBusy(true) // closeIdle leaves the deadline alone from now on
	if isTimeout(err) && k.server.closingIdle.Load() && hasUnread(k.conn) {
		// The request came just before the end of the idle connections.
		if err := k.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return false
		}
		_, err = k.br.Peek(1)
	}
	return err == nil
}

func (k *callerConn) setBusy(busy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = busy
	k.used = k.used || busy
}

// closeIdle makes waitForRequest end unless a request is in progress: at once if the connection has carried a request,
// after firstRequestTimeout if it has not.
func (k *callerConn) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.busy {
		return
	}
	end := time.Unix(1, 0)
	if !k.used {
		end = time.Now().Add(firstRequestTimeout)
	}
	_ = k.conn.SetReadDeadline(end) // fails only if the connection has ended
}

func (k *callerConn) readBody(r *tghttp.Request, limits tgcatalog.Limits, buffers *tgmemory.Lease) ([]byte, error) {
	if r.Framing == tghttp.FramingNone {
		return nil, nil
	}
	if r.Header.Get("Expect") != "" {
		if err := k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	return tghttp.NewBody(k.br, r.Framing, r.Length).ReadAllReserved(limits.BodyBytes, buffers)
}

// reject answers a request that violates the protocol or a size limit. It returns false: the connection ends.
func (k *callerConn) reject(err error) bool {
	var syntax *tghttp.SyntaxError
	if !errors.As(err, &syntax) {
		if isTimeout(err) {
			k.server.counters.Add("callerTimeouts", 1)
		}
		return false
	}
	k.server.counters.Add("callerSyntaxErrors", 1)
	k.server.observer.Request(Event{Outcome: "malformed", Status: syntax.Status, Detail: syntax.Message})
	if werr := k.write(refusalBytes(syntax.Status, "", 0, false, &k.server.headers)); werr != nil {
		return false
	}
	k.linger()
	return false
}

// linger gives the caller time to read the answer: closing a connection with unread bytes resets it, and the answer
// would be lost.
func (k *callerConn) linger() {
	if tcp, ok := k.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = k.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = k.br.Discard(defaultBodyBytes) // the result does not matter, as the connection is closed next
	}
}

func (k *callerConn) write(b []byte) error {
	if err := k.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := k.conn.Write(b)
	return err
}

// writeWithBody sends a head and a body; it does not copy a long body. A caller may take until patience to read a long one,
// as long as it reads on.
func (k *callerConn) writeWithBody(head, body []byte, patience time.Time) error {
	if len(head)+len(body) <= inlineWriteBytes {
		return k.write(append(head, body...))
	}
	if err := k.write(head); err != nil {
		return err
	}
	end := time.Now().Add(writeTimeout)
	if patience.After(end) {
		end = patience
	}
	for block := range slices.Chunk(body, writeBlockBytes) {
		if time.Now().After(end) {
			return errSlowCaller
		}
		if err := k.write(block); err != nil {
			return err
		}
	}
	return nil
}

// cancelOnDisconnect cancels the request when the caller closes the connection. The returned function ends the watch.
func (k *callerConn) cancelOnDisconnect(cancel context.CancelFunc) (stop func()) {
	if k.br.Buffered() > 0 {
		return func() {} // the caller has sent its next request already
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := k.br.Peek(1); err != nil && !isTimeout(err) {
			cancel()
		}
	}()
	return func() {
		_ = k.conn.SetReadDeadline(time.Unix(1, 0)) // an error here recurs at the next read
		<-done
		_ = k.conn.SetReadDeadline(time.Time{})
	}
}
