package tggroup

import (
	"context"
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"tanagergrade/core/tgframe"
	"tanagergrade/io/tglink"
)

const agentCallTimeout = 2 * engineCallTimeout // of one call to an agent, including its call to the engine

// RemoteRanks calls the agents of a group in their companions, over QUIC.
type RemoteRanks struct {
	Address func(rank int) (netip.AddrPort, bool) // of the companion that runs the agent of a rank; false if there is none
	Dialer  tglink.Dialer
	Group   string
	Sender  func() *tgframe.Sender
}

// Call implements RankCaller.
func (r *RemoteRanks) Call(ctx context.Context, rank int, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	address, ok := r.Address(rank)
	if !ok {
		return Response{}, errors.Newf("rank %d of group %q has no companion in the configuration", rank, r.Group)
	}
	data, err := cbor.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "encode request to a rank")
	}
	x, err := r.Dialer.Open(ctx, address)
	if err != nil {
		return Response{}, err
	}
	defer x.Close()
	frame := tgframe.Frame{
		Kind: tgframe.KindRank, Rank: &tgframe.RankMessage{Data: data, Group: r.Group, Index: rank}, Sender: r.Sender(),
	}
	if err := x.Send(ctx, frame); err != nil {
		r.Dialer.RetireConnection(address)
		return Response{}, err
	}
	answer, err := x.Receive(ctx)
	if err != nil {
		r.Dialer.RetireConnection(address)
		return Response{}, err
	}
	return decodeAnswer(answer.Rank)
}

// decodeAnswer returns the response of an agent; a is nil if the answering frame carries no rank message.
func decodeAnswer(a *tgframe.RankMessage) (Response, error) {
	if a == nil {
		return Response{}, errors.New("companion answered with a frame that carries no rank message")
	}
	if a.Failure != "" {
		return Response{}, errors.Newf("agent failed: %s", a.Failure)
	}
	var response Response
	return response, errors.Wrap(cbor.Unmarshal(a.Data, &response), "decode answer of a rank")
}

// Serve carries out the request that a controller has sent over exchange x and sends the answer.
func (a *Agent) Serve(ctx context.Context, x tglink.Exchange, message *tgframe.RankMessage, sender *tgframe.Sender) error {
	ctx, cancel := context.WithTimeout(ctx, agentCallTimeout)
	defer cancel()
	answer := &tgframe.RankMessage{}
	var request Request
	err := cbor.Unmarshal(message.Data, &request)
	if err == nil {
		var response Response
		if response, err = a.Call(ctx, request); err == nil {
			answer.Data, err = cbor.Marshal(response)
		}
	}
	if err != nil {
		answer.Failure = err.Error()
	}
	return x.Send(ctx, tgframe.Frame{Kind: tgframe.KindRank, Rank: answer, Sender: sender})
}
