package router

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
)

// indexCache holds the index of the latest record seen so far. Record versions
// never decrease, so a lookup with an older record returns the newer index. While
// a new index is being built, calls use the previous one. That is safe: for a
// server that is leaving or was removed, the host that admits its calls refuses the call,
// and the call is sent to another server.
type indexCache struct {
	latest atomic.Pointer[cachedIndex]

	// rebuildMu lets only one goroutine at a time build an index. It must be held
	// to store latest.
	rebuildMu sync.Mutex
}

// cachedIndex is an index together with the version and the servers of the latest
// record that it is valid for.
type cachedIndex struct {
	version registrar.Version
	servers map[string]registrar.BackendServer
	index   *Index
}

func (x *indexCache) get(r *registrar.Record) *Index {
	i := x.latest.Load()
	if i != nil && i.version >= r.Version {
		return i.index
	}
	if i == nil {
		// The first calls have no previous index and must wait.
		x.rebuildMu.Lock()
	} else if !x.rebuildMu.TryLock() {
		return i.index
	}
	defer x.rebuildMu.Unlock()
	return x.refresh(r)
}

// refresh returns the index for r or for a newer record. It builds a new index
// only if the servers changed. The caller holds rebuildMu.
func (x *indexCache) refresh(r *registrar.Record) *Index {
	i := x.latest.Load()
	if i != nil && i.version >= r.Version {
		return i.index
	}
	n := &cachedIndex{version: r.Version, servers: r.Servers}
	if i != nil && maps.EqualFunc(i.servers, r.Servers, registrar.BackendServer.Equal) {
		n.index = i.index
	} else {
		n.index = NewIndex(*r)
	}
	x.latest.Store(n)
	return n.index
}

// Find implements dispatcher.Finder.
func (x *Chooser) Find(r *requester.Request, s *coordinator.Snapshot, tried []string) []registrar.BackendServer {
	i, c := x.indexes.get(&s.Record), newCall(r, s)
	if few, ok := i.AllIfFew(c); ok {
		return few
	}
	hinted := make([]string, 0, serversPerPrefix)
	for _, o := range x.Hints.Find(make([]Overlap, 0, serversPerPrefix), c.PrefixHashes, x.Clock.Now()) {
		hinted = append(hinted, o.Server)
	}
	dst := make([]registrar.BackendServer, 0, serversPerPrefix+sharedSamples+samples)
	if dst = i.Candidates(dst, c, hinted, tried); len(dst) > 0 {
		return dst
	}
	return i.Candidates(dst, c, hinted, nil)
}

// Leaving implements dispatcher.Finder.
func (x *Chooser) Leaving(r *requester.Request, s *coordinator.Snapshot) bool {
	return x.indexes.get(&s.Record).HasLeaving(newCall(r, s))
}
