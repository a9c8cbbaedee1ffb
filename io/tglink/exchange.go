package tglink

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"tanagergrade/core/tgframe"
)

const codeClosed quic.StreamErrorCode = 1

type exchange struct {
	decoder *cbor.Decoder
	encoder *cbor.Encoder
	sendMu  sync.Mutex
	stream  *quic.Stream
}

func newExchange(stream *quic.Stream) *exchange {
	return &exchange{decoder: cbor.NewDecoder(stream), encoder: cbor.NewEncoder(stream), stream: stream}
}

// Close ends both directions; what was sent is still delivered.
func (x *exchange) Close() error {
	x.stream.CancelRead(codeClosed)
	return errors.Wrap(x.stream.Close(), "close stream")
}

// Receive returns the next frame.
func (x *exchange) Receive(ctx context.Context) (tgframe.Frame, error) {
	deadline, _ := ctx.Deadline()
	if err := x.stream.SetReadDeadline(deadline); err != nil {
		return tgframe.Frame{}, errors.Wrap(err, "set read deadline")
	}
	stop := context.AfterFunc(ctx, func() { _ = x.stream.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	var f tgframe.Frame
	if err := x.decoder.Decode(&f); err != nil {
		return f, errors.Wrap(err, "receive frame")
	}
	return f, nil
}

// Send sends one frame; several threads may send at once.
func (x *exchange) Send(ctx context.Context, f tgframe.Frame) error {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	deadline, _ := ctx.Deadline()
	if err := x.stream.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	return errors.Wrap(x.encoder.Encode(f), "send frame")
}
