package tgstandin

import (
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// VM is one VM in the platform's list.
type VM struct {
	Address    netip.AddrPort `json:"address"` // of the daemon on it
	DataCentre string         `json:"dataCentre"`
	Name       string         `json:"name"`
	State      string         `json:"state"` // live or leaving
}

// VMPage is the reply to a read of the list: the VMs that changed after the requested version.
type VMPage struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// VMList is a stand-in of the platform's VM list.
type VMList struct {
	changes []vmChange // change i leads to version i+1
	down    bool
	lag     time.Duration // until a change is visible
	mu      sync.Mutex
	reads   int
}

type vmChange struct {
	at time.Time
	vm VM
}

// NewVMList returns an empty list in which each change becomes visible after lag.
func NewVMList(lag time.Duration) *VMList { return &VMList{lag: lag} }

// Set adds or replaces a VM.
func (l *VMList) Set(vm VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, vmChange{at: time.Now(), vm: vm})
}

// SetDown starts or ends an outage.
func (l *VMList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Reads returns the number of reads so far.
func (l *VMList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// Page returns the latest state of each VM that changed after version since, or false during an outage.
func (l *VMList) Page(since uint64) (VMPage, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	page := VMPage{VMs: []VM{}}
	if l.down {
		return page, false
	}
	position := map[string]int{}
	for i, c := range l.changes {
		if time.Since(c.at) < l.lag {
			break
		}
		page.Version = uint64(i + 1)
		if page.Version <= since {
			continue
		}
		if at, ok := position[c.vm.Name]; ok {
			page.VMs[at] = c.vm
			continue
		}
		position[c.vm.Name] = len(page.VMs)
		page.VMs = append(page.VMs, c.vm)
	}
	return page, true
}

// Handle serves GET /v1/vms?since=VERSION.
func (l *VMList) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != "/v1/vms" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	since, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		ctx.Error("since is not a version", fasthttp.StatusBadRequest)
		return
	}
	page, ok := l.Page(since)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, page)
}
