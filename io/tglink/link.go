// Package tglink carries frames between daemons over QUIC.
package tglink

import (
	"context"
	"net/netip"

	"tanagergrade/core/tgframe"
)

// Exchange is one bidirectional sequence of frames.
type Exchange interface {
	Close() error
	Receive(ctx context.Context) (tgframe.Frame, error)
	Send(ctx context.Context, f tgframe.Frame) error
}

// Dialer opens exchanges with other daemons.
type Dialer interface {
	// Forget drops the connection to address, so that the next Open makes a new one.
	Forget(address netip.AddrPort)
	Open(ctx context.Context, address netip.AddrPort) (Exchange, error)
}

// Handler serves an exchange that another daemon opened.
type Handler func(ctx context.Context, x Exchange)
