package tgcommand

import (
	"io"

	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgquery"
)

func (c *config) newPlatformConfigDiffCmd() *cobra.Command {
	const addresses = 2
	cmd := &cobra.Command{
		Args:    cobra.ExactArgs(addresses),
		Example: "  tanagergrade platform config diff 10.1.0.38:9464 10.1.0.40:9464",
		Long: "Compares the configurations that two entries use. A line with - is used by the first one only, a line with + by\n" +
			"the second. It prints nothing if they agree.",
		RunE:  c.runPlatformConfigDiff,
		Short: "Compare the configurations of two entries on the users' platform",
		Use:   "diff FROM TO",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runPlatformConfigDiff(_ *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return err
	}
	from, err := fetchConfig(addresses[0])
	if err != nil {
		return err
	}
	to, err := fetchConfig(addresses[1])
	if err != nil {
		return err
	}
	diff := tgquery.CompareLines(from.Lines, to.Lines)
	return c.platform.output.Write(c.stdout, diff, func(w io.Writer) { diff.Print(w) })
}
