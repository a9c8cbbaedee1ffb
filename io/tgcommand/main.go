// Package tgcommand is the command line.
package tgcommand

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes that scripts can use.
const (
	exitOK     = 0
	exitFailed = 1
)

// config holds the flags of all commands.
type config struct {
	demo   demoFlags
	stderr io.Writer
	stdout io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := &config{stderr: stderr, stdout: stdout}
	cmd := c.newRootCmd()
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(stderr, "tanagergrade: %v\n", err)
		return exitFailed
	}
	return exitOK
}

func (c *config) newRootCmd() *cobra.Command {
	cmd := &cobra.Command{
		Short:         "Balance load over expert-parallel model groups",
		SilenceErrors: true,
		SilenceUsage:  true,
		Use:           "tanagergrade",
	}
	cmd.AddCommand(
		c.newDemoCmd(),
	)
	return cmd
}
