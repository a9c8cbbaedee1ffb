package tgcommand

import "github.com/spf13/cobra"

func (c *config) newKeyCmd() *cobra.Command {
	cmd := newGroupCmd("key", "Make mutual TLS keys")
	cmd.AddCommand(c.newKeyGenerateCmd())
	return cmd
}
