package tgpublisher

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgexit"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgstandin"
)

// Guards against a reader that mistakes the rest of a truncated log for the whole configuration: a command would then
// delete or restore entities that the dropped records had changed.
func TestReadAllOfTruncatedLog(t *testing.T) {
	tests := []struct {
		name          string
		snapshotAfter int // the snapshot covers this number of changes; 0 for none
		truncate      uint64
		code          int
	}{
		{"complete log", 0, 0, tgexit.OK},
		{"no snapshot", 0, 1, tgexit.LogUnavailable},
		{"snapshot after the cut", 2, 1, tgexit.OK},
		{"snapshot covers up to the cut", 1, 1, tgexit.OK},
		{"snapshot covers less than the cut", 1, 2, tgexit.LogUnavailable},
	}
	regions := []string{"r1", "r2", "r3", "r4"}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			log := tgstandin.NewLog(time.Hour)
			server, err := tgstandin.Serve(log.Handle)
			assert.NilError(t, err)
			defer func() { assert.NilError(t, server.Close()) }()
			client := tglogclient.New(server.Address())
			var parts []tgconfig.SnapshotPart
			for i, region := range regions {
				_, err := New(client, "test").Publish(t.Context(), addDataCentre(region))
				assert.NilError(t, err)
				if i+1 == tt.snapshotAfter {
					r := NewReader(client)
					assert.NilError(t, r.ReadAll(t.Context(), nil))
					snapshot, err := r.State().Snapshot()
					assert.NilError(t, err)
					parts, err = snapshot.Parts(uuid.New())
					assert.NilError(t, err)
				}
			}
			for _, part := range parts {
				record, err := tgrecord.New(tgrecord.KindSnapshot, "test", 0, part)
				assert.NilError(t, err)
				_, err = client.Append(t.Context(), tgnode.ConfigStream, []tgrecord.Record{record})
				assert.NilError(t, err)
			}
			log.Truncate(tgnode.ConfigStream, tt.truncate)
			r := NewReader(client)
			err = r.ReadAll(t.Context(), nil)
			assert.Equal(t, tgexit.Code(err), tt.code, "%v", err)
			if err == nil {
				assert.Equal(t, r.State().Config().DataCentres["a"].Region, "r4")
				_, err := New(client, "test").Publish(t.Context(), addDataCentre("r5"))
				assert.NilError(t, err)
			}
		})
	}
}
