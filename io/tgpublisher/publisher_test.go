package tgpublisher

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgexit"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgstandin"
)

// addDataCentre returns a build function whose change adds a data centre in region.
func addDataCentre(region string) func(*tgconfig.Config) (tgconfig.Change, error) {
	return func(*tgconfig.Config) (tgconfig.Change, error) {
		raw, err := cbor.Marshal(tgconfig.DataCentre{Region: region})
		entity := tgconfig.Entity{Kind: tgconfig.EntityDataCentre, Name: "a"}
		return tgconfig.Change{Entities: []tgconfig.EntityChange{{Entity: entity, Value: raw}}}, err
	}
}

func countChanges(n *int) Observer {
	return func(uint64, tgrecord.Record, tgconfig.Decision) { *n++ }
}

// Guards against a wrong outcome being reported, and against a change being published twice, when the log fails shortly
// before, during or after the append.
func TestPublishSettlesFaults(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(log *tgstandin.Log, appends int32) int // HTTP status that refuses the append; 0 passes it to the log
		region  string
		code    int
		changes int // changes that a reader finds in the log afterwards
		message string
	}{
		{
			name: "append is refused twice", region: "r", code: tgexit.OK, changes: 1,
			fault: func(_ *tgstandin.Log, appends int32) int {
				if appends <= 2 {
					return fasthttp.StatusTooManyRequests
				}
				return 0
			},
		},
		{
			name: "append is always refused", region: "r", code: tgexit.LogUnavailable, changes: 0, message: "status 413",
			fault: func(*tgstandin.Log, int32) int { return fasthttp.StatusRequestEntityTooLarge },
		},
		{
			name: "append is refused and its repeat outlasts the wait", region: "r", code: tgexit.LogUnavailable, changes: 0,
			message: "status 413",
			fault: func(_ *tgstandin.Log, appends int32) int {
				if appends > 1 {
					time.Sleep(2500 * time.Millisecond) // until after the end of the wait, as the first poll takes a second of it
				}
				return fasthttp.StatusRequestEntityTooLarge
			},
		},
		{name: "change is invalid", region: "", code: tgexit.Failed, changes: 0},
		{
			name: "log goes down before the append", region: "r", code: tgexit.LogUnavailable, changes: 0,
			fault: func(log *tgstandin.Log, _ int32) int {
				log.SetDown(true)
				return 0
			},
		},
		{
			name: "log returns during the wait", region: "r", code: tgexit.OK, changes: 1,
			fault: func(log *tgstandin.Log, appends int32) int {
				if appends == 1 {
					log.SetDown(true)
					time.AfterFunc(500*time.Millisecond, func() { log.SetDown(false) })
				}
				return 0
			},
		},
		{
			name: "reply is lost and the log goes down", region: "r", code: tgexit.LogUnavailable, changes: 1,
			fault: func(log *tgstandin.Log, _ int32) int {
				log.LoseReplies(1)
				time.AfterFunc(0, func() {
					for log.Appends() == 0 {
						time.Sleep(time.Millisecond)
					}
					log.SetDown(true)
				})
				log.SetDelay(200 * time.Millisecond) // the outage starts before the record can be read back
				return 0
			},
		},
		{
			name: "reply is lost", region: "r", code: tgexit.OK, changes: 1,
			fault: func(log *tgstandin.Log, appends int32) int {
				if appends == 1 {
					log.LoseReplies(1)
				}
				return 0
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := tgstandin.NewLog(time.Hour)
			var appends atomic.Int32
			server, err := tgstandin.Serve(func(ctx *fasthttp.RequestCtx) {
				if ctx.IsPost() && tt.fault != nil {
					if status := tt.fault(log, appends.Add(1)); status != 0 {
						ctx.SetStatusCode(status)
						return
					}
				}
				log.Handle(ctx)
			})
			assert.NilError(t, err)
			defer func() { assert.NilError(t, server.Close()) }()
			client := tglogclient.New(server.Address())
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			results, err := New(client, "test").Publish(ctx, addDataCentre(tt.region))
			assert.Equal(t, tgexit.Code(err), tt.code, "%v", err)
			if tt.message != "" {
				assert.ErrorContains(t, err, tt.message)
			}
			var unresolved *UnresolvedError
			assert.Equal(t, errors.As(err, &unresolved), tt.code == tgexit.LogUnavailable, "%v", err)
			log.SetDelay(0)
			log.SetDown(false)
			r, changes := NewReader(client), 0
			assert.NilError(t, r.ReadAll(t.Context(), countChanges(&changes)))
			assert.Equal(t, changes, tt.changes)
			_, exists := r.State().Config().DataCentres["a"]
			assert.Equal(t, exists, tt.changes > 0)
			if err == nil {
				assert.Equal(t, len(results), 1)
			}
		})
	}
}
