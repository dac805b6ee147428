package mirrorer

import (
	"errors"

	"go.uber.org/zap"
)

// defaultCompactAfter is the least growth of a log, in bytes, after which it is
// compacted.
const defaultCompactAfter = 4 << 20

// checkpoint is the range of log entries that hold a complete copy of the Machine's
// state. Earlier entries are not needed once it is committed.
type checkpoint struct{ first, last uint64 }

// compact appends a checkpoint when the log has grown enough, and removes the entries
// before the checkpoint once it is committed. All entries before the checkpoint must
// be committed and applied when it is appended, so proposals are deferred until then,
// for one round trip to all holders.
func (r *Replica) compact() {
	s, log := r.session, r.options.Log
	if s == nil || !s.serving {
		return
	}
	if c := s.checkpoint; c != nil {
		if s.committed >= c.last {
			s.checkpoint = nil
			r.trim(c.first - 1)
		}
		return
	}
	s.deferring = !s.handingOver && log.Bytes()-r.compactedSize > max(r.options.CompactAfter, r.compactedSize)
	if s.deferring && s.committed == log.Last() {
		r.appendCheckpoint(s)
		s.deferring = false
	}
	if r.session == s && !s.deferring {
		r.resumeDeferred(s)
	}
}

func (r *Replica) appendCheckpoint(s *session) {
	var list []Entry
	for _, data := range r.options.Machine.Checkpoint() {
		list = append(list, Entry{Term: s.term, Data: data})
	}
	first := r.options.Log.Last() + 1
	if len(list) == 0 {
		r.compactedSize = r.options.Log.Bytes()
		return
	}
	var long *TooLongError
	switch err := r.appendLocal(list); {
	case errors.As(err, &long):
		// The log is not compacted before it has grown as much again.
		r.compactedSize = r.options.Log.Bytes()
		return
	case err != nil:
		r.endSession()
		return
	}
	s.checkpoint = &checkpoint{first: first, last: r.options.Log.Last()}
	r.replicate()
}

// resumeDeferred proposes the deferred proposals.
func (r *Replica) resumeDeferred(s *session) {
	waiting := s.deferred
	s.deferred = nil
	for _, p := range waiting {
		r.propose(p.list, p.done)
	}
}

// trim removes the entries up to index, which no holder needs any more.
func (r *Replica) trim(index uint64) {
	log := r.options.Log
	if index <= log.Base() {
		return
	}
	before := log.Bytes()
	if err := log.Trim(index); err != nil {
		r.options.Logger.Error("cannot trim group log", zap.Int("group", r.options.Group), zap.Error(err))
		return
	}
	r.compactedSize = log.Bytes()
	r.options.Logger.Info("group log trimmed", zap.Int("group", r.options.Group), zap.Uint64("base", index),
		zap.Int64("bytes-before", before), zap.Int64("bytes", r.compactedSize))
}
