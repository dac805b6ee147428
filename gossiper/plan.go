package gossiper

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/jackdawgate/jackdawgate/assigner"
	"github.com/jackdawgate/jackdawgate/timer"
)

// Peer is a host as a sender or receiver of Digests.
type Peer struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Direct hosts accept only Digests of each other that came from the host
	// itself, never relayed ones.
	Direct bool
}

// MinBundlingFleet is the number of hosts from which a fleet uses bundlers.
const MinBundlingFleet = 24

const (
	// bundlersPerPair is how many hosts of one data centre send bundles to another.
	bundlersPerPair = 2
	// bundlerTimeout is the time without a Digest after which a host no longer counts
	// as a bundler or receiver.
	bundlerTimeout timer.Millis = 400
	// receiverPeriod is how long a bundler keeps the same receiver.
	receiverPeriod timer.Millis = 1000
)

// plan lists the receivers of this host's datagrams. It is immutable.
type plan struct {
	// near are the other hosts of this data centre, far those hosts of other data
	// centres that receive this host's Digest directly.
	near, far []netip.AddrPort
	// nearNames are the names of near.
	nearNames map[string]bool
	// bundles are the receivers of the bundles that this host sends as a bundler.
	bundles []bundleTarget
	// direct are the hosts whose relayed Digests are ignored.
	direct map[string]bool
}

// bundleTarget is the receiver of bundles in another data centre.
type bundleTarget struct {
	dataCentre string
	address    netip.AddrPort
}

// makePlan returns the plan of self. isUp reports whether a Digest of a peer was
// received within bundlerTimeout; now determines the receivers of bundles.
func makePlan(self Peer, peers []Peer, isUp func(name string) bool, now timer.Millis) *plan {
	p := &plan{nearNames: make(map[string]bool), direct: make(map[string]bool)}
	relaying := len(peers)+1 >= MinBundlingFleet
	byDataCentre := make(map[string][]Peer)
	for _, o := range peers {
		byDataCentre[o.DataCentre] = append(byDataCentre[o.DataCentre], o)
		if self.Direct && o.Direct {
			p.direct[o.Name] = true
		}
		switch {
		case o.DataCentre == self.DataCentre:
			p.near = append(p.near, o.Address)
			p.nearNames[o.Name] = true
		case !relaying || (self.Direct && o.Direct):
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
		rank := bundlerRank(self, byDataCentre[self.DataCentre], isUp, name)
		if rank < bundlersPerPair {
			p.bundles = append(p.bundles, bundleTarget{name, receiver(self, list, isUp, rank, now)})
		}
	}
	return p
}

// bundlerRank returns how many hosts of self's data centre come before self as
// bundlers to another data centre.
func bundlerRank(self Peer, near []Peer, isUp func(string) bool, to string) int {
	mine, rank := assigner.Score(to, self.Name), 0
	for _, o := range near {
		if isUp(o.Name) && assigner.Score(to, o.Name) > mine {
			rank++
		}
	}
	return rank
}

// receiver chooses a host of another data centre, preferring hosts that are up.
func receiver(self Peer, list []Peer, isUp func(string) bool, rank int, now timer.Millis) netip.AddrPort {
	candidates := slices.DeleteFunc(slices.Clone(list), func(o Peer) bool { return !isUp(o.Name) })
	if len(candidates) == 0 {
		candidates = list
	}
	slices.SortFunc(candidates, func(a, b Peer) int {
		return cmp.Compare(assigner.Score(self.DataCentre, b.Name), assigner.Score(self.DataCentre, a.Name))
	})
	return candidates[(int(now/receiverPeriod)+rank)%len(candidates)].Address
}
