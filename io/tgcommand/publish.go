package tgcommand

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgpublisher"
)

type publishFlags struct {
	comment string
	delete  bool
	files   tgflag.Files
	keys    tgflag.Keys
	log     tgflag.Log
	wait    bool
	writer  string
}

const appliedPollInterval = 200 * time.Millisecond // between status requests to daemons that have not applied the change

func (c *config) newPublishCmd() *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.NoArgs,
		Example: "  tanagergrade config publish --config base.toml --overlay bkk-a.toml --overlay bkk-b.toml \\\n" +
			"    --overlay bkk-c.toml --log-address 10.0.0.9:9000 --comment 'add draft-13'",
		Long: "Publishes the difference between the files and the accepted configuration as one change, or as several\n" +
			"if it is large, and waits for the verdicts. Give the overlays of all sites: entities that the files leave out are deleted, which needs\n" +
			"--delete. A state that the files leave out keeps its current value.",
		RunE:  c.runPublish,
		Short: "Publish configuration files",
		Use:   "publish",
	}
	flags, p := cmd.Flags(), &c.publish
	p.files.Register(flags)
	p.keys.Register(flags)
	p.log.Register(flags)
	flags.StringVar(&p.comment, "comment", "", "reason, shown by \"config history\"")
	flags.BoolVar(&p.delete, "delete", false, "delete entities that the files leave out")
	flags.BoolVar(&p.wait, "wait", false, "wait until every process of the files has applied the change")
	flags.StringVar(&p.writer, "writer", defaultWriter(), "name shown by \"config history\"")
	return cmd
}

func (c *config) runPublish(cmd *cobra.Command, _ []string) error {
	p := &c.publish
	d, err := p.files.Load()
	if err != nil {
		return err
	}
	client, err := p.log.Client()
	if err != nil {
		return err
	}
	var admin *tgadmin.Client
	if p.wait {
		if admin, err = p.keys.Client(); err != nil {
			return err
		}
	}
	ctx, cancel := p.log.Context(cmd.Context())
	defer cancel()
	results, err := tgpublisher.New(client, p.writer).Publish(ctx, p.change(d))
	for _, r := range results {
		fmt.Fprintf(c.stdout, "accepted at offset %d, %d entities (change %s)\n", r.Offset, len(r.Entities), r.ID)
	}
	switch {
	case err != nil && len(results) > 0:
		return errors.Wrap(err, "the changes above are accepted, but not the rest")
	case err != nil:
		return err
	case len(results) == 0:
		fmt.Fprintln(c.stdout, "nothing to change")
		return nil
	case p.wait:
		return c.awaitApplied(ctx, admin, d.Processes, results[len(results)-1].Offset)
	default:
		return nil
	}
}

// change returns a function that computes the change from the accepted configuration to that of d.
func (p *publishFlags) change(d *tgconfig.Document) func(*tgconfig.Config) (tgconfig.Change, error) {
	return func(cfg *tgconfig.Config) (tgconfig.Change, error) {
		change, err := tgconfig.Diff(cfg, d.ConfigToPublish(cfg))
		if err != nil {
			return change, err
		}
		change.Comment = p.comment
		var deleted []string
		for _, e := range change.Entities {
			if e.Deleted {
				deleted = append(deleted, tgpublisher.FormatEntity(e.Entity))
			}
		}
		if len(deleted) > 0 && !p.delete {
			return change, errors.Newf("the files leave out %s; give all overlays, or --delete to delete them",
				strings.Join(deleted, ", "))
		}
		return change, nil
	}
}

// awaitApplied polls the status of all processes until each has applied the change at offset.
func (c *config) awaitApplied(
	ctx context.Context, admin *tgadmin.Client, processes map[string]tgconfig.Process, offset uint64,
) error {
	var addresses []netip.AddrPort
	names := map[netip.AddrPort]string{}
	for name, p := range processes {
		addresses = append(addresses, p.AdminAddress)
		names[p.AdminAddress] = name
	}
	for {
		var lagging []netip.AddrPort
		for _, r := range admin.StatusAll(ctx, addresses) {
			if r.Err != nil || r.Status.Applied <= offset {
				lagging = append(lagging, r.Address)
			}
		}
		if len(lagging) == 0 {
			fmt.Fprintf(c.stdout, "in effect in %d processes\n", len(processes))
			return nil
		}
		addresses = lagging
		select {
		case <-ctx.Done():
			laggingNames := make([]string, len(lagging))
			for i, address := range lagging {
				laggingNames[i] = names[address]
			}
			slices.Sort(laggingNames)
			return errors.Newf("the change is accepted, but these processes have not shown that they applied it: %s",
				strings.Join(laggingNames, ", "))
		case <-time.After(appliedPollInterval):
		}
	}
}
