package tglink

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"tanagergrade/core/tgframe"
)

const (
	codeClosed quic.StreamErrorCode = 1

	lengthSize   = 4
	maxFrameSize = 80 << 20 // above the largest request body that an entry takes
	readSize     = 4 << 10
)

// ErrFrameTooLarge says that a frame exceeds the limit of both sides.
var ErrFrameTooLarge = errors.New("frame is too large")

// exchange sends each frame as its length in four bytes and its CBOR encoding.
type exchange struct {
	buffer  bytes.Buffer // frame being sent, under sendMu
	onClose func()
	once    sync.Once
	reader  *bufio.Reader
	sendMu  sync.Mutex
	stream  *quic.Stream

	// The context that the read deadline follows; Receive is called by one goroutine at a time.
	received []byte
	watched  context.Context //nolint:containedctx // lets calls with the same context share one watch
	unwatch  func() bool
}

func newExchange(stream *quic.Stream, onClose func()) *exchange {
	return &exchange{onClose: onClose, reader: bufio.NewReaderSize(stream, readSize), stream: stream}
}

// Close ends both directions; what was sent is still delivered.
func (x *exchange) Close() error {
	var err error
	x.once.Do(func() {
		x.stream.CancelRead(codeClosed)
		err = errors.Wrap(x.stream.Close(), "close stream")
		x.onClose()
	})
	return err
}

// Receive returns the next frame. Calls with the same context share one watch of its end.
func (x *exchange) Receive(ctx context.Context) (tgframe.Frame, error) {
	if x.watched != ctx {
		if err := x.watch(ctx); err != nil {
			return tgframe.Frame{}, err
		}
	}
	var f tgframe.Frame
	data, err := x.read()
	if err != nil {
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return f, errors.Wrap(err, "receive frame")
	}
	return f, errors.Wrap(cbor.Unmarshal(data, &f), "decode frame")
}

// watch makes reads fail once ctx has ended.
func (x *exchange) watch(ctx context.Context) error {
	if x.unwatch != nil {
		x.unwatch()
	}
	deadline, _ := ctx.Deadline()
	if err := x.stream.SetReadDeadline(deadline); err != nil {
		return errors.Wrap(err, "set read deadline")
	}
	x.watched = ctx
	x.unwatch = context.AfterFunc(ctx, func() { _ = x.stream.SetReadDeadline(time.Unix(1, 0)) })
	return nil
}

func (x *exchange) read() ([]byte, error) {
	header, err := x.reader.Peek(lengthSize)
	if err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > maxFrameSize {
		return nil, ErrFrameTooLarge
	}
	_, _ = x.reader.Discard(lengthSize)
	if cap(x.received) < size {
		x.received = make([]byte, size)
	}
	data := x.received[:size]
	if size > readSize {
		x.received = nil // a large frame's memory is not kept for the small ones after it
	}
	_, err = io.ReadFull(x.reader, data)
	return data, err
}

// Buffered reports whether a whole frame has arrived that Receive would return without waiting.
func (x *exchange) Buffered() bool {
	n := x.reader.Buffered()
	if n < lengthSize {
		return false
	}
	header, _ := x.reader.Peek(lengthSize)
	return n >= lengthSize+int(binary.BigEndian.Uint32(header))
}

// Send sends one frame; several goroutines may send at once.
func (x *exchange) Send(ctx context.Context, f tgframe.Frame) error {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	x.buffer.Reset()
	x.buffer.Write(make([]byte, lengthSize))
	if err := cbor.MarshalToBuffer(f, &x.buffer); err != nil {
		return errors.Wrap(err, "encode frame")
	}
	data := x.buffer.Bytes()
	if len(data)-lengthSize > maxFrameSize {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthSize))
	deadline, _ := ctx.Deadline()
	if err := x.stream.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	_, err := x.stream.Write(data)
	return errors.Wrap(err, "send frame")
}
