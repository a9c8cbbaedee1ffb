package tgview

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"tanagergrade/core/tgcatalog"
	"tanagergrade/core/tglogtable"
)

// testCodec reads "config" records that hold a version and registrations that hold a state.
func testCodec() Codec {
	return Codec{
		Config: func(value []byte) (*tgcatalog.Config, error) {
			v, err := strconv.ParseInt(string(value), 10, 64)
			return tgcatalog.NewConfig(v, nil), err
		},
		Operator: func(key string) (OperatorRecordKind, string) {
			if dc, ok := strings.CutPrefix(key, "withdraw/"); ok {
				return OperatorWithdrawal, dc
			}
			return OperatorConfig, ""
		},
		Upstream: func(id string, value []byte, now time.Time) (tgcatalog.Upstream, error) {
			state, dc, ok := strings.Cut(string(value), " ")
			if !ok {
				return tgcatalog.Upstream{}, errors.New("malformed")
			}
			return tgcatalog.Upstream{
				DataCentre: dc, ID: id, Pool: "p", Registered: now, State: tgcatalog.State(state),
			}, nil
		},
	}
}

func registrations(from int64, ids ...string) []tglogtable.Record {
	records := make([]tglogtable.Record, 0, len(ids))
	for i, id := range ids {
		records = append(records, tglogtable.Record{Key: id, Offset: from + int64(i), Value: []byte("ready a")})
	}
	return records
}

func usableIDs(v *View) string {
	var ids []string
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		for _, u := range v.Upstreams("p") {
			if u.ID == id {
				ids = append(ids, id)
			}
		}
	}
	return strings.Join(ids, " ")
}

// Guards against requests to an upstream that left the pool while this process could not read the store, and against
// the loss of all upstreams because none could renew its registration during an outage of the store.
func TestRemovalAfterOutage(t *testing.T) {
	removals := func(ids ...string) (records []tglogtable.Record) {
		for i, id := range ids {
			records = append(records, tglogtable.Record{Key: id, Offset: 100 + int64(i)})
		}
		return records
	}
	for name, c := range map[string]struct {
		after  string // usable upstreams right after the removal
		batch  []tglogtable.Record
		later  string // usable upstreams after the grace period
		outage time.Duration
	}{
		"noOutage": {
			after: "e4", batch: removals("e1", "e2", "e3"), later: "e4",
		},
		"oneLeftMeanwhile": {
			after: "e2 e3 e4", batch: removals("e1"), later: "e2 e3 e4", outage: 4 * time.Second,
		},
		"shortOutage": {
			after: "e4", batch: removals("e1", "e2", "e3"), later: "e4", outage: time.Second,
		},
		"allExpired": {
			after: "e1 e2 e3 e4", batch: removals("e1", "e2", "e3", "e4"), later: "", outage: 4 * time.Second,
		},
		"allExpiredSomeReturn": {
			after: "e1 e2 e3 e4", batch: append(removals("e1", "e2", "e3", "e4"), registrations(110, "e1", "e3")...),
			later: "e1 e3", outage: 4 * time.Second,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := NewView(testCodec())
				v.ApplyUpstreams(registrations(1, "e1", "e2", "e3", "e4"), time.Now())
				if c.outage > 0 {
					v.StoreUnavailable(time.Now())
					time.Sleep(c.outage)
					v.StoreAvailable(time.Now())
				}
				v.ApplyUpstreams(c.batch, time.Now())
				assert.Equal(t, usableIDs(v), c.after)
				time.Sleep(expiryGrace)
				v.Expire(time.Now())
				assert.Equal(t, usableIDs(v), c.later)
			})
		})
	}
}

// Guards against a configuration that returns to an older version when a stale source is read after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	v := NewView(testCodec())
	for _, c := range []struct {
		offset  int64
		value   string
		version int64
	}{
		{offset: 1, value: "3", version: 3},
		{offset: 2, value: "7", version: 7},
		{offset: 3, value: "5", version: 7},
		{offset: 4, value: "not a number", version: 7},
		{offset: 5, value: "", version: 7},
	} {
		v.ApplyOperator([]tglogtable.Record{{Key: "config", Offset: c.offset, Value: []byte(c.value)}})
		cfg, _ := v.Config()
		assert.Equal(t, cfg.Version, c.version, c.value)
	}
}

// Guards against new requests to upstreams that drain, whose data centre is withdrawn or whose record cannot be read.
func TestUnavailableUpstreams(t *testing.T) {
	v := NewView(testCodec())
	now := time.Now()
	v.ApplyUpstreams([]tglogtable.Record{
		{Key: "e1", Offset: 1, Value: []byte("ready a")},
		{Key: "e2", Offset: 2, Value: []byte("ready b")},
		{Key: "e3", Offset: 3, Value: []byte("ready a")},
		{Key: "e4", Offset: 4, Value: []byte("ready a")},
		{Key: "e3", Offset: 5, Value: []byte("draining a")},
		{Key: "e4", Offset: 6, Value: []byte("garbage")},
	}, now)
	assert.Equal(t, usableIDs(v), "e1 e2")
	v.ApplyOperator([]tglogtable.Record{{Key: "withdraw/b", Offset: 1, Value: []byte("{}")}})
	assert.Equal(t, usableIDs(v), "e1")
	v.ApplyOperator([]tglogtable.Record{{Key: "withdraw/b", Offset: 2}})
	assert.Equal(t, usableIDs(v), "e1 e2")
}

// Guards against a 401 or 404 from a process that may have missed a newer configuration: such a process must not take
// its own configuration as current.
func TestCurrentOnlyWhileConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := NewView(testCodec())
		v.ApplyOperator([]tglogtable.Record{{Key: "config", Offset: 1, Value: []byte("1")}})
		v.SetFollowing(true)
		_, current := v.Config()
		assert.Assert(t, current)
		v.SetFollowing(false)
		time.Sleep(confirmationTTL)
		_, current = v.Config()
		assert.Assert(t, !current)
		v.Confirm(time.Now()) // a peer that follows the store has the same offset
		_, current = v.Config()
		assert.Assert(t, current)
	})
}
