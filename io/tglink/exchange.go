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
	maxFrameSize         = 80 << 20 // larger than the largest request body that an entry accepts
	readBufferSize       = 4 << 10
	nonBlockingWriteSize = 1 << 10 // quic-go accepts a write smaller than a packet without waiting for the peer
)

var lengthPlaceholder [lengthPrefixSize]byte // overwritten when the length is known

// ErrFrameTooLarge means that a frame exceeds maxFrameSize, which limits both sending and receiving.
var ErrFrameTooLarge = errors.New("frame is too large")

// exchange is an Exchange over one QUIC stream. Each frame is sent as a four-byte length and its CBOR encoding.
type exchange struct {
	sendBuffer bytes.Buffer  // encoding of sendFrame; guarded by sendMu
	sendFrame  tgframe.Frame // frame being sent; guarded by sendMu
	onClose    func()
	closeOnce  sync.Once
	reader     *bufio.Reader
	sendMu     sync.Mutex

	sendDeadline time.Time // write deadline of the stream; guarded by sendMu

	stream *quic.Stream

	// The fields below belong to Receive, which is called by one goroutine at a time.
	receivedChunk tgframe.Chunk   // of receivedFrame
	receivedFrame tgframe.Frame   // last frame; decoding into fields of the exchange saves an allocation for each frame
	receiveBuffer []byte          // encoding of a frame
	watchedCtx    context.Context //nolint:containedctx // lets calls with the same context share one watch
	stopWatch     func() bool     // ends the watch of watchedCtx
}

func newExchange(stream *quic.Stream, onClose func()) *exchange {
	return &exchange{onClose: onClose, reader: bufio.NewReaderSize(stream, readBufferSize), stream: stream}
}

// Close ends both directions; frames that were sent are still delivered. The other side may have closed them before.
func (x *exchange) Close() error {
	x.closeOnce.Do(func() {
		x.stream.CancelRead(streamCodeClosed)
		_ = x.stream.Close()
		x.onClose()
	})
	return nil
}

// Receive returns the next frame, or io.EOF after the last one. Calls with the same context share one watch of its end.
func (x *exchange) Receive(ctx context.Context) (tgframe.Frame, error) {
	if x.watchedCtx != ctx {
		if err := x.watch(ctx); err != nil {
			return tgframe.Frame{}, err
		}
	}
	data, err := x.read()
	switch {
	case err == io.EOF: //nolint:errorlint // the regular end of an exchange, returned without the cost of a stack trace
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

// watch makes reads fail when ctx ends. Until then the stream has no read deadline, because with one, quic-go creates a
// timer for each read that waits.
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
		x.receiveBuffer = nil // does not keep the memory of a large frame for the small ones after it
	}
	_, err = io.ReadFull(x.reader, data)
	return data, err
}

// Buffered implements Exchange: it reports whether a complete frame is in the read buffer.
func (x *exchange) Buffered() bool {
	n := x.reader.Buffered()
	if n < lengthPrefixSize {
		return false
	}
	header, _ := x.reader.Peek(lengthPrefixSize)
	return n >= lengthPrefixSize+int(binary.BigEndian.Uint32(header))
}

// Send implements Exchange; it is safe for concurrent use. An end frame closes this direction at once, so that the end of
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
