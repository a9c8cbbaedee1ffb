package tgadmin

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgkey"
)

func serve(t *testing.T, r *Registry) (netip.AddrPort, *Client) {
	t.Helper()
	tlsConfig, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	s, err := Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), tlsConfig, r)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s.Address(), NewClient(tlsConfig)
}

// Guards against a source whose state cannot be encoded and makes the dump of the other sources fail.
func TestDumpSurvivesBadSource(t *testing.T) {
	r := NewRegistry()
	r.Add("bad", func() any { return func() {} })
	r.Add("good", func() any { return map[string]int{"queued": 3} })
	address, c := serve(t, r)
	data, err := c.Dump(t.Context(), address)
	assert.NilError(t, err)
	var dump map[string]map[string]any
	assert.NilError(t, json.Unmarshal(data, &dump))
	assert.Equal(t, dump["good"]["queued"], 3.0)
	assert.Equal(t, dump["bad"]["error"], "json: unsupported type: func()")
}

// Guards against marks that could add capacity, as those of other entities than data centres and upstreams could, and
// against marks without an ID, which no later change could be matched with.
func TestMarks(t *testing.T) {
	entity := tgconfig.Entity{Kind: tgconfig.EntityUpstream, Name: "draft-1"}
	id := uuid.MustParse("01890000-0000-7000-8000-000000000001")
	tests := []struct {
		name   string
		mark   Mark
		status int
	}{
		{"handler refuses", Mark{Entity: tgconfig.Entity{Kind: tgconfig.EntityUpstream, Name: "none"}, ID: id}, 409},
		{"no ID", Mark{Entity: entity}, 400},
		{"no name", Mark{Entity: tgconfig.Entity{Kind: tgconfig.EntityUpstream}, ID: id}, 400},
		{"wrong kind", Mark{Entity: tgconfig.Entity{Kind: tgconfig.EntityPool, Name: "p"}, ID: id}, 400},
		{"taken", Mark{Entity: entity, ID: id}, 0},
	}
	var accepted []Mark
	r := NewRegistry()
	r.SetMarkHandler(func(_ context.Context, m Mark) error {
		if m.Entity != entity {
			return errors.New("upstream is not known")
		}
		accepted = append(accepted, m)
		return nil
	})
	address, c := serve(t, r)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := c.SendMark(t.Context(), address, tt.mark)
			if tt.status == 0 {
				assert.NilError(t, err)
				return
			}
			var refused *ResponseError
			assert.Assert(t, errors.As(err, &refused), "%v", err)
			assert.Equal(t, refused.Status, tt.status)
		})
	}
	assert.DeepEqual(t, accepted, []Mark{{Entity: entity, ID: id}})
}

// Guards against an admin interface that serves clients with certificates of another authority.
func TestForeignAuthorityIsRefused(t *testing.T) {
	address, _ := serve(t, NewRegistry())
	foreign, err := tgkey.NewMemoryConfig()
	assert.NilError(t, err)
	foreign.InsecureSkipVerify = true
	_, err = NewClient(foreign).Status(t.Context(), address)
	assert.ErrorContains(t, err, "call the admin interface")
}

// Guards against an admin interface that lacks the status for operators or the metrics for scrapers.
func TestStatusAndMetrics(t *testing.T) {
	r := NewRegistry()
	want := Status{Applied: 7, Name: "entry-1", Ready: true, Role: "entry"}
	r.SetStatus(func() Status { return want })
	address, c := serve(t, r)
	got, err := c.Status(t.Context(), address)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	vars, err := c.do(t.Context(), address, fasthttp.MethodGet, "/debug/vars", nil)
	assert.NilError(t, err)
	var metrics map[string]any
	assert.NilError(t, json.Unmarshal(vars, &metrics))
	assert.Assert(t, metrics["memstats"] != nil)
}
