package tgnode

import (
	"encoding/json"
	"expvar"
	"slices"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgfreshness"
)

// Dump is the control state of a daemon as the admin interface shows it.
type Dump struct {
	Applied         uint64                    `json:"applied"`
	Confirmation    *tgframe.Confirmation     `json:"confirmation"`
	ContactAges     map[string]string         `json:"contactAges"`
	Counters        json.RawMessage           `json:"counters"`
	Decisions       []Decision                `json:"decisions"`
	Marks           []tgframe.Mark            `json:"marks"`
	Members         map[string]tgframe.Member `json:"members"`
	Name            string                    `json:"name"`
	NotReady        string                    `json:"notReady,omitempty"`
	Reader          bool                      `json:"reader"`
	ShownByPeers    uint64                    `json:"shownByPeers"`
	FreshnessStatus tgfreshness.Status        `json:"freshness"`
}

// Dump returns the control state as a value that encoding/json can encode.
func (n *Node) Dump() any {
	n.mu.Lock()
	decisions := slices.Clone(n.decisions)
	n.mu.Unlock()
	applied := n.Applied()
	d := Dump{
		Applied:         applied,
		Confirmation:    n.tracker.Confirmation(applied),
		ContactAges:     map[string]string{},
		Counters:        json.RawMessage(n.counters.vars.String()),
		Decisions:       decisions,
		FreshnessStatus: n.Freshness(),
		Marks:           n.marks.Marks(),
		Members:         n.members.Members(),
		Name:            n.Settings.Name,
		Reader:          n.peers.IsReader(),
		ShownByPeers:    n.tracker.HighestPeerOffset(),
	}
	if err := n.Ready(); err != nil {
		d.NotReady = err.Error()
	}
	for name, age := range n.tracker.ContactAges() {
		d.ContactAges[name] = age.String()
	}
	return d
}

// Counters returns the counters of the control traffic.
func (n *Node) Counters() *expvar.Map { return n.counters.vars }
