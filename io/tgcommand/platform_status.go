package tgcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgera"
	"tanagergrade/core/tgview"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgproxy"
	"tanagergrade/io/tgrank"
)

func (c *config) newPlatformStatusCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args:    cobra.MinimumNArgs(1),
		Example: "  tanagergrade platform status 10.1.0.38:9464 10.1.0.40:9464",
		Long: "Prints one line for each daemon at these addresses: its VM, its uptime, the version of its configuration,\n" +
			"its streams and their limit, or who leads the rank groups. It fails if one does not answer.",
		RunE:  c.runPlatformStatus,
		Short: "Show the status of daemons on the users' platform",
		Use:   "status ADDRESS...",
	}
	c.platform.output.Register(cmd.Flags())
	return cmd
}

// platformFlags are the flags of the queries of daemons on the platform.
type platformFlags struct {
	output tgflag.Output
}

// platformStatus is the part of a daemon's dump that the status command shows.
type platformStatus struct {
	Address netip.AddrPort `json:"address"`
	Error   string         `json:"error,omitempty"`
	Proxy   *tgproxy.State `json:"proxy,omitempty"` // of an entry
	Rank    *tgrank.Dump   `json:"rank,omitempty"`  // of a companion
	Started time.Time      `json:"started"`
	Store   *tgera.State   `json:"store,omitempty"` // nil from earlier versions
	VM      string         `json:"vm"`
	View    *tgview.State  `json:"view,omitempty"` // of an entry
}

func (c *config) runPlatformStatus(_ *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args)
	if err != nil {
		return err
	}
	entries := make([]platformStatus, 0, len(addresses))
	failed := 0
	for _, address := range addresses {
		s, err := fetchStatus(address)
		if err != nil {
			failed++
			s.Error = err.Error()
		}
		entries = append(entries, s)
	}
	text := func(w io.Writer) { printPlatformStatus(w, entries, time.Now()) }
	if err := c.platform.output.Write(c.stdout, entries, text); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Newf("%d of %d daemons did not answer", failed, len(addresses))
	}
	return nil
}

func fetchStatus(address netip.AddrPort) (platformStatus, error) {
	s := platformStatus{Address: address}
	body, err := fetchDump(address)
	if err != nil {
		return s, err
	}
	dump := struct {
		*platformStatus
		Settings struct{ VM string } `json:"settings"`
	}{platformStatus: &s}
	if err := json.Unmarshal(body, &dump); err != nil {
		return platformStatus{Address: address}, errors.Wrap(err, "decode dump")
	}
	s.Address, s.VM = address, dump.Settings.VM
	return s, nil
}

func printPlatformStatus(w io.Writer, entries []platformStatus, now time.Time) {
	const columnGap = 2
	tw := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(tw, "VM\tADDRESS\tUP\tCONFIGURATION\tSTREAMS\tLIMIT\tLEADER\tSTORE ERA")
	for _, s := range entries {
		if s.Error != "" {
			fmt.Fprintf(tw, "-\t%s\t%s\n", s.Address, s.Error)
			continue
		}
		era := "-"
		if s.Store != nil {
			era = strconv.FormatInt(int64(s.Store.Era), 10)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", s.VM, s.Address, now.Sub(s.Started).Truncate(time.Second), s.columns(), era)
	}
	_ = tw.Flush() // an error of the writer recurs at the next write
}

// columns returns the columns that depend on the role of the daemon.
func (s *platformStatus) columns() string {
	if s.Rank != nil {
		leader := s.Rank.Leader
		if s.Rank.IsLeader {
			leader += " (this daemon)"
		}
		return "-\t-\t-\t" + leader
	}
	version, streams, limit := "none", 0, 0.0
	if s.View != nil && s.View.Version != 0 {
		version = strconv.FormatInt(s.View.Version, 10)
		if !s.View.Current {
			version += " (unconfirmed)"
		}
	}
	if s.Proxy != nil {
		for _, p := range s.Proxy.Pools {
			streams += p.InFlight
			limit += p.Limit
		}
	}
	return fmt.Sprintf("%s\t%d\t%.0f\t-", version, streams, limit)
}
