// Package tgdemo runs the daemons' real code against the stand-ins on loopback.
package tgdemo

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"tanagergrade/core/tgconfig"
	"tanagergrade/core/tgrecord"
	"tanagergrade/io/tgcompanion"
	"tanagergrade/io/tgentry"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Options are the demo's settings.
type Options struct {
	Entries  int            // further entries beside the first
	Listen   netip.AddrPort // the first entry's address
	Logger   *logrus.Logger
	Requests int // 0 to stay until interrupted
	Seed     uint64
}

const (
	dataCentres  = 3
	engines      = 6
	ledgers      = 3
	tokenPause   = 5 * time.Millisecond
	logRetention = time.Hour
	demoKey      = "demo-key"
	readyTimeout = 10 * time.Second
)

// Demo is a running demo.
type Demo struct {
	book    *tgstandin.Book
	cfg     *tgconfig.Config
	entries []netip.AddrPort
	log     *tgstandin.Log
	logAddr netip.AddrPort
	options Options
	tls     *tls.Config
	wg      conc.WaitGroup
}

// Start starts the platform's stand-ins and the daemons; they run until ctx ends.
func Start(ctx context.Context, options Options) (*Demo, error) {
	tlsConfig, err := tgkey.NewMemoryConfig()
	if err != nil {
		return nil, err
	}
	d := &Demo{book: &tgstandin.Book{}, log: tgstandin.NewLog(logRetention), options: options, tls: tlsConfig}
	server, err := tgstandin.Serve(d.log.Handle)
	if err != nil {
		return nil, err
	}
	d.logAddr = server.Address()
	d.newConfig()
	if err := d.startUpstreams(ctx); err != nil {
		return nil, err
	}
	if err := d.publish(ctx); err != nil {
		return nil, err
	}
	for i := range 1 + options.Entries {
		address := options.Listen
		if address.Port() != 0 {
			address = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		}
		if err := d.startEntry(ctx, i, address); err != nil {
			return nil, err
		}
	}
	return d, d.awaitReady(ctx)
}

// Wait waits until all daemons have stopped.
func (d *Demo) Wait() { d.wg.Wait() }

func (d *Demo) newConfig() {
	sum := sha256.Sum256([]byte(demoKey))
	d.cfg = &tgconfig.Config{
		Accounts:    map[string]tgconfig.Account{"demo": {KeyHash: hex.EncodeToString(sum[:]), Priority: "live", Share: 1}},
		DataCentres: map[string]tgconfig.DataCentre{},
		Pools: map[string]tgconfig.Pool{
			"drafting": {Kind: tgconfig.ModelPool, Models: []string{"thai-draft"}},
			"ledger": {
				Kind: tgconfig.PlainPool, PathPrefix: "/ledger/",
				Operations: []tgconfig.Operation{{Idempotent: true, Method: "GET", Path: "/ledger/promises"}},
			},
		},
		Settings:  tgconfig.DefaultSettings(),
		Upstreams: map[string]tgconfig.Upstream{},
	}
	for i := range dataCentres {
		d.cfg.DataCentres[dataCentreName(i)] = tgconfig.DataCentre{Region: "bkk", State: tgconfig.Active}
	}
}

func dataCentreName(i int) string { return "bkk-" + string(rune('a'+i%dataCentres)) }

func (d *Demo) startUpstreams(ctx context.Context) error {
	for i := range engines {
		e := tgstandin.NewEngine(fmt.Sprintf("draft-%d", i+1), tokenPause)
		server, err := tgstandin.Serve(e.Handle)
		if err != nil {
			return err
		}
		if err := d.startCompanion(ctx, e.Name, "drafting", dataCentreName(i), server.Address()); err != nil {
			return err
		}
	}
	for i := range ledgers {
		l := &tgstandin.Ledger{Book: d.book, Name: fmt.Sprintf("ledger-%d", i+1)}
		server, err := tgstandin.Serve(l.Handle)
		if err != nil {
			return err
		}
		if err := d.startCompanion(ctx, l.Name, "ledger", dataCentreName(i), server.Address()); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) newNode(name, dataCentre string) (*tgnode.Node, error) {
	transport, err := tglink.Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.tls)
	if err != nil {
		return nil, err
	}
	settings := tgnode.Settings{
		DataCentre: dataCentre, LinkAddress: transport.Address(), LogAddress: d.logAddr, Name: name,
	}
	return tgnode.New(settings, transport, d.options.Logger), nil
}

func (d *Demo) startCompanion(ctx context.Context, upstream, pool, dataCentre string, address netip.AddrPort) error {
	node, err := d.newNode("companion-"+upstream, dataCentre)
	if err != nil {
		return err
	}
	d.cfg.Upstreams[upstream] = tgconfig.Upstream{
		Address: address, Companion: node.Settings.LinkAddress, DataCentre: dataCentre, Pool: pool, State: tgconfig.Active,
	}
	c := tgcompanion.New(node, upstream, tgupstream.New(address))
	d.wg.Go(func() {
		if err := c.Run(ctx); err != nil {
			node.Log.WithError(err).Error("companion stopped")
		}
	})
	return nil
}

func (d *Demo) startEntry(ctx context.Context, i int, address netip.AddrPort) error {
	node, err := d.newNode(fmt.Sprintf("entry-%d", i+1), dataCentreName(i))
	if err != nil {
		return err
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	bound, _ := listener.Addr().(*net.TCPAddr)
	d.entries = append(d.entries, bound.AddrPort())
	e := tgentry.New(node)
	d.wg.Go(func() {
		if err := e.Run(ctx, listener); err != nil {
			node.Log.WithError(err).Error("entry stopped")
		}
	})
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	change, err := tgconfig.Diff(tgconfig.NewState().Config(), d.cfg)
	if err != nil {
		return err
	}
	record, err := tgrecord.New(tgrecord.KindConfigChange, "demo", 0, change)
	if err != nil {
		return err
	}
	_, err = tglogclient.New(d.logAddr).Append(ctx, tgnode.ConfigStream, []tgrecord.Record{record})
	return errors.Wrap(err, "publish the demo's configuration")
}

func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, address := range d.entries {
		for !ready(address) {
			if ctx.Err() != nil {
				return errors.Newf("entry at %s did not become ready", address)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Describe prints what runs where and one command per kind of request.
func (d *Demo) Describe(w io.Writer) {
	fmt.Fprintf(w, "log service  %s\n", d.logAddr)
	for i, address := range d.entries {
		fmt.Fprintf(w, "entry-%d      %s\n", i+1, address)
	}
	base := "http://" + d.entries[0].String()
	auth := "-H 'Authorization: Bearer " + demoKey + "'"
	fmt.Fprintf(w, "\ncurl -N %s %s/v1/chat/completions -d '%s'\n", auth, base,
		`{"model":"thai-draft","stream":true,"messages":[{"role":"user","content":"hello"}]}`)
	fmt.Fprintf(w, "curl %s -H 'Idempotency-Key: %s' %s/ledger/promises -d '%s'\n", auth, newKey(), base, `{"amount":100}`)
	fmt.Fprintf(w, "curl %s %s/ledger/promises\n", auth, base)
}
