package hoster

import (
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"go.uber.org/zap"
)

// LogUnknownRegions returns a listener for Snapshots that logs, once for each configuration,
// the allowed regions that no data centre of z has. They permit no data centre. The listener
// must be called by one goroutine at a time.
func LogUnknownRegions(z localizer.Zones, l *zap.Logger) func(cataloger.Snapshot) {
	var logged *cataloger.Config
	return func(s cataloger.Snapshot) {
		if s.Config == nil || s.Config == logged {
			return
		}
		repeated := logged != nil && logged.Version == s.Config.Version && slices.Equal(logged.Regions(), s.Config.Regions())
		logged = s.Config
		if unknown := z.Unknown(s.Config.Regions()); len(unknown) > 0 && !repeated {
			l.Warn("allowed regions without a data centre", zap.Strings("regions", unknown),
				zap.Int64("version", s.Config.Version), zap.Any("zones", z))
		}
	}
}

// BarredDisks returns the disks of bulk hosts that must not get a replica of a group with these
// jobs, and the regions that they allow in common.
func BarredDisks(s cataloger.Snapshot, z localizer.Zones, jobs []*queuer.Job) (map[string]bool, localizer.Set) {
	var allowed localizer.Set
	for _, j := range jobs {
		allowed = allowed.Intersect(broker.StoredIn(s.Config, j))
	}
	if !allowed.Restricted() {
		return nil, allowed
	}
	out := make(map[string]bool)
	for _, m := range s.Members {
		if m.Disk != "" && !allowed.Permits(z.RegionOfMember(m)) {
			out[m.Disk] = true
		}
	}
	return out, allowed
}

// view returns a function that returns the view of the bulk hosts for group n, with the disks
// that the regions of its jobs bar. The function must be called by one goroutine at a time.
func (h *BulkHost) view(n int) func(cataloger.Group) mirrorer.View {
	var logged map[string]bool
	return func(g cataloger.Group) mirrorer.View {
		v := h.fleet.view(g)
		s := h.follower.Snapshot()
		if s.Config == nil || g.Owner != h.member.Disk || (len(s.Config.Regions()) == 0 && logged == nil && !h.queues[n].MayBeRestricted()) {
			return v
		}
		var allowed localizer.Set
		if v.Barred, allowed = BarredDisks(s, h.zones, h.queues[n].Jobs()); !maps.Equal(v.Barred, logged) {
			logged = v.Barred
			h.logger.Info("disks outside of the regions of a group's jobs", zap.Int("group", n),
				zap.Strings("allowed", allowed.Regions()),
				zap.Strings("disks", slices.Sorted(maps.Keys(v.Barred))), zap.Strings("holders", g.Holders))
		}
		return v
	}
}
