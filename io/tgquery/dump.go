package tgquery

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
)

func (c *config) newDumpCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.ExactArgs(1),
		Example: "  tanagergrade dump 10.0.0.1:7002 --authority-file authority.pem \\\n" +
			"    --certificate-file operator.pem --key-file operator-key.pem",
		Long:  "Writes the full state of the daemon with this admin address: indented JSON, or compact JSON with --output json.",
		RunE:  c.runDump,
		Short: "Dump the state of a daemon",
		Use:   "dump ADDRESS",
	}
	c.keys.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runDump(cmd *cobra.Command, args []string) error {
	addresses, client, err := c.connect(args)
	if err != nil {
		return err
	}
	data, err := client.Dump(cmd.Context(), addresses[0])
	if err != nil {
		return err
	}
	if c.output.Format == tgflag.JSON {
		fmt.Fprintf(c.stdout, "%s\n", data)
		return nil
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return errors.Wrap(err, "daemon sent a dump that is not JSON")
	}
	fmt.Fprintln(c.stdout, indented.String())
	return nil
}
