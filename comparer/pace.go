package comparer

import (
	"math"

	"github.com/jackdawgate/jackdawgate/timer"
)

// pace is the estimate of a server's own pace, as a multiple of the mean of its service.
type pace struct {
	// mean is the estimate, weight the number of observations that it rests on.
	mean, weight float64
	// shared is the value that this host or another one reported last, at sharedAt. Before the
	// first report it is 1, and sharedAt is zero.
	shared   float64
	sharedAt timer.Millis
	// reportUntil is when this host's digests no longer contain the pace.
	reportUntil timer.Millis
}

// add adds a value with a weight in observations.
func (p *pace) add(value, weight float64) {
	p.weight = min(p.weight+weight, maxWeight)
	p.mean += (min(max(value, minPace), maxPace) - p.mean) * weight / (p.weight + priorWeight)
}

// width returns by how much the estimate may be off.
func (p *pace) width() float64 {
	return max(minWidth, observationWidth/math.Sqrt(max(p.weight, 1)))
}

// value returns the pace as far as it is known: 1 unless the estimate differs from the mean by
// more than its width.
func (p *pace) value() float64 {
	if math.Abs(p.mean-1) <= p.width() {
		return 1
	}
	return p.mean
}

// share records that a value was reported.
func (p *pace) share(value float64, now timer.Millis) { p.shared, p.sharedAt = value, now }

// isNews reports whether the pace should be reported: it differs from what was reported last by
// more than its width, or from the mean and was not reported for paceInterval.
func (p *pace) isNews(now timer.Millis) bool {
	switch age := now - p.sharedAt; {
	case p.sharedAt != 0 && age < newsInterval:
		return false
	case math.Abs(p.mean-p.shared) > p.width():
		return true
	default:
		return p.value() != 1 && age >= paceInterval
	}
}
