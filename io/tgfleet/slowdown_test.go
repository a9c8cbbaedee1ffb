package tgfleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"tanagergrade/io/tgfleet"
)

// Guards against entries that go on avoiding an engine after the leader has stopped reporting it as slow, because the
// leader died or the notice without slow engines was lost, and against such a change without a log line.
func TestSlowdownsExpire(t *testing.T) {
	var p tgfleet.Slowdowns
	now := time.Unix(1000, 0)
	slow, other := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	assert.Equal(t, p.Factor(slow, now), 1.0)
	becameSlow, recovered := p.Update(tgfleet.SlowdownNotice{Slow: []tgfleet.EngineSlowdown{{Engine: slow, Slowdown: 4}}}, now)
	assert.Equal(t, fmt.Sprint(becameSlow), "[127.0.0.1:1]")
	assert.Equal(t, len(recovered), 0)
	assert.Equal(t, p.Factor(slow, now.Add(time.Second)), 4.0)
	assert.Equal(t, p.Factor(other, now.Add(time.Second)), 1.0)
	assert.Equal(t, len(p.Expire(now.Add(time.Second))), 0)
	assert.Equal(t, p.Factor(slow, now.Add(3*time.Second)), 1.0)
	assert.Equal(t, fmt.Sprint(p.Expire(now.Add(3*time.Second))), "[127.0.0.1:1]")
	assert.Equal(t, len(p.Expire(now.Add(3*time.Second))), 0) // returned only once
	becameSlow, recovered = p.Update(tgfleet.SlowdownNotice{Slow: []tgfleet.EngineSlowdown{}}, now.Add(4*time.Second))
	assert.Equal(t, len(becameSlow)+len(recovered), 0)
}

// Guards against engine addresses that change or get lost when a notice is encoded and decoded.
func TestSlowdownNoticeEncoding(t *testing.T) {
	n := tgfleet.SlowdownNotice{Slow: []tgfleet.EngineSlowdown{{Engine: netip.MustParseAddrPort("[::1]:8000"), Slowdown: 2.5}}}
	data, err := cbor.Marshal(n)
	assert.NilError(t, err)
	var got tgfleet.SlowdownNotice
	assert.NilError(t, cbor.Unmarshal(data, &got))
	assert.Equal(t, fmt.Sprint(got), fmt.Sprint(n))
}
