package tgconfig

import "net/netip"

func (v *validator) checkProcesses(processes map[string]Process) {
	for name, p := range processes {
		v.checkProcess(name, p)
	}
}

func (v *validator) checkProcess(name string, p Process) {
	path := Path{tableProcesses, name}
	v.checkName(tableProcesses, name)
	v.checkAddress(path.child("adminAddress"), p.AdminAddress)
	v.checkAddress(path.child("linkAddress"), p.LinkAddress)
	v.checkAddress(path.child("logAddress"), p.LogAddress)
	if p.VMListAddress.IsValid() {
		v.checkAddress(path.child("vmListAddress"), p.VMListAddress)
	}
	for i, seed := range p.Seeds {
		v.checkAddress(path.child("seeds", index(i)), seed)
	}
	for key, file := range map[string]string{
		"authorityFile": p.AuthorityFile, "certificateFile": p.CertificateFile, "keyFile": p.KeyFile,
	} {
		if file == "" {
			v.addf(path.child(key), "is missing")
		}
	}
	if _, ok := v.cfg.DataCentres[p.DataCentre]; !ok {
		v.addf(path.child("dataCentre"), "data centre %q does not exist", p.DataCentre)
	}
	switch p.Role {
	case RoleCompanion:
		v.checkCompanion(path, p)
	case RoleEntry:
		v.checkEntry(path, p)
	default:
		v.addf(path.child("role"), "must be %q or %q, not %q", RoleCompanion, RoleEntry, p.Role)
	}
}

func (v *validator) checkCompanion(path Path, p Process) {
	if p.CallersAddress != (netip.AddrPort{}) {
		v.addf(path.child("callersAddress"), "belongs to processes of role %q", RoleEntry)
	}
	u, ok := v.cfg.Upstreams[p.Upstream]
	switch {
	case !ok:
		v.addf(path.child("upstream"), "upstream %q does not exist", p.Upstream)
	case u.DataCentre != p.DataCentre:
		v.addf(path.child("dataCentre"), "upstream %q is in data centre %q, not %q", p.Upstream, u.DataCentre, p.DataCentre)
	case u.Companion != p.LinkAddress:
		v.addf(path.child("linkAddress"), "upstream %q has its companion at %s, not %s", p.Upstream, u.Companion, p.LinkAddress)
	}
}

func (v *validator) checkEntry(path Path, p Process) {
	v.checkAddress(path.child("callersAddress"), p.CallersAddress)
	if p.CallersAddress.IsValid() && p.CallersAddress == p.AdminAddress {
		v.addf(path.child("callersAddress"), "is also the adminAddress")
	}
	if p.Upstream != "" {
		v.addf(path.child("upstream"), "belongs to processes of role %q", RoleCompanion)
	}
}
