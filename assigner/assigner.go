// Package assigner picks the one host that is responsible for an object, by
// rendezvous hashing. Adding or removing a host moves only the objects that this
// host gains or loses, and no table has to be agreed on or stored.
package assigner

import "github.com/cespare/xxhash/v2"

// Pick returns the index of the host that object is assigned to, or -1 when there
// are no hosts. The choice of host does not depend on the order of hosts.
func Pick(object string, hosts []string) int {
	best := -1
	var bestScore uint64
	for i, h := range hosts {
		s := Score(object, h)
		if best < 0 || s > bestScore || (s == bestScore && h < hosts[best]) {
			best, bestScore = i, s
		}
	}
	return best
}

// Score returns the weight of host for object; the host with the highest one wins.
func Score(object, host string) uint64 {
	return mix(xxhash.Sum64String(object) ^ mix(xxhash.Sum64String(host)))
}

// mix spreads every input bit over the whole word (the 64-bit finalizer of
// MurmurHash3), so that scores of similar names are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
