package retirer

import "github.com/jackdawgate/jackdawgate/cataloger"

// Step is what is to be done with the status of a host.
type Step uint8

// The steps.
const (
	// Keep leaves the status as it is.
	Keep Step = iota
	// ReportHolding writes that the host still holds data or is needed, ReportEmpty that it
	// can be removed.
	ReportHolding
	ReportEmpty
	// Remove deletes a status that says that the host is empty.
	Remove
)

// String returns the name of the step in log lines.
func (s Step) String() string {
	switch s {
	case ReportHolding:
		return "report-holding"
	case ReportEmpty:
		return "report-empty"
	case Remove:
		return "remove"
	case Keep:
	}
	return "keep"
}

// Self is a host and what it must leave behind.
type Self struct {
	// Host is the name of the host and Disk its disk.
	Host, Disk string
	// MinHolders is the least number of disks that must hold a group.
	MinHolders int
}

// Plan returns the step for a host's status. It is a pure function.
func Plan(s cataloger.Snapshot, self Self) Step {
	host := self.Host
	status := s.RetireStatus[host]
	known := status.Revision != 0
	switch empty := self.isEmpty(s) && self.isDispensable(s); {
	case !s.Retiring[host]:
		if known && status.Empty {
			return Remove
		}
		return Keep
	case known && status.Empty == empty:
		return Keep
	case empty:
		return ReportEmpty
	}
	return ReportHolding
}

// isEmpty reports whether no manifest names the disk.
func (f Self) isEmpty(s cataloger.Snapshot) bool {
	for _, g := range s.Groups {
		if g.Holds(f.Disk) || g.Owner == f.Disk {
			return false
		}
	}
	return true
}

// isDispensable reports whether the other hosts have enough disks without this one, and
// enough of them hold each group. A host that lost its disk is empty, and may be the only one
// on which the groups can be held again.
func (f Self) isDispensable(s cataloger.Snapshot) bool {
	others := make(map[string]bool)
	for name, m := range s.Members {
		if m.Role == cataloger.Bulk && name != f.Host && !s.RetireStatus[name].Empty {
			others[m.Disk] = true
		}
	}
	if len(others) < f.MinHolders {
		return false
	}
	for _, g := range s.Groups {
		held := 0
		for _, d := range g.Holders {
			if others[d] {
				held++
			}
		}
		if held < f.MinHolders {
			return false
		}
	}
	return true
}
