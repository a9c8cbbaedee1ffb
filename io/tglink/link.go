// Package tglink transports frames between daemons over QUIC.
package tglink

import (
	"context"
	"net/netip"

	"tanagergrade/core/tgframe"
)

// Exchange is one bidirectional stream of frames.
type Exchange interface {
	// Buffered reports whether Receive would return a frame without waiting.
	Buffered() bool
	Close() error
	// Receive waits for the next frame and is called by one goroutine at a time. The frame's chunk is valid until the next
	// call; the chunk's data stays valid.
	Receive(ctx context.Context) (tgframe.Frame, error)
	// Send encodes f before it returns. No frame may follow an end frame. After an error, f may have been delivered.
	Send(ctx context.Context, f tgframe.Frame) error
}

// Dialer opens exchanges with other daemons.
type Dialer interface {
	// RetireConnection makes the next Open to address use a new connection; exchanges over the old one continue.
	RetireConnection(address netip.AddrPort)
	// Open opens an exchange without sending a frame; after an error, none was sent.
	Open(ctx context.Context, address netip.AddrPort) (Exchange, error)
}

// Server serves the exchanges that other daemons open.
type Server interface {
	// Serve serves until ctx ends, and returns after all handlers have returned.
	Serve(ctx context.Context, handler Handler) error
}

// Link is both sides of the transport between daemons.
type Link interface {
	Dialer
	Server
}

// Handler serves an exchange that another daemon opened, until it returns or ctx ends.
type Handler func(ctx context.Context, x Exchange)
