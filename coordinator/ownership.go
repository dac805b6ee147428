package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// heldEpoch is an epoch of which this host has had a record, or the one before the first
// of these. It is kept as long as a host may still be permitted under an earlier epoch.
type heldEpoch struct {
	epoch registrar.Epoch
	// version is the version that began the epoch, or zero if it is not known.
	version registrar.Version
	members []registrar.Member
	index   *assigner.Index
	// acceptedAt is when this host found the epoch to be accepted, or never.
	acceptedAt timer.Millis
	// ownsFrom is when all permissions under earlier epochs have ended, or never.
	ownsFrom timer.Millis
	// stopped has the incarnations that stopped acting before the epoch began.
	stopped map[memberKey]bool
}

func newHeldEpoch(r registrar.Record, index *assigner.Index) heldEpoch {
	l := heldEpoch{
		epoch: r.Epoch, version: r.EpochVersion, members: r.Members, index: index,
		acceptedAt: never, ownsFrom: never, stopped: make(map[memberKey]bool),
	}
	for _, t := range r.Transitions {
		for _, d := range t.Removed {
			if d.Stopped {
				l.stopped[memberKey{d.Name, d.Incarnation}] = true
			}
		}
	}
	return l
}

func (l heldEpoch) owner(object Object) (registrar.Member, bool) {
	i := l.index.Pick(string(object))
	if i < 0 {
		return registrar.Member{}, false
	}
	return l.members[i], true
}

// epochsAfter returns the held epochs after s.record, which begins an epoch, replaced
// old at now. An epoch that was written shows that the one before was accepted, unless
// the change of members was forced: a forced change keeps the earlier Transitions in the
// record. Epochs before one that this host missed are dropped.
func (s State) epochsAfter(old registrar.Record, now timer.Millis) []heldEpoch {
	newest := newHeldEpoch(s.record, s.index)
	earlier := s.epochs
	if s.record.Epoch != old.Epoch+1 || old.Version == 0 {
		b, ok := previousEpoch(s.record)
		if !ok {
			return []heldEpoch{newest}
		}
		earlier = []heldEpoch{b}
		if b.epoch == old.Epoch+1 && old.Version > 0 {
			earlier = append(earlier, s.epochs...)
		}
	}
	epochs := append([]heldEpoch{newest}, earlier...)
	if len(epochs) > 1 && len(s.record.Transitions) == 1 {
		epochs[1] = epochs[1].withAccepted(now, s.timing)
	}
	return epochs
}

// withAccepted returns l with the epoch known to be accepted from now, unless it already
// was.
func (l heldEpoch) withAccepted(now timer.Millis, t Timing) heldEpoch {
	if l.acceptedAt == never {
		l.acceptedAt = now
		l.ownsFrom = now + t.HandOverDelay()
	}
	return l
}

// previousEpoch returns the epoch before r's, reconstructed from the newest transition.
// The removed members have only the fields that determine ownership.
func previousEpoch(r registrar.Record) (heldEpoch, bool) {
	if len(r.Transitions) == 0 {
		return heldEpoch{}, false
	}
	t := r.Transitions[len(r.Transitions)-1]
	members := slices.DeleteFunc(slices.Clone(r.Members), func(m registrar.Member) bool {
		return slices.Contains(t.Joined, m.Name)
	})
	for _, d := range t.Removed {
		members = append(members, registrar.Member{Name: d.Name, Incarnation: d.Incarnation})
	}
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return heldEpoch{
		epoch: t.Epoch - 1, members: members, index: assigner.NewIndex(names),
		acceptedAt: never, ownsFrom: never,
	}, true
}

// ownsFrom returns the instant from which this host may act for every object that it
// owns.
func (s State) ownsFrom() timer.Millis {
	if s.settled >= s.record.Epoch {
		return 0
	}
	return s.epochs[0].ownsFrom
}

// withSettled returns s with every permission under epochs before e known to have
// ended. This implies that e is accepted.
func (s State) withSettled(e registrar.Epoch) State {
	if e <= s.settled {
		return s
	}
	s.settled = e
	if e >= s.record.Epoch && s.record.EpochVersion > s.accepted {
		s.accepted = s.record.EpochVersion
	}
	last := slices.IndexFunc(s.epochs, func(l heldEpoch) bool { return l.epoch <= e })
	if last >= 0 {
		s.epochs = s.epochs[:last+1]
	}
	if s.settled >= s.record.Epoch {
		s.departed = nil
	}
	return s
}
