package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

// layer is one epoch that this host held, or the one before the first that it
// held, as long as permissions of earlier epochs may be left.
type layer struct {
	epoch registrar.Epoch
	// version began the epoch.
	version registrar.Version
	members []registrar.Member
	index   *assigner.Index
	// learned is when this host learned that the epoch is accepted, or never.
	learned timer.Millis
	// ownsFrom is when permissions of all earlier epochs have ended, or never.
	ownsFrom timer.Millis
	// ended has the incarnations that stopped acting before the epoch began.
	ended map[memberKey]bool
}

func newLayer(r registrar.Record, index *assigner.Index) layer {
	l := layer{
		epoch: r.Epoch, version: r.EpochVersion, members: r.Members, index: index,
		learned: never, ownsFrom: never, ended: make(map[memberKey]bool),
	}
	for _, t := range r.Transitions {
		for _, d := range t.Removed {
			if d.Stopped {
				l.ended[memberKey{d.Name, d.Incarnation}] = true
			}
		}
	}
	return l
}

func (l layer) owner(object Object) (registrar.Member, bool) {
	i := l.index.Pick(string(object))
	if i < 0 {
		return registrar.Member{}, false
	}
	return l.members[i], true
}

// layersAfter returns the layers when s.record began an epoch after old, which
// was learned at now. That an epoch was written shows that the one before was
// accepted, unless the change was forced. What is not known is cut off.
func (s State) layersAfter(old registrar.Record, now timer.Millis) []layer {
	top := newLayer(s.record, s.index)
	below := s.layers
	if s.record.Epoch != old.Epoch+1 || old.Version == 0 {
		b, ok := before(s.record)
		if !ok {
			return []layer{top}
		}
		below = []layer{b}
		if b.epoch == old.Epoch+1 && old.Version > 0 {
			below = append(below, s.layers...)
		}
	}
	layers := append([]layer{top}, below...)
	if len(layers) > 1 && len(s.record.Transitions) == 1 {
		layers[1] = layers[1].withLearned(now, s.timing)
	}
	return layers
}

// withLearned notes that the epoch is known to be accepted at now.
func (l layer) withLearned(now timer.Millis, t Timing) layer {
	if l.learned == never {
		l.learned = now
		l.ownsFrom = now + t.HandOver()
	}
	return l
}

// before returns the epoch before r's, from its transition. Who had the
// removed entries' addresses is not known and not needed.
func before(r registrar.Record) (layer, bool) {
	if len(r.Transitions) == 0 {
		return layer{}, false
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
	return layer{
		epoch: t.Epoch - 1, members: members, index: assigner.NewIndex(names),
		learned: never, ownsFrom: never,
	}, true
}

// ownsFrom is when this host may act for all objects that it gained.
func (s State) ownsFrom() timer.Millis {
	if s.settled >= s.record.Epoch {
		return 0
	}
	return s.layers[0].ownsFrom
}

// withSettled notes that no permission of an epoch before e is left.
func (s State) withSettled(e registrar.Epoch) State {
	if e <= s.settled {
		return s
	}
	s.settled = e
	if e >= s.record.Epoch && s.record.EpochVersion > s.accepted {
		s.accepted = s.record.EpochVersion
	}
	kept := slices.IndexFunc(s.layers, func(l layer) bool { return l.epoch <= e })
	if kept >= 0 {
		s.layers = s.layers[:kept+1]
	}
	if s.settled >= s.record.Epoch {
		s.departed = nil
	}
	return s
}
