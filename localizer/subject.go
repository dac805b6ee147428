package localizer

import "github.com/jackdawgate/jackdawgate/cataloger"

// Subject is what the allowed regions of a request depend on: its route and workspace as of
// its admission, which may be nil, and its path.
type Subject struct {
	Route     *cataloger.Route
	Workspace *cataloger.Workspace
	Path      string
}

// Allowed returns the regions in which the request may be placed under configuration c. If c
// no longer has its route or workspace, those of its admission apply.
func (s Subject) Allowed(c *cataloger.Config) Set {
	r, w := s.Route, s.Workspace
	if c != nil && (len(c.Regions()) > 0 || Allowed(r, w).Restricted()) {
		if r != nil {
			if now, ok := c.Match(r.Host, s.Path); ok {
				r = now
			}
		}
		if w != nil {
			if now, ok := c.Workspaces()[w.Name]; ok {
				w = now
			}
		}
	}
	return Allowed(r, w)
}

// Job is what the allowed regions of a batch job depend on: the host name and the route by
// which it was submitted, and its workspace.
type Job struct{ Host, Route, Workspace string }

// Allowed returns the regions in which the job may be stored under configuration c, without
// regard to the paths of its items.
func (j Job) Allowed(c *cataloger.Config) Set {
	if c == nil || len(c.Regions()) == 0 {
		return Set{}
	}
	s := Allowed(nil, c.Workspaces()[j.Workspace])
	for _, r := range c.RoutesOf(j.Host) {
		if r.Name == j.Route {
			s = s.Intersect(Allowed(r, nil))
		}
	}
	return s
}

// AllowedForItem returns the regions in which an item of a job that matches route r may run,
// given the regions in which the job may be stored.
func AllowedForItem(job Set, r *cataloger.Route) Set { return job.Intersect(Allowed(r, nil)) }

// AllowedForReads returns the regions through which jobs of a workspace may be read under
// configuration c. The route of a job is known only to its owner, so those of all batch routes
// apply.
func AllowedForReads(c *cataloger.Config, workspace string) Set {
	if c == nil || len(c.Regions()) == 0 {
		return Set{}
	}
	s := Allowed(nil, c.Workspaces()[workspace])
	for _, r := range c.BatchRoutes() {
		s = s.Intersect(Allowed(r, nil))
	}
	return s
}
