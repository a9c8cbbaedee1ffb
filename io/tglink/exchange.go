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
	streamCodeClosed quic.StreamErrorCode = 1

	lengthPrefixSize     = 4
	maxFrameSize         = 80 << 20 // above the largest request body that an entry takes
	readBufferSize       = 4 << 10
	nonBlockingWriteSize = 1 << 10 // quic-go takes a write below the size of a packet without waiting for the peer
)

var lengthPlaceholder [lengthPrefixSize]byte // replaced when the length is known

// ErrFrameTooLarge says that a frame exceeds the limit of both sides.
var ErrFrameTooLarge = errors.New("frame is too large")

// exchange sends each frame as its length in four bytes and its CBOR encoding.
type exchange struct {
	sendBuffer bytes.Buffer  // frame being sent, under sendMu
	sendFrame  tgframe.Frame // being sent, under sendMu
	onClose    func()
	closeOnce  sync.Once
	reader     *bufio.Reader
	sendMu     sync.Mutex

	sendDeadline time.Time // of the stream, under sendMu

	stream *quic.Stream

	// The rest belongs to Receive, which is called by one goroutine at a time.
	receivedChunk tgframe.Chunk // of the last frame
	receivedFrame tgframe.Frame // last frame; decoding into fields of the exchange saves an allocation for each
	receiveBuffer []byte
	watchedCtx    context.Context //nolint:containedctx // lets calls with the same context share one watch
	stopWatch     func() bool
}

func newExchange(stream *quic.Stream, onClose func()) *exchange {
	return &exchange{onClose: onClose, reader: bufio.NewReaderSize(stream, readBufferSize), stream: stream}
}

// Close ends both directions; what was sent is still delivered. The other side may have ended them before.
func (x *exchange) Close() error {
	x.closeOnce.Do(func() {
		x.stream.CancelRead(streamCodeClosed)
		_ = x.stream.Close()
		x.onClose()
	})
	return nil
}

// Receive returns the next frame. Calls with the same context share one watch of its end.
func (x *exchange) Receive(ctx context.Context) (tgframe.Frame, error) {
	if x.watchedCtx != ctx {
		if err := x.watch(ctx); err != nil {
			return tgframe.Frame{}, err
		}
	}
	data, err := x.read()
	switch {
	case err == io.EOF: //nolint:errorlint // the regular end of an exchange, reported without the cost of a stack
		return tgframe.Frame{}, err
	case ctx.Err() != nil:
		return tgframe.Frame{}, errors.Wrap(ctx.Err(), "receive frame")
	case err != nil:
		return tgframe.Frame{}, errors.Wrap(err, "receive frame")
	}
	x.receivedChunk = tgframe.Chunk{}
	x.receivedFrame = tgframe.Frame{Chunk: &x.receivedChunk}
	if err := cbor.Unmarshal(data, &x.receivedFrame); err != nil {
		return tgframe.Frame{}, errors.Wrap(err, "decode frame")
	}
	if x.receivedChunk.Data == nil {
		x.receivedFrame.Chunk = nil
	}
	return x.receivedFrame, nil
}

// watch makes reads fail once ctx has ended. The stream gets no deadline before: with one, quic-go makes a timer for
// every read that waits.
func (x *exchange) watch(ctx context.Context) error {
	if x.stopWatch != nil {
		x.stopWatch()
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "receive frame")
	}
	if err := x.stream.SetReadDeadline(time.Time{}); err != nil {
		return errors.Wrap(err, "reset read deadline")
	}
	x.watchedCtx = ctx
	x.stopWatch = context.AfterFunc(ctx, func() { _ = x.stream.SetReadDeadline(time.Unix(1, 0)) })
	return nil
}

func (x *exchange) read() ([]byte, error) {
	header, err := x.reader.Peek(lengthPrefixSize)
	if err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > maxFrameSize {
		return nil, ErrFrameTooLarge
	}
	_, _ = x.reader.Discard(lengthPrefixSize)
	if cap(x.receiveBuffer) < size {
		x.receiveBuffer = make([]byte, size)
	}
	data := x.receiveBuffer[:size]
	if size > readBufferSize {
		x.receiveBuffer = nil // a large frame's memory is not kept for the small ones after it
	}
	_, err = io.ReadFull(x.reader, data)
	return data, err
}

// Buffered reports whether a whole frame has arrived that Receive would return without waiting.
func (x *exchange) Buffered() bool {
	n := x.reader.Buffered()
	if n < lengthPrefixSize {
		return false
	}
	header, _ := x.reader.Peek(lengthPrefixSize)
	return n >= lengthPrefixSize+int(binary.BigEndian.Uint32(header))
}

// Send sends one frame; several goroutines may send at once. An end frame closes this direction, so that the end of
// the stream goes out in the same packet.
func (x *exchange) Send(ctx context.Context, f tgframe.Frame) error {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	x.sendBuffer.Reset()
	x.sendBuffer.Write(lengthPlaceholder[:])
	x.sendFrame = f
	err := cbor.MarshalToBuffer(&x.sendFrame, &x.sendBuffer)
	x.sendFrame = tgframe.Frame{}
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	data := x.sendBuffer.Bytes()
	if len(data)-lengthPrefixSize > maxFrameSize {
		return ErrFrameTooLarge
	}
	binary.BigEndian.PutUint32(data, uint32(len(data)-lengthPrefixSize))
	if deadline, _ := ctx.Deadline(); !deadline.Equal(x.sendDeadline) {
		if err := x.stream.SetWriteDeadline(deadline); err != nil {
			return errors.Wrap(err, "set write deadline")
		}
		x.sendDeadline = deadline
	}
	if len(data) > nonBlockingWriteSize {
		defer context.AfterFunc(ctx, func() { _ = x.stream.SetWriteDeadline(time.Unix(1, 0)) })()
	}
	if _, err = x.stream.Write(data); err != nil {
		return errors.Wrap(err, "send frame")
	}
	if f.Kind == tgframe.KindEnd {
		return errors.Wrap(x.stream.Close(), "close stream")
	}
	return nil
}
