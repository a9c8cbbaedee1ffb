package tgcatalog_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"tanagergrade/core/tgcatalog"
)

// Guards against settings that are missing from the listing for operators, and against API keys disclosed by it.
func TestLines(t *testing.T) {
	cfg := tgcatalog.NewConfig(7, []tgcatalog.Route{{
		EventGapTarget: 120 * time.Millisecond, Host: "a.example", Kind: tgcatalog.KindStreaming,
		FirstByteTarget: 500 * time.Millisecond, MaxAttempts: 2, Name: "letters", PathPrefix: "/s/", Priority: 1, Resumable: true, Timeout: 8 * time.Second,
		Targets: []tgcatalog.Target{{Pool: "new", Weight: 10}, {Pool: "old", Weight: 90}},
	}, {
		Anonymous: true, Host: "b.example", Kind: tgcatalog.KindNonIdempotent, MaxAttempts: 1, Name: "posts", PathPrefix: "/",
		Targets: []tgcatalog.Target{{Pool: "old", Weight: 1}},
	}})
	cfg.KeyRequired = true
	cfg.Accounts["secret-one"] = tgcatalog.Account{Name: "big", Priority: 2, HasPriority: true}
	cfg.Accounts["secret-two"] = tgcatalog.Account{Name: "big", Priority: 2, HasPriority: true}
	cfg.Accounts["secret-three"] = tgcatalog.Account{Name: "small"}
	cfg.Limits = tgcatalog.Limits{BodyBytes: 4 << 20, HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	cfg.Pools = map[string]tgcatalog.Pool{
		"new": {ColdRate: 36, ColdTime: 3 * time.Second, MaxConnections: 418, Name: "new", Engine: tgcatalog.Engine{
			Experts: 72, ExpertSlotsPerRank: 8, Sets: 4, Slots: 12, StepTime: 4550 * time.Microsecond, StepsPerPass: 4,
			StepTimePerStream: 905 * time.Microsecond,
		}},
		"old": {MaxConnections: 110, Name: "old"},
	}
	text := strings.Join(cfg.Lines(), "\n") + "\n"
	assert.Assert(t, !strings.Contains(text, "secret"))
	golden.Assert(t, text, "lines.golden")
}
