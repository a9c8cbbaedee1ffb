package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tanagergrade/platform/tgemulator"
)

const (
	program   = "target/tanagergrade" // of the deploy file, below the root of the repository
	routeHost = "files.example"
	key       = "k4d0s8w2m6"
	tenant    = "tenant-a"
	heartbeat = 1200 * time.Millisecond
)

// deployment is a small deployment on loopback addresses: a store, engines and the daemons.
type deployment struct {
	cancel  context.CancelFunc
	ctx     context.Context //nolint:containedctx // lives as long as the deployment
	dir     string
	net     int       // second and third byte of all addresses
	once    sync.Once // guards the end
	procs   []*daemon
	rec     *record
	store   *tgemulator.Store
	storeAt string
}

// daemon is a process of the project.
type daemon struct {
	cmd     *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	ip      string
	log     *os.File
	name    string
	started time.Time
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		cancel: cancel, ctx: ctx, dir: dir, net: rand.IntN(200 * 250), rec: rec, store: tgemulator.NewStore(), //nolint:gosec // an address
	}
	if d.storeAt, err = d.listen(d.ip(1), func(l net.Listener) { _ = d.store.Serve(l) }); err != nil {
		return nil, err
	}
	return d, nil
}

// ip returns an address of the deployment.
func (d *deployment) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+d.net/250, 1+d.net%250, host)
}

// listen serves on a free port of an address and returns both.
func (d *deployment) listen(ip string, serve func(net.Listener)) (addr string, err error) {
	var lc net.ListenConfig
	l, err := lc.Listen(d.ctx, "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	context.AfterFunc(d.ctx, func() { _ = l.Close() })
	go serve(l)
	return l.Addr().String(), nil
}

// put writes a record as the operator or an engine does.
func (d *deployment) put(topic, name string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all records can be encoded
	}
	d.store.Put(topic, name, data)
}

// bounds are those of the site slrc-collect.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "revocationStrict": false,
		"revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBurst": 94, "coldOverrun": 1.5, "coldSlack": 5,
		"evacuateMs": 5000, "recoveryS": 12, "iterationMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingEnforced": true,
	}
}

// startEntry starts an entry daemon, waits until it is ready, and returns the address for its clients.
func (d *deployment) startEntry(host int) (p *daemon, clients string, err error) {
	ip := d.ip(host)
	clients = ip + ":8227"
	ready := ip + ":8220"
	settings := map[string]any{
		"bootstrap": true, "bounds": bounds(), "dataDir": nil, "discovery": "platform", "entry": "virtual_ip",
		"heartbeatMs": heartbeat.Milliseconds(), "internalPorts": []int{7340, 7355}, "ip": ip,
		"limits": map[string]any{
			"cpuCores": 1, "cpuQuota": 0.304, "diskMb": 0, "linkMbps": 1000.0, "maxFds": 4100, "memoryMb": 284,
		},
		"listen": map[string]any{"frontend": clients, "ready": ready}, "machineClass": "edge",
		"nodeName": fmt.Sprintf("edge-bkk-a-%d", host),
		"platform": map[string]any{
			"address": d.storeAt, "appendMs": 4.0, "form": "log", "keep_s": 300, "parts": 8, "readsPerS": 2000, "ttlMinMs": 1000,
			"writesPerS": 400,
		},
		"region": "bkk", "role": "entry", "serves": []string{"edge"}, "zone": "bkk-a",
		"zones": map[string]string{"bkk-a": "bkk", "bkk-b": "bkk", "bkk-c": "bkk"},
	}
	p, err = d.start("entry", host, settings)
	if err != nil {
		return nil, "", err
	}
	return p, clients, d.awaitReady(ready)
}

// start starts a daemon with the command of the deploy file.
func (d *deployment) start(role string, host int, settings map[string]any) (*daemon, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("%s-%d", role, host)
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	p := &daemon{ended: make(chan struct{}), ip: d.ip(host), name: name, started: time.Now()}
	if p.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "platform", role) //nolint:noctx // it is ended by its id
	p.cmd.Env = append(os.Environ(), "TANAGERGRADE_NODE_FILE="+path)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	d.rec.linef("%s starts", name)
	d.procs = append(d.procs, p)
	go func() {
		err := p.cmd.Wait()
		d.rec.linef("%s has ended: %s", name, describe(err))
		close(p.ended)
	}()
	return p, nil
}

// awaitReady waits until a daemon says that it is ready.
func (d *deployment) awaitReady(addr string) error {
	for range 100 {
		if isReady(d.ctx, addr) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemon is not ready after 10 s")
}

func isReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to a daemon.
func (d *deployment) signal(p *daemon, s syscall.Signal) {
	d.rec.linef("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s) // fails only if it has ended
}

// stop ends all processes.
func (d *deployment) stop() { d.once.Do(d.end) }

func (d *deployment) end() {
	for _, p := range d.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
		_ = p.log.Close()
	}
	d.cancel()
	_ = os.RemoveAll(d.dir)
}
