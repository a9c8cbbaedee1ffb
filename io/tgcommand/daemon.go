package tgcommand

import (
	"context"
	"expvar"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"tanagergrade/core/tgconfig"
	"tanagergrade/io/tgadmin"
	"tanagergrade/io/tgexit"
	"tanagergrade/io/tgflag"
	"tanagergrade/io/tgkey"
	"tanagergrade/io/tglink"
	"tanagergrade/io/tgnode"
	"tanagergrade/io/tgquery"
)

type daemonFlags struct {
	files    tgflag.Files
	logLevel string
	name     string
}

func (f *daemonFlags) register(cmd *cobra.Command) {
	f.files.Register(cmd.Flags())
	cmd.Flags().StringVar(&f.logLevel, "log-level", "info", "debug, info, warning or error")
	cmd.Flags().StringVar(&f.name, "name", "", "name of the process in the files")
}

// daemon holds what entry and companion daemons have in common.
type daemon struct {
	admin     *tgadmin.Server
	document  *tgconfig.Document
	keys      *tgkey.Keys
	log       *logrus.Entry
	node      *tgnode.Node
	process   tgconfig.Process
	registry  *tgadmin.Registry
	started   time.Time
	transport *tglink.Transport
}

// newDaemon opens the link and admin addresses of the process that the flags name. It serves no requests yet.
func (c *config) newDaemon(ctx context.Context, role tgconfig.Role) (*daemon, error) {
	logger := logrus.New()
	logger.SetOutput(c.stderr)
	level, err := logrus.ParseLevel(c.daemon.logLevel)
	if err != nil {
		return nil, tgexit.Usagef("--log-level %q is not a level", c.daemon.logLevel)
	}
	logger.SetLevel(level)
	document, err := c.daemon.files.Load()
	if err != nil {
		return nil, err
	}
	p, ok := document.Processes[c.daemon.name]
	switch {
	case c.daemon.name == "":
		return nil, tgexit.Usagef("--name is missing")
	case !ok:
		return nil, errors.Newf("the files have no process %q", c.daemon.name)
	case p.Role != role:
		return nil, errors.Newf("process %q has role %q, not %q", c.daemon.name, p.Role, role)
	}
	d := &daemon{document: document, process: p, registry: tgadmin.NewRegistry(), started: time.Now()}
	d.log = logger.WithField("process", c.daemon.name)
	return d, d.open(ctx, c.daemon.name, logger)
}

func (d *daemon) open(ctx context.Context, name string, logger *logrus.Logger) error {
	p := d.process
	files := tgkey.Files{Authority: p.AuthorityFile, Certificate: p.CertificateFile, Key: p.KeyFile}
	var err error
	if d.keys, err = tgkey.Open(files, d.log); err != nil {
		return err
	}
	if d.transport, err = tglink.Listen(p.LinkAddress, d.keys.Config()); err != nil {
		return err
	}
	d.node = tgnode.New(tgnode.Settings{
		AdminAddress: p.AdminAddress, DataCentre: p.DataCentre, LinkAddress: p.LinkAddress,
		LogAddress: p.LogAddress, Name: name, Seeds: p.Seeds, VMListAddress: p.VMListAddress,
	}, d.transport, logger)
	d.admin, err = tgadmin.Listen(ctx, p.AdminAddress, d.keys.Config(), d.registry)
	if err != nil {
		return errors.CombineErrors(err, d.transport.Close())
	}
	return nil
}

// run serves the admin interface until the function run returns, which it must do once ctx is cancelled.
func (d *daemon) run(ctx context.Context, c component, run func(ctx context.Context) error) error {
	d.register(c)
	adminCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() {
		if err := d.admin.Run(adminCtx); err != nil {
			d.log.WithError(err).Error("admin interface stopped")
		}
	})
	d.log.WithFields(logrus.Fields{"admin": d.admin.Address(), "link": d.transport.Address(), "role": d.process.Role}).
		Info("started")
	err := run(ctx)
	stop()
	wg.Wait()
	err = errors.CombineErrors(err, d.transport.Close())
	d.log.Info("stopped")
	return err
}

// component is the entry or companion that a daemon runs.
type component interface{ Dump() any }

// register adds the dump sources and metrics that every daemon has, and those of c.
func (d *daemon) register(c component) {
	d.registry.SetStatus(d.status)
	d.registry.Add("config", func() any { return d.node.Config().Lines() })
	d.registry.Add("keys", func() any { return d.keys.State() })
	d.registry.Add("process", func() any { return d.status() })
	d.publishMetrics()
	d.node.RegisterAdmin(d.registry)
	role := string(d.process.Role)
	d.registry.Add(role, c.Dump)
	if v, ok := c.(interface{ Vars() *expvar.Map }); ok && expvar.Get(role) == nil {
		expvar.Publish(role, v.Vars())
	}
	if r, ok := c.(tgadmin.Registrar); ok {
		r.RegisterAdmin(d.registry)
	}
}

func (d *daemon) status() tgadmin.Status {
	s := tgadmin.Status{
		Applied: d.node.Applied(), DataCentre: d.process.DataCentre, Incarnation: d.node.Incarnation,
		Name: d.node.Settings.Name, Ready: true, Role: string(d.process.Role), Started: d.started, Version: tgquery.Version(),
	}
	if err := d.node.Ready(); err != nil {
		s.NotReady, s.Ready = err.Error(), false
	}
	return s
}

// publishMetrics publishes the metrics that every daemon has.
func (d *daemon) publishMetrics() {
	const name = "daemon"
	if expvar.Get(name) != nil { // published by another daemon in this process, as in tests
		return
	}
	m := expvar.NewMap(name)
	m.Set("applied", expvar.Func(func() any { return d.node.Applied() }))
	m.Set("keyNotAfterUnix", expvar.Func(func() any { return d.keys.State().NotAfter.Unix() }))
	m.Set("keyProblem", expvar.Func(func() any { return d.keys.State().Problem }))
	m.Set("ready", expvar.Func(func() any { return d.status().Ready }))
	m.Set("startedUnix", expvar.Func(func() any { return d.started.Unix() }))
}
