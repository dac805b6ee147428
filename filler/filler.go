// Package filler decides how many batch items a host starts and evicts on each
// backend server. It is a pure function of its input: it keeps no state and does no
// I/O.
//
// Servers admit requests in order of arrival and have no priorities. Batch items
// therefore get only the slots that online calls leave free, less a few reserved for
// the next online calls, and less as many as online calls wait. When online calls come
// close to filling a server, batch items on it are evicted and resume later where they
// stopped. Every host with batch items decides for itself from the same counts, without
// coordination: a server is filled only by the host that a hash weighted by the hosts'
// backlogs picks for it, and eviction starts with the host that has the most items there.
package filler

import (
	"cmp"
	"math"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
)

// Policy is the number of slots that batch items leave free on each server.
type Policy struct {
	// FreeAfterStart is how many slots must still be free after an item is started.
	// Items are evicted until at least MinFree slots are free.
	FreeAfterStart, MinFree int
}

// WithDemand returns the policy for a service with this number of servers, on which
// at most online calls ran at once recently, counted over all of them. It reserves no
// more slots per server than that peak would need, since other slots would stay idle.
func (p Policy) WithDemand(online, servers int) Policy {
	if servers > 0 {
		p.FreeAfterStart = min(p.FreeAfterStart, (online+servers-1)/servers)
	}
	return p
}

// Server is this host's view of the state of a backend server.
type Server struct {
	ID     string
	Slots  int
	Online int
	// Batch is the number of items that run there, by host.
	Batch map[string]int
	// Closed means that no items are started there. Items may still be evicted.
	Closed bool
	// Limited is set if the server named a limit or is cold, which lets Starts items start
	// now.
	Limited bool
	Starts  int
	// Slowdown is the server's slowdown factor, a multiple of the service's mean latency. Zero
	// counts as one.
	Slowdown float64
	// Barred is the number of items of the backlogs that may not run there, by host.
	Barred map[string]int
}

// batchTotal returns the number of batch items of all hosts.
func (s Server) batchTotal() int {
	n := 0
	for _, b := range s.Batch {
		n += b
	}
	return n
}

// free returns how many more items could start there by its slots alone.
func (s Server) free(p Policy) int {
	if s.Closed {
		return 0
	}
	return max(0, s.Slots-s.Online-s.batchTotal()-p.FreeAfterStart)
}

// Input is what a host decides from. Hosts whose Inputs differ only in Self make
// decisions that fit together.
type Input struct {
	Self    string
	Servers []Server
	// Backlogs is the number of items that are ready to start, by host.
	Backlogs map[string]int
	Policy   Policy
}

// Counts is a number of items by server ID. Servers without any are left out.
type Counts map[string]int

// Plan returns how many items the host in.Self should start and evict on each server.
// It never does both on the same server.
func Plan(in Input) (start, evict Counts) {
	start, evict = make(Counts), make(Counts)
	remaining := in.Backlogs[in.Self]
	waiting := in.onlineWaiting()
	for _, s := range byFreeSlots(in.Servers) {
		if n := in.evictions(s); n > 0 {
			evict[s.ID] = n
			continue
		}
		free := s.free(in.Policy)
		if s.Limited {
			free = min(free, s.Starts)
		}
		left := min(free, waiting)
		free, waiting = free-left, waiting-left
		if free <= 0 || remaining <= 0 || in.filler(s) != in.Self {
			continue
		}
		start[s.ID] = min(free, remaining, in.Backlogs[in.Self]-s.Barred[in.Self])
		remaining -= start[s.ID]
	}
	return start, evict
}

// onlineWaiting returns the number of online calls that wait for a slot. Items leave as many
// slots free elsewhere: where calls wait, more are on the way.
func (in Input) onlineWaiting() int {
	n := 0
	for _, s := range in.Servers {
		n += max(0, s.Online-s.Slots)
	}
	return n
}

// OnlineNeedsLimits reports whether online calls need what the limits of servers leave:
// servers without a limit have no more slots free of online calls than items leave to them.
func (in Input) OnlineNeedsLimits() bool {
	free, reserved := 0, 0
	for _, s := range in.Servers {
		if !s.Limited && !s.Closed {
			free += s.Slots - s.Online
			reserved += in.Policy.FreeAfterStart
		}
	}
	return free <= reserved
}

// HeldBack returns the number of slots that are free for items on servers whose limits let
// no item start.
func (in Input) HeldBack() int {
	n := 0
	for _, s := range in.Servers {
		if s.Limited && s.Starts == 0 {
			n += s.free(in.Policy)
		}
	}
	return n
}

// byFreeSlots returns the servers ordered by free slots, most first; those of slow servers
// count less. Servers whose limit lets items start come before all others: a limit is a number
// of requests, and items are the requests that run longest.
func byFreeSlots(servers []Server) []Server {
	out := slices.Clone(servers)
	slices.SortStableFunc(out, func(a, b Server) int {
		if a.Limited != b.Limited {
			if a.Limited {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.work(), a.work())
	})
	return out
}

// work returns the throughput of the server's free slots, in calls per run at the mean pace. It
// is negative if more calls are there than it has slots.
func (s Server) work() float64 {
	free := float64(s.Slots - s.Online - s.batchTotal())
	if s.Slowdown <= 0 || free <= 0 {
		return free
	}
	return free / s.Slowdown
}

// filler returns the host that may start items on a server. All hosts with a backlog that
// may run there compete, weighted by its size.
func (in Input) filler(s Server) string {
	best, bestScore := "", math.Inf(-1)
	for host, n := range in.Backlogs {
		if n -= s.Barred[host]; n <= 0 {
			continue
		}
		// With u uniform in (0, 1), the host with the highest -weight/ln(u) wins with
		// a probability proportional to its weight.
		u := (float64(assigner.Score(s.ID, host)>>11) + 1) / (1<<53 + 1)
		score := -float64(n) / math.Log(u)
		if score > bestScore || (score == bestScore && host < best) {
			best, bestScore = host, score
		}
	}
	return best
}

// evictions returns how many items the host in.Self evicts from a server. Hosts evict
// in the order of how many items they run there, most first and then by name, until
// no excess remains.
func (in Input) evictions(s Server) int {
	excess := min(s.Online+s.batchTotal()+in.Policy.MinFree-s.Slots, s.batchTotal())
	if excess <= 0 {
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
		n := min(excess, s.Batch[h])
		if h == in.Self {
			return n
		}
		excess -= n
	}
	return 0
}
