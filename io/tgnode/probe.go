package tgnode

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgframe"
)

// Numbers of attempts before a silent member is suspected. With 30% of messages lost, a living member is suspected only
// if 2 contacts fail (26%), then 8 direct attempts (0.5%) and then 4 indirect probes of 3 attempts each (2%). With 4
// direct attempts and single probes, refutations of false suspicions were most of the control traffic of 300 daemons.
const (
	directAttempts  = 8
	indirectProbers = 4 // peers asked to probe the member, each at most twice
	probeAttempts   = 3 // attempts of each of these peers to reach the member
	probeTimeout    = 4 * exchangeTimeout
)

// verifySilentMember suspects a silent member unless it answers: directly, or through other peers in case only the path
// between the two is broken. It verifies one member at a time, to bound the traffic while many are silent.
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
	// If no peer at all has answered meanwhile, this process may itself be cut off, and the failures prove nothing.
	if !reached.Load() && ctx.Err() == nil && n.lastAnswer.Load() > started {
		n.members.Suspect(m.Name)
	}
}

// answerProbe contacts the target of a probe on behalf of another daemon.
func (n *Node) answerProbe(ctx context.Context, p *tgframe.Probe) *tgframe.Probe {
	for range probeAttempts {
		if n.exchangeGossip(ctx, tgframe.Member{Address: p.Target, DataCentre: n.Settings.DataCentre}) == nil {
			return &tgframe.Probe{Reached: true, Target: p.Target}
		}
	}
	return &tgframe.Probe{Target: p.Target}
}
