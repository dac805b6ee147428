// Package cataloger holds a host's view of the fleet: the configuration made by the
// operators, the backend servers, the hosts of the fleet, and which hosts own which group
// of batch jobs.
//
// A Snapshot is immutable and is replaced as a whole. The handler of a request uses the
// same Snapshot throughout. Snapshots follow the store: a lower configuration version
// never replaces a higher one.
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
	// Slots is how many requests the server runs at once; zero when it does not state it.
	Slots int
	// Draining is set if the server should receive no new calls.
	Draining bool
	// StartedAt is the start time of the incarnation, in Unix milliseconds of the
	// server's clock.
	StartedAt int64
	// Cold is the period in which the server takes few requests, as it last stated; nil if
	// it stated none. It must not be changed.
	Cold *ColdPeriod
}

// ColdPeriod is a period, on the clock of the host, in which a server that has started, or
// lost what it had loaded, takes few requests.
type ColdPeriod struct {
	// Sequence is the number of the server's entry that stated it.
	Sequence int64
	// From is when the first entry that stated it was received, Until when it ends.
	From, Until timer.Millis
	// Again is set if the same incarnation was in use, and not cold, before From.
	Again bool
}

// Contains reports whether the period has not ended at an instant on the host's clock. It is
// false for a nil period.
func (c *ColdPeriod) Contains(now timer.Millis) bool { return c != nil && now < c.Until }

// Incarnation identifies one start of a server. A server may restart under the same
// identifier.
type Incarnation struct {
	ID        string
	StartedAt int64
}

// Incarnation returns the identity of the server's incarnation.
func (v Server) Incarnation() Incarnation { return Incarnation{ID: v.ID, StartedAt: v.StartedAt} }

// Role is the role of a host in the fleet.
type Role string

// The roles of hosts.
const (
	// Entry hosts accept the requests of callers.
	Entry Role = "entry"
	// Bulk hosts store and run batch jobs.
	Bulk Role = "bulk"
)

// Member is one incarnation of a host of the fleet.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
	Role        Role   `cbor:"3,keyasint"`
	DataCentre  string `cbor:"4,keyasint"`
	// CallerAddress is the address for callers; empty on hosts that accept no requests.
	CallerAddress string `cbor:"5,keyasint"`
	// PeerAddress is the address for other hosts, for both streams and datagrams.
	PeerAddress string `cbor:"6,keyasint"`
	// Disk is the identifier of the host's disk; empty on hosts without one. A host that
	// restarts with an empty disk gets a new identifier.
	Disk string `cbor:"7,keyasint"`
	// Leaving is set when the host is about to stop.
	Leaving bool `cbor:"8,keyasint"`
	// Region is the region of the host's data centre; empty in entries that do not state it.
	Region string `cbor:"9,keyasint,omitempty"`
	// Revision is the store's revision of the entry.
	Revision uint64 `cbor:"-"`
}

// Group is the manifest of one group of batch jobs: the disks that hold a replica of its
// log (Holders), and the one whose host may append to it (Owner).
type Group struct {
	Epoch   uint64   `cbor:"1,keyasint"`
	Owner   string   `cbor:"2,keyasint"`
	Holders []string `cbor:"3,keyasint"`
	// Revision is the store's revision of the manifest; zero when there is none.
	Revision uint64 `cbor:"-"`
}

// Holds reports whether disk is among the holders.
func (g Group) Holds(disk string) bool { return slices.Contains(g.Holders, disk) }

// Quarantine is the store's record of a call, or of a part of the prompts of calls, that
// crashes backend servers.
type Quarantine struct {
	// Trials is the number of trials of the call since it was quarantined.
	Trials int `cbor:"1,keyasint"`
	// Workspace is a hash of the workspace whose calls crashed servers.
	Workspace uint32 `cbor:"2,keyasint,omitempty"`
	// Revision is the store's revision of the record.
	Revision uint64 `cbor:"-"`
}

// RetireStatus is what the store says of a host that is, or was, to be emptied.
type RetireStatus struct {
	// Empty reports whether the host has been emptied.
	Empty bool
	// Revision is the store's revision of the status; zero when there is none.
	Revision uint64
}

// Snapshot is what is known of the fleet at one moment. It is immutable: readers must not
// change the maps.
type Snapshot struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Servers is keyed by identifier, Members by name, Groups by group number.
	Servers map[string]Server
	Members map[string]Member
	Groups  map[int]Group
	// Retiring holds the names of the hosts whose data is to be moved elsewhere.
	Retiring map[string]bool
	// RetireStatus holds the status of such hosts, by name.
	RetireStatus map[string]RetireStatus
	// Evacuated holds the names of the data centres whose servers get no requests.
	Evacuated map[string]bool
	// Quarantined holds the records of quarantined calls, by fingerprint.
	Quarantined map[uint64]Quarantine
	// Revision is a revision of the store up to which the Snapshot has all changes.
	Revision uint64
	// ConfirmedAt is the time at which the request was sent whose reply contained or
	// confirmed all of this. It is on the clock that counts suspended time; zero means never.
	ConfirmedAt timer.Millis

	// services holds the servers of each service, sorted by identifier. It always
	// contains the same servers as Servers.
	services map[string][]Server
}

// WithConfig returns s with the configuration c, or s unchanged if c has a lower version
// than the configuration of s.
func (s Snapshot) WithConfig(c *Config) Snapshot {
	if s.Config == nil || c.Version >= s.Config.Version {
		s.Config = c
	}
	return s
}

// WithServer returns s with v, which replaces a server with the same identifier.
func (s Snapshot) WithServer(v Server) Snapshot {
	if s.Servers[v.ID] == v {
		return s
	}
	s = s.WithoutServer(v.ID)
	s.Servers = withEntry(s.Servers, v.ID, v)
	at, _ := slices.BinarySearchFunc(s.services[v.Service], v.ID, compareID)
	s.services = withEntry(s.services, v.Service, slices.Insert(slices.Clone(s.services[v.Service]), at, v))
	return s
}

// WithServers returns s with list as its only servers. It sorts list, which the caller
// must not use afterwards.
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

// WithoutServer returns s without the server that has this identifier.
func (s Snapshot) WithoutServer(id string) Snapshot {
	v, ok := s.Servers[id]
	if !ok {
		return s
	}
	s.Servers = withoutEntry(s.Servers, id)
	rest := slices.DeleteFunc(slices.Clone(s.services[v.Service]), func(o Server) bool { return o.ID == id })
	s.services = withEntry(s.services, v.Service, rest)
	return s
}

// WithMember returns s with m, which replaces a member with the same name.
func (s Snapshot) WithMember(m Member) Snapshot {
	if s.Members[m.Name] == m {
		return s
	}
	s.Members = withEntry(s.Members, m.Name, m)
	return s
}

// WithoutMember returns s without the member of this name.
func (s Snapshot) WithoutMember(name string) Snapshot {
	s.Members = withoutEntry(s.Members, name)
	return s
}

// WithGroup returns s with the manifest of group n, or s unchanged if its manifest has the
// same or a higher revision.
func (s Snapshot) WithGroup(n int, g Group) Snapshot {
	if s.Groups[n].Revision < g.Revision {
		s.Groups = withEntry(s.Groups, n, g)
	}
	return s
}

// WithRetiring returns s with the host of this name marked as retiring, or not.
func (s Snapshot) WithRetiring(name string, retiring bool) Snapshot {
	if retiring {
		s.Retiring = withEntry(s.Retiring, name, true)
	} else {
		s.Retiring = withoutEntry(s.Retiring, name)
	}
	return s
}

// WithRetireStatus returns s with the status of the host of this name; the zero status
// stands for none.
func (s Snapshot) WithRetireStatus(name string, status RetireStatus) Snapshot {
	if status.Revision == 0 {
		s.RetireStatus = withoutEntry(s.RetireStatus, name)
	} else {
		s.RetireStatus = withEntry(s.RetireStatus, name, status)
	}
	return s
}

// WithEvacuated returns s with the data centre of this name marked as evacuated, or not.
func (s Snapshot) WithEvacuated(dataCentre string, evacuated bool) Snapshot {
	if evacuated {
		s.Evacuated = withEntry(s.Evacuated, dataCentre, true)
	} else {
		s.Evacuated = withoutEntry(s.Evacuated, dataCentre)
	}
	return s
}

// WithQuarantine returns s with the record of a call, or s unchanged if its record has the
// same or a higher revision.
func (s Snapshot) WithQuarantine(fingerprint uint64, q Quarantine) Snapshot {
	if s.Quarantined[fingerprint].Revision < q.Revision {
		s.Quarantined = withEntry(s.Quarantined, fingerprint, q)
	}
	return s
}

// WithoutQuarantine returns s without the record of a call.
func (s Snapshot) WithoutQuarantine(fingerprint uint64) Snapshot {
	s.Quarantined = withoutEntry(s.Quarantined, fingerprint)
	return s
}

// WithConfirmed returns s, confirmed by the reply to a request that was sent at the given
// time.
func (s Snapshot) WithConfirmed(at timer.Millis) Snapshot {
	s.ConfirmedAt = max(s.ConfirmedAt, at)
	return s
}

// WithRevision returns s, which has all changes of the store up to a revision.
func (s Snapshot) WithRevision(revision uint64) Snapshot {
	s.Revision = max(s.Revision, revision)
	return s
}

// ServersOf returns the servers of a service, sorted by identifier. The caller must not
// change the slice.
func (s Snapshot) ServersOf(service string) []Server { return s.services[service] }

// IsEvacuated reports whether the data centre of v is evacuated.
func (s Snapshot) IsEvacuated(v Server) bool {
	return len(s.Evacuated) > 0 && s.Evacuated[v.DataCentre]
}

// WarmupRate returns how many requests a second a cold server of a service takes from all
// hosts together; zero if that is not limited.
func (s Snapshot) WarmupRate(service string) float64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.services[service].WarmupRate
}

func compareID(v Server, id string) int { return strings.Compare(v.ID, id) }

// MemberWithDisk returns the member that has this disk. It finds none for the empty
// identifier, which is the owner of a group without an owner.
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

// withEntry returns a copy of m with k set to v.
func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	out := maps.Clone(m)
	if out == nil {
		out = make(map[K]V)
	}
	out[k] = v
	return out
}

// withoutEntry returns m without k. It copies m only if m has k.
func withoutEntry[K comparable, V any](m map[K]V, k K) map[K]V {
	if _, ok := m[k]; !ok {
		return m
	}
	out := maps.Clone(m)
	delete(out, k)
	return out
}
