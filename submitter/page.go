package submitter

import (
	"slices"
	"strings"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Entry is an entry of a list that is paginated newest first.
type Entry struct {
	ID      string
	Created timer.Millis
}

// Paginate returns the entries of the requested page and whether more entries
// follow it. It sorts all in place, newest first. ok is false if all has no entry
// with the identifier p.After.
func (p PageRequest) Paginate(all []Entry) (page []Entry, more, ok bool) {
	slices.SortFunc(all, func(a, b Entry) int {
		if a.Created != b.Created {
			return int(b.Created - a.Created)
		}
		return strings.Compare(a.ID, b.ID)
	})
	if p.After != "" {
		i := slices.IndexFunc(all, func(e Entry) bool { return e.ID == p.After })
		if i < 0 {
			return nil, false, false
		}
		all = all[i+1:]
	}
	limit := p.Limit
	if limit <= 0 {
		limit = DefaultPageSize
	}
	limit = min(limit, MaxPageSize)
	if len(all) <= limit {
		return all, false, true
	}
	return all[:limit], true, true
}
