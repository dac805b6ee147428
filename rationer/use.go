package rationer

import "github.com/jackdawgate/jackdawgate/timer"

// The tokens that were taken within silentTimeout are counted in slots.
const (
	usageSlots = 8
	usageSlot  = silentTimeout / usageSlots
)

// recentUse counts the tokens of a limit that all hosts took lately, as far as known.
type recentUse struct {
	// used counts them by slots of usageSlot. The newest slot is slot.
	used [usageSlots]float64
	slot timer.Millis
	// total is the number of tokens taken, less those returned, since this host started.
	total float64
}

// addUsed counts tokens that were taken, or were returned if negative.
func (u *recentUse) addUsed(tokens float64, now timer.Millis) {
	u.dropOldSlots(now)
	u.used[u.slot%usageSlots] += tokens
	u.total += tokens
}

// usedLately returns how many tokens were taken within silentTimeout, as far as known.
func (u *recentUse) usedLately(now timer.Millis) float64 {
	u.dropOldSlots(now)
	sum := 0.0
	for _, n := range u.used {
		sum += n
	}
	return sum
}

func (u *recentUse) dropOldSlots(now timer.Millis) {
	newest := now / usageSlot
	for s := max(u.slot+1, newest-usageSlots+1); s <= newest; s++ {
		u.used[s%usageSlots] = 0
	}
	u.slot = max(u.slot, newest)
}

// Use counts the requests of one workspace since this host started.
type Use struct {
	// Limit is the workspace's limit, if it is known.
	Limit Limit
	// Own is the number of requests that this host admitted, Fleet that of all hosts as far
	// as known. Refunded requests do not count.
	Own, Fleet float64
}

// Uses returns the use of each workspace by its name, the number of hosts that are not silent,
// and the number of all hosts. Both numbers include this host.
func (r *Rationer) Uses() (uses map[string]Use, heard, hosts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	uses = make(map[string]Use, len(r.buckets))
	for workspace, b := range r.buckets {
		uses[workspace] = Use{Limit: b.limit, Own: float64(b.admitted), Fleet: b.total}
	}
	hosts = len(r.peers) + 1
	return uses, hosts - r.silentPeers(r.clock.Now()), hosts
}
