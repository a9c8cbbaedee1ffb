package tgconfig

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const ranksPerGroup = 4

// newConfigOfSize returns a valid configuration with 7 data centres and 6 pools.
func newConfigOfSize(accounts, upstreams int) *Config {
	cfg := NewState().Config()
	for i := range 7 {
		cfg.DataCentres[fmt.Sprintf("dc-%d", i)] = DataCentre{Region: "r", State: Active}
	}
	for i := range 6 {
		cfg.Pools[fmt.Sprintf("pool-%d", i)] = Pool{Kind: ModelPool, Models: []string{fmt.Sprintf("model-%d", i)}}
	}
	for i := range accounts {
		cfg.Accounts[fmt.Sprintf("account-%d", i)] = Account{KeyHash: fmt.Sprintf("%064x", i), Priority: "live", Share: 1}
	}
	for i := range upstreams {
		pool := fmt.Sprintf("pool-%d", i/ranksPerGroup%6)
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		name := fmt.Sprintf("upstream-%d", i)
		cfg.Upstreams[name] = Upstream{
			Address: netip.AddrPortFrom(address, 8000), Companion: netip.AddrPortFrom(address, 7000),
			DataCentre: fmt.Sprintf("dc-%d", i%7), Pool: pool, State: Active,
		}
		group := fmt.Sprintf("group-%d", i/ranksPerGroup)
		ranks := append(cfg.Groups[group].Ranks, name)
		cfg.Groups[group] = Group{Experts: 1, Layers: 1, Pool: pool, Ranks: ranks, Slots: 1}
	}
	return cfg
}

// randomChange returns a change of one or two entities, which is often invalid, and cfg with the change applied.
func randomChange(t *testing.T, rng *rand.Rand, cfg *Config) (*Config, Change) {
	t.Helper()
	pick := func(prefix string, n int) string { return fmt.Sprintf("%s-%d", prefix, rng.IntN(n)) }
	var change Change
	for range 1 + rng.IntN(2) {
		var e Entity
		var value any
		switch rng.IntN(6) {
		case 0:
			e = Entity{Kind: EntityAccount, Name: pick("account", 32)}
			value = Account{KeyHash: fmt.Sprintf("%064x", rng.IntN(40)), Share: rng.IntN(8)}
		case 1:
			e = Entity{Kind: EntityDataCentre, Name: pick("dc", 9)}
			value = DataCentre{Region: "r", State: Withdrawn}
		case 2:
			e = Entity{Kind: EntityGroup, Name: pick("group", 7)}
			value = Group{Experts: 1, Layers: 1, Pool: pick("pool", 7), Ranks: []string{pick("upstream", 26)}, Slots: 1}
		case 3:
			e = Entity{Kind: EntityPool, Name: pick("pool", 8)}
			value = []Pool{
				{Kind: PlainPool, PathPrefix: "/x/"}, {Kind: ModelPool, Models: []string{pick("model", 12)}},
			}[rng.IntN(2)]
		case 4:
			e = Entity{Kind: EntitySettings}
			settings := DefaultSettings()
			settings.MaxQueued = rng.IntN(6) - 1
			value = settings
		default:
			e = Entity{Kind: EntityUpstream, Name: pick("upstream", 26)}
			u := cfg.Upstreams[pick("upstream", 24)]
			u.DataCentre = pick("dc", 8)
			value = u
		}
		raw, err := cbor.Marshal(value)
		assert.NilError(t, err)
		deleted := e.Kind != EntitySettings && rng.IntN(4) == 0
		change.Entities = append(change.Entities, EntityChange{Deleted: deleted, Entity: e, Value: raw})
	}
	next, err := cfg.withUnvalidated(change)
	assert.NilError(t, err)
	return next, change
}

// BenchmarkValidateChange compares the validation of one change with that of the whole configuration, at the size that is
// expected in two years.
func BenchmarkValidateChange(b *testing.B) {
	cfg := newConfigOfSize(36_000, 6_700)
	run := func(name string, f func() error) {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if err := f(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	one := func(kind EntityKind, name string) Change {
		return Change{Entities: []EntityChange{{Entity: Entity{Kind: kind, Name: name}}}}
	}
	run("account", func() error { return cfg.ValidateChange(one(EntityAccount, "account-17")) })
	run("dataCentre", func() error { return cfg.ValidateChange(one(EntityDataCentre, "dc-3")) })
	run("everything", cfg.Validate)
	run("upstream", func() error { return cfg.ValidateChange(one(EntityUpstream, "upstream-17")) })
}

// BenchmarkParse parses a file of the size that is expected in two years. Its time must grow linearly: the decoder of
// go-toml compares each key with all others of its table and took 51 s for such a file.
func BenchmarkParse(b *testing.B) {
	f := File{Data: []byte(strings.Join(newConfigOfSize(36_000, 6_700).Lines(), "\n")), Name: "base"}
	b.SetBytes(int64(len(f.Data)))
	for b.Loop() {
		if _, err := Parse(f); err != nil {
			b.Fatal(err)
		}
	}
}
