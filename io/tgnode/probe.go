package tgnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgframe"
)

// With 30% of messages lost, a false suspicion needs 8 direct tries to fail (0.5%) and 4 indirect probes of 3 tries each
// (2%), after two failed contacts (26%). With 4 direct tries and single probes, refutations were most of the control
// traffic of 300 daemons.
const (
	directAttempts  = 8
	indirectProbers = 4
	probeAttempts   = 3
	probeTimeout    = 4 * exchangeTimeout
)

// verifySilentMember finds out whether a silent member is dead: directly, then through others, in case only the path between
// the two is broken. One member at a time bounds the traffic while many are silent.
func (n *Node) verifySilentMember(ctx context.Context, m tgframe.Member) {
	if !n.verifyMu.TryLock() {
		return
	}
	defer n.verifyMu.Unlock()
	started := int64(time.Since(n.started))
	for range directAttempts {
		if n.exchangeGossip(ctx, m) == nil || ctx.Err() != nil {
			return
		}
	}
	var reached atomic.Bool
	var wg conc.WaitGroup
	for _, via := range n.peers.Random(indirectProbers, m.Name) {
		wg.Go(func() {
			f := tgframe.Frame{Kind: tgframe.KindProbe, Probe: &tgframe.Probe{Target: m.Address}}
			for range 2 {
				reply, err := n.roundTrip(ctx, via.Address, f, probeTimeout)
				if err == nil && reply.Probe != nil && reply.Probe.Reached {
					reached.Store(true)
					return
				}
			}
		})
	}
	wg.Wait()
	// A process that nobody answers learns nothing about others.
	if !reached.Load() && ctx.Err() == nil && n.lastAnswer.Load() > started {
		n.members.Suspect(m.Name)
	}
}

func (n *Node) answerProbe(ctx context.Context, p *tgframe.Probe) *tgframe.Probe {
	for range probeAttempts {
		if n.exchangeGossip(ctx, tgframe.Member{Address: p.Target, DataCentre: n.Settings.DataCentre}) == nil {
			return &tgframe.Probe{Reached: true, Target: p.Target}
		}
	}
	return &tgframe.Probe{Target: p.Target}
}
