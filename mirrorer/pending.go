package mirrorer

import (
	"maps"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
)

// pendingHolder is a disk that is to become a holder.
type pendingHolder struct {
	// lastOptional is the last entry that may be committed without the disk: the last one of
	// the log when the disk began to be required.
	lastOptional uint64
	// sent is set once a transaction that makes the disk a holder may have been sent.
	sent bool
}

// requireNewHolders makes the disks that g adds as holders required for each commit from now
// on. It returns true once they have all entries that were committed without them, so that the
// manifest may name them.
func (r *Replica) requireNewHolders(s *session, g cataloger.Group) bool {
	complete := true
	for _, d := range g.Holders {
		if d == r.options.Disk || r.group.Holds(d) {
			continue
		}
		p, ok := s.pendingHolders[d]
		if !ok {
			p = &pendingHolder{lastOptional: r.options.Log.Last()}
			s.pendingHolders[d] = p
		}
		f, ok := s.followers[d]
		complete = complete && ok && f.matchIndex >= p.lastOptional
	}
	if !complete {
		return false
	}
	for _, d := range g.Holders {
		if p, ok := s.pendingHolders[d]; ok {
			p.sent = true
		}
	}
	return true
}

// dropPendingHolders stops requiring the disks that step does not make holders, unless a
// transaction that does so may have been sent.
func (r *Replica) dropPendingHolders(step Step) {
	if r.session == nil {
		return
	}
	w, _ := step.(WriteManifest)
	maps.DeleteFunc(r.session.pendingHolders, func(d string, p *pendingHolder) bool { return !p.sent && !w.Group.Holds(d) })
}

// holderConditions returns the conditions for the disks that a manifest adds as holders.
func (r *Replica) holderConditions(before, after cataloger.Group) []storer.Condition {
	if r.options.HolderCondition == nil {
		return nil
	}
	var out []storer.Condition
	for _, d := range after.Holders {
		if before.Holds(d) {
			continue
		}
		if c, ok := r.options.HolderCondition(d); ok {
			out = append(out, c)
		}
	}
	return out
}
