package tgproxy

import (
	"bufio"
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgdrain"
)

const (
	acceptRetryPause = 10 * time.Millisecond // after a failed accept; the process may be out of descriptors for a moment
	// For how long a draining server accepts connections: the platform polls readiness once a second and sends no new
	// connections only after two failed polls.
	drainAcceptPeriod = 2600 * time.Millisecond
	// For how long a draining server waits for the first request on a connection: callers open one to send a request.
	firstRequestTimeout = time.Second
	handshakeTimeout    = 100 * time.Millisecond // for callers to complete a handshake that has begun
	// For how long the connections of callers stay open for the answers to requests that errServerStops has ended. It is a
	// part of ShutdownReserve.
	finalAnswerPeriod = 150 * time.Millisecond
)

// errServerStops is the cause of the end of requests that are still in progress when a draining server has to end.
var errServerStops = errors.New("the server stops before the answer is complete")

// NewListenConfig returns the options of a listener for Serve. Multipath TCP is off, because its sockets have no filters,
// and a drain would reset the connections that are made while the listener closes.
func NewListenConfig() *net.ListenConfig {
	lc := &net.ListenConfig{}
	lc.SetMultipathTCP(false)
	return lc
}

// Serve accepts connections until ctx ends; then it drains and returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var watch conc.WaitGroup
	defer watch.Wait() // after abort
	work, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	watch.Go(func() { s.withdrawSuspects(work) })
	ended := make(chan struct{})
	stopDrain := context.AfterFunc(ctx, func() { s.drain(listener, abort, ended) })
	defer stopDrain()
	defer close(ended)
	var wg conc.WaitGroup
	defer wg.Wait()
	serve := func(conn net.Conn) {
		k := &callerConn{br: bufio.NewReaderSize(conn, callerBufferBytes), conn: conn, server: s}
		s.track(k)
		wg.Go(func() {
			defer s.untrack(k)
			k.serve(work)
		})
	}
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			serve(conn)
		case ctx.Err() != nil && !isOutOfDescriptors(err) || errors.Is(err, net.ErrClosed):
			for _, conn := range closeListener(listener) {
				serve(conn)
			}
			s.closeIdle()
			return nil
		case isNetError(err):
			time.Sleep(acceptRetryPause)
		default:
			return errors.Wrap(err, "accept")
		}
	}
}

func isOutOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne)
}

// drain stops the server: it accepts connections for drainAcceptPeriod, then ends the accept loop, which closes idle
// connections, and lets requests finish until only ShutdownReserve is left of the grace period or ended is closed. Requests
// that come meanwhile are taken as tgdrain.Forecast.Decide says. Those that are not finished nevertheless get an answer that
// says so, unless their response has begun.
func (s *Server) drain(listener net.Listener, abort context.CancelCauseFunc, ended <-chan struct{}) {
	limits := s.limits.Load()
	now := time.Now()
	end := now.Add(limits.DrainGrace - limits.ShutdownReserve)
	s.stop.Store(&tgdrain.Stop{AcceptUntil: now.Add(drainAcceptPeriod), End: end})
	time.Sleep(drainAcceptPeriod)
	stopAccepting(listener)
	select {
	case <-time.After(time.Until(end)):
	case <-ended:
		return
	}
	abort(errServerStops)
	select {
	case <-time.After(finalAnswerPeriod):
	case <-ended:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.callers {
		k.close()
	}
}

// stopAccepting makes Accept fail after the handshakes in progress. Where the listener allows it, it stays open, because
// closing it resets the connections in its queue.
func stopAccepting(listener net.Listener) {
	refuseHandshakes(listener)
	time.Sleep(handshakeTimeout)
	l, ok := listener.(interface{ SetDeadline(t time.Time) error })
	if !ok || l.SetDeadline(time.Unix(1, 0)) != nil {
		_ = listener.Close()
	}
}

// refuseHandshakes makes a listening socket drop the packets that open connections. Their senders repeat them and find the
// port closed by then. Without this, connections that enter the queue just before the listener closes are reset.
func refuseHandshakes(listener net.Listener) {
	const (
		tcpFlagsOffset = 13 // of the flags in a TCP header, in bytes
		tcpFlagSYN     = 2
		wholePacket    = 1<<32 - 1
	)
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	filter := []syscall.SockFilter{
		{Code: syscall.BPF_LD | syscall.BPF_B | syscall.BPF_ABS, K: tcpFlagsOffset},
		{Code: syscall.BPF_JMP | syscall.BPF_JSET | syscall.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: syscall.BPF_RET | syscall.BPF_K, K: 0},
		{Code: syscall.BPF_RET | syscall.BPF_K, K: wholePacket},
	}
	// A kernel without socket filters leaves the gap that the filter closes.
	_ = raw.Control(func(fd uintptr) { _ = syscall.AttachLsf(int(fd), filter) }) //nolint:staticcheck // has no successor here
}

// closeListener closes the listener and returns the connections that were in its queue.
func closeListener(listener net.Listener) []net.Conn {
	fds := acceptQueued(listener)
	_ = listener.Close() // at once, as it resets the connections that came since
	conns := make([]net.Conn, 0, len(fds))
	for _, fd := range fds {
		f := os.NewFile(uintptr(fd), "caller")
		if conn, err := net.FileConn(f); err == nil {
			conns = append(conns, conn)
		}
		_ = f.Close() // FileConn has duplicated it
	}
	return conns
}

// acceptQueued accepts connections until the queue of the listener is empty. It does nothing if the listener is not a
// socket or is closed.
func acceptQueued(listener net.Listener) (fds []int) {
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(listener uintptr) { // fails only if the listener is closed
		for {
			fd, _, err := syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch {
			case err == nil:
				fds = append(fds, fd)
			case !errors.Is(err, syscall.EINTR) && !errors.Is(err, syscall.ECONNABORTED):
				return
			}
		}
	})
	return fds
}

// closeIdle ends the connections without a request in progress.
func (s *Server) closeIdle() {
	s.closingIdle.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.callers {
		k.closeIdle()
	}
}

// detailStops is the detail of a refusal by canFinish.
const detailStops = "the server stops before the answer can be complete"

// canFinish reports whether a call can be answered in full before the server stops. While the platform still sends new
// connections, the few answers that turn out longer than likely can be resumed where the route allows it.
func (s *Server) canFinish(c *call) bool {
	stop := s.stop.Load()
	if stop == nil {
		return true
	}
	now := time.Now()
	d := c.forecast.Decide(c.work(now.Before(stop.AcceptUntil) && c.route.Resumable), *stop, now)
	c.stop = &d
	return d.Admitted
}

func (s *Server) isDraining() bool { return s.stop.Load() != nil }

func (s *Server) track(k *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[k] = struct{}{}
}

func (s *Server) untrack(k *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, k)
}
