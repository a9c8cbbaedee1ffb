package tgquery

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgpublisher"
)

func (c *config) newDiffCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.NoArgs,
		Example: "  tanagergrade config diff --config base.toml --overlay bkk-a.toml --overlay bkk-b.toml \\\n" +
			"    --log-address 10.0.0.9:9000",
		Long: "Shows what \"config publish\" with the same files would change. A line with - is accepted now,\n" +
			"a line with + is in the files. States that the files leave out are not changed.",
		RunE:  c.runDiff,
		Short: "Compare files with the accepted configuration",
		Use:   "diff",
	}
	c.files.Register(cmd.Flags())
	c.log.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runDiff(cmd *cobra.Command, _ []string) error {
	d, err := c.files.Load()
	if err != nil {
		return err
	}
	state, err := c.readState(cmd.Context(), nil)
	if err != nil {
		return err
	}
	out := CompareLines(state.Config().Lines(), d.ConfigToPublish(state.Config()).Lines())
	return c.output.Write(c.stdout, out, func(w io.Writer) { out.Print(w) })
}

// readState returns the configuration state that follows from the records of the log. If observe is not nil, it gets each
// change with its verdict.
func (c *config) readState(ctx context.Context, observe tgpublisher.Observer) (*tgconfig.State, error) {
	client, err := c.log.Client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := c.log.Context(ctx)
	defer cancel()
	r := tgpublisher.NewReader(client)
	if err := r.ReadAll(ctx, observe); err != nil {
		return nil, err
	}
	return r.State(), nil
}
