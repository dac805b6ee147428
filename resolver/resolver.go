// Package resolver chooses the hosts whose addresses are returned to callers. It has no
// state and performs no I/O.
package resolver

import "slices"

// MaxAddresses is the maximum number of addresses in an answer.
const MaxAddresses = 64

// Host is the answering host's view of an entry host.
type Host struct {
	// Address is where callers connect.
	Address string
	// Reachable reports that a message of the host was received recently, Ready that
	// it accepts requests according to its last message, Leaving that it is about to
	// stop.
	Reachable, Ready, Leaving bool
}

// TakesCallers reports whether callers can be sent to the host: it is reachable, ready and not
// about to stop.
func (h Host) TakesCallers() bool { return h.Reachable && h.Ready && !h.Leaving }

// Choose returns the sorted addresses of the hosts that are ready; if there are none,
// of those that are reachable; if there are none, of all hosts. Hosts that are leaving
// are included only when there is no other. It returns at most MaxAddresses.
func Choose(hosts []Host) []string {
	for _, fits := range []func(Host) bool{
		Host.TakesCallers,
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
