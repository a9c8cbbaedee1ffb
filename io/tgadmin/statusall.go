package tgadmin

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc/iter"
)

const maxStatusCalls = 64 // calls at once, so that the status of thousands of daemons needs few sockets

// StatusResult is the status of one daemon or the reason why there is none.
type StatusResult struct {
	Address netip.AddrPort
	Err     error
	Status  Status
}

// StatusAll returns the status of the daemons at addresses, in the same order.
func (c *Client) StatusAll(ctx context.Context, addresses []netip.AddrPort) []StatusResult {
	mapper := iter.Mapper[netip.AddrPort, StatusResult]{MaxGoroutines: maxStatusCalls}
	return mapper.Map(addresses, func(address *netip.AddrPort) StatusResult {
		s, err := c.Status(ctx, *address)
		return StatusResult{Address: *address, Err: err, Status: s}
	})
}
