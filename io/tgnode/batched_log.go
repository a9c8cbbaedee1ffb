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
	batchAppendTimeout = 2 * time.Second

	// batchInterval is the least time between two appends of one batcher to a stream. With one log writer in each of 7
	// data centres, a stream gets at most 70 appends a second.
	batchInterval = 100 * time.Millisecond

	writerTimeout = 500 * time.Millisecond // for the log writer's answer; then the records are appended directly
)

// BatchedLog returns a log for records that many daemons of a data centre write at a time: they send the records to one
// of them, the log writer, which appends them in batches.
func (n *Node) BatchedLog() tglogclient.Log { return batchedLog{directLog{n}} }

// batchedLog appends through the log writer of the data centre and reads directly.
type batchedLog struct{ directLog }

// Append implements tglogclient.Log. Records that the log writer does not confirm in time are appended directly. They
// may then be in the log twice, which is harmless, since readers ignore a repeated ID.
func (g batchedLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	writer, self := g.n.peers.Writer()
	if !self {
		f := tgframe.Frame{Append: &tgframe.Append{Records: records, Stream: stream}, Kind: tgframe.KindAppend}
		reply, err := g.n.roundTrip(ctx, writer.Address, f, writerTimeout)
		if err == nil && reply.Append != nil && reply.Append.Failure == "" {
			return reply.Append.Offset, nil
		}
		g.n.Log.WithError(err).WithField("writer", writer.Name).Debug("log writer did not confirm records; appending directly")
	}
	return g.n.batcher.Append(ctx, stream, records)
}

// unbatchedLog returns the log client of this process.
func (n *Node) unbatchedLog() tglogclient.Log {
	if n.LogClient != nil {
		return n.LogClient
	}
	return n.configLog
}

// directLog is the log without the log writer. It looks up unbatchedLog at each call, since LogClient is set only after
// the batcher has been created.
type directLog struct{ n *Node }

func (d directLog) Append(ctx context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	return d.n.unbatchedLog().Append(ctx, stream, records)
}

func (d directLog) Read(
	ctx context.Context, stream string, from uint64, wait time.Duration,
) (tglogclient.Page, error) {
	return d.n.unbatchedLog().Read(ctx, stream, from, wait)
}

// answerAppend appends records for another daemon of the data centre.
func (n *Node) answerAppend(ctx context.Context, a *tgframe.Append) *tgframe.Append {
	if !strings.HasPrefix(a.Stream, tgclaim.StreamPrefix) {
		return &tgframe.Append{Failure: "stream " + a.Stream + " is not gathered"}
	}
	ctx, cancel := context.WithTimeout(ctx, batchAppendTimeout)
	defer cancel()
	offset, err := n.batcher.Append(ctx, a.Stream, a.Records)
	if err != nil {
		return &tgframe.Append{Failure: errors.Wrap(err, "append gathered records").Error()}
	}
	return &tgframe.Append{Offset: offset}
}
