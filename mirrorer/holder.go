package mirrorer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Serve registers the handler through which owners send entries to the replicas of
// this host. find returns the replica of a group.
func Serve(to messenger.Registry, find func(group int) (*Replica, bool)) {
	to.Handle(methodAppend, func(ctx context.Context, _ messenger.Peer, body []byte, send func([]byte) error) error {
		var m appendRequest
		if err := cbor.Unmarshal(body, &m); err != nil {
			return eris.Wrap(err, "decode entries")
		}
		r, ok := find(m.Group)
		if !ok {
			return eris.Errorf("no group %d", m.Group)
		}
		reply, err := r.handleAppend(ctx, m)
		if err != nil {
			return err
		}
		frame, err := cbor.Marshal(reply)
		if err != nil {
			return eris.Wrap(err, "encode answer")
		}
		return send(frame)
	})
}

// handleAppend runs appendFromOwner on the goroutine of the Replica.
func (r *Replica) handleAppend(ctx context.Context, m appendRequest) (appendReply, error) {
	answer := make(chan appendReply, 1)
	if !r.post(func() { answer <- r.appendFromOwner(m) }) {
		return appendReply{}, eris.New("replica is closed")
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		return appendReply{}, ctx.Err()
	case <-r.done:
		return appendReply{}, eris.New("replica is closed")
	}
}

// appendFromOwner makes this log match the owner's up to the last entry of m, or
// replies where the owner should continue. Unless it refuses, it extends the owner's lease.
func (r *Replica) appendFromOwner(m appendRequest) appendReply {
	reply := r.matchOwner(m)
	if !reply.Refused {
		r.acknowledged[m.Owner] = r.options.Clock.Now()
	}
	return reply
}

func (r *Replica) matchOwner(m appendRequest) appendReply {
	log := r.options.Log
	if m.To != r.options.Disk || m.Epoch < r.highestEpoch || r.diskFailed {
		return appendReply{Refused: true, Epoch: r.highestEpoch}
	}
	r.highestEpoch = m.Epoch
	if r.session != nil && m.Epoch > r.session.term.Epoch {
		r.endSession()
	}
	if r.session != nil {
		return appendReply{Refused: true, Epoch: r.highestEpoch}
	}
	switch {
	case m.Previous >= log.Base() && m.Previous <= log.Last() && log.TermAt(m.Previous) == m.PreviousTerm:
	case m.Previous == m.Base:
		if !r.restartLog(m) {
			return appendReply{Refused: true, Epoch: r.highestEpoch}
		}
	case m.Previous < log.Base():
		return appendReply{Next: 1}
	case m.Previous > log.Last():
		return appendReply{Next: log.Last() + 1}
	default:
		return appendReply{Next: log.FirstOfTerm(m.Previous)}
	}
	if !r.appendMissing(m) {
		return appendReply{Refused: true, Epoch: r.highestEpoch}
	}
	r.trim(m.Base)
	return appendReply{Matched: true, Next: log.Last() + 1}
}

// restartLog removes all entries of a log that lacks entries which the owner has
// already removed.
func (r *Replica) restartLog(m appendRequest) bool {
	r.options.Logger.Info("restarting group log after the entries that the owner dropped", zap.Int("group", r.options.Group), zap.Uint64("last", r.options.Log.Last()), zap.Uint64("base", m.Base))
	if err := r.options.Log.ResetTo(m.Base, m.PreviousTerm); err != nil {
		r.diskFailed = true
		r.options.Logger.Error("cannot restart group log", zap.Int("group", r.options.Group), zap.Error(err))
		return false
	}
	return true
}

// appendMissing appends the owner's entries that are missing here, after truncating
// the log where it differs from them.
func (r *Replica) appendMissing(m appendRequest) bool {
	log := r.options.Log
	entries, at := m.Entries, m.Previous
	for len(entries) > 0 && at < log.Last() && log.TermAt(at+1) == entries[0].Term {
		entries, at = entries[1:], at+1
	}
	if len(entries) == 0 {
		return true
	}
	if err := log.Truncate(at); err != nil {
		r.diskFailed = true
		return false
	}
	return r.appendLocal(entries) == nil
}
