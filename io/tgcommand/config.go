package tgcommand

import "github.com/spf13/cobra"

func (c *config) newConfigCmd(queries []*cobra.Command) *cobra.Command {
	cmd := newGroupCmd("config", "Check, compare and publish the configuration")
	cmd.AddCommand(c.newPublishCmd())
	cmd.AddCommand(queries...)
	return cmd
}
