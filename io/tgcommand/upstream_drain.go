package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
)

func (c *config) newUpstreamDrainCmd() *cobra.Command {
	cmd := c.newCapacityCmd("drain", tgconfig.EntityUpstream, tgconfig.Drained)
	cmd.Example = "  tanagergrade upstream drain draft-1 --log-address 10.0.0.9:9000 --comment 'new driver'"
	cmd.Long = "Takes an upstream out. It receives no new work within 5 s; requests that run there finish."
	cmd.Short = "Take an upstream out"
	return cmd
}
