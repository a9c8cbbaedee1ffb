package tgflag

import (
	"net/netip"

	"tanagergrade/io/tgexit"
)

// ParseAddresses parses arguments of the form IP:port.
func ParseAddresses(args []string) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, len(args))
	for i, arg := range args {
		address, err := netip.ParseAddrPort(arg)
		if err != nil {
			return nil, tgexit.Usagef("%q is not an address of the form IP:port", arg)
		}
		addresses[i] = address
	}
	return addresses, nil
}
