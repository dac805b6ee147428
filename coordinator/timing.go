package coordinator

import "github.com/jackdawgate/jackdawgate/timer"

// Timing has the durations of the protocol. All hosts must use the same values:
// each relies on the permissions of the others ending in time.
type Timing struct {
	// ConfirmInterval is the interval between confirmation rounds, in which a host
	// renews its permission.
	ConfirmInterval timer.Millis
	// FastConfirmInterval is the interval while a written operator's change or a change
	// of members waits for acceptance, and while this host has no record or leaves.
	// Ticks must come at least this often.
	FastConfirmInterval timer.Millis
	// PermissionDuration is how long a host may act after it sent a request that was
	// then confirmed.
	PermissionDuration timer.Millis
	// ClockDriftPercent bounds the difference in rate between the monotonic clocks of
	// any two hosts. It is a percentage, although its type is that of the durations.
	ClockDriftPercent timer.Millis
	// UnreachableTimeout is how long a majority of the members must have had no
	// response from a member before its removal is needed. It is normally written
	// BatchDelay and ConfirmInterval later. A request to join that is not repeated for
	// this long is dropped.
	UnreachableTimeout timer.Millis
	// BatchDelay is how long a proposer waits for further members to join or become
	// unreachable, so that a single change of members covers all of them.
	BatchDelay timer.Millis
	// ProposerStagger is added for each proposer that ranks higher, so that proposers
	// don't write at the same time.
	ProposerStagger timer.Millis
	// RejoinDelay is how long a removed member waits before it requests to join again.
	RejoinDelay timer.Millis
	// RelayReadInterval is the minimum time between two reads that a relay makes for
	// other hosts.
	RelayReadInterval timer.Millis
	// RetryMin and RetryMax bound the back-off after a failed read of the store.
	RetryMin timer.Millis
	RetryMax timer.Millis
	// RequestTimeout is the timeout of a request to a peer or to the store.
	RequestTimeout timer.Millis
}

// DefaultTiming returns the default durations, which docs/DESIGN.md describes.
func DefaultTiming() Timing {
	return Timing{
		ConfirmInterval: 1 * timer.Second, FastConfirmInterval: 100,
		PermissionDuration: 5 * timer.Second, ClockDriftPercent: 1,
		UnreachableTimeout: 4 * timer.Second, BatchDelay: 500, ProposerStagger: 1 * timer.Second,
		RejoinDelay: 15 * timer.Second, RelayReadInterval: 100,
		RetryMin: 100, RetryMax: 5 * timer.Second, RequestTimeout: 2 * timer.Second,
	}
}

// clockRounding allows for two instants that were both truncated to milliseconds.
const clockRounding timer.Millis = 2

// HandOverDelay returns how long a host must wait after it found an epoch to be accepted
// until every permission under an earlier epoch has ended, given the clock drift.
func (t Timing) HandOverDelay() timer.Millis {
	return t.PermissionDuration + (t.PermissionDuration*t.ClockDriftPercent+99)/100 + clockRounding
}
