package tgquery

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgpublisher"
)

type diffOutput struct {
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
}

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
	out := compareLines(state.Config().Lines(), d.Target(state.Config()).Lines())
	return c.output.Write(c.stdout, out, func(w io.Writer) { out.print(w) })
}

func compareLines(from, to []string) diffOutput {
	only := func(lines, others []string) []string {
		result := []string{}
		for _, line := range lines {
			if _, found := slices.BinarySearch(others, line); !found {
				result = append(result, line)
			}
		}
		return result
	}
	return diffOutput{Added: only(to, from), Removed: only(from, to)}
}

// print writes the lines sorted by key, the old value of a key before the new one.
func (d diffOutput) print(w io.Writer) {
	type change struct{ line, sign string }
	changes := make([]change, 0, len(d.Removed)+len(d.Added))
	for _, line := range d.Removed {
		changes = append(changes, change{line, "-"})
	}
	for _, line := range d.Added {
		changes = append(changes, change{line, "+"})
	}
	slices.SortStableFunc(changes, func(a, b change) int {
		keyA, _, _ := strings.Cut(a.line, " = ")
		keyB, _, _ := strings.Cut(b.line, " = ")
		return strings.Compare(keyA, keyB)
	})
	for _, c := range changes {
		fmt.Fprintf(w, "%s %s\n", c.sign, c.line)
	}
}

// readState folds the config stream of the log.
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
