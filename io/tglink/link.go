// Package tglink carries frames between daemons over QUIC.
package tglink

import (
	"context"
	"net/netip"

	"tanagergrade/core/tgframe"
)

// Exchange is one bidirectional sequence of frames.
type Exchange interface {
	// Buffered reports whether Receive would return a frame without waiting.
	Buffered() bool
	Close() error
	// Receive is called by one goroutine at a time. The frame's chunk is valid until the next call, its data longer.
	Receive(ctx context.Context) (tgframe.Frame, error)
	// Send encodes f before it returns; no frame follows an end. After an error the frame may have been delivered.
	Send(ctx context.Context, f tgframe.Frame) error
}

// Dialer opens exchanges with other daemons.
type Dialer interface {
	// RetireConnection makes the next Open to address use a new connection; exchanges of the old one go on.
	RetireConnection(address netip.AddrPort)
	// Open sends nothing of the exchange's content; after an error no frame was sent.
	Open(ctx context.Context, address netip.AddrPort) (Exchange, error)
}

// Server serves the exchanges that other daemons open.
type Server interface {
	// Serve serves until ctx ends; it returns after all handlers have.
	Serve(ctx context.Context, handler Handler) error
}

// Link is both sides of the transport between daemons.
type Link interface {
	Dialer
	Server
}

// Handler serves an exchange that another daemon opened.
type Handler func(ctx context.Context, x Exchange)
