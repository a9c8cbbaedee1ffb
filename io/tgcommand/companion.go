package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgcompanion"
	"tanagergrade/io/tgupstream"
)

func (c *config) newCompanionCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade companion --config base.toml --overlay bkk-a.toml --name companion-draft-1",
		Long:    "Runs the daemon beside an upstream." + daemonLong,
		RunE:    c.runCompanion,
		Short:   "Run a companion daemon",
		Use:     "companion",
	}
	c.daemon.register(cmd)
	return cmd
}

func (c *config) runCompanion(cmd *cobra.Command, _ []string) error {
	d, err := c.newDaemon(cmd.Context(), tgconfig.RoleCompanion)
	if err != nil {
		return err
	}
	upstream := d.process.Upstream
	client := tgupstream.New(d.document.Config.Upstreams[upstream].Address)
	companion := tgcompanion.New(d.node, upstream, client)
	return d.run(cmd.Context(), companion, companion.Run)
}
