package tgnode

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgframe"
	"tanagergrade/core/tgsleep"
	"tanagergrade/io/tghttp"
)

const (
	joinJitter           = 2 * time.Second // spreads the first reads after a mass restart
	maxJoinAttempts      = 3
	maxVMReplyBytes      = 16 << 20
	readerVMPollInterval = time.Second
	vmListTimeout        = 2 * time.Second
	vmPollInterval       = 5 * time.Minute // for non-readers, which learn of leaving VMs by gossip
	vmStateLeaving       = "leaving"
)

// vmSource returns the VMs of the VM list that have changed after version since, and the version of the list.
type vmSource interface {
	VMs(ctx context.Context, since uint64) (vms []tgframe.Member, version uint64, err error)
}

// vmClient reads the VM list over HTTP.
type vmClient struct {
	address netip.AddrPort
	http    *fasthttp.Client
}

func newVMClient(address netip.AddrPort) *vmClient {
	c := tghttp.NewClient()
	c.MaxResponseBodySize = maxVMReplyBytes
	return &vmClient{address: address, http: c}
}

// VMs implements vmSource.
func (c *vmClient) VMs(_ context.Context, since uint64) ([]tgframe.Member, uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.address.String() + "/v1/vms?since=" + strconv.FormatUint(since, 10))
	if err := c.http.DoTimeout(req, resp, vmListTimeout); err != nil {
		return nil, 0, errors.Wrap(err, "read the VM list")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, 0, errors.Newf("VM list answered with status %d", resp.StatusCode())
	}
	var reply struct {
		Version uint64 `json:"version"`
		VMs     []struct {
			Address    netip.AddrPort `json:"address"`
			DataCentre string         `json:"dataCentre"`
			Name       string         `json:"name"`
			State      string         `json:"state"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(resp.Body(), &reply); err != nil {
		return nil, 0, errors.Wrap(err, "decode the VM list")
	}
	vms := make([]tgframe.Member, len(reply.VMs))
	for i, vm := range reply.VMs {
		vms[i] = tgframe.Member{
			Address: vm.Address, DataCentre: vm.DataCentre, Name: vm.Name, Status: tgframe.MemberListed,
		}
		if vm.State == vmStateLeaving {
			vms[i].Status = tgframe.MemberLeaving
		}
	}
	return vms, reply.Version, nil
}

// readInitialVMs reads the VM list before the first gossip round, so that a new daemon does not take itself for the
// only one: it would act as a reader, and bootstrap on the answers of too few peers.
func (n *Node) readInitialVMs(ctx context.Context) {
	if n.vms == nil {
		return
	}
	for range maxJoinAttempts {
		tgsleep.Sleep(ctx, rand.N(joinJitter))
		if n.readVMs(ctx, &vmView{leaving: map[string]tgframe.Member{}}) == nil {
			n.peers.Update(n.members.Peers())
			return
		}
	}
}

// vmView holds the leaving VMs that one daemon has read from the VM list, by name, and the version that it has read.
type vmView struct {
	leaving map[string]tgframe.Member
	version uint64
}

// pollVMs reads the VM list: frequently if this daemon is a reader of its data centre, otherwise rarely.
func (n *Node) pollVMs(ctx context.Context) {
	if n.vms == nil {
		return
	}
	view := &vmView{leaving: map[string]tgframe.Member{}}
	last := time.Now()
	for ctx.Err() == nil {
		tgsleep.Sleep(ctx, jitter(readerVMPollInterval))
		if !n.peers.IsReader() && time.Since(last) < vmPollInterval {
			continue
		}
		last = time.Now().Add(-rand.N(vmPollInterval / 4))
		if err := n.readVMs(ctx, view); err != nil {
			n.Log.WithError(err).Debug("could not read the VM list")
		}
	}
}

// readVMs reads the changes of the VM list and merges them into the members.
func (n *Node) readVMs(ctx context.Context, view *vmView) error {
	vms, version, err := n.vms.VMs(ctx, view.version)
	if err != nil {
		return err
	}
	view.version = version
	for _, m := range vms {
		if m.Status == tgframe.MemberLeaving {
			view.leaving[m.Name] = m
		} else {
			delete(view.leaving, m.Name)
		}
	}
	// The leaving state of a VM is merged again at each read, since a restarted process on it may look like a new member.
	for _, m := range view.leaving {
		vms = append(vms, m)
	}
	if n.members.MergeVMList(vms) {
		n.updateRemoved()
		n.signalPush()
	}
	return nil
}
