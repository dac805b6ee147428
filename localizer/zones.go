package localizer

import (
	"maps"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
)

// Zones maps data centres to their regions. It is immutable.
type Zones map[string]string

// With returns z with the region of a data centre, unless z has it already.
func (z Zones) With(dataCentre, region string) Zones {
	if _, ok := z[dataCentre]; ok {
		return z
	}
	out := Zones{dataCentre: region}
	maps.Copy(out, z)
	return out
}

// RegionOf returns the region of a data centre, or "" if it is unknown.
func (z Zones) RegionOf(dataCentre string) string { return z[dataCentre] }

// RegionOfMember returns the region of a host: the one that its entry states, or that of its
// data centre.
func (z Zones) RegionOfMember(m cataloger.Member) string {
	if m.Region != "" {
		return m.Region
	}
	return z[m.DataCentre]
}

// Unknown returns the regions of list that no data centre has.
func (z Zones) Unknown(list []string) []string {
	known := slices.Collect(maps.Values(z))
	return slices.DeleteFunc(slices.Clone(list), func(r string) bool { return slices.Contains(known, r) })
}
