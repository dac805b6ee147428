// Package resolver chooses the hosts whose addresses callers get to connect to. It
// is pure.
package resolver

import "slices"

// MaxAddresses is the maximum number of addresses in an answer.
const MaxAddresses = 64

// Host is what the answering host knows of an entry host.
type Host struct {
	// Address is where callers connect.
	Address string
	// Reachable reports that the host was heard from recently, Ready that its last
	// message said that it takes requests, Leaving that it is about to stop.
	Reachable, Ready, Leaving bool
}

// Choose returns the sorted addresses of the hosts that are ready; if there are none,
// of those that were heard from; if there are none, of all that are known. Hosts that
// are leaving are included only when there is no other. It returns at most
// MaxAddresses.
func Choose(hosts []Host) []string {
	for _, fits := range []func(Host) bool{
		func(h Host) bool { return h.Reachable && h.Ready && !h.Leaving },
		func(h Host) bool { return h.Reachable && !h.Leaving },
		func(h Host) bool { return !h.Leaving },
		func(Host) bool { return true },
	} {
		var out []string
		for _, h := range hosts {
			if h.Address != "" && fits(h) {
				out = append(out, h.Address)
			}
		}
		if len(out) > 0 {
			slices.Sort(out)
			return out[:min(len(out), MaxAddresses)]
		}
	}
	return nil
}
