package tgflag

import (
	"context"
	"net/netip"
	"time"

	"github.com/spf13/pflag"

	"tanagergrade/io/tgexit"
	"tanagergrade/io/tglogclient"
)

const defaultTimeout = 10 * time.Second // more than the 9 s within which a change takes effect

// Log are the flags of commands that use the log service.
type Log struct {
	Address netip.AddrPort
	Timeout time.Duration
}

// Register adds the flags to flags.
func (l *Log) Register(flags *pflag.FlagSet) {
	flags.TextVar(&l.Address, "log-address", netip.AddrPort{}, "`IP:port` of the log service")
	flags.DurationVar(&l.Timeout, "timeout", defaultTimeout, "bound of the whole command")
}

// Client returns a client of the log service.
func (l *Log) Client() (*tglogclient.Client, error) {
	if !l.Address.IsValid() {
		return nil, tgexit.Usagef("--log-address is missing")
	}
	return tglogclient.New(l.Address), nil
}

// Context returns a child of ctx that is cancelled after the timeout.
func (l *Log) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, l.Timeout)
}
