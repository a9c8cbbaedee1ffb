package tgcommand

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgentry"
)

const daemonLong = "\n\nThe files supply the process's own settings; the rest of the configuration takes effect through\n" +
	"\"config publish\". SIGTERM starts a graceful shutdown: requests finish, the process ends with code 0.\n" +
	"A second signal ends the process at once."

func (c *config) newEntryCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.NoArgs,
		Example: "  tanagergrade entry --config base.toml --overlay bkk-a.toml --name entry-bkk-a",
		Long:    "Runs the daemon that takes callers' requests." + daemonLong,
		RunE:    c.runEntry,
		Short:   "Run an entry daemon",
		Use:     "entry",
	}
	c.daemon.register(cmd)
	return cmd
}

func (c *config) runEntry(cmd *cobra.Command, _ []string) error {
	d, err := c.newDaemon(cmd.Context(), tgconfig.RoleEntry)
	if err != nil {
		return err
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(cmd.Context(), "tcp", d.process.CallersAddress.String())
	if err != nil {
		return errors.Wrapf(err, "listen on callers' address %s", d.process.CallersAddress)
	}
	e := tgentry.New(d.node)
	return d.run(cmd.Context(), e, func(ctx context.Context) error { return e.Run(ctx, listener) })
}
