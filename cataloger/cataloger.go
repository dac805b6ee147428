// Package cataloger holds what a host knows of the fleet: the operators'
// configuration, backend servers, the hosts of the fleet itself, and who owns
// which group of batch jobs.
//
// A Snapshot is immutable and replaced whole; whoever handles a request uses
// one Snapshot for all of it. Snapshots follow the store: one of a lower
// configuration version never replaces one of a higher version.
package cataloger

import (
	"maps"
	"slices"
	"strings"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Server is one incarnation of a backend server.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// Born is when the incarnation started, in Unix milliseconds of the server.
	Born int64
}

// Incarnation names one start of a server. A server may start again under the
// identifier that it had.
type Incarnation struct {
	ID   string
	Born int64
}

// Incarnation returns the name of the server's incarnation.
func (v Server) Incarnation() Incarnation { return Incarnation{ID: v.ID, Born: v.Born} }

// Role is what a host does for the fleet.
type Role string

// The roles of hosts.
const (
	// Entry hosts take callers' requests.
	Entry Role = "entry"
	// Bulk hosts keep and run batch jobs.
	Bulk Role = "bulk"
)

// Member is one incarnation of a host of the fleet.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Role        Role   `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	// Callers is the address for callers; empty on hosts that take none.
	Callers string `cbor:"5,keyasint"`
	// Peers is the address for other hosts, of streams and of datagrams.
	Peers string `cbor:"6,keyasint"`
	// Disk identifies the host's disk; empty on hosts without one. A host that
	// comes back with an empty disk has another.
	Disk string `cbor:"7,keyasint"`
	// Leaving says that the host is about to stop.
	Leaving bool `cbor:"8,keyasint"`
}

// Group is the manifest of one group of batch jobs: which disks hold its log
// and which of their hosts may append to it.
type Group struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint"`
	Holders []string `cbor:"3,keyasint"`
	// Revision is the store's revision of the manifest; zero when there is none.
	Revision uint64 `cbor:"-"`
}

// Holds says whether disk is among the holders.
func (g Group) Holds(disk string) bool { return slices.Contains(g.Holders, disk) }

// Quarantine is the store's record of a call that crashes backend servers.
type Quarantine struct {
	// Trials is how often the call was tried again since it was kept apart.
	Trials int `cbor:"1,keyasint"`
	// Revision is the store's revision of the record.
	Revision uint64 `cbor:"-"`
}

// Snapshot is what is known at one moment. It is immutable; the maps must not
// be changed by readers.
type Snapshot struct {
	// Config is nil until the first configuration was read.
	Config *Config
	// Servers are by identifier, Members by name.
	Servers map[string]Server
	Members map[string]Member
	Groups  map[int]Group
	// Retiring are the names of hosts that are to be emptied.
	Retiring map[string]bool
	// Quarantined are the calls that are kept apart, by fingerprint.
	Quarantined map[uint64]Quarantine
	// Confirmed is when the question was sent whose answer gave or confirmed
	// all of this, on the clock that counts suspended time; zero for never.
	Confirmed timer.Millis

	// services are the servers of each service, in the order of their
	// identifiers. It is kept in step with Servers.
	services map[string][]Server
}

// WithConfig returns s with c, or s itself when c is older than what it has.
func (s Snapshot) WithConfig(c *Config) Snapshot {
	if s.Config == nil || c.Version >= s.Config.Version {
		s.Config = c
	}
	return s
}

// WithServer returns s with v in place of its server of that identifier.
func (s Snapshot) WithServer(v Server) Snapshot {
	if s.Servers[v.ID] == v {
		return s
	}
	s = s.WithoutServer(v.ID)
	s.Servers = with(s.Servers, v.ID, v)
	at, _ := slices.BinarySearchFunc(s.services[v.Service], v.ID, compareID)
	s.services = with(s.services, v.Service, slices.Insert(slices.Clone(s.services[v.Service]), at, v))
	return s
}

// WithServers returns s with list as all its servers. It takes list over.
func (s Snapshot) WithServers(list []Server) Snapshot {
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	s.Servers = make(map[string]Server, len(list))
	s.services = make(map[string][]Server)
	for _, v := range list {
		s.Servers[v.ID] = v
		s.services[v.Service] = append(s.services[v.Service], v)
	}
	return s
}

// WithoutServer returns s without the server id.
func (s Snapshot) WithoutServer(id string) Snapshot {
	v, ok := s.Servers[id]
	if !ok {
		return s
	}
	s.Servers = without(s.Servers, id)
	rest := slices.DeleteFunc(slices.Clone(s.services[v.Service]), func(o Server) bool { return o.ID == id })
	s.services = with(s.services, v.Service, rest)
	return s
}

// WithMember returns s with m in place of its member of that name.
func (s Snapshot) WithMember(m Member) Snapshot {
	if s.Members[m.Name] == m {
		return s
	}
	s.Members = with(s.Members, m.Name, m)
	return s
}

// WithoutMember returns s without the member of this name.
func (s Snapshot) WithoutMember(name string) Snapshot {
	s.Members = without(s.Members, name)
	return s
}

// WithGroup returns s with the manifest of group n.
func (s Snapshot) WithGroup(n int, g Group) Snapshot {
	if s.Groups[n].Revision < g.Revision {
		s.Groups = with(s.Groups, n, g)
	}
	return s
}

// WithRetiring returns s with the host of this name to be emptied, or not.
func (s Snapshot) WithRetiring(name string, retiring bool) Snapshot {
	if retiring {
		s.Retiring = with(s.Retiring, name, true)
	} else {
		s.Retiring = without(s.Retiring, name)
	}
	return s
}

// WithQuarantine returns s with the record of a call.
func (s Snapshot) WithQuarantine(fingerprint uint64, q Quarantine) Snapshot {
	if s.Quarantined[fingerprint].Revision < q.Revision {
		s.Quarantined = with(s.Quarantined, fingerprint, q)
	}
	return s
}

// WithoutQuarantine returns s without the record of a call.
func (s Snapshot) WithoutQuarantine(fingerprint uint64) Snapshot {
	s.Quarantined = without(s.Quarantined, fingerprint)
	return s
}

// WithConfirmed returns s, confirmed by a question sent at this instant.
func (s Snapshot) WithConfirmed(at timer.Millis) Snapshot {
	s.Confirmed = max(s.Confirmed, at)
	return s
}

// ServersOf lists the servers of a service in the order of their identifiers.
// The list must not be changed.
func (s Snapshot) ServersOf(service string) []Server { return s.services[service] }

func compareID(v Server, id string) int { return strings.Compare(v.ID, id) }

// MemberWithDisk returns the member that has this disk. No member has the empty
// one, which a group without an owner names.
func (s Snapshot) MemberWithDisk(disk string) (Member, bool) {
	if disk == "" {
		return Member{}, false
	}
	for _, m := range s.Members {
		if m.Disk == disk {
			return m, true
		}
	}
	return Member{}, false
}

func with[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	out := maps.Clone(m)
	if out == nil {
		out = make(map[K]V)
	}
	out[k] = v
	return out
}

func without[K comparable, V any](m map[K]V, k K) map[K]V {
	if _, ok := m[k]; !ok {
		return m
	}
	out := maps.Clone(m)
	delete(out, k)
	return out
}
