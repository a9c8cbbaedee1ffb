package tgquery

import (
	"fmt"
	"io"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgadmin"
)

type statusEntry struct {
	Address netip.AddrPort  `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  *tgadmin.Status `json:"status,omitempty"`
}

func (c *config) newStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.MinimumNArgs(1),
		Example: "  tanagergrade status 10.0.0.1:7002 10.0.0.2:7002 --authority-file authority.pem \\\n" +
			"    --certificate-file operator.pem --key-file operator-key.pem",
		Long:  "Asks the daemons with these admin addresses for their status. It fails if one does not answer.",
		RunE:  c.runStatus,
		Short: "Show the status of daemons",
		Use:   "status ADDRESS...",
	}
	c.keys.Register(cmd.Flags())
	c.output.Register(cmd.Flags())
	return cmd
}

func (c *config) runStatus(cmd *cobra.Command, args []string) error {
	addresses, client, err := c.connect(args)
	if err != nil {
		return err
	}
	entries := newStatusEntries(client.StatusAll(cmd.Context(), addresses))
	if err := c.output.Write(c.stdout, entries, func(w io.Writer) { printStatus(w, entries) }); err != nil {
		return err
	}
	failed := 0
	for _, e := range entries {
		if e.Status == nil {
			failed++
		}
	}
	if failed > 0 {
		return errors.Newf("%d of %d daemons did not answer", failed, len(entries))
	}
	return nil
}

func newStatusEntries(results []tgadmin.StatusResult) []statusEntry {
	entries := make([]statusEntry, len(results))
	for i, r := range results {
		entries[i].Address = r.Address
		if r.Err != nil {
			entries[i].Error = r.Err.Error()
		} else {
			entries[i].Status = &r.Status
		}
	}
	return entries
}

func printStatus(w io.Writer, entries []statusEntry) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ADDRESS\tNAME\tROLE\tDATA CENTRE\tREADY\tAPPLIED\tSTARTED\tVERSION")
	for _, e := range entries {
		if e.Status == nil {
			fmt.Fprintf(t, "%s\t%s\n", e.Address, e.Error)
			continue
		}
		s := e.Status
		ready := "yes"
		if !s.Ready {
			ready = "no: " + s.NotReady
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", e.Address, s.Name, s.Role, s.DataCentre, ready, s.Applied,
			s.Started.UTC().Format(time.RFC3339), s.Version)
	}
	_ = t.Flush() // an error of the writer recurs at the next write
}
