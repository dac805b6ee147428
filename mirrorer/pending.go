package mirrorer

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
)

// holderConditions returns the conditions for the disks that a manifest adds as holders.
func (r *Replica) holderConditions(before, after cataloger.Group) []storer.Condition {
	if r.options.HolderCondition == nil {
		return nil
	}
	var out []storer.Condition
	for _, d := range after.Holders {
		if before.Holds(d) {
			continue
		}
		if c, ok := r.options.HolderCondition(d); ok {
			out = append(out, c)
		}
	}
	return out
}
