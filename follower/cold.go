package follower

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// maxColdFor is the longest time that one entry of a server can keep it cold.
const maxColdFor = 10 * 60 * timer.Second

// serverOf returns the server that an entry describes, with its cold period. The stated
// time runs from now on: the entry was written before, so the period does not end too
// early. An entry with the sequence number of the known period leaves it as it is, so reading
// all keys again does not begin it anew.
func (f *Follower) serverOf(s cataloger.Snapshot, t ServerFact) cataloger.Server {
	v := t.Server
	known, ok := s.Servers[v.ID]
	ok = ok && known.Incarnation() == v.Incarnation()
	if ok && t.Sequence != 0 && known.Cold != nil && known.Cold.Sequence == t.Sequence {
		v.Cold = known.Cold
		return v
	}
	left := min(max(t.ColdFor, 0), maxColdFor)
	if left != t.ColdFor {
		f.options.Logger.Warn("stated cold period of a server is out of range", zap.String("server", v.ID),
			zap.Int64("sequence", t.Sequence), zap.Int64("stated-ms", int64(t.ColdFor)), zap.Int64("used-ms", int64(left)))
	}
	if left == 0 {
		return v
	}
	now := f.options.Clock.Now()
	v.Cold = &cataloger.ColdPeriod{Sequence: t.Sequence, From: now, Until: now + left, Again: ok}
	if ok && known.Cold.Contains(now) {
		v.Cold.From, v.Cold.Again = known.Cold.From, known.Cold.Again
		return v
	}
	var warmup timer.Millis
	if s.Config != nil {
		d, _ := s.Config.Service(v.Service)
		warmup = d.Warmup
	}
	f.options.Logger.Info("server cold", zap.String("server", v.ID), zap.Int64("started-at", v.StartedAt),
		zap.Int64("sequence", t.Sequence), zap.Int64("left-ms", int64(left)), zap.Bool("again", ok),
		zap.Float64("rate", s.WarmupRate(v.Service)), zap.Int64("usual-ms", int64(warmup)))
	return v
}
