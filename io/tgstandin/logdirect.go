package tgstandin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tglogclient"
)

// DirectLog calls a Log without a network, so that tests can run under the fake clock of testing/synctest.
type DirectLog struct {
	Log *Log
}

// Append implements tglogclient.Log.
func (d DirectLog) Append(_ context.Context, stream string, records []tgrecord.Record) (uint64, error) {
	data, err := tgrecord.EncodeBatch(records)
	if err != nil {
		return 0, err
	}
	return d.Log.append(stream, data)
}

// Read implements tglogclient.Log.
func (d DirectLog) Read(
	_ context.Context, stream string, from uint64, wait time.Duration,
) (tglogclient.Page, error) {
	reply, err := d.Log.read(stream, from, maxDirectRecords, wait)
	if errors.Is(err, errTruncated) {
		return tglogclient.Page{First: reply.First, Next: reply.Next}, tglogclient.ErrTruncated
	}
	if err != nil {
		return tglogclient.Page{}, err
	}
	page := tglogclient.Page{First: reply.First, Next: reply.Next}
	for _, r := range reply.Records {
		records, err := tgrecord.DecodeBatch(r.Data)
		if err != nil {
			records = nil // a record that is not from this system counts as empty, as in tglogclient
		}
		page.Entries = append(page.Entries, tglogclient.Entry{Offset: r.Offset, Records: records, Time: r.Time})
	}
	return page, nil
}

const maxDirectRecords = 1000
