package localizer

import (
	"iter"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

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

// JobRegions are the regions that a batch job's route and workspace allowed, and those that the
// routes of all its items did, as of its acceptance. None means no restriction.
type JobRegions struct{ Route, Workspace, Items []string }

// None reports whether nothing restricted the job.
func (r JobRegions) None() bool { return len(r.Route)+len(r.Workspace)+len(r.Items) == 0 }

// Job is what the allowed regions of a batch job depend on: the host name and the route by
// which it was submitted, its workspace, and what these allowed as of its acceptance.
type Job struct {
	Host, Route, Workspace string
	Accepted               JobRegions
}

// unrestricted reports whether nothing restricts the job under configuration c.
func (j Job) unrestricted(c *cataloger.Config) bool {
	return j.Accepted.None() && (c == nil || len(c.Regions()) == 0)
}

// Allowed returns the regions in which the job may be stored under configuration c, without
// regard to the paths of its items. If c no longer has its route or workspace, those of its
// acceptance apply: a configuration that names neither any more says nothing about the job.
func (j Job) Allowed(c *cataloger.Config) Set {
	if j.unrestricted(c) {
		return Set{}
	}
	route, workspace := setOf(j.Accepted.Route), setOf(j.Accepted.Workspace)
	if c != nil {
		if w, ok := c.Workspaces()[j.Workspace]; ok {
			workspace = Allowed(nil, w)
		}
		for _, r := range c.RoutesOf(j.Host) {
			if r.Name == j.Route {
				route = Allowed(r, nil)
			}
		}
	}
	return workspace.Intersect(route)
}

// AllowedWithItems returns the regions in which the job may be stored as a whole, with items of
// these paths, under configuration c, and the routes of the items. If an item matches no route any
// more, the regions that the items allowed as of the acceptance apply too.
func (j Job) AllowedWithItems(c *cataloger.Config, paths iter.Seq[string]) (Set, map[*cataloger.Route]bool) {
	if j.unrestricted(c) {
		return Set{}, nil
	}
	allowed, routes, unmatched := j.Allowed(c), make(map[*cataloger.Route]bool), c == nil
	if c != nil {
		for path := range paths {
			r, ok := c.Match(j.Host, path)
			if ok && !routes[r] {
				routes[r] = true
				allowed = allowed.Intersect(Allowed(r, nil))
			}
			unmatched = unmatched || !ok
		}
	}
	if unmatched {
		allowed = allowed.Intersect(setOf(j.Accepted.Items))
	}
	return allowed, routes
}

// AtAcceptance returns what configuration c allows a job with items of these paths.
func (j Job) AtAcceptance(c *cataloger.Config, paths iter.Seq[string]) JobRegions {
	if c == nil || len(c.Regions()) == 0 {
		return JobRegions{}
	}
	_, routes := j.AllowedWithItems(c, paths)
	var items Set
	for r := range routes {
		items = items.Intersect(Allowed(r, nil))
	}
	return JobRegions{
		Route:     Job{Host: j.Host, Route: j.Route}.Allowed(c).Regions(),
		Workspace: Job{Workspace: j.Workspace}.Allowed(c).Regions(),
		Items:     items.Regions(),
	}
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
