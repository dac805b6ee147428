package mirrorer

import "go.uber.org/zap"

// defaultCompactAfter is how many bytes a log grows, at least, before it is
// compacted.
const defaultCompactAfter = 4 << 20

// checkpoint are the entries that rebuild the Machine as it was before them.
type checkpoint struct{ first, last uint64 }

// compact appends a checkpoint when the log has grown, and drops what lies before
// it once it is committed. The checkpoint follows entries that are all committed
// and applied: proposals wait meanwhile, for one round of all holders.
func (r *Replica) compact() {
	s, log := r.session, r.options.Log
	if s == nil || !s.opened {
		return
	}
	if c := s.checkpoint; c != nil {
		if s.committed >= c.last {
			s.checkpoint = nil
			r.trim(c.first - 1)
		}
		return
	}
	s.pausing = !s.closing && log.Bytes()-r.compacted > max(r.options.CompactAfter, r.compacted)
	if s.pausing && s.committed == log.Last() {
		r.appendCheckpoint(s)
		s.pausing = false
	}
	if r.session == s && !s.pausing {
		r.resume(s)
	}
}

func (r *Replica) appendCheckpoint(s *session) {
	var list []Entry
	for _, data := range r.options.Machine.Checkpoint() {
		list = append(list, Entry{Term: s.term, Data: data})
	}
	first := r.options.Log.Last() + 1
	if len(list) == 0 {
		r.compacted = r.options.Log.Bytes()
		return
	}
	if !r.write(list) {
		r.endSession()
		return
	}
	s.checkpoint = &checkpoint{first: first, last: r.options.Log.Last()}
	r.pump()
}

// resume takes in the proposals that waited.
func (r *Replica) resume(s *session) {
	waiting := s.paused
	s.paused = nil
	for _, p := range waiting {
		r.propose(p.data, p.done)
	}
}

// trim drops entries that no holder needs any more.
func (r *Replica) trim(index uint64) {
	log := r.options.Log
	if index <= log.Base() {
		return
	}
	before := log.Bytes()
	if err := log.Trim(index); err != nil {
		r.options.Logger.Error("log not trimmed", zap.Int("group", r.options.Group), zap.Error(err))
		return
	}
	r.compacted = log.Bytes()
	r.options.Logger.Info("log trimmed", zap.Int("group", r.options.Group), zap.Uint64("base", index),
		zap.Int64("bytes-before", before), zap.Int64("bytes", r.compacted))
}
