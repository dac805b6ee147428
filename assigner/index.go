package assigner

import (
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const (
	// indexSets and indexWays are the number of sets and the entries per set of the
	// set-associative cache of one Index.
	indexSets = 1 << 13
	indexWays = 4
	// minCachedHosts is the number of hosts from which picks are cached.
	minCachedHosts = 32
)

// Index answers Pick for one list of hosts. It hashes each host once and caches
// recent picks in a table of atomic pointers, so that concurrent callers share no
// lock.
type Index struct {
	hosts  []string
	hashes []uint64
	cache  []atomic.Pointer[cachedPick]
	// previous is the Index that this one was derived from, until another is
	// derived from this one; added are the hosts that previous does not have.
	previous atomic.Pointer[Index]
	added    []int
}

type cachedPick struct {
	object string
	pick   int
}

// NewIndex returns the Index of hosts. The caller must not change hosts afterwards.
func NewIndex(hosts []string) *Index {
	x := &Index{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, h := range hosts {
		x.hashes[i] = mix(xxhash.Sum64String(h))
	}
	x.makeCache()
	return x
}

func (x *Index) makeCache() {
	if len(x.hosts) >= minCachedHosts {
		x.cache = make([]atomic.Pointer[cachedPick], indexSets*indexWays)
	}
}

// Next returns the Index of a changed list of hosts, which uses the cached picks of
// x: a pick is kept unless its host left or an added host scores higher. Both lists
// must be sorted and without duplicates.
func (x *Index) Next(hosts []string) *Index {
	n := &Index{hosts: hosts, hashes: make([]uint64, len(hosts))}
	j := 0
	for i, h := range hosts {
		for j < len(x.hosts) && x.hosts[j] < h {
			j++
		}
		if j < len(x.hosts) && x.hosts[j] == h {
			n.hashes[i] = x.hashes[j]
			continue
		}
		n.hashes[i] = mix(xxhash.Sum64String(h))
		n.added = append(n.added, i)
	}
	n.makeCache()
	if n.cache != nil && x.cache != nil {
		n.previous.Store(x)
	}
	x.previous.Store(nil)
	return n
}

// Len returns the number of hosts.
func (x *Index) Len() int { return len(x.hosts) }

// Pick returns the same index as the function Pick does for the hosts of x.
func (x *Index) Pick(object string) int {
	h := xxhash.Sum64String(object)
	if x.cache == nil {
		return x.scan(h)
	}
	if i, ok := x.lookup(h, object); ok {
		return i
	}
	i, ok := x.pickFromPrevious(h, object)
	if !ok {
		i = x.scan(h)
	}
	x.store(h, &cachedPick{object: object, pick: i})
	return i
}

func (x *Index) bucket(h uint64) []atomic.Pointer[cachedPick] {
	at := h % indexSets * indexWays
	return x.cache[at : at+indexWays]
}

func (x *Index) lookup(h uint64, object string) (int, bool) {
	set := x.bucket(h)
	for i := range set {
		if c := set[i].Load(); c != nil && c.object == object {
			return c.pick, true
		}
	}
	return 0, false
}

// store caches c in an empty place of its set, or else in a place that the hash
// determines.
func (x *Index) store(h uint64, c *cachedPick) {
	set := x.bucket(h)
	for i := range set {
		if set[i].CompareAndSwap(nil, c) {
			return
		}
	}
	set[h>>32%indexWays].Store(c)
}

// pickFromPrevious derives the pick from the one that the previous Index has cached,
// if there is one and its host is still listed.
func (x *Index) pickFromPrevious(h uint64, object string) (int, bool) {
	before := x.previous.Load()
	if before == nil {
		return 0, false
	}
	old, ok := before.lookup(h, object)
	if !ok || old < 0 {
		return 0, false
	}
	best, ok := slices.BinarySearch(x.hosts, before.hosts[old])
	if !ok {
		return 0, false
	}
	for _, i := range x.added {
		if x.outranks(h, i, best) {
			best = i
		}
	}
	return best, true
}

// outranks reports whether host i is preferred to host j for an object of hash h.
func (x *Index) outranks(h uint64, i, j int) bool {
	a, b := mix(h^x.hashes[i]), mix(h^x.hashes[j])
	return a > b || (a == b && x.hosts[i] < x.hosts[j])
}

func (x *Index) scan(h uint64) int {
	best := -1
	var bestScore uint64
	for i, hash := range x.hashes {
		s := mix(h ^ hash)
		if best < 0 || s > bestScore || (s == bestScore && x.hosts[i] < x.hosts[best]) {
			best, bestScore = i, s
		}
	}
	return best
}
