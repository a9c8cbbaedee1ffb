package tgcommand

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagergrade/core/tgquarantine"
	tgplatform "tanagergrade/platform"
	"tanagergrade/platform/tgemulator"
)

// Guards against quarantines that operators cannot see or end, and against a mistyped part that is reported as released.
func TestQuarantineCommands(t *testing.T) {
	store := tgemulator.NewStore()
	storeAddr, err := store.ServeLoopback(t.Context())
	assert.NilError(t, err)
	crash := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	for _, part := range []string{"a1", "b2"} {
		value, err := cbor.Marshal(tgquarantine.Record{
			Companions: []string{"a1", part}, CrashIDs: []string{"vm/1", "vm/2"}, LastCrash: crash, Strikes: 2,
			Until: crash.Add(time.Hour),
		})
		assert.NilError(t, err)
		store.Put(tgplatform.TopicQuarantine, part, value)
	}
	value, err := cbor.Marshal(tgquarantine.Record{CrashIDs: []string{"vm/3"}, LastCrash: crash, Strikes: 1})
	assert.NilError(t, err)
	store.Put(tgplatform.TopicQuarantine, "s3", value)
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := &config{stderr: io.Discard, stdout: &out}
		cmd := c.newPlatformQuarantineCmd()
		cmd.SetArgs(args)
		cmd.SetErr(io.Discard)
		err := cmd.ExecuteContext(t.Context())
		return out.String(), err
	}
	addr := storeAddr.String()
	listed, err := run("list", addr)
	assert.NilError(t, err)
	golden.Assert(t, listed, "platform-quarantine-list.golden")
	_, err = run("release", addr, "a1", "c3")
	assert.ErrorIs(t, err, errNotQuarantined)
	released, err := run("release", addr, "a1")
	assert.NilError(t, err)
	assert.Equal(t, released, "released a1\n")
	listed, err = run("list", addr, "--output", "json")
	assert.NilError(t, err)
	golden.Assert(t, listed, "platform-quarantine-listJSON.golden")
	store.SetEra(3)
	listed, err = run("list", addr)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(listed, "\nThe store is in era 3.\n"), listed)
	_, err = run("list", "nowhere")
	assert.ErrorContains(t, err, "is not an address")
}
