package localizer

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Caller is what a caller states when it asks for hosts: the host name of its routes, and its
// region and data centre. Each field may be empty.
type Caller struct{ Host, Region, DataCentre string }

// Prefers returns a function that reports whether the caller should connect to hosts in a region
// under configuration c: its own region, and those that the routes of its host name allow. A
// caller that states no region is in that of its data centre.
func (r Caller) Prefers(c *cataloger.Config, z Zones) func(region string) bool {
	own := r.Region
	if own == "" {
		own = z.RegionOf(r.DataCentre)
	}
	allowed := entryRegions(c, r.Host)
	return func(region string) bool { return allowed.Permits(region) || (own != "" && region == own) }
}

// entryRegions returns the regions in which callers' requests to a host name should arrive
// under configuration c: those that all its restricted routes allow, or if these have none in
// common, those that any of them allows.
func entryRegions(c *cataloger.Config, host string) Set {
	var all, some Set
	if c == nil || len(c.Regions()) == 0 {
		return all
	}
	for _, r := range c.RoutesOf(host) {
		s := Allowed(r, nil)
		all = all.Intersect(s)
		if s.restricted {
			some = Set{restricted: true, regions: append(slices.Clone(some.regions), s.regions...)}
		}
	}
	if all.Empty() {
		return some
	}
	return all
}
