package tgcommand

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgquery"
)

func (c *config) newPlatformExplainCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.MinimumNArgs(1),
		Example: "  tanagergrade platform explain 58ec864b6179f048 entry-1.log entry-2.log",
		Long: "Tells from the logs of entries what a request was taken to cost, where its attempts went and why, and how it was\n" +
			"answered or refused. Without files, it reads the logs from standard input.",
		RunE:  c.runPlatformExplain,
		Short: "Explain what entries decided about a request",
		Use:   "explain ID [LOG...]",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runPlatformExplain(cmd *cobra.Command, args []string) error {
	var logs []io.Reader
	for _, path := range args[1:] {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer func() { _ = f.Close() }() // only read
		logs = append(logs, f)
	}
	if len(logs) == 0 {
		logs = append(logs, cmd.InOrStdin())
	}
	explanation, err := tgquery.Explain(args[0], logs...)
	if err != nil {
		return err
	}
	return c.platform.output.Write(c.stdout, explanation, explanation.Print)
}
