package limiter

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Codes of the messenger.RemoteErrors that this package sends.
const (
	codeNotOwner   = "not-owner"
	codeBadMessage = "bad-message"
)

// sendRequest sends a grant request to the owner on a new goroutine. e.mu must be
// held.
func (l *Limiter) sendRequest(e *entry, a GrantRequest) {
	a.Workspace = e.workspace
	address := e.location.member.PeerAddress
	l.start(func() { l.exchange(e, address, a) })
}

// exchange sends a grant request and applies the response. If the connection is
// lost it sends the grant request once more with the same Seq; the owner gives
// both the same response.
func (l *Limiter) exchange(e *entry, address string, a GrantRequest) {
	ctx, cancel := context.WithTimeout(l.ctx, grantTimeout.Duration())
	defer cancel()
	answer, err := l.requestGrant(ctx, address, a)
	var lost *messenger.LostError
	if errors.As(err, &lost) && ctx.Err() == nil {
		answer, err = l.requestGrant(ctx, address, a)
	}
	v, now := l.viewer.View(), l.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil {
		l.apply(e, e.spender.HandleResponse(answer, LimitOf(v.Record.Workspaces[e.workspace]), now))
		return
	}
	reason, pause := OwnerUnreachable, unreachablePause
	var remote *messenger.RemoteError
	if errors.As(err, &remote) {
		reason, pause = OwnerChanging, inactivePause
	}
	if e.location.member.PeerAddress == address {
		e.downUntil, e.downReason = now+pause, reason
	}
	l.apply(e, e.spender.RequestFailed(a.Seq, reason))
}

func (l *Limiter) requestGrant(ctx context.Context, address string, a GrantRequest) (GrantResponse, error) {
	if l.meters.grantRequests != nil {
		l.meters.grantRequests.Add(ctx, 1)
	}
	var answer GrantResponse
	err := call(ctx, l.caller, address, grantMethod, a, &answer)
	return answer, err
}

// call sends in as one message and decodes the single frame of the reply into
// out.
func call(ctx context.Context, c messenger.Caller, address string, m messenger.Method, in, out any) error {
	body, err := cbor.Marshal(in)
	if err != nil {
		return eris.Wrapf(err, "encode %s", m)
	}
	frames := 0
	err = c.Call(ctx, address, m, body, func(frame []byte) error {
		frames++
		return eris.Wrapf(cbor.Unmarshal(frame, out), "decode answer of %s", m)
	})
	if err == nil && frames != 1 {
		return eris.Errorf("%s answered with %d frames, want 1", m, frames)
	}
	return err
}

// reply decodes a message, calls answer, and sends the value that it returns.
func reply[In, Out any](body []byte, send func([]byte) error, answer func(In) (Out, error)) error {
	var in In
	if err := cbor.Unmarshal(body, &in); err != nil {
		return &messenger.RemoteError{Code: codeBadMessage, Message: err.Error()}
	}
	out, err := answer(in)
	if err != nil {
		return err
	}
	frame, err := cbor.Marshal(out)
	if err != nil {
		return eris.Wrap(err, "encode answer")
	}
	return send(frame)
}

// handleGrantRequest answers a GrantRequest if this host owns the workspace's
// limit.
func (l *Limiter) handleGrantRequest(_ context.Context, from messenger.Peer, body []byte, send func([]byte) error) error {
	return reply(body, send, func(a GrantRequest) (GrantResponse, error) {
		v := l.viewer.View()
		w, ok := v.Record.Workspaces[a.Workspace]
		if !ok {
			return GrantResponse{}, &messenger.RemoteError{Code: codeNotOwner, Message: a.Workspace}
		}
		e := l.entry(a.Workspace)
		e.mu.Lock()
		defer e.mu.Unlock()
		now := l.clock.Now()
		if v = l.viewer.View(); !l.owns(e, v, now) {
			return GrantResponse{}, &messenger.RemoteError{Code: codeNotOwner, Message: a.Workspace}
		}
		member := v.Record.HasMember(from.Name, from.Incarnation)
		return e.owner.HandleRequest(from.Incarnation, member, a, LimitOf(w), now), nil
	})
}

// owns reports whether this host decides for e at now. e.mu must be held.
func (l *Limiter) owns(e *entry, v coordinator.Snapshot, now timer.Millis) bool {
	if !v.Permitted(now) {
		return false
	}
	e.locate(v)
	return e.location.self && e.owner != nil
}

// handleReport reports to a new owner what this host holds. From then on this
// host does not act as an earlier owner and ignores earlier owners' responses.
func (l *Limiter) handleReport(_ context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
	return reply(body, send, func(r ReportRequest) (Report, error) {
		v := l.viewer.View()
		e := l.entry(r.Workspace)
		e.mu.Lock()
		defer e.mu.Unlock()
		now := l.clock.Now()
		if r.Tenure < e.latestReported {
			return Report{}, &messenger.RemoteError{Code: codeNotOwner, Message: r.Workspace}
		}
		e.latestReported = r.Tenure
		if !v.Member() {
			e.spender.DropLease()
		}
		report := e.spender.Report(r.Tenure, LimitOf(v.Record.Workspaces[r.Workspace]), now)
		report.Handover = e.handOver(r.Tenure, now)
		return report, nil
	})
}
