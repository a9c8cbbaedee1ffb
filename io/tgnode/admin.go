package tgnode

import (
	"context"
	"expvar"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tgadmin"
)

// RegisterAdmin implements tgadmin.Registrar.
func (n *Node) RegisterAdmin(r *tgadmin.Registry) {
	r.Add("control", n.Dump)
	r.SetMarkHandler(n.handleMark)
	const name = "control"
	if expvar.Get(name) == nil { // expvar panics on a second daemon in the process, as in tests; its dump has its counters
		expvar.Publish(name, n.counters.vars)
	}
}

func (n *Node) handleMark(_ context.Context, m tgadmin.Mark) error {
	mark := tgframe.Mark{Base: m.Base, ID: m.ID, Kind: tgframe.MarkDrain, Name: m.Entity.Name}
	if m.Entity.Kind == tgconfig.EntityDataCentre {
		mark.Kind = tgframe.MarkWithdraw
	}
	return n.AddMark(mark)
}
