package cataloger

import (
	"math"
	"slices"
	"strings"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Kind is the kind of a route's requests. It determines which of them may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once per attempt of the caller.
	NonIdempotent
	// Stream requests are answered by events with increasing numbers. They are not
	// idempotent unless their route is Resumable.
	Stream
	// Batch requests submit jobs that consist of many items.
	Batch
)

// Share is the share of a route's requests that a service receives, as a weight.
type Share struct {
	Service string
	Weight  int
}

// Route describes which requests go to which services, and how.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one service. All weights are positive.
	Shares  []Share
	Timeout timer.Millis
	// Priority is 0 for the most urgent requests.
	Priority    int
	MaxAttempts int
	// Public routes accept requests without a key.
	Public    bool
	Resumable bool
	// RunObjective, Retention and MaxQueued are for Batch routes. They are the time after
	// its submission at which a job is due, the time after which an item may be
	// abandoned, and the number of tokens of a workspace that may wait (zero: no limit).
	RunObjective timer.Millis
	Retention    timer.Millis
	MaxQueued    int64
	// AllowedRegions are the regions in which the route's requests may be placed; none means
	// that there is no restriction.
	AllowedRegions []string
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a request, chosen by weight. random is in [0, 1).
func (r *Route) Pick(random float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := random * float64(total)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	MaxConnections int
	// Slots is how many requests a server runs at once; zero if it is not configured.
	Slots int
	// Warmup is how long a server is usually cold after a start. It is only logged: the server's
	// entry states how long it is cold.
	Warmup timer.Millis
	// WarmupRate is how many requests a second a cold server takes from all hosts together;
	// zero means no limit.
	WarmupRate float64
}

// Workspace is a customer of the fleet.
type Workspace struct {
	Name string
	// Priority is 0 for the most urgent workspaces.
	Priority int
	// Rate is in requests a second over all hosts; zero means no limit.
	Rate  float64
	Burst float64
	// AllowedRegions are as for a Route.
	AllowedRegions []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout timer.Millis
	IdleTimeout   timer.Millis
}

// Config is one version of the configuration made by the operators. It is immutable.
type Config struct {
	Version    int64
	Limits     Limits
	routes     map[string][]*Route
	services   map[string]Service
	workspaces map[string]*Workspace
	keys       map[string]*Workspace
	anonymous  bool
	// regions are the regions that any route or workspace names, sorted.
	regions []string
	// workspacePriorities and routePriorities are the distinct priorities of workspaces and
	// of routes that are not for batch jobs, in ascending order.
	workspacePriorities, routePriorities []int
}

// ConfigParts holds the parts of a Config. Keys maps a key to the name of its workspace.
type ConfigParts struct {
	Version    int64
	Limits     Limits
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Keys       map[string]string
}

// NewConfig returns the Config made of p. The caller must not change p afterwards. Keys of
// unknown workspaces are ignored.
func NewConfig(p ConfigParts) *Config {
	c := &Config{
		Version: p.Version, Limits: p.Limits,
		routes:     make(map[string][]*Route),
		services:   make(map[string]Service),
		workspaces: make(map[string]*Workspace),
		keys:       make(map[string]*Workspace),
		anonymous:  len(p.Workspaces) == 0,
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		c.routes[r.Host] = append(c.routes[r.Host], r)
		c.regions = append(c.regions, r.AllowedRegions...)
		if r.Kind != Batch {
			c.routePriorities = append(c.routePriorities, r.Priority)
		}
	}
	c.routePriorities = distinct(c.routePriorities)
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		c.workspaces[w.Name] = w
		c.regions = append(c.regions, w.AllowedRegions...)
		c.workspacePriorities = append(c.workspacePriorities, w.Priority)
	}
	c.workspacePriorities = distinct(c.workspacePriorities)
	slices.Sort(c.regions)
	c.regions = slices.Compact(c.regions)
	for key, name := range p.Keys {
		if w, ok := c.workspaces[name]; ok {
			c.keys[key] = w
		}
	}
	return c
}

// distinct returns the different values of list in ascending order.
func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// Rank returns the number of classes of requests that are more urgent than those of a
// workspace on a route. The priority of the workspace goes before that of the route. The
// workspace is nil for requests without a key.
func (c *Config) Rank(w *Workspace, r *Route) int {
	rank, _ := slices.BinarySearch(c.routePriorities, r.Priority)
	if w != nil {
		of, _ := slices.BinarySearch(c.workspacePriorities, w.Priority)
		rank += of * len(c.routePriorities)
	}
	return rank
}

// Ranks returns the ranks of the most and the least urgent calls of a workspace. The workspace
// is nil for requests without a key.
func (c *Config) Ranks(w *Workspace) (first, last int) {
	first = c.Rank(w, &Route{Priority: math.MinInt})
	return first, first + max(0, len(c.routePriorities)-1)
}

// Match returns the route of host with the longest prefix of path.
func (c *Config) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Regions returns the regions that any route or workspace names, sorted. It is empty if no
// request is restricted to regions. The caller must not change the slice.
func (c *Config) Regions() []string { return c.regions }

// RoutesOf returns the routes of a host name. The caller must not change the slice.
func (c *Config) RoutesOf(host string) []*Route { return c.routes[host] }

// BatchRoutes returns the routes for batch jobs of all host names, in no particular order.
func (c *Config) BatchRoutes() []*Route {
	var out []*Route
	for _, list := range c.routes {
		for _, r := range list {
			if r.Kind == Batch {
				out = append(out, r)
			}
		}
	}
	return out
}

// WorkspaceByKey returns the workspace that key belongs to.
func (c *Config) WorkspaceByKey(key string) (*Workspace, bool) {
	w, ok := c.keys[key]
	return w, ok
}

// Workspaces returns all workspaces by name. The caller must not change the map.
func (c *Config) Workspaces() map[string]*Workspace { return c.workspaces }

// AllowsAnonymous reports whether the configuration has no workspaces, in which case no
// request needs a key.
func (c *Config) AllowsAnonymous() bool { return c.anonymous }

// Has reports whether both the service and the workspace exist. The empty workspace,
// that of requests without a key, always exists.
func (c *Config) Has(service, workspace string) bool {
	_, ok := c.workspaces[workspace]
	_, known := c.services[service]
	return known && (ok || workspace == "")
}

// Service returns the service with this name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}
