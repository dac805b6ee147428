// Package placer chooses the members that hold the copies of a segment. It is
// deterministic: the same members and segment name give the same order on every
// host.
//
// A segment is safe once it has two holders, which must be in different data
// centres if there are at least two. It gets a third holder if there are at least
// three data centres.
package placer

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/registrar"
)

const (
	// minCopies is the number of holders that a segment needs to be safe.
	minCopies = 2
	// maxCopies is the number of holders of a segment if there are at least as
	// many data centres.
	maxCopies = 3
)

// Rank returns the members with a data folder in order of preference for the
// segment called name, by descending assigner.Score.
func Rank(r registrar.Record, name string) []registrar.Member {
	var out []registrar.Member
	for _, m := range r.Members {
		if m.Bulk {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b registrar.Member) int {
		x, y := assigner.Score(name, a.Name), assigner.Score(name, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return out
}

// countDataCentres returns the number of distinct data centres of ms.
func countDataCentres(ms []registrar.Member) int {
	seen := make(map[string]bool)
	for _, m := range ms {
		seen[m.DataCentre] = true
	}
	return len(seen)
}

// WantedHolders returns how many holders a segment gets if ms are the members with a
// data folder.
func WantedHolders(ms []registrar.Member) int {
	return min(len(ms), max(minCopies, min(maxCopies, countDataCentres(ms))))
}

// Safe reports whether holders are enough for a segment to be safe. At least two
// are needed. They must be in different data centres if all, the members with a
// data folder, span more than one.
func Safe(holders, all []registrar.Member) bool {
	return len(holders) >= minCopies && countDataCentres(holders) >= min(minCopies, countDataCentres(all))
}

// Spread reorders ranked so that the first member of each data centre precedes
// all other members. The order is otherwise unchanged.
func Spread(ranked []registrar.Member) []registrar.Member {
	seen := make(map[string]bool)
	var first, rest []registrar.Member
	for _, m := range ranked {
		if seen[m.DataCentre] {
			rest = append(rest, m)
			continue
		}
		seen[m.DataCentre] = true
		first = append(first, m)
	}
	return append(first, rest...)
}
