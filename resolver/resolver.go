// Package resolver chooses the hosts whose addresses are returned to callers. It has no
// state and performs no I/O.
package resolver

import (
	"math/rand/v2"
	"slices"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// MaxAddresses is the maximum number of addresses in an answer.
	MaxAddresses = 64
	// SilenceTimeout is the time without a message after which a host counts as unreachable.
	SilenceTimeout timer.Millis = 700
)

// Host is the answering host's view of an entry host.
type Host struct {
	// Address is where callers connect.
	Address string
	// Received reports whether any message of the host was received, and Silence how long ago
	// the newest one was. The answering host itself has Received and a Silence of zero.
	Received bool
	Silence  timer.Millis
	// Ready reports that the host accepts requests according to its last message, Leaving
	// that it is about to stop.
	Ready, Leaving bool
	// Preferred reports that the host is in a region in which the caller's requests should
	// arrive.
	Preferred bool
}

// Reachable reports whether a message of the host was received within SilenceTimeout.
func (h Host) Reachable() bool { return h.Received && h.Silence < SilenceTimeout }

// TakesCallers reports whether callers can be sent to the host: it is reachable, ready and not
// about to stop.
func (h Host) TakesCallers() bool { return h.Reachable() && h.Ready && !h.Leaving }

// stays reports whether the host is reachable and not about to stop.
func (h Host) stays() bool { return h.Reachable() && !h.Leaving }

// Choose returns the sorted addresses of the hosts to which a caller should connect. These are
// hosts in preferred regions that are ready; if there are none, those that are reachable and
// not leaving; then hosts of other regions likewise; then hosts that are leaving. Hosts that
// are not reachable are returned only if no host is, because they may not run.
//
// It returns at most MaxAddresses. If there are more, random, a random number in [0, 1),
// selects them, so that no host is left out of all answers.
func Choose(hosts []Host, random float64) []string {
	for _, fits := range []func(Host) bool{
		func(h Host) bool { return h.Preferred && h.TakesCallers() },
		func(h Host) bool { return h.Preferred && h.stays() },
		Host.TakesCallers,
		Host.stays,
		func(h Host) bool { return h.Preferred && h.Reachable() },
		Host.Reachable,
		func(h Host) bool { return h.Preferred && !h.Leaving },
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
			return sample(out, random)
		}
	}
	return nil
}

// sample returns at most MaxAddresses of list, sorted, which random selects.
func sample(list []string, random float64) []string {
	slices.Sort(list)
	if len(list) <= MaxAddresses {
		return list
	}
	r := rand.New(rand.NewPCG(uint64(random*(1<<53)), 0))
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:MaxAddresses]
	slices.Sort(list)
	return list
}
