package tgquery

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
)

type checkOutput struct {
	Accounts    int `json:"accounts"`
	DataCentres int `json:"dataCentres"`
	Groups      int `json:"groups"`
	Pools       int `json:"pools"`
	Processes   int `json:"processes"`
	Upstreams   int `json:"upstreams"`
}

func (c *config) newCheckCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade config check --config base.toml --overlay bkk-a.toml",
		Long:    "Reads a base file and overlays and lists all problems with file, line, column and key.",
		RunE:    c.runCheck,
		Short:   "Check configuration files",
		Use:     "check",
	}
	c.files.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runCheck(*cobra.Command, []string) error {
	d, err := c.files.Load()
	if err != nil {
		return err
	}
	out := newCheckOutput(d)
	return c.output.Write(c.stdout, out, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d data centres, %d pools, %d upstreams, %d groups, %d accounts, %d processes\n",
			out.DataCentres, out.Pools, out.Upstreams, out.Groups, out.Accounts, out.Processes)
	})
}

func newCheckOutput(d *tgconfig.Document) checkOutput {
	return checkOutput{
		Accounts: len(d.Config.Accounts), DataCentres: len(d.Config.DataCentres), Groups: len(d.Config.Groups),
		Pools: len(d.Config.Pools), Processes: len(d.Processes), Upstreams: len(d.Config.Upstreams),
	}
}
