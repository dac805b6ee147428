package keeper

// Policy selects how online and batch calls share a backend server. It is one of
// Preemptive, Sharing, FixedReserve and NoBatch.
type Policy interface{ policy() }

// Preemptive gives batch calls only the slots that online calls leave free, and
// preempts them: an online call that finds the server full evicts the most
// recently started batch call.
type Preemptive struct {
	// Headroom is the number of slots that batch calls leave free.
	Headroom int
	// Overcommit is the maximum number of online calls that may start above the
	// slots while evicted calls still hold theirs.
	Overcommit int
}

// Sharing serves both classes from one queue in order of arrival, without
// eviction and without fairness between workspaces.
type Sharing struct{}

// FixedReserve limits batch calls to Limits.Slots - Limits.ReserveSlots and evicts
// nothing.
type FixedReserve struct{}

// NoBatch never starts a batch call.
type NoBatch struct{}

func (Preemptive) policy()   {}
func (Sharing) policy()      {}
func (FixedReserve) policy() {}
func (NoBatch) policy()      {}

// DefaultPolicy is Preemptive with an overcommitment of one call.
func DefaultPolicy() Policy { return Preemptive{Overcommit: 1} }

// PolicyByName returns the policy that has the given name in the settings.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case "yielding":
		return DefaultPolicy(), true
	case "sharing":
		return Sharing{}, true
	case "fixed-reserve":
		return FixedReserve{}, true
	case "no-batch":
		return NoBatch{}, true
	}
	return nil, false
}
