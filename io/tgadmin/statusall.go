package tgadmin

import (
	"context"
	"net/netip"

	"github.com/sourcegraph/conc/iter"
)

const maxStatusCalls = 64 // concurrent requests; bounds the sockets needed for the status of thousands of daemons

// StatusResult is the status of a daemon, or the error of the request for it.
type StatusResult struct {
	Address netip.AddrPort
	Err     error
	Status  Status
}

// StatusAll requests the status of the daemons at addresses concurrently and returns the results in the same order.
func (c *Client) StatusAll(ctx context.Context, addresses []netip.AddrPort) []StatusResult {
	mapper := iter.Mapper[netip.AddrPort, StatusResult]{MaxGoroutines: maxStatusCalls}
	return mapper.Map(addresses, func(address *netip.AddrPort) StatusResult {
		s, err := c.Status(ctx, *address)
		return StatusResult{Address: *address, Err: err, Status: s}
	})
}
