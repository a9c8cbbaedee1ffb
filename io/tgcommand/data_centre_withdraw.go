package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
)

func (c *config) newDataCentreWithdrawCmd() *cobra.Command {
	cmd := c.newCapacityCmd("withdraw", tgconfig.EntityDataCentre, tgconfig.Withdrawn)
	cmd.Example = "  tanagergrade data-centre withdraw bkk-a --log-address 10.0.0.9:9000 --comment 'power work'\n\n" +
		"  # while the log is down:\n" +
		"  tanagergrade data-centre withdraw bkk-a --via 10.0.0.1:7002 --authority-file authority.pem \\\n" +
		"    --certificate-file operator.pem --key-file operator-key.pem"
	cmd.Long = "Takes a whole data centre out. It receives no new work within 5 s; requests that run there finish."
	cmd.Short = "Take a data centre out"
	return cmd
}
