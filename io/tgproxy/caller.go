package tgproxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/io/tghttp"
)

const (
	callerBufferBytes    = 4 << 10
	writeTimeout         = 3 * time.Second // a caller who takes nothing for so long is gone
	defaultHeaderBytes   = 16 << 10        // bounds while no configuration is known
	defaultBodyBytes     = 1 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	lingerTimeout        = 300 * time.Millisecond // for the caller to read an answer before the connection is reset
)

// callerConn is one connection of a callerConn.
type callerConn struct {
	conn   net.Conn
	br     *bufio.Reader
	server *Server

	mu   sync.Mutex
	busy bool // a request is being read or handled
}

// serve handles requests until the connection ends.
func (k *callerConn) serve(ctx context.Context) {
	defer func() { _ = k.conn.Close() }() // the caller sees the end of the connection either way
	for ctx.Err() == nil && k.serveRequest(ctx) {
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

// serveRequest handles one request and reports whether another may follow.
func (k *callerConn) serveRequest(ctx context.Context) bool {
	limits := k.limits()
	if !k.waitForRequest(limits.IdleTimeout) {
		return false
	}
	began := time.Now()
	if err := k.conn.SetReadDeadline(began.Add(limits.HeaderTimeout)); err != nil {
		return false
	}
	r, err := tghttp.ReadRequest(k.br, limits.HeaderBytes)
	if err != nil {
		return k.reject(err)
	}
	body, err := k.readBody(r, limits)
	if err != nil {
		return k.reject(err)
	}
	if err := k.conn.SetReadDeadline(time.Time{}); err != nil {
		return false
	}
	return k.handle(ctx, r, body, began)
}

// waitForRequest waits for the first byte of a request; an idle connection may be closed meanwhile.
func (k *callerConn) waitForRequest(idle time.Duration) bool {
	if err := k.conn.SetReadDeadline(time.Now().Add(idle)); err != nil {
		return false
	}
	k.setBusy(false) // after the deadline, so that it does not undo the one that closeIdle sets
	if k.br.Buffered() == 0 && k.server.shouldCloseIdle() {
		return false
	}
	_, err := k.br.Peek(1)
	k.setBusy(true)
	return err == nil
}

func (k *callerConn) setBusy(busy bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy = busy
}

// closeIdle closes the connection unless a request is in progress.
func (k *callerConn) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.busy {
		_ = k.conn.SetReadDeadline(time.Unix(1, 0)) // wakes the wait for a request, which then closes
	}
}

func (k *callerConn) readBody(r *tghttp.Request, limits tgcatalog.Limits) ([]byte, error) {
	if r.Framing == tghttp.FramingNone {
		return nil, nil
	}
	if r.Header.Get("Expect") != "" {
		if err := k.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	return tghttp.NewBody(k.br, r.Framing, r.Length).ReadAll(limits.BodyBytes)
}

// reject answers a message that breaks the protocol or its bounds; the connection ends.
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

// linger lets the caller read the answer before unread bytes reset the connection.
func (k *callerConn) linger() {
	if tcp, ok := k.conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_ = k.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = k.br.Discard(defaultBodyBytes) // any end is fine: the connection is closed next
	}
}

func (k *callerConn) write(b []byte) error {
	if err := k.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := k.conn.Write(b)
	return err
}

// cancelOnDisconnect cancels the request when the caller closes the connection. The returned function ends the cancelOnDisconnect.
func (k *callerConn) cancelOnDisconnect(cancel context.CancelFunc) (stop func()) {
	if k.br.Buffered() > 0 {
		return func() {} // another request is there already
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := k.br.Peek(1); err != nil && !isTimeout(err) {
			cancel()
		}
	}()
	return func() {
		_ = k.conn.SetReadDeadline(time.Unix(1, 0)) // a connection that fails here fails the next read, too
		<-done
		_ = k.conn.SetReadDeadline(time.Time{})
	}
}
