package executor

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"go.uber.org/zap"
)

// RestrictedBacklog returns the number of items that could start now in some regions only, by
// region; the empty name stands for all of them. The caller must not change the map.
func (x *Executor) RestrictedBacklog() map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.restricted
}

// permits reports whether an item may run on a server. The caller holds x.mu.
func (x *Executor) permits(t *task, v cataloger.Server) bool {
	return t.allowed.Permits(x.options.Zones.RegionOf(v.DataCentre))
}

// countRestricted counts the ready items that may run in some regions only, and logs when the
// number of those whose service has no server there has changed. The caller holds x.mu.
func (x *Executor) countRestricted(s cataloger.Snapshot, byService map[string][]*task) {
	var restricted map[string]int
	unplaced := 0
	for service, list := range byService {
		for _, t := range list {
			if !t.allowed.Restricted() {
				continue
			}
			if restricted == nil {
				restricted = make(map[string]int)
			}
			restricted[""]++
			for _, r := range t.allowed.Regions() {
				if r != "" {
					restricted[r]++
				}
			}
			if !slices.ContainsFunc(s.ServersOf(service), func(v cataloger.Server) bool { return x.permits(t, v) }) {
				unplaced++
			}
		}
	}
	x.restricted = restricted
	if unplaced != x.unplaced {
		x.unplaced = unplaced
		x.options.Logger.Info("items without a permitted place", zap.Int("items", unplaced),
			zap.Int("restricted", restricted[""]), zap.Int64("version", s.Config.Version))
	}
}

// barred returns how many items of each host's backlog may not run on a server, or nil if no
// item is restricted to regions. ready are those of this host.
func (x *Executor) barred(v cataloger.Server, ready []*task, digests []gossiper.Digest) map[string]int {
	var out map[string]int
	add := func(host string, n int) {
		if n <= 0 {
			return
		}
		if out == nil {
			out = make(map[string]int)
		}
		out[host] += n
	}
	if x.restricted != nil {
		for _, t := range ready {
			if !x.permits(t, v) {
				add(x.options.Host, 1)
			}
		}
	}
	region := x.options.Zones.RegionOf(v.DataCentre)
	for _, d := range digests {
		all, here := d.RestrictedBacklog[""], 0
		if region != "" {
			here = d.RestrictedBacklog[region]
		}
		add(d.Host, all-here)
	}
	return out
}
