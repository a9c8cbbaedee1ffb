package tgnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgframe"
)

const (
	pushPause = 100 * time.Millisecond // collects changes that arrive together into one push
	pushTries = 3
)

// push tells the neighbours and one daemon of another data centre about news at once.
func (n *Node) push(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	digest := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.news:
		}
		targets := n.peers.Neighbours()
		d := n.marks.Digest()
		all := d != digest || n.members.HasLeavingNews()
		digest = d
		// Other data centres have readers of their own; only what the log does not carry goes to them from everybody.
		if others := n.peers.DataCentres(); len(others) > 0 && (all || n.peers.Reader()) {
			if m, ok := n.peers.Next(others[rand.IntN(len(others))]); ok {
				targets = append(targets, m)
			}
		}
		if !all {
			targets = n.peers.Lagging(targets, n.Applied())
		}
		for _, m := range targets {
			wg.Go(func() { n.pushTo(ctx, m) })
		}
		sleep(ctx, pushPause)
	}
}

func (n *Node) pushTo(ctx context.Context, m tgframe.Member) {
	for range pushTries {
		if n.exchangeGossip(ctx, m) == nil || ctx.Err() != nil {
			return
		}
	}
}
