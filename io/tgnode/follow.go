package tgnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgsleep"
	"tanagergrade/io/tglogclient"
)

const (
	idleCheckInterval = 500 * time.Millisecond // between a non-reader's checks whether it needs to read the log
	initialReadPause  = 200 * time.Millisecond // mean pause after a failed read; doubled after each further failure
	maxDecisions      = 64                     // latest decisions kept for the dump

	// maxFallbackPause is the longest mean pause between reads of a non-reader during a log outage. With this value
	// 7,400 daemons make 250 reads/s in an outage.
	maxFallbackPause = 30 * time.Second

	maxReaderPause = 2 * time.Second // longest mean pause between reads of a reader during a log outage

	// meanFallbackAge is the mean age of the last confirmation from which on a non-reader reads the log. The age is
	// jittered for each daemon, so that the first ones to read the log confirm the configuration for the others by gossip.
	meanFallbackAge = 10 * time.Second

	readerWait = time.Second // how long the log may hold a reader's request until there is a new record
)

// Decision is the verdict on a configuration record, as the dump shows it.
type Decision struct {
	Conflicts []tgconfig.Entity `json:"conflicts,omitempty"`
	Offset    uint64            `json:"offset"`
	Reason    string            `json:"reason,omitempty"`
	Verdict   tgconfig.Verdict  `json:"verdict"`
}

// readLog reads the configuration from the log: all the time if this daemon is one of the readers of its data centre,
// otherwise only while gossip brings no recent confirmation. Failed reads are repeated with exponential backoff.
func (n *Node) readLog(ctx context.Context) {
	pause := initialReadPause
	for ctx.Err() == nil {
		reader := n.peers.IsReader()
		if !reader && !n.needsLog() {
			pause = initialReadPause
			tgsleep.Sleep(ctx, idleCheckInterval)
			continue
		}
		wait := readerWait
		if !reader {
			wait = 0
		}
		err := n.readPage(ctx, wait)
		if err == nil {
			pause = initialReadPause
			if !reader {
				tgsleep.Sleep(ctx, idleCheckInterval)
			}
			continue
		}
		n.Log.WithError(err).WithField("stream", ConfigStream).Debug("read from the log failed")
		limit := maxFallbackPause
		if reader {
			limit = maxReaderPause
		}
		tgsleep.Sleep(ctx, jitter(pause))
		pause = min(2*pause, limit)
	}
}

// needsLog reports whether the last confirmation, or the start if there was none, is longer ago than fallbackAge.
func (n *Node) needsLog() bool {
	applied := n.Applied()
	c := n.tracker.Confirmation(applied)
	age := time.Since(n.started)
	if c != nil {
		age = c.Age
	}
	return age > n.fallbackAge
}

func (n *Node) readPage(ctx context.Context, wait time.Duration) error {
	sent, from := time.Now(), n.Applied()
	page, err := n.configLog.Read(ctx, ConfigStream, from, wait)
	if errors.Is(err, tglogclient.ErrTruncated) {
		return n.restoreFromLog(ctx, page)
	}
	if err != nil {
		return err
	}
	entries := make([]tgframe.LogEntry, len(page.Entries))
	for i, e := range page.Entries {
		entries[i] = tgframe.LogEntry{Offset: e.Offset, Records: e.Records}
	}
	n.applyEntries(from, entries)
	if len(page.Entries) == 0 {
		// The log sends an empty page only after it has waited and checked again, so the page is valid at this later time.
		sent = sent.Add(wait)
	}
	if applied := n.Applied(); applied >= page.Next {
		n.tracker.Confirm(sent, page.Next)
		n.bootstrapped.Store(true)
	}
	return nil
}

// applyEntries applies entries, which must be all appends of the stream from offset from to their last one. It ignores
// them if appends before offset from are missing here, and skips those that were applied before.
func (n *Node) applyEntries(from uint64, entries []tgframe.LogEntry) {
	n.mu.Lock()
	if from > n.state.Applied() {
		n.mu.Unlock()
		return
	}
	changed := false
	for _, e := range entries {
		if e.Offset < n.state.Applied() {
			continue
		}
		changed = true
		decisions := n.state.Apply(e.Offset, e.Records)
		n.history.add(withoutSnapshots(e))
		n.counters.recordPropagation(e.Age)
		for _, d := range decisions {
			n.recordDecision(Decision{Conflicts: d.Conflicts, Offset: e.Offset, Reason: d.Reason, Verdict: d.Verdict})
		}
	}
	n.publishState()
	n.mu.Unlock()
	if changed {
		n.onConfigAdvanced()
	}
}

// publishState makes the state visible to readers that do not take mu, which the caller holds. It stores the
// configuration before the offset, so that the configuration of every visible offset is already in use.
func (n *Node) publishState() {
	n.cfg.Store(n.state.Config())
	n.applied.Store(n.state.Applied())
}

func (n *Node) recordDecision(d Decision) {
	n.decisions = append(n.decisions, d)
	if extra := len(n.decisions) - maxDecisions; extra > 0 {
		n.decisions = n.decisions[extra:]
	}
	n.Log.WithFields(logrus.Fields{"offset": d.Offset, "reason": d.Reason, "verdict": d.Verdict}).
		Info("configuration change evaluated")
}

// onConfigAdvanced updates what depends on the configuration after it has advanced: it drops the marks that the log has
// decided, updates the freshness tracker and the removed capacity, and triggers a push.
func (n *Node) onConfigAdvanced() {
	n.mu.Lock()
	dropped := n.marks.Prune(n.state)
	applied := n.state.Applied()
	n.mu.Unlock()
	for _, m := range dropped {
		n.Log.WithFields(logrus.Fields{"kind": m.Kind, "mark": m.ID, "name": m.Name}).
			Info("mark dropped, since the log has decided it")
	}
	n.tracker.RecordPeerOffset(0, applied)
	n.updateRemoved()
	n.signalPush()
}

// signalPush triggers a push; several signals before it starts are one.
func (n *Node) signalPush() {
	select {
	case n.pushSignal <- struct{}{}:
	default:
	}
}

// jitter returns a random duration from d/2 to 3d/2, so that daemons that start together do not act together.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
