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
}

// addUsed counts tokens that were taken, or were returned if negative.
func (u *recentUse) addUsed(tokens float64, now timer.Millis) {
	u.dropOldSlots(now)
	u.used[u.slot%usageSlots] += tokens
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
