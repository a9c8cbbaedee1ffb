package tgcommand

import "github.com/spf13/cobra"

func (c *config) newDataCentreCmd() *cobra.Command {
	cmd := newGroupCmd("data-centre", "Withdraw and restore data centres")
	cmd.AddCommand(c.newDataCentreRestoreCmd(), c.newDataCentreWithdrawCmd())
	return cmd
}
