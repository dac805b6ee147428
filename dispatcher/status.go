package dispatcher

import (
	"slices"
	"strings"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/requester"
)

// Servers returns the status of all backend servers as recorded on this host, sorted
// by name. The operators' status shows it.
func (d *Dispatcher) Servers() []administrator.ServerStatus {
	s := d.options.Viewer.View()
	now := d.options.Clock.Now()
	out := make([]administrator.ServerStatus, 0, len(s.Record.Servers))
	for name, b := range s.Record.Servers {
		l := d.loads.candidate(&b, requester.Batch).Load
		if s.Owns(coordinator.ServerObject(name), now) {
			l = d.ownLoad(name)
		}
		owner, _ := s.Owner(coordinator.ServerObject(name))
		out = append(out, administrator.ServerStatus{
			Name: name, DataCentre: b.DataCentre, Keeper: owner.Name, Leaving: b.Leaving,
			Healthy: l.Healthy, Online: l.Online, Batch: l.Batch, Waiting: l.Waiting,
		})
	}
	slices.SortFunc(out, func(a, b administrator.ServerStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Loads returns the recorded loads of the servers, by name. It omits servers without
// a report, probe or failure. The loads of servers that this host owns do not have the
// counts of its ledger.
func (d *Dispatcher) Loads() map[string]Load {
	d.loads.mu.Lock()
	defer d.loads.mu.Unlock()
	out := make(map[string]Load, len(d.loads.entries))
	for name, e := range d.loads.entries {
		if e.known {
			out[name] = e.load
		}
	}
	return out
}
