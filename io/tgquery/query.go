// Package tgquery implements the read-only commands.
package tgquery

import (
	"io"

	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
)

// Commands are the queries, grouped by their parent command.
type Commands struct {
	Config []*cobra.Command // subcommands of "config"
	Root   []*cobra.Command // subcommands of "tanagergrade"
}

// config holds the flags of all queries.
type config struct {
	files  tgflag.Files
	keys   tgflag.Keys
	log    tgflag.Log
	output tgflag.Output
	stdout io.Writer
}

// New returns the queries. They write their output to stdout.
func New(stdout io.Writer) Commands {
	c := &config{stdout: stdout}
	return Commands{
		Config: []*cobra.Command{c.newCheckCmd(), c.newDiffCmd(), c.newHistoryCmd(), c.newShowCmd()},
		Root:   []*cobra.Command{c.newDumpCmd(), c.newStatusCmd(), c.newVersionCmd()},
	}
}
