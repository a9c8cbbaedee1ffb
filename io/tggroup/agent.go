package tggroup

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"tanagergrade/core/tgorder"
	"tanagergrade/core/tgtwophase"
	"tanagergrade/io/tghttp"
)

const engineCallTimeout = time.Second // of one call to an engine, which answers all calls from memory

// Agent carries out a group controller's requests on the engine of one rank and is the only sender of orders to it. It
// checks the fencing tokens of orders on the engine's behalf, and after a restart refuses all orders until it has read
// the highest token from the log.
type Agent struct {
	address     netip.AddrPort
	fence       tgorder.Fence
	http        *fasthttp.Client
	lease       string
	leases      Leases
	mu          sync.Mutex // held during an order, so that the engine gets one order at a time
	rank        int
	steps       stepTracker
	tokenLoaded bool // fence has the highest token of the log; guarded by mu
}

// stepTracker records when a rank last made a step, as shown by the states that the controller reads.
type stepTracker struct {
	lastAdvance time.Time // when the present formation and next step were first seen
	lastRead    time.Time // when a state was last read; zero if never
	mu          sync.Mutex
	state       tgtwophase.State
}

func (w *stepTracker) observe(s tgtwophase.State, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastRead.IsZero() || s.Formation != w.state.Formation || s.NextStep != w.state.NextStep {
		w.lastAdvance = now
	}
	w.lastRead, w.state = now, s
}

// Stalled reports whether the rank, and so its group, has made no step for the given time although its state was read
// within that time. It returns false if no state was read, as without a controller, since it is then unknown whether
// the rank makes steps.
func (a *Agent) Stalled(after time.Duration, now time.Time) bool {
	w := &a.steps
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.lastRead.IsZero() && now.Sub(w.lastRead) < after && now.Sub(w.lastAdvance) >= after
}

// NewAgent returns the agent of the rank whose engine is at address. Lease is the name of the group's lease, whose
// tokens orders have to carry.
func NewAgent(rank int, address netip.AddrPort, lease string, leases Leases) *Agent {
	c := tghttp.NewClient()
	c.Dial = tghttp.CheckAnswers(func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, engineCallTimeout) })
	c.ReadTimeout, c.WriteTimeout = engineCallTimeout, engineCallTimeout
	return &Agent{address: address, http: c, lease: lease, leases: leases, rank: rank}
}

// Call carries out a controller's request on the engine.
func (a *Agent) Call(ctx context.Context, r Request) (Response, error) {
	switch r.Kind {
	case RequestLoads:
		loads := &RankLoads{}
		return Response{Loads: loads}, a.callEngine(ctx, "/v1/rank/loads", nil, loads)
	case RequestOrder:
		return a.sendOrder(ctx, r)
	case RequestPlacements:
		var list []RankPlacement
		err := a.callEngine(ctx, "/v1/rank/placements", nil, &list)
		return Response{Placements: list}, err
	case RequestState:
		state := &tgtwophase.State{}
		err := a.callEngine(ctx, "/v1/rank/state", nil, state)
		if err == nil {
			a.steps.observe(*state, time.Now())
		}
		return Response{State: state}, err
	default:
		return Response{}, errors.Newf("request kind %q does not exist", r.Kind)
	}
}

// sendOrder passes an order on to the engine, or refuses it if its token is stale or cannot be checked yet.
func (a *Agent) sendOrder(ctx context.Context, r Request) (Response, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if refusal := a.checkToken(r.Message.Token); refusal != "" {
		return Response{Reply: &tgtwophase.Reply{
			From: a.rank, Kind: r.Message.Kind, Refusal: refusal, Round: r.Message.Round,
			State: tgtwophase.State{Token: a.fence.Highest()},
		}}, nil
	}
	body := struct {
		Message   tgtwophase.Message `json:"message"`
		Placement any                `json:"placement"`
	}{r.Message, r.Placement}
	reply := &tgtwophase.Reply{}
	if err := a.callEngine(ctx, "/v1/rank/orders", body, reply); err != nil {
		return Response{}, err
	}
	return Response{Reply: reply}, nil
}

// checkToken returns why an order with the token must be refused, or "" if it may pass. The caller holds mu.
func (a *Agent) checkToken(token uint64) tgtwophase.Refusal {
	if !a.tokenLoaded {
		highest, ok := a.leases.Token(a.lease)
		if !ok {
			return tgtwophase.RefusalTokenUnknown
		}
		a.fence.LearnToken(highest)
		a.tokenLoaded = true
	}
	if a.fence.Check(token) != nil {
		return tgtwophase.RefusalStale
	}
	return ""
}

// callEngine sends a request to the engine once, without retries, and decodes the answer; body is nil for a read.
func (a *Agent) callEngine(ctx context.Context, path string, body, answer any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + a.address.String() + path)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode order")
		}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(data)
	}
	deadline := time.Now().Add(engineCallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := a.http.DoDeadline(req, resp, deadline); err != nil {
		return errors.Wrapf(err, "call %s of rank %d", path, a.rank)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return errors.Newf("%s of rank %d answered status %d", path, a.rank, resp.StatusCode())
	}
	return errors.Wrapf(json.Unmarshal(resp.Body(), answer), "decode answer to %s of rank %d", path, a.rank)
}
