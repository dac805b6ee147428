package mirrorer

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
)

// View is what one host knows when it decides about a group.
type View struct {
	Group cataloger.Group
	// Number is the group's.
	Number int
	// Self is this host's disk.
	Self string
	// Alive are the disks of hosts that are heard, in an order that all hosts
	// agree on, this host's included. Leaving are those of them that are about
	// to stop or to be emptied.
	Alive   []string
	Leaving map[string]bool
	// Emptied are disks that must hold nothing any more; they are Leaving too.
	Emptied map[string]bool
	// Caught are disks whose log is as long as the owner's, if this host owns
	// the group.
	Caught map[string]bool
	// Copies is how many disks must hold what was accepted, Wanted how many
	// should.
	Copies, Wanted int
	// Silences are how long holders and the owner have not been heard, counted
	// from the start of this process at most.
	Silences map[string]timer.Millis
	// Settled says that nothing changed for so long that a group may move only
	// for balance, or be created on fewer disks than wanted.
	Settled bool
}

// Step is what a host does about a group.
type Step interface{ step() }

// Stay does nothing.
type Stay struct{}

// Write replaces the manifest, if it is still the one of the View.
type Write struct {
	Group  cataloger.Group
	Reason string
}

// Learn sends the log to a disk that should become a holder.
type Learn struct{ Disk string }

func (Stay) step()  {}
func (Write) step() {}
func (Learn) step() {}

// Plan says what the host of v does next about the group. It is pure. What is
// accepted is on all holders, so any holder may follow the owner; the number of
// holders never falls below Copies.
func Plan(v View) Step {
	switch {
	case !slices.Contains(v.Alive, v.Self):
		return Stay{}
	case len(v.Group.Holders) == 0:
		return v.create()
	case v.Group.Owner != v.Self:
		return v.takeOver()
	}
	return v.own()
}

// staying are the disks that are alive and not leaving.
func (v View) staying() []string {
	return slices.DeleteFunc(slices.Clone(v.Alive), func(d string) bool { return v.Leaving[d] })
}

// ranked is list in the order of preference for this group.
func (v View) ranked(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	n := v.Number % len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

func (v View) create() Step {
	staying := v.ranked(v.staying())
	if len(staying) < v.Copies || staying[0] != v.Self || (len(staying) < v.Wanted && !v.Settled) {
		return Stay{}
	}
	holders := staying[:min(len(staying), v.Wanted)]
	return Write{Group: cataloger.Group{Epoch: 1, Owner: v.Self, Holders: slices.Clone(holders)}, Reason: "created"}
}

// silenceGrace is how long an owner or holder must have been silent to be
// replaced.
const silenceGrace timer.Millis = 300

// heirDelay is how much later each further heir acts, in case that those before
// it cannot reach the store.
const heirDelay timer.Millis = 1500

// takeOver follows an owner that is not heard.
func (v View) takeOver() Step {
	if !v.Group.Holds(v.Self) || slices.Contains(v.Alive, v.Group.Owner) || v.Leaving[v.Self] {
		return Stay{}
	}
	heirs := v.ranked(v.among(v.staying(), v.Group.Holders))
	rank := slices.Index(heirs, v.Self)
	if rank < 0 || v.Silences[v.Group.Owner] < silenceGrace+timer.Millis(rank)*heirDelay {
		return Stay{}
	}
	g := v.next(v.Self, v.Group.Holders)
	switch left := v.among(v.Group.Holders, v.Alive); {
	case len(left) >= v.Copies:
		g.Holders = left
	case len(v.staying()) < v.Copies:
		// As owner this host could commit nothing.
		return Stay{}
	}
	return Write{Group: g, Reason: "owner is not heard"}
}

// among returns those of list that are in other.
func (v View) among(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(d string) bool { return !slices.Contains(other, d) })
}

func (v View) next(owner string, holders []string) cataloger.Group {
	return cataloger.Group{Epoch: v.Group.Epoch + 1, Owner: owner, Holders: slices.Clone(holders)}
}

// own keeps a group that this host owns on enough disks.
func (v View) own() Step {
	if step, ok := v.handOver(); ok {
		return step
	}
	if gone := v.unwanted(); gone != "" {
		left := slices.DeleteFunc(slices.Clone(v.Group.Holders), func(d string) bool { return d == gone })
		if len(v.among(left, v.Alive)) >= v.Copies {
			return Write{Group: v.next(v.Self, left), Reason: "holder is not heard or leaves"}
		}
	}
	return v.recruit()
}

// unwanted is a holder that is not heard, or that is to hold nothing.
func (v View) unwanted() string {
	for _, d := range v.Group.Holders {
		if d != v.Self && !slices.Contains(v.Alive, d) && v.Silences[d] >= silenceGrace {
			return d
		}
	}
	for _, d := range v.Group.Holders {
		if d != v.Self && v.Emptied[d] {
			return d
		}
	}
	return ""
}

// handOver gives the group away when this host leaves, or to the host that
// should have it.
func (v View) handOver() (Step, bool) {
	heirs := v.ranked(v.staying())
	heirs = slices.DeleteFunc(heirs, func(d string) bool { return d != v.Self && (!v.Caught[d] || !v.Group.Holds(d)) })
	if len(heirs) == 0 || heirs[0] == v.Self || (!v.Leaving[v.Self] && !v.Settled) {
		return nil, false
	}
	reason := "balance"
	if v.Leaving[v.Self] {
		reason = "owner leaves"
	}
	return Write{Group: v.next(heirs[0], v.Group.Holders), Reason: reason}, true
}

// recruit adds a holder where one is missing, or where one must be replaced.
func (v View) recruit() Step {
	live := 0
	for _, d := range v.Group.Holders {
		if slices.Contains(v.Alive, d) && !v.Emptied[d] {
			live++
		}
	}
	if live >= v.Wanted {
		return Stay{}
	}
	for _, d := range v.ranked(v.staying()) {
		if v.Group.Holds(d) {
			continue
		}
		if v.Caught[d] {
			holders := append(slices.Clone(v.Group.Holders), d)
			if sound := v.among(holders, v.Alive); len(sound) >= v.Copies {
				holders = sound
			}
			return Write{Group: v.next(v.Self, holders), Reason: "holder added"}
		}
		return Learn{Disk: d}
	}
	return Stay{}
}
