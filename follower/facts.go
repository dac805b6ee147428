package follower

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Decoder decodes the keys and values of the store. It is pure.
type Decoder interface {
	// Kind returns a Fact of the type that the key holds, with only those fields
	// set that follow from the key itself.
	Kind(key string) Fact
	// Decode returns the Fact that a key and its value state.
	Decode(i storer.Item) (Fact, error)
}

// Fact is the decoded content of one key of the store.
type Fact interface{ fact() }

// ConfigFact is the operators' configuration.
type ConfigFact struct{ Config *cataloger.Config }

// ServerFact is a backend server's entry. Its Server has no ColdPeriod: when one began is
// known only to the host that receives the entry.
type ServerFact struct {
	Server cataloger.Server
	// Sequence increases with each entry of a server; zero if it is not stated.
	Sequence int64
	// ColdFor is how much longer the server is cold, as stated. It is not checked, and may be
	// negative.
	ColdFor timer.Millis
}

// MemberFact is a host's entry.
type MemberFact struct{ Member cataloger.Member }

// GroupFact is the manifest of a group of batch jobs.
type GroupFact struct {
	Number int
	Group  cataloger.Group
}

// RetireFact requests that all batch groups be moved off a host.
type RetireFact struct{ Host string }

// EvacuateFact requests that the servers of a data centre get no more requests.
type EvacuateFact struct{ DataCentre string }

// RetireStatusFact is the status of a host that is, or was, to be emptied.
type RetireStatusFact struct {
	Host   string
	Status cataloger.RetireStatus
}

// QuarantineFact is the record of a call that crashes backend servers.
type QuarantineFact struct {
	Fingerprint uint64
	Quarantine  cataloger.Quarantine
}

// OtherFact is a key that the Follower ignores.
type OtherFact struct{}

func (ConfigFact) fact()       {}
func (ServerFact) fact()       {}
func (MemberFact) fact()       {}
func (GroupFact) fact()        {}
func (RetireFact) fact()       {}
func (EvacuateFact) fact()     {}
func (RetireStatusFact) fact() {}
func (QuarantineFact) fact()   {}
func (OtherFact) fact()        {}
