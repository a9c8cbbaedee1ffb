package tgcommand

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
)

func (c *config) newPlatformConfigShowCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.ExactArgs(1),
		Example: "  tanagergrade platform config show 10.1.0.38:9464",
		Long: "Prints the configuration that the entry at an address uses, as TOML with one value a line. Keys of accounts are\n" +
			"shown by fingerprints.",
		RunE:  c.runPlatformConfigShow,
		Short: "Show the configuration that an entry on the users' platform uses",
		Use:   "show ADDRESS",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runPlatformConfigShow(_ *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return err
	}
	cfg, err := fetchConfig(addresses[0])
	if err != nil {
		return err
	}
	return c.platform.output.Write(c.stdout, cfg, func(w io.Writer) {
		if !cfg.Current {
			fmt.Fprintln(w, "# not confirmed: a newer version may exist")
		}
		fmt.Fprintln(w, strings.Join(cfg.Lines, "\n"))
	})
}
