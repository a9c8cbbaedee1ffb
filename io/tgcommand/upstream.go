package tgcommand

import "github.com/spf13/cobra"

func (c *config) newUpstreamCmd() *cobra.Command {
	cmd := newGroupCmd("upstream", "Drain upstreams and bring them back")
	cmd.AddCommand(c.newUpstreamDrainCmd(), c.newUpstreamUndrainCmd())
	return cmd
}
