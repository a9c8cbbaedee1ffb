package tgcommand

import (
	"encoding/json"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/valyala/fasthttp"

	"tanagergrade/io/tghttp"
)

const configPath = "/config"

// errNoConfig reports that a daemon has no configuration to show: it is a companion or not ready.
var errNoConfig = errors.New("the daemon has no configuration; ask an entry that is ready")

func (c *config) newPlatformConfigCmd() *cobra.Command {
	cmd := newGroupCmd("config", "Check, show and compare configurations of the users' platform")
	cmd.AddCommand(c.newPlatformConfigCheckCmd(), c.newPlatformConfigDiffCmd(), c.newPlatformConfigShowCmd())
	return cmd
}

// platformConfig is the configuration that an entry uses.
type platformConfig struct {
	Current bool     `json:"current"` // known to be the newest
	Lines   []string `json:"lines"`
	Version int64    `json:"version"`
}

// handleConfig serves the configuration that the entry uses.
func (e *platformEntry) handleConfig(ctx *fasthttp.RequestCtx) {
	cfg, current := e.view.Config()
	if cfg == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	e.writeJSON(ctx, platformConfig{Current: current, Lines: cfg.Lines(), Version: cfg.Version})
}

// fetchConfig returns the configuration that the entry at an address uses.
func fetchConfig(address netip.AddrPort) (*platformConfig, error) {
	body, err := fetch(address, configPath)
	if err != nil {
		return nil, errors.Wrapf(err, "entry at %s", address)
	}
	cfg := &platformConfig{}
	if err := json.Unmarshal(body, cfg); err != nil {
		return nil, errors.Wrapf(err, "entry at %s: decode configuration", address)
	}
	return cfg, nil
}

// fetch returns the body of a daemon's response to a GET request for a path of its admin server.
func fetch(address netip.AddrPort, path string) ([]byte, error) {
	status, body, err := tghttp.NewClient().GetTimeout(nil, "http://"+address.String()+path, dumpTimeout)
	switch {
	case err != nil:
		return nil, err
	case status == fasthttp.StatusNotFound && path == configPath:
		return nil, errNoConfig
	case status != fasthttp.StatusOK:
		return nil, errors.Newf("GET %s returned status %d", path, status)
	}
	return body, nil
}
