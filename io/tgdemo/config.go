package tgdemo

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"tanagergrade/core/tgcall"
	"tanagergrade/core/tgconfig"
)

const (
	dataCentreCount = 3
	engineCount     = 12
	ledgerCount     = 3

	groupExperts = 8
	groupLayers  = 2
	groupRanks   = 4
	groupSlots   = 3

	groupModel = "thai-moe"
	groupName  = "moe-1"
	groupPool  = "moe"
	draftModel = "thai-draft"
	modelPool  = "drafting"
	plainPool  = "ledger"
	plainRoute = "/ledger/promises"
)

// account is a client account of the demo; its bearer key is its name and a suffix.
type account struct {
	name     string
	priority tgcall.Priority
	share    int // weight in the fair queue under overload
}

var accounts = []account{
	{name: "collectors", priority: tgcall.Live, share: 8},
	{name: "reports", priority: tgcall.Bulk, share: 1},
}

func bearerKey(name string) string { return name + "-demo-key" }

func dataCentreName(i int) string { return "bkk-" + string(rune('a'+i%dataCentreCount)) }

// newConfig returns the demo's configuration without upstreams.
func newConfig() *tgconfig.Config {
	cfg := &tgconfig.Config{
		Accounts:    map[string]tgconfig.Account{},
		DataCentres: map[string]tgconfig.DataCentre{},
		Pools: map[string]tgconfig.Pool{
			groupPool: {Kind: tgconfig.ModelPool, Models: []string{groupModel}},
			modelPool: {Kind: tgconfig.ModelPool, Models: []string{draftModel}},
			plainPool: {
				Kind: tgconfig.PlainPool, PathPrefix: "/ledger/",
				Operations: []tgconfig.Operation{{Idempotent: true, Method: "GET", Path: plainRoute}},
			},
		},
		Settings:  tgconfig.DefaultSettings(),
		Upstreams: map[string]tgconfig.Upstream{},
	}
	for _, a := range accounts {
		sum := sha256.Sum256([]byte(bearerKey(a.name)))
		cfg.Accounts[a.name] = tgconfig.Account{
			KeyHash: hex.EncodeToString(sum[:]), Priority: string(a.priority), Share: a.share,
		}
	}
	for i := range dataCentreCount {
		cfg.DataCentres[dataCentreName(i)] = tgconfig.DataCentre{Region: "bkk", State: tgconfig.Active}
	}
	return cfg
}

func newUpstream(pool, dataCentre string, address, companion netip.AddrPort) tgconfig.Upstream {
	return tgconfig.Upstream{
		Address: address, Companion: companion, DataCentre: dataCentre, Pool: pool, State: tgconfig.Active,
	}
}
