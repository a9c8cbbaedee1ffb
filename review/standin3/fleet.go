package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"tanagergrade/platform/tgemulator"
)

const (
	program     = "target/tanagergrade" // as the deploy file builds it
	routeHost   = "review.example"
	accountKey  = "key-of-the-review"
	accountName = "account"
	beat        = 1200 * time.Millisecond // between the registrations of an engine
	drainTime   = 2 * time.Second         // drainMs
	stableTime  = 3 * time.Second         // stabilityWindowMs
	statusOK    = 200
	soundOnes   = 5   // engines beside the one that crashes: one of six is a share of 0.17
	usualMemory = 284 // MB of an entry
	zone        = "z-a"
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	ctx       context.Context //nolint:containedctx // lives as long as the case
	cancel    context.CancelFunc
	dir       string
	engines   []*engine
	processes []*process
	record    *record
	store     *tgemulator.Store
	storeAddr string
	subnet    string // first three bytes of the addresses of the daemons
	version   int64
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{
		cancel: cancel, ctx: ctx, dir: dir, record: r, store: tgemulator.NewStore(),
		subnet: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)), //nolint:gosec // only has to be free
	}
	addr, err := f.store.ServeLoopback(ctx)
	f.storeAddr = addr.String()
	return f, err
}

// stop ends all processes that the case started.
func (f *fleet) stop() {
	for _, p := range f.processes {
		p.kill()
	}
	f.cancel()
	for _, e := range f.engines {
		e.close()
	}
	_ = os.RemoveAll(f.dir)
}

// put writes a record of the operator or of an engine.
func (f *fleet) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values of the cases can be encoded
	}
	f.store.Put(topic, key, data)
}

// route returns a route of the configuration under /NAME/.
func route(name, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"host": routeHost, "kind": kind, "maxAttempts": 2, "name": name, "pathPrefix": "/" + name + "/", "priority": 1,
		"service": service, "targetLatencyMs": 500, "timeoutMs": 20000,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// configure writes the next version of the configuration.
func (f *fleet) configure(routes []any, services ...string) {
	f.version++
	list := make([]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{"healthPath": "/healthz", "maxConnections": 200, "name": s})
	}
	f.put("keyed.op", "config", map[string]any{
		"limits": map[string]any{
			"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "maxBodyBytes": 4 << 20, "maxHeaderBytes": 16 << 10,
		},
		"routes": routes, "services": list,
		"tenants": []any{map[string]any{"apiKeys": []string{accountKey}, "name": accountName}},
		"version": f.version,
	})
}

// process is a daemon.
type process struct {
	callers string // address for callers, of an entry
	cmd     *exec.Cmd
	exited  chan struct{}
	fleet   *fleet
	name    string
	path    string // of the settings
}

// newEntry writes the settings of an entry and starts it.
func (f *fleet) newEntry(memoryMB int) (*process, error) {
	ip := fmt.Sprintf("%s.%d", f.subnet, 2+len(f.processes))
	p := &process{callers: ip + ":8227", fleet: f, name: fmt.Sprintf("entry-%d", len(f.processes))}
	s := map[string]any{
		"bounds": map[string]any{
			"budgetWindowS": 10, "coldOverrun": 1.5, "coldSlack": 5, "configApplyMs": 2000, "drainMs": drainTime.Milliseconds(),
			"evacuateMs": 5000, "graceS": 8, "iterationMs": 120, "retryBudgetRatio": 0.2, "retryBurst": 90,
			"stabilityWindowMs": stableTime.Milliseconds(), "stall_ms": 1500,
		},
		"heartbeatMs": beat.Milliseconds(), "internalPorts": []int{7340, 7355}, "ip": ip,
		"limits":   map[string]any{"memoryMb": memoryMB},
		"listen":   map[string]any{"frontend": p.callers, "ready": ip + ":8220"},
		"nodeName": p.name,
		"platform": map[string]any{"address": f.storeAddr, "form": "log", "ttlMinMs": 1000}, "zone": zone,
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	p.path = filepath.Join(f.dir, p.name+".json")
	if err := os.WriteFile(p.path, data, 0o600); err != nil {
		return nil, err
	}
	f.processes = append(f.processes, p)
	return p, p.start()
}

// start starts the daemon with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()                 // the daemon has a copy
	p.cmd = exec.Command(program, "platform", "entry") //nolint:noctx // ended by its id
	p.cmd.Env = append(os.Environ(), "TANAGERGRADE_NODE_FILE="+p.path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = endsWithParent()
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the exit is all that matters
		close(exited)
	}(p.cmd, p.exited)
	p.fleet.record.linef("started %s", p.name)
	return nil
}

// endsWithParent makes a process end when this one is killed.
func endsWithParent() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// log returns the lines of the daemon's log so far.
func (p *process) log() string {
	data, _ := os.ReadFile(filepath.Join(p.fleet.dir, p.name+".log"))
	return string(data)
}

// awaitServing waits until an entry answers a request of the route "any" with 200.
func (f *fleet) awaitServing(p *process) error {
	const tries = 100
	for range tries {
		if a := f.send(p.callers, newRequest("GET", "/any/x", nil)); a.status == statusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve", p.name)
}

// listen opens a listener on a free loopback port.
func (f *fleet) listen() (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(f.ctx, "tcp", "127.0.0.1:0")
}
