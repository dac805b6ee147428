package hoster

import "github.com/jackdawgate/jackdawgate/timer"

// clockRateMargin is the share by which the rates of two machines' clocks may differ.
const clockRateMargin = 0.05

// MaxConfigAge returns how long a host admits requests that need a key after its
// configuration was last confirmed, if a withdrawn key must stop working within revoke.
//
// A confirmation counts from when the question to the store was sent. So a key that the
// configuration holds was withdrawn after that, and a request that arrives within revoke
// was sent early enough. What is left is the margin for the host's clock.
func MaxConfigAge(revoke timer.Millis) timer.Millis {
	return timer.Millis(float64(revoke) * (1 - clockRateMargin))
}

// addressRetention is how many times as long as directoryTTL some callers keep an address,
// by the platform's protocol.
const addressRetention = 3

// DrainTime returns for how long a host that is about to stop, with this grace period, still
// takes requests: as long as callers that can get a new directory answer may come by an
// earlier one, if the grace period is long enough.
func DrainTime(grace timer.Millis) timer.Millis {
	return min(addressRetention*directoryTTL, max(0, grace-shutdownReserve))
}
