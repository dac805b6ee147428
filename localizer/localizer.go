// Package localizer decides in which regions a request may be placed.
//
// A route and a workspace may each name allowed regions; where both do, both apply. Package
// localizer is pure: it keeps no state and performs no I/O. The decision is made anew for
// each attempt, from the configuration in force then.
package localizer

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Set is a set of regions. The zero Set is unrestricted: it has all regions and permits also
// data centres whose region is unknown.
type Set struct {
	restricted bool
	regions    []string
}

// setOf returns the Set of the listed regions, or the unrestricted Set if there are none.
func setOf(regions []string) Set { return Set{restricted: len(regions) > 0, regions: regions} }

// Allowed returns the regions in which requests of a workspace on a route may be placed.
// Either may be nil.
func Allowed(r *cataloger.Route, w *cataloger.Workspace) Set {
	var s Set
	if r != nil {
		s = setOf(r.AllowedRegions)
	}
	if w != nil {
		s = s.Intersect(setOf(w.AllowedRegions))
	}
	return s
}

// Restricted reports whether s lacks any region.
func (s Set) Restricted() bool { return s.restricted }

// Empty reports whether s has no region at all.
func (s Set) Empty() bool { return s.restricted && len(s.regions) == 0 }

// Permits reports whether a request may be placed in a region. Only an unrestricted Set
// permits the empty name, which stands for an unknown region.
func (s Set) Permits(region string) bool {
	return !s.restricted || (region != "" && slices.Contains(s.regions, region))
}

// Regions returns the regions of s; none if s is unrestricted. The caller must not change the
// slice.
func (s Set) Regions() []string { return s.regions }

// Intersect returns the regions that both s and o have.
func (s Set) Intersect(o Set) Set {
	switch {
	case !o.restricted:
		return s
	case !s.restricted:
		return o
	}
	out := Set{restricted: true}
	for _, r := range s.regions {
		if slices.Contains(o.regions, r) {
			out.regions = append(out.regions, r)
		}
	}
	return out
}

// Equal reports whether s and o have the same regions in the same order.
func (s Set) Equal(o Set) bool {
	return s.restricted == o.restricted && slices.Equal(s.regions, o.regions)
}
