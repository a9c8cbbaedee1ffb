// Package tgnode is the part that entry and companion share: identity, configuration and state dump.
package tgnode

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
)

// ConfigStream is the stream of configuration changes.
const ConfigStream = "config"

const (
	followWait  = time.Second
	followPause = 200 * time.Millisecond // between reads after an error
)

// Settings are what a process learns from its settings file.
type Settings struct {
	AdminAddress netip.AddrPort
	DataCentre   string
	LinkAddress  netip.AddrPort
	LogAddress   netip.AddrPort
	Name         string
}

// Node is the control part of a daemon.
type Node struct {
	Incarnation uuid.UUID
	Log         *logrus.Entry
	LogClient   tglogclient.Log
	Settings    Settings
	Transport   tglink.Link

	mu    sync.Mutex
	state *tgconfig.State
}

// New returns a node that does not run yet.
func New(settings Settings, transport tglink.Link, logger *logrus.Logger) *Node {
	return &Node{
		Incarnation: uuid.New(),
		Log:         logger.WithField("process", settings.Name),
		LogClient:   tglogclient.New(settings.LogAddress),
		Settings:    settings,
		Transport:   transport,
		state:       tgconfig.NewState(),
	}
}

// Config returns the accepted configuration.
func (n *Node) Config() *tgconfig.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Config()
}

// Applied returns the offset after the last configuration record folded.
func (n *Node) Applied() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Applied()
}

// Sender returns the identity that goes with the first frame of each direction.
func (n *Node) Sender() *tgframe.Sender {
	return &tgframe.Sender{Applied: n.Applied(), Incarnation: n.Incarnation, Name: n.Settings.Name}
}

// Run follows the configuration until ctx ends.
func (n *Node) Run(ctx context.Context) {
	Follow(ctx, n.LogClient, ConfigStream, n.Log, n.apply)
}

func (n *Node) apply(e tglogclient.Entry) error {
	n.mu.Lock()
	decisions := n.state.Apply(e.Offset, e.Records)
	n.mu.Unlock()
	for _, d := range decisions {
		n.Log.WithFields(logrus.Fields{"offset": e.Offset, "reason": d.Reason, "verdict": d.Verdict}).
			Info("configuration change")
	}
	return nil
}

// Follow reads stream from its start and passes each append to apply until ctx ends.
func Follow(
	ctx context.Context, c tglogclient.Log, stream string, log *logrus.Entry, apply func(tglogclient.Entry) error,
) {
	next := uint64(0)
	for ctx.Err() == nil {
		page, err := c.Read(ctx, stream, next, followWait)
		if err != nil {
			log.WithError(err).WithField("stream", stream).Debug("read from the log failed")
			sleep(ctx, followPause)
			continue
		}
		for _, e := range page.Entries {
			if err := apply(e); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"offset": e.Offset, "stream": stream}).
					Error("record cannot be applied")
			}
			next = e.Offset + 1
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
