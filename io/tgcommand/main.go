// Package tgcommand implements the command line: the commands that run daemons or change state, and the queries of
// package tgquery.
package tgcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgquery"
)

// config holds the flags of all commands.
type config struct {
	capacity capacityFlags
	daemon   daemonFlags
	demo     demoFlags
	key      keyFlags
	platform platformFlags
	publish  publishFlags
	stderr   io.Writer
	stdout   io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // restores the default: a second signal ends the process at once
	c := &config{stderr: stderr, stdout: stdout}
	cmd := c.newRootCmd()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	err := cmd.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "tanagergrade: %v\n", err)
	}
	return tgexit.Code(err)
}

const rootLong = `Balances load over expert-parallel model groups and the plain services beside them.

Exit codes:
  0  success
  1  the command failed
  2  wrong flags or arguments
  3  conflict: another operator changed the same entities, nothing was changed
  4  the log service is unavailable, or it is not known whether the change takes effect`

func (c *config) newRootCmd() *cobra.Command {
	queries := tgquery.New(c.stdout)
	cmd := newGroupCmd("tanagergrade", "Balance load over expert-parallel model groups")
	cmd.Long = rootLong
	cmd.SilenceErrors = true
	cmd.SilenceUsage = true
	cmd.AddCommand(
		c.newCompanionCmd(),
		c.newConfigCmd(queries.Config),
		c.newDataCentreCmd(),
		c.newDemoCmd(),
		c.newEntryCmd(),
		c.newKeyCmd(),
		c.newPlatformCmd(),
		c.newUpstreamCmd(),
	)
	cmd.AddCommand(queries.Root...)
	wrapUsageErrors(cmd)
	return cmd
}

// newGroupCmd returns a command that has only subcommands.
func newGroupCmd(use, short string) *cobra.Command {
	return &cobra.Command{
		Args: cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return tgexit.Usagef("%q is not a command of %q", args[0], cmd.CommandPath())
			}
			return cmd.Help()
		},
		Short: short,
		Use:   use,
	}
}

// wrapUsageErrors makes errors in flags and arguments of cmd and its subcommands exit with tgexit.Usage.
func wrapUsageErrors(cmd *cobra.Command) {
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &tgexit.UsageError{Err: err} })
	if check := cmd.Args; check != nil {
		cmd.Args = func(cmd *cobra.Command, args []string) error {
			if err := check(cmd, args); err != nil {
				return &tgexit.UsageError{Err: err}
			}
			return nil
		}
	}
	for _, child := range cmd.Commands() {
		wrapUsageErrors(child)
	}
}
