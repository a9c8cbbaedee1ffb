package tgcommand

import (
	"context"
	"fmt"
	"net/netip"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgpublisher"
)

// capacityFlags are the flags of the commands that remove capacity from service or restore it.
type capacityFlags struct {
	comment string
	keys    tgflag.Keys
	log     tgflag.Log
	via     netip.AddrPort
	writer  string
}

func defaultWriter() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

// newCapacityCmd returns a command that sets the state of the data centre or upstream that its argument names.
func (c *config) newCapacityCmd(use string, kind tgconfig.EntityKind, state tgconfig.CapacityState) *cobra.Command {
	cmd := &cobra.Command{
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.setState(cmd.Context(), tgconfig.Entity{Kind: kind, Name: args[0]}, state)
		},
		Use: use + " NAME",
	}
	flags := cmd.Flags()
	flags.StringVar(&c.capacity.comment, "comment", "", "reason, shown by \"config history\"")
	c.capacity.log.Register(flags)
	flags.StringVar(&c.capacity.writer, "writer", defaultWriter(), "name shown by \"config history\"")
	if state != tgconfig.Active { // a volatile mark can only remove capacity
		c.capacity.keys.Register(flags)
		flags.TextVar(&c.capacity.via, "via", netip.AddrPort{},
			"in a log outage: send a volatile mark to the daemon with this admin address `IP:port`")
	}
	return cmd
}

func (c *config) setState(ctx context.Context, entity tgconfig.Entity, state tgconfig.CapacityState) error {
	if c.capacity.via.IsValid() {
		return c.sendMark(ctx, entity)
	}
	client, err := c.capacity.log.Client()
	if err != nil {
		return err
	}
	ctx, cancel := c.capacity.log.Context(ctx)
	defer cancel()
	results, err := tgpublisher.New(client, c.capacity.writer).Publish(ctx,
		func(cfg *tgconfig.Config) (tgconfig.Change, error) {
			change, err := stateChange(cfg, entity, state)
			change.Comment = c.capacity.comment
			return change, err
		})
	if err != nil {
		return err
	}
	name := tgpublisher.FormatEntity(entity)
	if len(results) == 0 {
		fmt.Fprintf(c.stdout, "%s is %s already\n", name, state)
		return nil
	}
	fmt.Fprintf(c.stdout, "%s is %s, accepted at offset %d (change %s)\n", name, state, results[0].Offset, results[0].ID)
	return nil
}

// stateChange returns the change of cfg that sets the state of entity. It is empty if entity already has that state.
func stateChange(cfg *tgconfig.Config, entity tgconfig.Entity, state tgconfig.CapacityState) (tgconfig.Change, error) {
	var value any
	var ok bool
	var current tgconfig.CapacityState
	if entity.Kind == tgconfig.EntityDataCentre {
		var dc tgconfig.DataCentre
		dc, ok = cfg.DataCentres[entity.Name]
		current = dc.State
		dc.State = state
		value = dc
	} else {
		var u tgconfig.Upstream
		u, ok = cfg.Upstreams[entity.Name]
		current = u.State
		u.State = state
		value = u
	}
	if !ok {
		return tgconfig.Change{}, errors.Newf("%s does not exist", tgpublisher.FormatEntity(entity))
	}
	if current == state || current == "" && state == tgconfig.Active {
		return tgconfig.Change{}, nil
	}
	raw, err := cbor.Marshal(value)
	if err != nil {
		return tgconfig.Change{}, errors.Wrapf(err, "encode %s", tgpublisher.FormatEntity(entity))
	}
	return tgconfig.Change{Entities: []tgconfig.EntityChange{{Entity: entity, Value: raw}}}, nil
}

// sendMark removes capacity during an outage of the log: it sends a volatile mark to the daemon given by --via.
func (c *config) sendMark(ctx context.Context, entity tgconfig.Entity) error {
	client, err := c.capacity.keys.Client()
	if err != nil {
		return err
	}
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "generate an ID for the mark")
	}
	m := tgadmin.Mark{Entity: entity, ID: id, Writer: c.capacity.writer}
	if err := client.SendMark(ctx, c.capacity.via, m); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "mark %s for %s was taken by %s; the daemons record it when the log returns\n",
		id, tgpublisher.FormatEntity(entity), c.capacity.via)
	return nil
}
