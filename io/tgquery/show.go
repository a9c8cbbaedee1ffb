package tgquery

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

func (c *config) newShowCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade config show --log-address 10.0.0.9:9000 >accepted.toml",
		Long:    "Reads the accepted configuration from the log. The text output is TOML with one value a line.",
		RunE:    c.runShow,
		Short:   "Show the accepted configuration",
		Use:     "show",
	}
	c.log.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runShow(cmd *cobra.Command, _ []string) error {
	state, err := c.readState(cmd.Context(), nil)
	if err != nil {
		return err
	}
	cfg := state.Config()
	return c.output.Write(c.stdout, cfg.Values(), func(w io.Writer) { fmt.Fprintln(w, strings.Join(cfg.Lines(), "\n")) })
}
