package tgnode

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgclaim"
	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
)

const (
	gatherAppend  = 2 * time.Second
	gatherTimeout = 500 * time.Millisecond // for the writer's answer; then the records are appended directly

	// gatherInterval makes one log writer for each of 7 data centres append at most 70 times a second to a stream.
	gatherInterval = 100 * time.Millisecond
)

// BatchedLog returns the log for records that many daemons of a data centre write: one of them gathers the records of
// all and appends them together.
func (n *Node) BatchedLog() tglogclient.Log { return gatheredLog{directLog{n}} }

// gatheredLog appends through the log writer and reads directly.
type gatheredLog struct{ directLog }

// Append implements tglogclient.Log. What the writer does not confirm in time is appended directly; readers ignore the
// repeated IDs.
func (g gatheredLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	writer, self := g.n.peers.Writer()
	if !self {
		f := tgframe.Frame{Append: &tgframe.Append{Records: records, Stream: stream}, Kind: tgframe.KindAppend}
		reply, err := g.n.roundTrip(ctx, writer.Address, f, gatherTimeout)
		if err == nil && reply.Append != nil && reply.Append.Failure == "" {
			return reply.Append.Offset, nil
		}
		g.n.Log.WithError(err).WithField("writer", writer.Name).Debug("log writer did not confirm records")
	}
	return g.n.batcher.Append(ctx, stream, records)
}

// ownLog returns the log as this process reaches it.
func (n *Node) ownLog() tglogclient.Log {
	if n.LogClient != nil {
		return n.LogClient
	}
	return n.source
}

// directLog calls ownLog, which is set after the batcher was made.
type directLog struct{ n *Node }

func (d directLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	return d.n.ownLog().Append(ctx, stream, records)
}

func (d directLog) Read(
	ctx context.Context, stream string, from uint64, wait time.Duration,
) (tglogclient.Page, error) {
	return d.n.ownLog().Read(ctx, stream, from, wait)
}

// answerAppend appends records for another daemon of the data centre.
func (n *Node) answerAppend(ctx context.Context, a *tgframe.Append) *tgframe.Append {
	if !strings.HasPrefix(a.Stream, tgclaim.StreamPrefix) {
		return &tgframe.Append{Failure: "stream " + a.Stream + " is not gathered"}
	}
	ctx, cancel := context.WithTimeout(ctx, gatherAppend)
	defer cancel()
	offset, err := n.batcher.Append(ctx, a.Stream, a.Records)
	if err != nil {
		return &tgframe.Append{Failure: errors.Wrap(err, "append gathered records").Error()}
	}
	return &tgframe.Append{Offset: offset}
}
