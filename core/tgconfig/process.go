package tgconfig

import "net/netip"

// Role says which daemon a process runs.
type Role string

// Roles.
const (
	RoleCompanion Role = "companion"
	RoleEntry     Role = "entry"
)

// Process has the settings of one daemon. They come from files only and are never published.
type Process struct {
	AdminAddress    netip.AddrPort   `toml:"adminAddress"`
	AuthorityFile   string           `toml:"authorityFile"`
	CallersAddress  netip.AddrPort   `toml:"callersAddress"` // entries only
	CertificateFile string           `toml:"certificateFile"`
	DataCentre      string           `toml:"dataCentre"`
	KeyFile         string           `toml:"keyFile"`
	LinkAddress     netip.AddrPort   `toml:"linkAddress"` // UDP, for other daemons
	LogAddress      netip.AddrPort   `toml:"logAddress"`
	Role            Role             `toml:"role"`
	Seeds           []netip.AddrPort `toml:"seeds"`    // link addresses of the first peers
	Upstream        string           `toml:"upstream"` // companions only
	VMListAddress   netip.AddrPort   `toml:"vmListAddress"`
}
