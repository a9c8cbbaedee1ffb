package tgpublisher

import (
	"cmp"
	"context"
	"time"

	"github.com/google/uuid"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/core/tgsleep"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
)

const (
	pollTimeout = time.Second            // of a long poll for new records
	retryDelay  = 200 * time.Millisecond // between calls while the log cannot be read
)

// Result describes an accepted change.
type Result struct {
	Entities []tgconfig.Entity
	ID       uuid.UUID
	Offset   uint64
}

// Publisher publishes changes of the configuration through the log.
type Publisher struct {
	client *tglogclient.Client
	reader *Reader
	writer string
}

// New returns a publisher that names writer as the writer of its records.
func New(client *tglogclient.Client, writer string) *Publisher {
	return &Publisher{client: client, reader: NewReader(client), writer: writer}
}

// Publish reads the configuration, appends the change that build derives from it, in parts if it is large, and waits
// for the verdicts until ctx ends. It returns the accepted parts; there are none if there is nothing to change.
// The error is a *ConflictError, *InvalidError, *LogError or *UnresolvedError, or comes from build.
func (p *Publisher) Publish(
	ctx context.Context, build func(cfg *tgconfig.Config) (tgconfig.Change, error),
) ([]Result, error) {
	if err := p.reader.ReadAll(ctx, nil); err != nil {
		return nil, err
	}
	base := p.reader.State().Applied()
	change, err := build(p.reader.State().Config())
	if err != nil || len(change.Entities) == 0 {
		return nil, err
	}
	var results []Result
	for _, part := range split(change) {
		// All parts have the same base, so that a change that another operator makes in between is not overwritten.
		result, err := p.publishPart(ctx, base, part)
		if err != nil {
			return results, err
		}
		results = append(results, result)
	}
	return results, nil
}

func (p *Publisher) publishPart(ctx context.Context, base uint64, change tgconfig.Change) (Result, error) {
	if _, err := p.reader.State().Config().With(change); err != nil {
		return Result{}, &InvalidError{Reason: err.Error()}
	}
	record, err := tgrecord.New(tgrecord.KindConfigChange, p.writer, base, change)
	if err != nil {
		return Result{}, err
	}
	result := Result{ID: record.ID}
	for _, e := range change.Entities {
		result.Entities = append(result.Entities, e.Entity)
	}
	decision, err := p.append(ctx, record, &result)
	if err != nil {
		return Result{}, err
	}
	switch decision.Verdict {
	case tgconfig.Accepted:
		return result, nil
	case tgconfig.Conflict, tgconfig.Stale:
		return Result{}, &ConflictError{Entities: decision.Conflicts, ID: record.ID}
	default:
		return Result{}, &InvalidError{Reason: decision.Reason}
	}
}

// append appends record and returns the decision on it. An append without a reply is repeated as long as the log can be
// read and does not have the record; readers ignore a second record with the same ID.
func (p *Publisher) append(ctx context.Context, record tgrecord.Record, result *Result) (tgconfig.Decision, error) {
	var decision tgconfig.Decision
	found := false
	observe := func(offset uint64, r tgrecord.Record, d tgconfig.Decision) {
		if r.ID == record.ID && !found {
			decision, found, result.Offset = d, true, offset
		}
	}
	appended, readable := false, true
	var appendErr, readErr error
	for ctx.Err() == nil {
		if !appended && readable {
			_, err := p.client.Append(ctx, tgnode.ConfigStream, []tgrecord.Record{record})
			appended = err == nil
			if appended || appendErr == nil || !hasExpired(ctx) { // the end of the wait says less than an earlier refusal
				appendErr = err
			}
		}
		_, readErr = p.reader.read(ctx, pollTimeout, observe)
		if found {
			return decision, nil
		}
		readable = readErr == nil
		if !readable {
			tgsleep.Sleep(ctx, retryDelay)
		}
	}
	// The error of a refused append is more informative than the timeout of the last read.
	return decision, &UnresolvedError{Err: cmp.Or(appendErr, readErr), ID: record.ID}
}

// hasExpired reports whether ctx has ended or its deadline has passed; calls that end at the deadline return a little before
// ctx ends.
func hasExpired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}
