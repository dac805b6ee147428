package mirrorer

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
)

// View is the state of a group and of the other hosts as seen by the host that calls
// Plan.
type View struct {
	Group cataloger.Group
	// GroupNumber is the number of Group.
	GroupNumber int
	// Self is the disk of this host.
	Self string
	// Reachable are the disks of the hosts that this host can reach, and its own, in
	// an order that is the same on all hosts. Leaving are those of them whose hosts are
	// about to stop.
	Reachable []string
	Leaving   map[string]bool
	// Retiring are the disks of hosts that operators want to remove, from which logs are
	// moved if enough other disks are there. Emptied are those of hosts that were reported
	// as empty and may be removed at any moment.
	Retiring, Emptied map[string]bool
	// Barred are the disks that must not become holders, and to which the log is not sent
	// unless they are holders already.
	Barred map[string]bool
	// CaughtUp are the disks that had the owner's entire log a moment ago. It is empty
	// unless this host owns the group.
	CaughtUp map[string]bool
	// MinHolders is the least number of disks that must hold the log, WantedHolders
	// the number that should.
	MinHolders, WantedHolders int
	// SilentFor are the times for which the hosts of the holders and the owner have been
	// down (see Silence).
	SilentFor map[string]timer.Millis
	// Stable reports whether the set of hosts has been unchanged for long enough
	// that a group may move merely for balance, or be created on fewer disks than
	// WantedHolders.
	Stable bool
}

// Step is the next step of a host for a group, as decided by Plan.
type Step interface{ step() }

// NoStep means that no step is required.
type NoStep struct{}

// WriteManifest replaces the manifest if it is still the one of the View.
type WriteManifest struct {
	Group  cataloger.Group
	Reason string
}

// AddLearner starts sending the log to a disk that should become a holder.
type AddLearner struct{ Disk string }

func (NoStep) step()        {}
func (WriteManifest) step() {}
func (AddLearner) step()    {}

// Plan returns the next step of the host that v belongs to. It is a pure function.
// Committed entries are on all holders, so any holder's host may succeed the owner.
// The number of holders never falls below MinHolders.
//
// A host that is to be removed goes only when it has been emptied, however long that takes.
// Until then it counts as any other if there are fewer than MinHolders others, and it
// succeeds an owner that no other holder can succeed.
func Plan(v View) Step {
	switch {
	case !slices.Contains(v.Reachable, v.Self):
		return NoStep{}
	case len(v.Group.Holders) == 0:
		return v.planCreate()
	case v.Group.Owner != v.Self:
		return v.planTakeOver()
	}
	return v.planOwned()
}

// available returns the reachable disks that can hold the group: their hosts do not stop,
// and were not reported as empty.
func (v View) available() []string {
	return slices.DeleteFunc(slices.Clone(v.Reachable), func(d string) bool { return v.Leaving[d] || v.Emptied[d] })
}

// staying returns the available disks whose hosts are not to be removed, and as many of the
// others as are needed for MinHolders in all.
func (v View) staying() []string {
	list := v.available()
	missing := v.MinHolders
	for _, d := range list {
		if !v.Retiring[d] {
			missing--
		}
	}
	return slices.DeleteFunc(list, func(d string) bool {
		if !v.Retiring[d] {
			return false
		}
		missing--
		return missing < 0
	})
}

// canGo reports whether the host of a disk is to be removed and is not needed.
func (v View) canGo(disk string) bool {
	return v.Emptied[disk] || (v.Retiring[disk] && !slices.Contains(v.staying(), disk))
}

// ranked returns list in the order of preference for this group.
func (v View) ranked(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	n := v.GroupNumber % len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

func (v View) planCreate() Step {
	candidates := v.ranked(v.staying())
	if len(candidates) < v.MinHolders || candidates[0] != v.Self || (len(candidates) < v.WantedHolders && !v.Stable) {
		return NoStep{}
	}
	holders := candidates[:min(len(candidates), v.WantedHolders)]
	return WriteManifest{Group: cataloger.Group{Epoch: 1, Owner: v.Self, Holders: slices.Clone(holders)}, Reason: "created"}
}

// silenceGrace is the time for which the host of an owner or holder must be down before it
// is replaced.
const silenceGrace timer.Millis = 300

// successorDelay is how much longer each further possible successor waits, in case
// those before it cannot reach the store.
const successorDelay timer.Millis = 1500

// planTakeOver makes this host the owner if the owner is unreachable: after silenceGrace
// for the first possible successor, and successorDelay later for each further one.
func (v View) planTakeOver() Step {
	if !v.Group.Holds(v.Self) || slices.Contains(v.Reachable, v.Group.Owner) || v.Leaving[v.Self] {
		return NoStep{}
	}
	successors := v.successors(v.Group.Holds)
	rank := slices.Index(successors, v.Self)
	if rank < 0 || v.SilentFor[v.Group.Owner] < silenceGrace+timer.Millis(rank)*successorDelay {
		return NoStep{}
	}
	g := v.nextManifest(v.Self, v.Group.Holders)
	switch reachable := v.intersect(v.Group.Holders, v.Reachable); {
	case len(reachable) >= v.MinHolders:
		g.Holders = reachable
	case len(v.available()) < v.MinHolders:
		// As the owner, this host could not commit anything.
		return NoStep{}
	}
	return WriteManifest{Group: g, Reason: "owner is silent"}
}

// successors returns the disks that may take the group over, in order of preference: those
// of the staying hosts that qualify, or, if there are none, those of hosts to be removed.
func (v View) successors(qualifies func(disk string) bool) []string {
	for _, list := range [][]string{v.staying(), v.available()} {
		qualified := slices.DeleteFunc(list, func(d string) bool { return !qualifies(d) })
		if len(qualified) > 0 {
			return v.ranked(qualified)
		}
	}
	return nil
}

// intersect returns the elements of list that are also in other.
func (v View) intersect(list, other []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(d string) bool { return !slices.Contains(other, d) })
}

// nextManifest returns a manifest with the next epoch.
func (v View) nextManifest(owner string, holders []string) cataloger.Group {
	return cataloger.Group{Epoch: v.Group.Epoch + 1, Owner: owner, Holders: slices.Clone(holders)}
}

// planOwned returns the owner's next step: hand the group over, remove a holder, or
// add one.
func (v View) planOwned() Step {
	if step, ok := v.planHandOver(); ok {
		return step
	}
	if removed := v.holderToRemove(); removed != "" {
		left := slices.DeleteFunc(slices.Clone(v.Group.Holders), func(d string) bool { return d == removed })
		if len(v.intersect(left, v.Reachable)) >= v.MinHolders {
			return WriteManifest{Group: v.nextManifest(v.Self, left), Reason: "holder is silent or is being retired"}
		}
	}
	return v.planNewHolder()
}

// holderToRemove returns a holder whose host is silent or being retired, or "".
func (v View) holderToRemove() string {
	for _, d := range v.Group.Holders {
		if d != v.Self && !slices.Contains(v.Reachable, d) && v.SilentFor[d] >= silenceGrace {
			return d
		}
	}
	for _, d := range v.Group.Holders {
		if d != v.Self && v.canGo(d) {
			return d
		}
	}
	return ""
}

// planHandOver hands the group over when this host stops or can be removed, or for balance
// to the host that is preferred for the group.
func (v View) planHandOver() (Step, bool) {
	successors := v.successors(func(d string) bool { return d == v.Self || (v.CaughtUp[d] && v.Group.Holds(d)) })
	reason := "balance"
	switch goes := v.Leaving[v.Self] || v.canGo(v.Self); {
	case len(successors) == 0 || successors[0] == v.Self:
		return nil, false
	case goes && slices.Contains(successors, v.Self):
		// All possible successors are to be removed too.
		return nil, false
	case goes:
		reason = "owner is leaving"
	case !v.Stable:
		return nil, false
	}
	return WriteManifest{Group: v.nextManifest(successors[0], v.Group.Holders), Reason: reason}, true
}

// planNewHolder adds a holder if one is missing or must be replaced.
func (v View) planNewHolder() Step {
	healthy := 0
	for _, d := range v.Group.Holders {
		if slices.Contains(v.Reachable, d) && !v.canGo(d) {
			healthy++
		}
	}
	if healthy >= v.WantedHolders {
		return NoStep{}
	}
	for _, d := range v.ranked(v.staying()) {
		if v.Group.Holds(d) || v.Barred[d] {
			continue
		}
		if v.CaughtUp[d] {
			holders := append(slices.Clone(v.Group.Holders), d)
			if reachable := v.intersect(holders, v.Reachable); len(reachable) >= v.MinHolders {
				holders = reachable
			}
			return WriteManifest{Group: v.nextManifest(v.Self, holders), Reason: "holder added"}
		}
		return AddLearner{Disk: d}
	}
	return NoStep{}
}
