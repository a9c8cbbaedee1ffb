package tgcommand

import (
	"cmp"
	"context"
	"net/netip"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgquarantine"
	tgplatform "tanagergrade/platform"
)

func (c *config) newPlatformQuarantineCmd() *cobra.Command {
	cmd := newGroupCmd("quarantine", "List and release parts of prompts that are refused because they crash upstreams")
	cmd.AddCommand(c.newPlatformQuarantineListCmd(), c.newPlatformQuarantineReleaseCmd())
	return cmd
}

// quarantinedPart is a suspect or quarantined part in the platform's store.
type quarantinedPart struct {
	tgquarantine.Record
	Part string `json:"part"`
}

// readQuarantine returns the suspect and quarantined parts in the store, sorted.
func readQuarantine(ctx context.Context, store *tgplatform.Store) ([]quarantinedPart, error) {
	records, _, err := store.Newest(ctx, tgplatform.TopicQuarantine)
	if err != nil {
		return nil, err
	}
	parts := make([]quarantinedPart, 0, len(records))
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		record, err := tgquarantine.DecodeRecord(r)
		if err != nil {
			return nil, err
		}
		parts = append(parts, quarantinedPart{Part: r.Key, Record: record})
	}
	slices.SortFunc(parts, func(a, b quarantinedPart) int { return cmp.Compare(a.Part, b.Part) })
	return parts, nil
}

// newPlatformStore returns a client of the store at an address that the user gave.
func newPlatformStore(address netip.AddrPort) *tgplatform.Store {
	return tgplatform.NewStore(address, dialStore)
}

// errNotQuarantined reports a part that an operator releases although it is not quarantined.
var errNotQuarantined = errors.New("not quarantined")
