package tgnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgwait"
	"tanagergrade/io/tglogclient"
)

const (
	// meanFallbackAge is the mean age of the last confirmation at which a daemon that is no reader reads the log; the age
	// differs between daemons, so that the first ones read for the others.
	meanFallbackAge   = 10 * time.Second
	maxFallbackPause  = 30 * time.Second // longest mean time between such reads; 7,400 daemons make 250 reads/s in an outage
	initialReadPause  = 200 * time.Millisecond
	readerWait        = time.Second
	idleCheckInterval = 500 * time.Millisecond
	maxDecisions      = 64
	maxReaderPause    = 2 * time.Second // between reads of a reader during an outage
)

// Decision is a verdict on a configuration record, for the dump.
type Decision struct {
	Conflicts []tgconfig.Entity `json:"conflicts,omitempty"`
	Offset    uint64            `json:"offset"`
	Reason    string            `json:"reason,omitempty"`
	Verdict   tgconfig.Verdict  `json:"verdict"`
}

// readLog reads the configuration from the log: always as one of the readers of the data centre, else only when no
// confirmation arrives by gossip.
func (n *Node) readLog(ctx context.Context) {
	pause := initialReadPause
	for ctx.Err() == nil {
		reader := n.peers.IsReader()
		if !reader && !n.needsLog() {
			pause = initialReadPause
			tgwait.Sleep(ctx, idleCheckInterval)
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
				tgwait.Sleep(ctx, idleCheckInterval)
			}
			continue
		}
		n.Log.WithError(err).WithField("stream", ConfigStream).Debug("read from the log failed")
		limit := maxFallbackPause
		if reader {
			limit = maxReaderPause
		}
		tgwait.Sleep(ctx, jitter(pause))
		pause = min(2*pause, limit)
	}
}

// needsLog reports whether gossip has failed to confirm the configuration for so long that the log has to be asked.
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
		// The log looked again after waiting.
		sent = sent.Add(wait)
	}
	if applied := n.Applied(); applied >= page.Next {
		n.tracker.Confirm(sent, page.Next)
		n.bootstrapped.Store(true)
	}
	return nil
}

// applyEntries folds entries, which are all that the stream has from offset from on.
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

// publishState shows the folded state to readers that do not wait for mu, which the caller holds. The configuration goes first:
// an offset that is shown is in force.
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
		Info("configuration change")
}

// onConfigAdvanced takes the consequences of a newer configuration.
func (n *Node) onConfigAdvanced() {
	n.mu.Lock()
	dropped := n.marks.Prune(n.state)
	applied := n.state.Applied()
	n.mu.Unlock()
	for _, m := range dropped {
		n.Log.WithFields(logrus.Fields{"kind": m.Kind, "mark": m.ID, "name": m.Name}).Info("mark decided by the log")
	}
	n.tracker.RecordPeerOffset(0, applied)
	n.updateRemoved()
	n.signalPush()
}

func (n *Node) signalPush() {
	select {
	case n.pushSignal <- struct{}{}:
	default:
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)+1))
}
