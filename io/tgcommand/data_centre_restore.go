package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
)

func (c *config) newDataCentreRestoreCmd() *cobra.Command {
	cmd := c.newCapacityCmd("restore", tgconfig.EntityDataCentre, tgconfig.Active)
	cmd.Example = "  tanagergrade data-centre restore bkk-a --log-address 10.0.0.9:9000"
	cmd.Long = "Brings a withdrawn data centre back. Its upstreams get work as fast as they show that they can sustain it."
	cmd.Short = "Bring a data centre back"
	return cmd
}
