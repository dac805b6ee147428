package limiter

import (
	"math"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// demandSlots is the number of one-second slots: the second in progress and
	// the complete seconds from which steady demand is computed.
	demandSlots = 8
	// demandWindow is the time constant of the exponentially weighted mean.
	demandWindow = 4 * timer.Second
)

// demand measures one host's requests for one workspace.
type demand struct {
	// value is the exponentially weighted mean, in requests per second, as of at.
	value float64
	at    timer.Millis
	// slots count the requests of the last demandSlots seconds; newest is the
	// second that slots[newest%demandSlots] counts.
	slots  [demandSlots]uint32
	newest timer.Millis
}

func (d *demand) add(now timer.Millis) {
	d.value = d.mean(now) + float64(timer.Second)/float64(demandWindow)
	d.at = now
	d.advance(now)
	d.slots[d.newest%demandSlots]++
}

// mean returns the mean demand at now in requests per second.
func (d *demand) mean(now timer.Millis) float64 {
	return d.value * math.Exp(-float64(now-d.at)/float64(demandWindow))
}

// steady returns the demand that is present in most seconds: the mean of the
// last complete seconds minus their standard deviation, or zero if that is
// negative. Bursty traffic therefore has little or no steady demand, because
// the tokens that a lease refills between bursts would be lost.
func (d *demand) steady(now timer.Millis) float64 {
	d.advance(now)
	var sum, squares float64
	for i, n := range d.slots {
		if timer.Millis(i) != d.newest%demandSlots {
			sum += float64(n)
			squares += float64(n) * float64(n)
		}
	}
	const complete = demandSlots - 1
	mean := sum / complete
	return max(0, mean-math.Sqrt(max(0, squares/complete-mean*mean)))
}

// advance clears the slots of the seconds that began since the last call.
func (d *demand) advance(now timer.Millis) {
	second := now / timer.Second
	from := max(d.newest+1, second-demandSlots+1)
	for s := from; s <= second; s++ {
		d.slots[s%demandSlots] = 0
	}
	d.newest = max(d.newest, second)
}
