package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagergrade/platform/tgemulator"
)

// Ports of the daemons, each on a loopback address of its own.
const (
	callersPort   = 8227
	readyPort     = 8220
	firstPeerPort = 7340
	lastPeerPort  = 7355
	metricsPort   = 9464
)

// Topics and keys of the platform's store that the operator and the engines write.
const (
	topicOperator = "keyed.op"
	topicEngines  = "keyed.servers"
	configKey     = "config"
)

// deployment is a small deployment on loopback: a store, and the daemons that a case starts.
type deployment struct {
	ctx       context.Context //nolint:containedctx // lives as long as the case
	dir       string          // temporary folder with settings and logs
	listeners []net.Listener
	processes []*process
	rec       *record
	store     *tgemulator.Store
	storeAddr string
	subnet    int // second byte of all addresses
}

const (
	firstSubnet = 80
	subnets     = 40
)

func newDeployment(ctx context.Context, rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{ctx: ctx, dir: dir, rec: rec, store: tgemulator.NewStore()}
	if err := d.takeSubnet(); err != nil {
		return nil, err
	}
	if d.storeAddr, err = d.listen(d.ip(1, 0), func(l net.Listener) { _ = d.store.Serve(l) }); err != nil {
		return nil, err
	}
	return d, nil
}

// takeSubnet chooses a second byte of loopback addresses on which the ports of the daemons are free. A listener keeps other
// runs from it until the case ends.
func (d *deployment) takeSubnet() error {
	var lc net.ListenConfig
	first := rand.IntN(subnets)
	for i := range subnets {
		d.subnet = firstSubnet + (first+i)%subnets
		lock, err := lc.Listen(d.ctx, "tcp", fmt.Sprintf("%s:%d", d.ip(1, 0), firstPeerPort))
		if err != nil {
			continue
		}
		free := true
		for _, port := range []int{callersPort, readyPort, firstPeerPort, metricsPort} {
			l, err := lc.Listen(d.ctx, "tcp", fmt.Sprintf("%s:%d", d.ip(2, 0), port))
			if free = err == nil; !free {
				break
			}
			_ = l.Close()
		}
		if free {
			d.listeners = append(d.listeners, lock)
			return nil
		}
		_ = lock.Close()
	}
	return errors.New("no loopback subnet has free ports")
}

// ip returns the i-th address of a kind: 1 for the store, 2 for daemons, 3 for engines, 4 for proxies before engines.
func (d *deployment) ip(kind, i int) string { return fmt.Sprintf("127.%d.%d.%d", d.subnet, kind, i+1) }

// listen serves a free port of an address until the case ends and returns its address.
func (d *deployment) listen(ip string, serve func(net.Listener)) (string, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(d.ctx, "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	d.listeners = append(d.listeners, l)
	go serve(l)
	return l.Addr().String(), nil
}

// put writes a record as the operator or an engine does.
func (d *deployment) put(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // all records can be encoded
	}
	d.store.Put(topic, key, data)
}

// registerEngine writes the registration of a model engine.
func (d *deployment) registerEngine(id, addr string) {
	d.put(topicEngines, id, map[string]any{
		"address": addr, "born": time.Now().UnixMilli(), "coldRemainingMs": 0, "seq": time.Now().UnixMilli(),
		"service": poolModel, "slots": 12, "state": "ready", "version": "1", "zone": zones[0],
	})
}

// bounds are those of the users' first deployments.
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2,
	"budgetWindowS": 10, "retryBurst": 94, "coldOverrun": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12,
	"iterationMs": 120, "retryAfterS": 0, "stall_ms": 1500, "fencingEnforced": true,
}

// startEntry starts an entry in the first zone and returns the address for clients.
func (d *deployment) startEntry(i int) (string, error) { return d.startEntryIn(zones[0], i) }

// zones are the zones of the deployment.
var zones = [...]string{"dc-0", "dc-1"}

// startEntryIn starts an entry in a zone and returns the address for clients.
func (d *deployment) startEntryIn(zone string, i int) (string, error) {
	ip := d.ip(2, i)
	frontend := fmt.Sprintf("%s:%d", ip, callersPort)
	return frontend, d.start(fmt.Sprintf("entry-%d", i), "entry", ip, map[string]any{
		"limits": map[string]any{"memoryMb": 284},
		"listen": map[string]any{"frontend": frontend, "ready": fmt.Sprintf("%s:%d", ip, readyPort)},
		"zone":   zone,
	})
}

// startCompanion starts the companion beside the engine at app.
func (d *deployment) startCompanion(i int, app, service string) error {
	return d.start(fmt.Sprintf("companion-%d", i), "companion", d.ip(2, i), map[string]any{
		"app": app, "limits": map[string]any{"memoryMb": 152}, "listen": map[string]any{}, "service": service, "zone": zones[0],
	})
}

func (d *deployment) start(name, role, ip string, settings map[string]any) error {
	settings["bounds"], settings["heartbeatMs"], settings["ip"] = bounds, 1200, ip
	settings["internalPorts"] = []int{firstPeerPort, lastPeerPort}
	settings["nodeName"] = name
	settings["platform"] = map[string]any{"address": d.storeAddr, "form": "log", "ttlMinMs": 1000}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(d.ctx, "target/tanagergrade", "platform", role) // as in deploy/system.toml
	cmd.Env = append(os.Environ(), "TANAGERGRADE_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{}), log: log, name: name}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	d.processes = append(d.processes, p)
	d.rec.linef("started %s: target/tanagergrade platform %s", name, role)
	return nil
}

// process is a daemon.
type process struct {
	cmd    *exec.Cmd
	err    error         // of the process, once it has exited
	exited chan struct{} // closed when the process has exited
	log    *os.File
	name   string
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// process returns the daemon with a name.
func (d *deployment) process(name string) *process {
	for _, p := range d.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

// logLines returns the lines of the daemons' logs that contain text, with the name of the daemon.
func (d *deployment) logLines(text string) []string {
	var found []string
	for _, p := range d.processes {
		data, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.SplitSeq(string(data), "\n") {
			if strings.Contains(line, text) {
				found = append(found, p.name+": "+line)
			}
		}
	}
	return found
}

// sleep waits and reports whether the case goes on.
func (d *deployment) sleep(t time.Duration) bool {
	select {
	case <-d.ctx.Done():
		return false
	case <-time.After(t):
		return true
	}
}

// close ends all processes that the case started.
func (d *deployment) close() {
	var wg sync.WaitGroup
	for _, p := range d.processes {
		wg.Go(func() {
			p.signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.exited
			_ = p.log.Close()
		})
	}
	wg.Wait()
	for _, l := range d.listeners {
		_ = l.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
