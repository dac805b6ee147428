// Package director chooses which hosts callers are told to connect to. It is
// pure.
package director

import "slices"

// MaxAddresses is how many addresses an answer has at most.
const MaxAddresses = 64

// Host is an entry host as the host that answers knows it.
type Host struct {
	// Address is where callers connect.
	Address string
	// Heard says that the host was heard lately, Ready that it then said that it
	// takes requests, Leaving that it is about to stop.
	Heard, Ready, Leaving bool
}

// Choose picks the hosts that are ready; where none is, those that were heard;
// where none was, all that are known. Hosts that are leaving are named only when
// there is no other.
func Choose(hosts []Host) []string {
	for _, fits := range []func(Host) bool{
		func(h Host) bool { return h.Heard && h.Ready && !h.Leaving },
		func(h Host) bool { return h.Heard && !h.Leaving },
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
