package tgcommand

import (
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
)

func (c *config) newUpstreamUndrainCmd() *cobra.Command {
	cmd := c.newCapacityCmd("undrain", tgconfig.EntityUpstream, tgconfig.Active)
	cmd.Example = "  tanagergrade upstream undrain draft-1 --log-address 10.0.0.9:9000"
	cmd.Long = "Brings a drained upstream back. It gets work as fast as it shows that it can sustain it."
	cmd.Short = "Bring an upstream back"
	return cmd
}
