package tgnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgsleep"
	"tanagergrade/io/tglink"
)

const (
	exchangeTimeout = 350 * time.Millisecond
	gossipInterval  = 1250 * time.Millisecond // mean time between the starts of two gossip rounds

	// manyLocalPeers is the number of local peers from which on a daemon contacts the other data centres of its region in
	// every second round only; the contacts of its peers then make up for the missing ones.
	manyLocalPeers = 32

	maxContactAttempts = 3 // peers tried in one round, so that lost messages do not look like a lost data centre
	maxMemberUpdates   = 6 // member updates in one frame
	minBootstrapPeers  = 3 // peers with which a new daemon compares its configuration before it works; all if there are fewer
	otherRegionRounds  = 5 // rounds from one contact with another region to the next
)

// gossip compares state with peers in rounds until ctx is done. Each interval is jittered by 20%, so that daemons that
// start together do not stay in step.
func (n *Node) gossip(ctx context.Context) {
	version := uint64(0)
	for round := rand.IntN(otherRegionRounds); ctx.Err() == nil; round++ {
		n.members.Expire()
		if v := n.members.Version(); v != version {
			version = v
			n.peers.Update(n.members.Peers())
		}
		next := time.Now().Add(gossipInterval*4/5 + time.Duration(rand.Int64N(int64(gossipInterval)*2/5)))
		var wg conc.WaitGroup
		for _, name := range n.roundDataCentres(round) {
			wg.Go(func() { n.contactDataCentre(ctx, name) })
		}
		wg.Wait()
		tgsleep.Sleep(ctx, time.Until(next))
	}
}

// roundDataCentres returns the data centres to contact in a round: the local one, another one of the region in turn,
// and in every otherRegionRounds-th round one of another region.
func (n *Node) roundDataCentres(round int) []string {
	targets := []string{n.Settings.DataCentre}
	roundsPerContact := 1
	if n.peers.LocalPeerCount() >= manyLocalPeers {
		roundsPerContact = 2
	}
	region := n.regionDataCentres()
	var sameRegion, otherRegions []string
	cfg := n.Config()
	names := slices.AppendSeq(n.peers.DataCentres(), maps.Keys(cfg.DataCentres))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		switch {
		case name == n.Settings.DataCentre:
		case slices.Contains(region, name):
			sameRegion = append(sameRegion, name)
		default:
			otherRegions = append(otherRegions, name)
		}
	}
	if len(sameRegion) > 0 && round%roundsPerContact == 0 {
		targets = append(targets, sameRegion[round/roundsPerContact%len(sameRegion)])
	}
	if len(otherRegions) > 0 && round%otherRegionRounds == 0 {
		targets = append(targets, otherRegions[round/otherRegionRounds%len(otherRegions)])
	}
	return targets
}

// regionDataCentres returns the data centres of the local region, starting with the local one.
func (n *Node) regionDataCentres() []string {
	cfg := n.Config()
	localRegion := cfg.DataCentres[n.Settings.DataCentre].Region
	names := []string{n.Settings.DataCentre}
	for name, d := range cfg.DataCentres {
		if name != n.Settings.DataCentre && d.Region == localRegion && localRegion != "" {
			names = append(names, name)
		}
	}
	return names
}

// contactDataCentre exchanges gossip with one peer of a data centre, or with the next ones if it does not answer. From
// the second consecutive failure of a local peer on, it verifies in the background whether that peer is dead.
func (n *Node) contactDataCentre(ctx context.Context, dataCentre string) {
	for range maxContactAttempts {
		m, ok := n.peers.Next(dataCentre)
		if !ok {
			n.contactSeed(ctx, dataCentre)
			return
		}
		if n.exchangeGossip(ctx, m) == nil || ctx.Err() != nil {
			return
		}
		n.peers.SkipRepresentative(dataCentre)
		if n.members.RecordFailure(m.Name) >= 2 && m.DataCentre == n.Settings.DataCentre && m.Status != tgframe.MemberLeaving {
			go n.verifySilentMember(ctx, m)
		}
	}
}

// contactSeed exchanges gossip on behalf of a data centre without a known member: with a random seed if this daemon
// knows no peer at all, otherwise with a companion that the configuration names for the data centre.
func (n *Node) contactSeed(ctx context.Context, dataCentre string) {
	if seeds := n.Settings.Seeds; len(seeds) > 0 && len(n.members.Peers()) == 0 {
		_ = n.exchangeGossip(ctx, tgframe.Member{Address: seeds[rand.IntN(len(seeds))]})
		return
	}
	for _, u := range n.Config().Upstreams {
		if u.DataCentre == dataCentre && u.Companion.IsValid() && u.Companion != n.Settings.LinkAddress {
			_ = n.exchangeGossip(ctx, tgframe.Member{Address: u.Companion})
			return
		}
	}
}

// exchangeGossip compares state with one peer, whose name may be unknown.
func (n *Node) exchangeGossip(ctx context.Context, m tgframe.Member) error {
	return n.sendGossip(ctx, m, n.newGossip(m.Name, m.DataCentre))
}

// sendGossip sends g to a peer and merges the answer. It adds the marks unless the peer has last shown the same digest.
func (n *Node) sendGossip(ctx context.Context, m tgframe.Member, g *tgframe.Gossip) error {
	sent := time.Now()
	if digest := n.marks.Digest(); digest != 0 && n.peerDigest(m.Name) != digest {
		g.Marks = n.marks.Marks()
	}
	reply, err := n.roundTrip(ctx, m.Address, tgframe.Frame{Gossip: g, Kind: tgframe.KindGossip}, exchangeTimeout)
	if err != nil {
		return err
	}
	if reply.Gossip == nil || reply.Sender == nil {
		return errors.Newf("daemon at %s answered gossip with kind %q", m.Address, reply.Kind)
	}
	n.lastAnswer.Store(int64(time.Since(n.started)))
	n.tracker.RecordAnswer(sent, n.Applied(), reply.Gossip)
	n.mergeGossip(reply.Sender, reply.Gossip)
	n.recordAnswer(reply.Sender.Name)
	return nil
}

// newGossip returns the state to show to the named receiver, which is in the given data centre.
func (n *Node) newGossip(receiver, dataCentre string) *tgframe.Gossip {
	self := n.members.Self()
	return &tgframe.Gossip{
		DataCentre:  self.DataCentre,
		Generation:  self.Generation,
		MarkDigest:  n.marks.Digest(),
		Members:     n.members.Updates(receiver, dataCentre, maxMemberUpdates),
		Incarnation: self.Incarnation,
	}
}

// answerGossip returns the reply to a peer's gossip.
func (n *Node) answerGossip(sender *tgframe.Sender, g *tgframe.Gossip) *tgframe.Gossip {
	n.mergeGossip(sender, g)
	reply := n.newGossip(sender.Name, g.DataCentre)
	reply.Confirmation = n.tracker.Confirmation(n.Applied())
	reply.ContactAges = n.tracker.RecentContactAges()
	region := n.regionDataCentres()
	maps.DeleteFunc(reply.ContactAges, func(name string, _ time.Duration) bool { return !slices.Contains(region, name) })
	if reply.MarkDigest != 0 && reply.MarkDigest != g.MarkDigest {
		reply.Marks = n.marks.Marks()
	}
	return reply
}

// mergeGossip applies the parts of a gossip message that stay true however long the message was on its way: log
// entries, marks, member updates and the sender's state. The ages in an answer are recorded by the caller, which knows
// the delay.
func (n *Node) mergeGossip(sender *tgframe.Sender, g *tgframe.Gossip) {
	if len(g.Entries) > 0 {
		n.applyEntries(g.EntriesFrom, g.Entries)
	}
	n.mu.Lock()
	n.peerDigests[sender.Name] = g.MarkDigest
	marksAdded := n.marks.Merge(g.Marks, n.state)
	n.mu.Unlock()
	leaving := n.members.Merge(g.Members)
	n.members.Observe(tgframe.Member{
		Address: sender.Address, DataCentre: g.DataCentre, Generation: g.Generation, Incarnation: g.Incarnation, Name: sender.Name,
	})
	n.ObserveSender(sender)
	if marksAdded || leaving {
		n.updateRemoved()
		n.signalPush()
	}
}

// peerDigest returns the digest of the marks that a peer has last shown; 0 if it has shown none.
func (n *Node) peerDigest(peer string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peerDigests[peer]
}

// recordAnswer records that a peer has answered. It marks this node as bootstrapped when enough peers have answered and
// none has shown a newer configuration.
func (n *Node) recordAnswer(peer string) {
	if n.bootstrapped.Load() {
		return
	}
	known := len(n.members.Peers())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.answeredPeers[peer] = true
	if len(n.answeredPeers) >= min(minBootstrapPeers, known) && n.Applied() > 0 &&
		n.Applied() >= n.tracker.HighestPeerOffset() {
		n.bootstrapped.Store(true)
	}
}

// ObserveSender records the configuration offset that the sender of a frame of any kind has applied, and triggers a
// fetch if this process is behind it. It does nothing if s is nil or this process itself.
func (n *Node) ObserveSender(s *tgframe.Sender) {
	if s == nil || s.Name == n.Settings.Name {
		return
	}
	n.peers.RecordOffset(s.Name, s.Applied)
	applied := n.Applied()
	n.tracker.RecordPeerOffset(s.Applied, applied)
	if s.Applied > applied && s.Address.IsValid() {
		select {
		case n.fetchFrom <- s.Address:
		default:
		}
	}
}

// HandleControl answers a control frame and reports whether the frame was one. Daemons call it for the first frame of
// an exchange if it is of a kind that they do not serve themselves.
func (n *Node) HandleControl(ctx context.Context, x tglink.Exchange, f tgframe.Frame) bool {
	if f.Sender == nil {
		return false
	}
	var reply tgframe.Frame
	switch {
	case f.Kind == tgframe.KindAppend && f.Append != nil:
		n.ObserveSender(f.Sender)
		reply = tgframe.Frame{Append: n.answerAppend(ctx, f.Append), Kind: tgframe.KindAppend}
	case f.Kind == tgframe.KindFetch && f.Fetch != nil:
		n.ObserveSender(f.Sender)
		fetched, release := n.answerFetch(f.Fetch)
		defer release()
		reply = tgframe.Frame{FetchResult: fetched, Kind: tgframe.KindFetchResult}
	case f.Kind == tgframe.KindGossip && f.Gossip != nil:
		reply = tgframe.Frame{Gossip: n.answerGossip(f.Sender, f.Gossip), Kind: tgframe.KindGossip}
	case f.Kind == tgframe.KindProbe && f.Probe != nil:
		n.ObserveSender(f.Sender)
		reply = tgframe.Frame{Kind: tgframe.KindProbe, Probe: n.answerProbe(ctx, f.Probe)}
	default:
		return false
	}
	n.counters.countReceived(f)
	reply.Sender = n.Sender()
	n.counters.countSent(reply)
	sendCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_ = x.Send(sendCtx, reply)
	return true
}

// roundTrip sends f to the daemon at address over a new exchange and returns the answer.
func (n *Node) roundTrip(
	ctx context.Context, address netip.AddrPort, f tgframe.Frame, timeout time.Duration,
) (tgframe.Frame, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	x, err := n.link.Open(ctx, address)
	if err != nil {
		return tgframe.Frame{}, err
	}
	defer x.Close()
	f.Sender = n.Sender()
	n.counters.countSent(f)
	if err := x.Send(ctx, f); err != nil {
		return tgframe.Frame{}, err
	}
	reply, err := x.Receive(ctx)
	if err != nil {
		return tgframe.Frame{}, err
	}
	n.counters.countReceived(reply)
	return reply, nil
}
