package tgconfig

import "net/netip"

// Role is the kind of daemon that a process runs.
type Role string

// Roles, sorted.
const (
	RoleCompanion Role = "companion" // runs next to one upstream and admits its requests
	RoleEntry     Role = "entry"     // accepts requests of callers and routes them to companions
)

// Process holds the settings of one daemon. They are read from files and are not part of the published configuration.
type Process struct {
	AdminAddress    netip.AddrPort   `toml:"adminAddress"`
	AuthorityFile   string           `toml:"authorityFile"`
	CallersAddress  netip.AddrPort   `toml:"callersAddress"` // entries only
	CertificateFile string           `toml:"certificateFile"`
	DataCentre      string           `toml:"dataCentre"`
	KeyFile         string           `toml:"keyFile"`
	LinkAddress     netip.AddrPort   `toml:"linkAddress"` // UDP, for exchanges with other daemons
	LogAddress      netip.AddrPort   `toml:"logAddress"`
	Role            Role             `toml:"role"`
	Seeds           []netip.AddrPort `toml:"seeds"`    // link addresses of the first peers to contact
	Upstream        string           `toml:"upstream"` // companions only
	VMListAddress   netip.AddrPort   `toml:"vmListAddress"`
}
