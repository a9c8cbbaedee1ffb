package tgquery

import (
	"net/netip"

	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgflag"
)

// connect returns the admin addresses in the arguments of a query and a client for them.
func (c *config) connect(args []string) ([]netip.AddrPort, *tgadmin.Client, error) {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return nil, nil, err
	}
	client, err := c.keys.Client()
	return addresses, client, err
}
