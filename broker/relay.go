package broker

import (
	"cmp"
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// maxRelays limits the number of entry hosts through which a call is relayed.
const maxRelays = 3

// relayRequest is a call about a job that another entry host is to relay.
type relayRequest struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Method  messenger.Method
	Body    []byte
	Timeout timer.Millis
}

// ServeRelays registers the handler through which entry hosts that can reach no bulk
// host relay calls. It relays calls to bulk hosts only.
func (b *Broker) ServeRelays(to messenger.Registry) {
	to.Handle(methodRelay, func(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var q relayRequest
		if err := cbor.Unmarshal(body, &q); err != nil {
			return eris.Wrap(err, "decode relay request")
		}
		frame, err := cbor.Marshal(b.relay(ctx, q))
		if err != nil {
			return eris.Wrap(err, "encode answer")
		}
		return send(frame)
	})
}

// relay calls the serving host on behalf of another entry host. The verdict is
// verdictUncertain if the call may have been executed although its outcome is unknown.
func (b *Broker) relay(ctx context.Context, q relayRequest) reply {
	call := request{job: q.Job, method: q.Method, body: q.Body, timeout: q.Timeout}
	if q.Method == methodSubmit {
		var m submitRequest
		if err := cbor.Unmarshal(q.Body, &m); err != nil {
			b.options.Logger.Warn("cannot decode relayed job", zap.String("job", q.Job), zap.Error(err))
			return reply{Verdict: verdictNotOwner}
		}
		var reason string
		if call.allowed, reason = jobRegions(b.options.Snapshot(), b.options.Zones, &m.Job, noRecipients); reason != "" {
			b.options.Logger.Info("no permitted place", zap.String("job", q.Job),
				zap.Strings("allowed", call.allowed.Regions()), zap.String("reason", reason))
			return b.relayNotPermitted(ctx, q, &m.Job, reason)
		}
	}
	r, uncertain := b.callOwner(ctx, call)
	switch {
	case r.final():
		return r
	case uncertain:
		return reply{Verdict: verdictUncertain}
	}
	return reply{Verdict: verdictNotOwner}
}

// relayNotPermitted replies to a relayed submission of a job that cannot be placed within its
// allowed regions, for a reason, unless it was accepted before.
func (b *Broker) relayNotPermitted(ctx context.Context, q relayRequest, j *queuer.Job, reason string) reply {
	body, err := cbor.Marshal(ownedBy(authorizer.Owner{Workspace: j.Workspace}, j.ID))
	if err != nil {
		b.options.Logger.Error("cannot encode call about a job", zap.String("job", j.ID), zap.Error(err))
		return notPermitted(reason)
	}
	if r, _ := b.callOwner(ctx, request{job: j.ID, method: methodResults, body: body, timeout: q.Timeout}); r.Verdict == verdictDone {
		return reply{Verdict: verdictDone}
	}
	return notPermitted(reason)
}

// callThroughRelays sends the call through other entry hosts, one after the other.
func (b *Broker) callThroughRelays(ctx context.Context, q request, uncertain bool) (reply, bool) {
	body, err := cbor.Marshal(relayRequest{Job: q.job, Method: q.method, Body: q.body, Timeout: q.timeout})
	if err != nil {
		b.options.Logger.Error("cannot encode relayed call", zap.String("job", q.job), zap.Error(err))
		return reply{}, uncertain
	}
	for _, address := range b.relayAddresses(q) {
		r, sent := b.call(ctx, address, methodRelay, body, ownerSearchTimeout+q.timeout)
		uncertain = uncertain || sent
		if r.final() {
			return r, uncertain && r.Verdict == verdictNotPermitted
		}
	}
	return reply{}, uncertain
}

// relayAddresses returns the addresses of up to maxRelays reachable entry hosts, in an
// order that depends on the job.
func (b *Broker) relayAddresses(q request) []string {
	var list []cataloger.Member
	for _, m := range b.options.Snapshot().Members {
		permitted := q.allowed.Permits(b.options.Zones.RegionOfMember(m))
		if m.Role == cataloger.Entry && !m.Leaving && permitted && b.isReachable(m.Name) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y cataloger.Member) int {
		return cmp.Compare(assigner.Score(q.job, y.Name), assigner.Score(q.job, x.Name))
	})
	var out []string
	for _, m := range list[:min(len(list), maxRelays)] {
		out = append(out, m.PeerAddress)
	}
	return out
}
