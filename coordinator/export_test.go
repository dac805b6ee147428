package coordinator

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Guard is a rule of the protocol. A test drops it to show that the checker detects the
// violation.
type Guard string

// Guards.
const (
	GuardPermissionEnd    Guard = "permission ends in time"
	GuardTimedFromSending Guard = "the permission starts when the request was sent"
	GuardMajority         Guard = "a majority accepts"
	GuardFormerMembers    Guard = "the members before accept"
	GuardHandOver         Guard = "a new owner waits for earlier permissions to end"
	GuardRetainedObjects  Guard = "a host retains only the objects for which it could act"
	GuardVerifiedJoin     Guard = "a joining host has responded"
	GuardNoRevert         Guard = "versions do not go back"
	GuardStopsFirst       Guard = "a leaving host stops first"
	// GuardIncarnation is dropped by the simulation when it starts a process, not by
	// StepWithout.
	GuardIncarnation Guard = "a restart is another incarnation"
)

// permissionOverrun is how much too long a permission lasts without its guard.
const permissionOverrun = 2 * timer.Second

// StepWithout is Step without the guard g.
func StepWithout(g Guard, s State, e Event) (State, []Effect) {
	s = dropBefore(g, s, e)
	until := s.permittedUntil
	next, effects := Step(s, e)
	return dropAfter(g, next, until), effects
}

// dropBefore changes the state before the step so that g does not take effect.
func dropBefore(g Guard, s State, e Event) State {
	switch g {
	case GuardTimedFromSending:
		s.rounds = slices.Clone(s.rounds)
		for i := range s.rounds {
			s.rounds[i].sent = e.at()
		}
		s.store.readSent = e.at()
	case GuardVerifiedJoin:
		joining := make(map[string]joiner, len(s.joining))
		for name, j := range s.joining {
			j.verified = s.record.Epoch
			joining[name] = j
		}
		s.joining = joining
	case GuardNoRevert:
		if f, ok := e.(RecordFetched); ok && !f.Failed && f.Record.Version < s.record.Version {
			s = s.withRecord(f.Record, e.at())
		}
		if q, ok := e.(ReportReceived); ok && q.Report.Version < s.record.Version && q.Report.Version > 0 {
			s.rounds = nil
		}
	}
	return s
}

// dropAfter changes the state after the step so that g has had no effect. until is the
// end of the permission before the step.
func dropAfter(g Guard, s State, until timer.Millis) State {
	switch g {
	case GuardPermissionEnd:
		if s.permittedUntil > until {
			s.permittedUntil += permissionOverrun
		}
	case GuardMajority:
		s.accepted = s.record.Version
	case GuardFormerMembers:
		s.sets = s.sets[len(s.sets)-1:]
	case GuardHandOver:
		s.settled = s.record.Epoch
	case GuardRetainedObjects:
		if s.record.Epoch > 0 {
			s.settled = max(s.settled, s.record.Epoch-1)
		}
	case GuardStopsFirst:
		if s.stopped {
			s.permittedUntil = max(until, s.permittedUntil)
		}
	}
	return s
}
