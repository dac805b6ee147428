package broker

import (
	"net/http"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"go.uber.org/zap"
)

// The reasons why a job cannot be placed within its allowed regions.
const (
	reasonEmpty  = "the allowed regions of the job's routes and of its workspace have none in common"
	reasonHolder = "the job's group has a holder outside of the job's allowed regions"
	reasonServer = "a service of the job has no server in the job's allowed regions"
	reasonRelay  = "this host reaches no host in the allowed regions through which the call may pass"
)

// StoredIn returns the regions in which a job may be stored under configuration c. The job is
// stored as a whole, so these are the regions that the routes of all its items allow.
func StoredIn(c *cataloger.Config, j *queuer.Job) localizer.Set {
	allowed, _ := j.Subject().AllowedWithItems(c, j.Paths())
	return allowed
}

// jobRegions returns the regions in which a job may be stored, and why it cannot be placed
// there; the reason is empty if it can. recipients returns further disks that would receive the
// job; it is called only for a job that is restricted to regions.
func jobRegions(
	s cataloger.Snapshot, z localizer.Zones, j *queuer.Job, recipients func() []string,
) (allowed localizer.Set, reason string) {
	allowed, routes := j.Subject().AllowedWithItems(s.Config, j.Paths())
	if !allowed.Restricted() {
		return allowed, ""
	}
	if allowed.Empty() {
		return allowed, reasonEmpty
	}
	for _, disk := range append(recipients(), s.Groups[GroupOf(j.ID)].Holders...) {
		// The region of a holder that is no member is unknown.
		if m, ok := s.MemberWithDisk(disk); !ok || !allowed.Permits(z.RegionOfMember(m)) {
			return allowed, reasonHolder
		}
	}
	submitted := j.Subject().Allowed(s.Config)
	for r := range routes {
		if !hasServers(s, z, r, localizer.AllowedForItem(submitted, r)) {
			return allowed, reasonServer
		}
	}
	return allowed, ""
}

// noRecipients are the further recipients of a job that are known to a host that does not
// serve the job's group.
func noRecipients() []string { return nil }

// hasServers reports whether each service of a route has a server in the allowed regions.
func hasServers(s cataloger.Snapshot, z localizer.Zones, r *cataloger.Route, allowed localizer.Set) bool {
	for _, share := range r.Shares {
		found := false
		for _, v := range s.ServersOf(share.Service) {
			found = found || allowed.Permits(z.RegionOf(v.DataCentre))
		}
		if allowed.Restricted() && !found {
			return false
		}
	}
	return true
}

// readingRegions returns the regions through which jobs of a workspace may be read.
func (b *Broker) readingRegions(workspace string) localizer.Set {
	return localizer.AllowedForReads(b.options.Snapshot().Config, workspace)
}

// refuseNotPermitted refuses a job that cannot be placed within its allowed regions.
func (b *Broker) refuseNotPermitted(job string, allowed localizer.Set, reason string) gatekeeper.JobAnswer {
	b.recordNotPermitted("job", job, allowed, reason)
	return retryableRefusal(http.StatusServiceUnavailable, reason)
}

// recordNotPermitted logs and counts a call about a job that the allowed regions have no place
// for. kind is that of the metric.
func (b *Broker) recordNotPermitted(kind, job string, allowed localizer.Set, reason string) {
	s, group := b.options.Snapshot(), GroupOf(job)
	var holders []string // as NAME=REGION
	for _, disk := range s.Groups[group].Holders {
		m, _ := s.MemberWithDisk(disk)
		holders = append(holders, m.Name+"="+b.options.Zones.RegionOfMember(m))
	}
	b.options.Measurer.NotPlaced(kind)
	b.options.Logger.Info("no permitted place", zap.String("job", job),
		zap.Strings("allowed", allowed.Regions()), zap.String("reason", reason),
		zap.Int("group", group), zap.Strings("holders", holders))
}

// notPermitted returns the reply about a job that cannot be placed within its allowed regions.
func notPermitted(reason string) reply {
	return reply{Verdict: verdictNotPermitted, Body: []byte(reason)}
}
