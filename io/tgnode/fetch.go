package tgnode

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgsleep"
	"tanagergrade/io/tglogclient"
)

const (
	fetchRetryPause        = 50 * time.Millisecond // mean pause after an attempt that brought nothing newer
	maxConcurrentSnapshots = 2                     // sent at once; further peers get a busy reply and ask another daemon
	maxFetchAttempts       = 20
	maxFetchedEntries      = 128 // appends in one reply
	snapshotTimeout        = 3 * time.Second
)

var errNothingFetched = errors.New("peer has nothing newer or is busy")

// catchUp fetches configuration changes from peers whenever one has shown a newer configuration.
func (n *Node) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-n.fetchFrom:
			n.fetchUntilCaughtUp(ctx, address)
		}
	}
}

// fetchUntilCaughtUp fetches until this node has applied the highest offset that any peer has shown, at most
// maxFetchAttempts times. It asks the peer at address first, then others as well: from the second attempt on two at
// once, since half of the exchanges fail when 30% of the messages are lost.
func (n *Node) fetchUntilCaughtUp(ctx context.Context, address netip.AddrPort) {
	for attempt := 0; attempt < maxFetchAttempts && ctx.Err() == nil; attempt++ {
		applied := n.Applied()
		if applied >= n.tracker.HighestPeerOffset() {
			return
		}
		targets := []netip.AddrPort{address}
		for _, m := range n.peers.Ahead(applied) {
			if m.Address != address && len(targets) < 2 {
				targets = append(targets, m.Address)
			}
		}
		if attempt == 0 {
			targets = targets[:1]
		} else if attempt%2 == 1 && len(targets) == 2 {
			address = targets[1]
		}
		var wg conc.WaitGroup
		for _, target := range targets {
			wg.Go(func() {
				if err := n.fetch(ctx, target); err != nil {
					n.Log.WithError(err).WithField("peer", target).Debug("fetch of configuration failed")
				}
			})
		}
		wg.Wait()
		if n.Applied() == applied {
			tgsleep.Sleep(ctx, jitter(fetchRetryPause))
		}
	}
}

func (n *Node) fetch(ctx context.Context, address netip.AddrPort) error {
	sent, from := time.Now(), n.Applied()
	timeout := exchangeTimeout
	if from == 0 || n.tracker.HighestPeerOffset()-from > maxHistory {
		timeout = snapshotTimeout // the answer may be a snapshot of the whole state
	}
	f := tgframe.Frame{Fetch: &tgframe.Fetch{From: from}, Kind: tgframe.KindFetch}
	reply, err := n.roundTrip(ctx, address, f, timeout)
	if err != nil {
		return err
	}
	n.ObserveSender(reply.Sender)
	switch f := reply.FetchResult; {
	case f == nil:
		return errors.Newf("daemon at %s answered fetch with kind %q", address, reply.Kind)
	case f.Snapshot != nil:
		return n.restore(f.Snapshot)
	case len(f.Entries) > 0:
		for i := range f.Entries {
			f.Entries[i].Age += time.Since(sent)
		}
		n.applyEntries(from, f.Entries)
		return nil
	default:
		return errNothingFetched
	}
}

// answerFetch returns the appends that the peer lacks, or a snapshot if some of them are no longer in the history. The
// caller must call release after sending the reply.
func (n *Node) answerFetch(f *tgframe.Fetch) (fetched *tgframe.FetchResult, release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	release = func() {}
	if entries, ok := n.history.entriesFrom(f.From, maxFetchedEntries); ok {
		return &tgframe.FetchResult{Entries: entries}, release
	}
	select {
	case n.snapshotSlots <- struct{}{}:
	default:
		return &tgframe.FetchResult{Busy: true}, release
	}
	data, err := n.encodedState()
	if err != nil {
		n.Log.WithError(err).Error("could not encode the configuration snapshot for a peer")
	}
	return &tgframe.FetchResult{Snapshot: data}, func() { <-n.snapshotSlots }
}

// encodedState returns the encoded snapshot of the state, which is encoded once for each offset. The caller holds mu.
func (n *Node) encodedState() ([]byte, error) {
	if n.snapshot != nil && n.snapshotOffset == n.state.Applied() {
		return n.snapshot, nil
	}
	snapshot, err := n.state.Snapshot()
	if err != nil {
		return nil, err
	}
	data, err := cbor.Marshal(snapshot)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration snapshot")
	}
	n.snapshot, n.snapshotOffset = data, n.state.Applied()
	return data, nil
}

// restore replaces the state by an encoded snapshot if that is newer.
func (n *Node) restore(data []byte) error {
	var snapshot tgconfig.Snapshot
	if err := cbor.Unmarshal(data, &snapshot); err != nil {
		return errors.Wrap(err, "decode configuration snapshot")
	}
	return n.restoreSnapshot(snapshot)
}

func (n *Node) restoreSnapshot(snapshot tgconfig.Snapshot) error {
	state, err := tgconfig.NewStateFromSnapshot(snapshot)
	if err != nil {
		return err
	}
	n.mu.Lock()
	newer := state.Applied() > n.state.Applied()
	if newer {
		n.state = state
		n.history.reset(state.Applied())
		n.publishState()
	}
	n.mu.Unlock()
	if newer {
		n.onConfigAdvanced()
	}
	return nil
}

// restoreFromLog restores the newest complete snapshot in the log. It is needed when the records after the applied
// offset have left the log's retention. Page is the answer to the read that failed for this reason.
func (n *Node) restoreFromLog(ctx context.Context, page tglogclient.Page) error {
	var newest *tgconfig.Snapshot
	var assembler tgconfig.SnapshotAssembler
	for from, next := page.First, page.Next; from < next; {
		read, err := n.configLog.Read(ctx, ConfigStream, from, 0)
		if err != nil {
			return err
		}
		for _, e := range read.Entries {
			from = e.Offset + 1
			for _, r := range e.Records {
				if s, complete, err := assembler.Add(r); err == nil && complete && s.Covered >= page.First {
					newest = &s
				}
			}
		}
		if len(read.Entries) == 0 {
			break
		}
	}
	if newest == nil {
		return errors.Newf("log starts at offset %d and has no complete snapshot that covers the records before it", page.First)
	}
	return n.restoreSnapshot(*newest)
}
