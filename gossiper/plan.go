package gossiper

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Peer is a host.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Mutual hosts count one another as heard only by what they sent themselves.
	Mutual bool
}

const (
	// relayFrom is the number of hosts from which speakers are used.
	relayFrom = 24
	// paths is how many hosts speak for a data centre to another one.
	paths = 2
	// speakerSilence is how long a host may be unheard and speak for others.
	speakerSilence timer.Millis = 400
	// slot is how long a speaker keeps to one receiver.
	slot timer.Millis = 1000
)

// plan says who is sent to. It is immutable.
type plan struct {
	// near are the other hosts of this data centre, far those of others that
	// get this host's Digest directly.
	near, far []netip.AddrPort
	// nearNames are the names of near.
	nearNames map[string]bool
	// bundles are where this host, as a speaker, sends bundles to.
	bundles []bundleTarget
	// mutual are the hosts that count only by what they sent themselves.
	mutual map[string]bool
}

// bundleTarget is the receiver of bundles in another data centre.
type bundleTarget struct {
	dataCentre string
	address    netip.AddrPort
}

// makePlan makes the plan of self. alive says which peers were heard lately; now
// chooses among receivers.
func makePlan(self Peer, peers []Peer, alive func(name string) bool, now timer.Millis) *plan {
	p := &plan{nearNames: make(map[string]bool), mutual: make(map[string]bool)}
	relaying := len(peers)+1 >= relayFrom
	byDataCentre := make(map[string][]Peer)
	for _, o := range peers {
		byDataCentre[o.DataCentre] = append(byDataCentre[o.DataCentre], o)
		if self.Mutual && o.Mutual {
			p.mutual[o.Name] = true
		}
		switch {
		case o.DataCentre == self.DataCentre:
			p.near = append(p.near, o.Address)
			p.nearNames[o.Name] = true
		case !relaying || (self.Mutual && o.Mutual):
			p.far = append(p.far, o.Address)
		}
	}
	if !relaying {
		return p
	}
	for name, list := range byDataCentre {
		if name == self.DataCentre {
			continue
		}
		rank := speakerRank(self, byDataCentre[self.DataCentre], alive, name)
		if rank < paths {
			p.bundles = append(p.bundles, bundleTarget{name, receiver(self, list, alive, rank, now)})
		}
	}
	return p
}

// speakerRank is how many hosts of self's data centre speak to another one
// before self does.
func speakerRank(self Peer, near []Peer, alive func(string) bool, to string) int {
	mine, rank := assigner.Score(to, self.Name), 0
	for _, o := range near {
		if alive(o.Name) && assigner.Score(to, o.Name) > mine {
			rank++
		}
	}
	return rank
}

// receiver chooses among the hosts of another data centre, those that are heard
// if there are any.
func receiver(self Peer, list []Peer, alive func(string) bool, rank int, now timer.Millis) netip.AddrPort {
	heard := slices.DeleteFunc(slices.Clone(list), func(o Peer) bool { return !alive(o.Name) })
	if len(heard) == 0 {
		heard = list
	}
	slices.SortFunc(heard, func(a, b Peer) int {
		return cmp.Compare(assigner.Score(self.DataCentre, b.Name), assigner.Score(self.DataCentre, a.Name))
	})
	return heard[(int(now/slot)+rank)%len(heard)].Address
}
