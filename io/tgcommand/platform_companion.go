package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/io/tgfleet"
)

func (c *config) newPlatformCompanionCmd() *cobra.Command {
	return &cobra.Command{
		Args:  cobra.NoArgs,
		Long:  "Runs the daemon beside a model engine. In a rank group it balances the experts over the ranks.",
		RunE:  c.runPlatformCompanion,
		Short: "Run a companion daemon on the users' platform",
		Use:   "companion",
	}
}

func (c *config) runPlatformCompanion(cmd *cobra.Command, _ []string) error {
	d, err := c.newPlatformDaemon(tgfleet.RoleCompanion)
	if err != nil {
		return err
	}
	defer func() { _ = d.report.Close() }() // never fails
	<-cmd.Context().Done()
	return nil
}
