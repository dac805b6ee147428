package router

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawgate/jackdawgate/registrar"
)

const (
	// maxUnsampled is the largest number of servers of which all are candidates.
	maxUnsampled = 16
	// samples is the number of servers sampled from a larger group, localSamples of
	// them from the data centre of the call.
	samples      = 8
	localSamples = 5
	// sharedSamples is the number of additional servers that are sampled by the
	// shortest prefix of the prompt, so that all hosts consider the same servers for
	// it.
	sharedSamples = 3
)

// Index finds the servers for a call. It is immutable: a record with other servers
// needs a new Index. Building it is the only work that grows with the number of
// servers.
type Index struct {
	groups map[groupKey]group
	byName map[string]registrar.BackendServer
	// hasLeaving holds the models and services that have a leaving server.
	hasLeaving map[groupKey]bool
}

type groupKey struct{ model, service string }

// group holds the servers of one model or service, sorted by name.
type group struct {
	all          []registrar.BackendServer
	byDataCentre map[string][]registrar.BackendServer
}

// NewIndex returns the index of the servers in r. Leaving servers are
// never candidates.
func NewIndex(r registrar.Record) *Index {
	x := &Index{
		groups:     make(map[groupKey]group),
		byName:     make(map[string]registrar.BackendServer, len(r.Servers)),
		hasLeaving: make(map[groupKey]bool),
	}
	names := make([]string, 0, len(r.Servers))
	for name, b := range r.Servers {
		if !b.Leaving {
			names = append(names, name)
			continue
		}
		for _, k := range groupKeys(b) {
			x.hasLeaving[k] = true
		}
	}
	slices.Sort(names)
	for _, name := range names {
		x.add(r.Servers[name])
	}
	return x
}

func (x *Index) add(b registrar.BackendServer) {
	x.byName[b.Name] = b
	for _, k := range groupKeys(b) {
		x.addTo(k, b)
	}
}

// groupKeys returns the keys of the groups that b belongs to.
func groupKeys(b registrar.BackendServer) []groupKey {
	if b.Kind == registrar.KindPlain {
		return []groupKey{{service: b.Service}}
	}
	keys := make([]groupKey, len(b.Models))
	for i, m := range b.Models {
		keys[i] = groupKey{model: m}
	}
	return keys
}

// HasLeaving reports whether a server that could run c is leaving.
func (x *Index) HasLeaving(c Call) bool {
	return x.hasLeaving[groupKey{model: c.Model, service: c.Service}]
}

// AllIfFew returns all servers for c and whether they are few enough to be
// considered without sampling. The caller must not modify the slice.
func (x *Index) AllIfFew(c Call) ([]registrar.BackendServer, bool) {
	g := x.groups[groupKey{model: c.Model, service: c.Service}]
	return g.all, len(g.all) <= maxUnsampled
}

func (x *Index) addTo(k groupKey, b registrar.BackendServer) {
	g, ok := x.groups[k]
	if !ok {
		g.byDataCentre = make(map[string][]registrar.BackendServer)
	}
	g.all = append(g.all, b)
	g.byDataCentre[b.DataCentre] = append(g.byDataCentre[b.DataCentre], b)
	x.groups[k] = g
}

// Candidates appends the servers to choose from for c to dst. If there are few,
// it appends all of them. If there are many, it appends the hinted ones, some that
// are the same for all calls whose prompts begin alike, and a sample that prefers
// the data centre of the call. Servers in excluded are skipped.
func (x *Index) Candidates(dst []registrar.BackendServer, c Call, hinted, excluded []string) []registrar.BackendServer {
	g := x.groups[groupKey{model: c.Model, service: c.Service}]
	if len(g.all) <= maxUnsampled {
		for _, b := range g.all {
			dst = appendMissing(dst, b, excluded)
		}
		return dst
	}
	for _, name := range hinted {
		if b, ok := x.byName[name]; ok && g.serves(b, c) {
			dst = appendMissing(dst, b, excluded)
		}
	}
	local := g.byDataCentre[c.DataCentre]
	if len(c.PrefixHashes) > 0 {
		dst = sample(dst, firstNonEmpty(local, g.all), sharedSamples, mix(c.PrefixHashes[0]), excluded)
	}
	seed := xxhash.Sum64String(c.ID)
	before := len(dst)
	dst = sample(dst, local, localSamples, seed, excluded)
	return sample(dst, g.all, samples-(len(dst)-before), mix(seed+1), excluded)
}

func firstNonEmpty(a, b []registrar.BackendServer) []registrar.BackendServer {
	if len(a) > 0 {
		return a
	}
	return b
}

func (g group) serves(b registrar.BackendServer, c Call) bool {
	if c.Service != "" {
		return b.Service == c.Service
	}
	return slices.Contains(b.Models, c.Model)
}

// sample appends up to n servers of from to dst, chosen pseudo-randomly by seed.
func sample(dst, from []registrar.BackendServer, n int, seed uint64, excluded []string) []registrar.BackendServer {
	maxTries := 2 * n
	for tries := 0; tries < maxTries && n > 0 && len(from) > 0; tries++ {
		before := len(dst)
		dst = appendMissing(dst, from[seed%uint64(len(from))], excluded)
		if len(dst) > before {
			n--
		}
		seed = mix(seed + uint64(tries) + 1)
	}
	return dst
}

func appendMissing(dst []registrar.BackendServer, b registrar.BackendServer, excluded []string) []registrar.BackendServer {
	if slices.Contains(excluded, b.Name) {
		return dst
	}
	if slices.ContainsFunc(dst, func(o registrar.BackendServer) bool { return o.Name == b.Name }) {
		return dst
	}
	return append(dst, b)
}
