package mirrorer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// Serve registers the handler by which the replicas of a host, which find
// returns, take entries from owners.
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
		reply, err := r.take(ctx, m)
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

// take handles entries on the goroutine of the Replica.
func (r *Replica) take(ctx context.Context, m appendRequest) (appendReply, error) {
	answer := make(chan appendReply, 1)
	if !r.post(func() { answer <- r.receive(m) }) {
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

// receive brings this log in line with the owner's.
func (r *Replica) receive(m appendRequest) appendReply {
	log := r.options.Log
	if m.To != r.options.Disk || m.Epoch < r.highest || r.failed {
		return appendReply{Refused: true, Epoch: r.highest}
	}
	r.highest = m.Epoch
	if r.session != nil && m.Epoch > r.session.term.Epoch {
		r.endSession()
	}
	if r.session != nil {
		return appendReply{Refused: true, Epoch: r.highest}
	}
	switch {
	case m.Previous >= log.Base() && m.Previous <= log.Last() && log.TermAt(m.Previous) == m.PreviousTerm:
	case m.Previous == m.Base:
		if !r.restart(m) {
			return appendReply{Refused: true, Epoch: r.highest}
		}
	case m.Previous < log.Base():
		return appendReply{Next: 1}
	case m.Previous > log.Last():
		return appendReply{Next: log.Last() + 1}
	default:
		return appendReply{Next: log.FirstOf(m.Previous)}
	}
	if !r.adopt(m) {
		return appendReply{Refused: true, Epoch: r.highest}
	}
	r.trim(m.Base)
	return appendReply{Matched: true, Next: log.Last() + 1}
}

// restart drops a log that lacks what the owner has dropped.
func (r *Replica) restart(m appendRequest) bool {
	r.options.Logger.Info("log begun anew", zap.Int("group", r.options.Group), zap.Uint64("last", r.options.Log.Last()), zap.Uint64("base", m.Base))
	if err := r.options.Log.Restart(m.Base, m.PreviousTerm); err != nil {
		r.failed = true
		r.options.Logger.Error("log cannot be begun anew", zap.Int("group", r.options.Group), zap.Error(err))
		return false
	}
	return true
}

// adopt appends those of the owner's entries that are missing here, and cuts off
// what differs from them.
func (r *Replica) adopt(m appendRequest) bool {
	log := r.options.Log
	entries, at := m.Entries, m.Previous
	for len(entries) > 0 && at < log.Last() && log.TermAt(at+1) == entries[0].Term {
		entries, at = entries[1:], at+1
	}
	if len(entries) == 0 {
		return true
	}
	if err := log.Truncate(at); err != nil {
		r.failed = true
		return false
	}
	return r.write(entries)
}
