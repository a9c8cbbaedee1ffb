package tgcommand

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/io/tgflag"
	tgplatform "tanagergrade/platform"
)

func (c *config) newPlatformQuarantineReleaseCmd() *cobra.Command {
	return &cobra.Command{
		Args:    cobra.MinimumNArgs(2),
		Example: "  tanagergrade platform quarantine release 10.200.1.7:8223 12ca9047f126",
		Long: "Removes parts of prompts from the quarantine in the platform's store. All entries serve requests with them again\n" +
			"as soon as they read it. A part that still crashes upstreams is quarantined again after two more crashes.",
		RunE:  c.runPlatformQuarantineRelease,
		Short: "Release quarantined parts of prompts",
		Use:   "release STORE PART...",
	}
}

func (c *config) runPlatformQuarantineRelease(cmd *cobra.Command, args []string) error {
	addresses, err := tgflag.ParseAddresses(args[:1])
	if err != nil {
		return err
	}
	store := newPlatformStore(addresses[0])
	quarantined, err := readQuarantine(cmd.Context(), store)
	if err != nil {
		return err
	}
	for _, part := range args[1:] {
		if !slices.ContainsFunc(quarantined, func(q quarantinedPart) bool { return q.Part == part }) {
			return errors.Wrapf(errNotQuarantined, "part %q", part)
		}
	}
	for _, part := range args[1:] {
		if err := store.Put(tgplatform.TopicQuarantine, part, nil); err != nil {
			return errors.Wrapf(err, "release part %q", part)
		}
		fmt.Fprintf(c.stdout, "released %s\n", part)
	}
	return nil
}
