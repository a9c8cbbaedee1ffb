package tgstandin

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglink"
)

// Link is an in-memory link between daemons with injected faults. It needs no network, so that its delays follow the
// fake clock of testing/synctest.
type Link struct {
	mu       sync.Mutex
	faults   []LinkFault // of the exchanges, in the order in which they are opened
	handlers map[netip.AddrPort]tglink.Handler
	opened   int             // exchanges that callers tried to open
	requests []tgframe.Frame // the first frame of each exchange
}

// LinkFault describes the faults injected into one exchange.
type LinkFault struct {
	DisconnectAfter  int           // replies after which both directions are closed; 0 for no limit
	DuplicateReplies bool          // each reply is delivered twice
	RefuseOpen       bool          // the exchange cannot be opened
	ReorderReplies   bool          // each pair of successive replies is delivered in reverse order
	RequestDelay     time.Duration // delays each frame of the caller, which is sent even if the exchange has ended meanwhile
	SilentAfter      int           // replies after which nothing reaches the caller, not even the end; 0: never, < 0: at once
}

// NewLink returns a link that applies faults to its exchanges in the order in which they are opened; further exchanges
// have no fault.
func NewLink(faults ...LinkFault) *Link {
	return &Link{faults: faults, handlers: map[netip.AddrPort]tglink.Handler{}}
}

// Register makes handler serve the exchanges opened to address.
func (l *Link) Register(address netip.AddrPort, handler tglink.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[address] = handler
}

// Requests returns the first frame that the caller has sent in each exchange so far.
func (l *Link) Requests() []tgframe.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]tgframe.Frame{}, l.requests...)
}

// RetireConnection implements tglink.Dialer.
func (l *Link) RetireConnection(netip.AddrPort) {}

// Serve implements tglink.Server for a process that serves no exchanges.
func (l *Link) Serve(ctx context.Context, _ tglink.Handler) error {
	<-ctx.Done()
	return nil
}

// Open implements tglink.Dialer.
func (l *Link) Open(_ context.Context, address netip.AddrPort) (tglink.Exchange, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fault LinkFault
	if l.opened < len(l.faults) {
		fault = l.faults[l.opened]
	}
	l.opened++
	handler := l.handlers[address]
	if fault.RefuseOpen || handler == nil {
		return nil, errors.New("connection refused")
	}
	requests, replies := newFrameQueue(), newFrameQueue()
	ctx, cancel := context.WithCancel(context.Background())
	client := &linkEnd{cancel: cancel, fault: fault, in: replies, out: requests, onFirstFrame: l.recordRequest}
	server := &linkEnd{cancel: cancel, fault: fault, in: requests, out: replies, serving: true}
	if fault.RequestDelay > 0 {
		client.cancel = func() {}
	}
	go func() {
		defer server.Close() //nolint:errcheck // in memory
		handler(ctx, server)
	}()
	return client, nil
}

func (l *Link) recordRequest(f tgframe.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, f)
}

// linkEnd is one side of an exchange.
type linkEnd struct {
	cancel       func()
	fault        LinkFault
	onFirstFrame func(tgframe.Frame) // called with the first frame sent; nil on the serving side
	pendingReply []byte              // reply to be delivered after the next one
	in, out      *frameQueue
	sent         int // frames
	serving      bool
}

// Buffered implements tglink.Exchange.
func (e *linkEnd) Buffered() bool { return e.in.len() > 0 }

// Close implements tglink.Exchange.
func (e *linkEnd) Close() error {
	if e.pendingReply != nil {
		e.out.push(e.pendingReply)
	}
	if !e.silent() {
		e.out.close()
	}
	return nil
}

func (e *linkEnd) silent() bool {
	return e.serving && (e.fault.SilentAfter < 0 || e.fault.SilentAfter > 0 && e.sent >= e.fault.SilentAfter)
}

// Receive implements tglink.Exchange.
func (e *linkEnd) Receive(ctx context.Context) (tgframe.Frame, error) {
	var f tgframe.Frame
	data, err := e.in.pop(ctx)
	if err != nil {
		return f, err
	}
	return f, errors.Wrap(cbor.Unmarshal(data, &f), "decode frame")
}

// Send implements tglink.Exchange.
func (e *linkEnd) Send(_ context.Context, f tgframe.Frame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if e.onFirstFrame != nil && e.sent == 0 {
		e.onFirstFrame(f)
	}
	silent := e.silent()
	e.sent++
	switch {
	case silent:
	case e.serving:
		e.reply(data)
	case e.fault.RequestDelay > 0:
		time.AfterFunc(e.fault.RequestDelay, func() { e.out.push(data) })
	default:
		e.out.push(data)
	}
	if e.serving && e.fault.DisconnectAfter > 0 && e.sent >= e.fault.DisconnectAfter {
		e.out.close()
		e.in.close()
		e.cancel()
		return errors.New("connection lost")
	}
	return nil
}

func (e *linkEnd) reply(data []byte) {
	if e.fault.ReorderReplies && e.pendingReply == nil {
		e.pendingReply = data
		return
	}
	e.out.push(data)
	if e.fault.DuplicateReplies {
		e.out.push(data)
	}
	if e.pendingReply != nil {
		e.out.push(e.pendingReply)
		e.pendingReply = nil
	}
}

// frameQueue carries encoded frames in one direction of an exchange.
type frameQueue struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	closed  bool
	frames  [][]byte
}

func newFrameQueue() *frameQueue { return &frameQueue{changed: make(chan struct{})} }

func (q *frameQueue) push(data []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = append(q.frames, data)
	q.notify()
}

func (q *frameQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notify()
}

func (q *frameQueue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *frameQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames)
}

func (q *frameQueue) pop(ctx context.Context) ([]byte, error) {
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		q.mu.Lock()
		if len(q.frames) > 0 {
			data := q.frames[0]
			q.frames = q.frames[1:]
			q.mu.Unlock()
			return data, nil
		}
		changed, closed := q.changed, q.closed
		q.mu.Unlock()
		if closed {
			return nil, io.EOF
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
