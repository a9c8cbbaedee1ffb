// Package tgdemo runs the real code of the daemons against stand-ins of the platform and the upstreams on loopback.
package tgdemo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgcompanion"
	"tanagergrade/io/tgentry"
	"tanagergrade/io/tghttp"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tglogclient"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgpublisher"
	"tanagergrade/io/tgstandin"
	"tanagergrade/io/tgupstream"
)

// Options are the demo's settings.
type Options struct {
	ExtraEntries int            // number of entries besides the first one
	Listen       netip.AddrPort // address of the first entry; the others use the next ports, or free ports if its port is 0
	Logger       *logrus.Logger
	Progress     io.Writer // shows progress; nil for none
	Requests     int       // number of requests to send; 0 to run until interrupted
	Seed         uint64    // of the random choice of requests
}

const (
	logRetention  = 48 * time.Hour
	readyTimeout  = 20 * time.Second
	tokenInterval = 5 * time.Millisecond
	vmListLag     = time.Second
)

// Demo is a running demo.
type Demo struct {
	companions  []*tgcompanion.Companion
	cfg         *tgconfig.Config
	engines     []*tgstandin.Engine // engine i is in data centre i modulo dataCentreCount
	group       *tgstandin.RankGroup
	entries     []netip.AddrPort // addresses of the entries
	ledgerStore *tgstandin.LedgerStore
	log         *tgstandin.Log
	logAddr     netip.AddrPort
	options     Options
	relay       *tgstandin.Relay // between the entries and the companion of the second engine
	seeds       []netip.AddrPort // link addresses that a new node contacts first
	tls         *tls.Config
	vms         *tgstandin.VMList
	vmsAddr     netip.AddrPort
	wg          conc.WaitGroup
}

// Start starts the platform's stand-ins and the daemons; they run until ctx ends.
func Start(ctx context.Context, options Options) (*Demo, error) {
	tlsConfig, err := tgkey.NewMemoryConfig()
	if err != nil {
		return nil, err
	}
	d := &Demo{
		cfg: newConfig(), ledgerStore: &tgstandin.LedgerStore{}, log: tgstandin.NewLog(logRetention), options: options,
		tls: tlsConfig, vms: tgstandin.NewVMList(vmListLag),
	}
	for _, step := range []func(context.Context) error{
		d.startPlatform, d.startUpstreams, d.publishConfig, d.startEntries, d.awaitReady,
	} {
		if err := step(ctx); err != nil {
			return d, err
		}
	}
	return d, nil
}

// Wait waits until all daemons have stopped.
func (d *Demo) Wait() { d.wg.Wait() }

func (d *Demo) startPlatform(context.Context) error {
	log, err := tgstandin.Serve(d.log.Handle)
	if err != nil {
		return err
	}
	vms, err := tgstandin.Serve(d.vms.Handle)
	if err != nil {
		return err
	}
	d.logAddr, d.vmsAddr = log.Address(), vms.Address()
	return nil
}

func (d *Demo) startUpstreams(ctx context.Context) error {
	for i := range engineCount {
		e := tgstandin.NewEngine(fmt.Sprintf("draft-%d", i+1), tokenInterval)
		d.engines = append(d.engines, e)
		server, err := tgstandin.Serve(e.Handle)
		if err != nil {
			return err
		}
		if err := d.startCompanion(ctx, e.Name, modelPool, dataCentreName(i), server.Address()); err != nil {
			return err
		}
	}
	for i := range ledgerCount {
		l := &tgstandin.Ledger{Name: fmt.Sprintf("ledger-%d", i+1), Store: d.ledgerStore}
		server, err := tgstandin.Serve(l.Handle)
		if err != nil {
			return err
		}
		if err := d.startCompanion(ctx, l.Name, plainPool, dataCentreName(i), server.Address()); err != nil {
			return err
		}
	}
	if err := d.startRelay(d.engines[1].Name); err != nil {
		return err
	}
	return d.startGroup(ctx)
}

// startRelay puts a UDP relay between the entries and the companion of upstream.
func (d *Demo) startRelay(upstream string) error {
	u := d.cfg.Upstreams[upstream]
	relay, err := tgstandin.NewRelay(u.Companion)
	if err != nil {
		return err
	}
	d.relay = relay
	u.Companion = relay.Address()
	d.cfg.Upstreams[upstream] = u
	return nil
}

func (d *Demo) newNode(name, dataCentre string) (*tgnode.Node, error) {
	transport, err := tglink.Listen(netip.MustParseAddrPort("127.0.0.1:0"), d.tls)
	if err != nil {
		return nil, err
	}
	address := transport.Address()
	d.vms.Set(tgstandin.VM{Address: address, DataCentre: dataCentre, Name: name, State: "live"})
	node := tgnode.New(tgnode.Settings{
		DataCentre: dataCentre, LinkAddress: address, LogAddress: d.logAddr, Name: name, Seeds: d.seeds,
		VMListAddress: d.vmsAddr,
	}, transport, d.options.Logger)
	if len(d.seeds) < dataCentreCount {
		d.seeds = append(d.seeds, address)
	}
	return node, nil
}

func (d *Demo) startCompanion(ctx context.Context, upstream, pool, dataCentre string, address netip.AddrPort) error {
	node, err := d.newNode("companion-"+upstream, dataCentre)
	if err != nil {
		return err
	}
	d.cfg.Upstreams[upstream] = newUpstream(pool, dataCentre, address, node.Settings.LinkAddress)
	c := tgcompanion.New(node, upstream, tgupstream.New(address))
	d.companions = append(d.companions, c)
	d.wg.Go(func() {
		if err := c.Run(ctx); err != nil {
			node.Log.WithError(err).Error("companion stopped")
		}
	})
	return nil
}

func (d *Demo) startEntries(ctx context.Context) error {
	for i := range 1 + d.options.ExtraEntries {
		address := d.options.Listen
		if address.Port() != 0 {
			address = netip.AddrPortFrom(address.Addr(), address.Port()+uint16(i))
		}
		if err := d.startEntry(ctx, i, address); err != nil {
			return err
		}
	}
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

func (d *Demo) publishConfig(ctx context.Context) error {
	return d.publish(ctx, func(cfg *tgconfig.Config) (tgconfig.Change, error) { return tgconfig.Diff(cfg, d.cfg) })
}

func (d *Demo) publish(ctx context.Context, build func(*tgconfig.Config) (tgconfig.Change, error)) error {
	_, err := tgpublisher.New(tglogclient.New(d.logAddr), "demo").Publish(ctx, build)
	return errors.Wrap(err, "publish configuration")
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

func ready(address netip.AddrPort) bool {
	status, _, err := tghttp.NewClient().GetTimeout(nil, "http://"+address.String()+"/readyz", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// Describe prints the addresses of the demo's services and a curl command for each kind of request.
func (d *Demo) Describe(w io.Writer) {
	fmt.Fprintf(w, "log service  http://%s\nVM list      http://%s\n", d.logAddr, d.vmsAddr)
	for i, address := range d.entries {
		fmt.Fprintf(w, "entry-%-6d http://%s (%s)\n", i+1, address, dataCentreName(i))
	}
	fmt.Fprintf(w, "upstreams    %d engines of model %s and %d ledgers in %s, %s, %s, each with a companion\n",
		engineCount, draftModel, ledgerCount, dataCentreName(0), dataCentreName(1), dataCentreName(2))
	fmt.Fprintf(w, "rank group   %s, %d ranks of model %s in %s\n", groupName, groupRanks, groupModel, dataCentreName(0))
	base := "http://" + d.entries[0].String()
	auth := "-H 'Authorization: Bearer " + bearerKey(accounts[0].name) + "'"
	chat := `{"model":"` + draftModel + `","stream":%t,"messages":[{"role":"user","content":"hello"}]}`
	fmt.Fprintf(w, "\ndraft    curl -N %s %s/v1/chat/completions -d '%s'\n", auth, base, fmt.Sprintf(chat, true))
	fmt.Fprintf(w, "grouped  curl -N %s %s/v1/chat/completions -d '%s'\n", auth, base,
		strings.ReplaceAll(fmt.Sprintf(chat, true), draftModel, groupModel))
	fmt.Fprintf(w, "summary  curl %s %s/v1/chat/completions -d '%s'\n", auth, base, fmt.Sprintf(chat, false))
	fmt.Fprintf(w, "promise  curl %s -H 'Idempotency-Key: %s' %s%s -d '{\"amount\":100}'\n", auth, newKey(), base, plainRoute)
	fmt.Fprintf(w, "balance  curl %s %s%s\n\n", auth, base, plainRoute)
}
