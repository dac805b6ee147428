// Package filler decides how many batch items a host starts and evicts at each
// backend server. It is pure.
//
// Engines admit in order of arrival and know no priorities, so batch items get
// the slots that online calls leave, less a few that are kept free for the next
// online calls; when online calls come near to filling a server, batch items
// there are evicted, and go on later where they stopped. All hosts with batch
// items decide from the same counts, each for its own part: a server is filled
// by the host that a hash weighted by backlogs picks, and eviction begins with
// the host that has most items there.
package filler

import (
	"math"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
)

// Policy says how many slots of a server are kept free.
type Policy struct {
	// FillFree is how many slots are free after an item was started, EvictFree
	// how many are free at least before items are evicted.
	FillFree, EvictFree int
}

// WithDemand returns the policy for servers at which at most so many online calls
// ran lately, all together. Slots that no online call is likely to take are not kept
// free.
func (p Policy) WithDemand(online, servers int) Policy {
	if servers > 0 {
		p.FillFree = min(p.FillFree, (online+servers-1)/servers)
	}
	return p
}

// Server is a backend server as the host knows it.
type Server struct {
	ID     string
	Slots  int
	Online int
	// Batch are the items that run there, by host.
	Batch map[string]int
	// Closed servers take no items.
	Closed bool
}

func (s Server) batch() int {
	n := 0
	for _, b := range s.Batch {
		n += b
	}
	return n
}

// Input is what is known when a host decides.
type Input struct {
	Self    string
	Servers []Server
	// Backlogs are how many items could be started, by host.
	Backlogs map[string]int
	Policy   Policy
}

// Counts are numbers of items by server.
type Counts map[string]int

// Plan says how many items this host starts and evicts at each server.
func Plan(in Input) (start, evict Counts) {
	start, evict = make(Counts), make(Counts)
	left := in.Backlogs[in.Self]
	for _, s := range byRoom(in.Servers) {
		if n := in.evictions(s); n > 0 {
			evict[s.ID] = n
			continue
		}
		room := s.Slots - s.Online - s.batch() - in.Policy.FillFree
		if s.Closed || room <= 0 || left <= 0 || in.filler(s.ID) != in.Self {
			continue
		}
		start[s.ID] = min(room, left)
		left -= start[s.ID]
	}
	return start, evict
}

// byRoom orders servers by how much room they have, most first.
func byRoom(servers []Server) []Server {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(a, b Server) int {
		return (a.Online + a.batch() - a.Slots) - (b.Online + b.batch() - b.Slots)
	})
	return out
}

// filler is the host that starts items at a server, of those that have any.
func (in Input) filler(server string) string {
	best, bestScore := "", math.Inf(-1)
	for host, n := range in.Backlogs {
		if n <= 0 {
			continue
		}
		// The highest of -weight/ln(u) wins with a probability of its weight.
		u := (float64(assigner.Score(server, host)>>11) + 1) / (1<<53 + 1)
		score := -float64(n) / math.Log(u)
		if score > bestScore || (score == bestScore && host < best) {
			best, bestScore = host, score
		}
	}
	return best
}

// evictions is how many items this host evicts from a server.
func (in Input) evictions(s Server) int {
	over := min(s.Online+s.batch()+in.Policy.EvictFree-s.Slots, s.batch())
	if over <= 0 {
		return 0
	}
	hosts := make([]string, 0, len(s.Batch))
	for h := range s.Batch {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b string) int {
		if s.Batch[a] != s.Batch[b] {
			return s.Batch[b] - s.Batch[a]
		}
		if a < b {
			return -1
		}
		return 1
	})
	for _, h := range hosts {
		n := min(over, s.Batch[h])
		if h == in.Self {
			return n
		}
		over -= n
	}
	return 0
}
