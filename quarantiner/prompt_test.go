package quarantiner_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// Parts of prompts in these tests. All calls of the route begin with commonPart; calls
// with crashingPart crash servers.
const (
	commonPart   = uint64(1) << 40
	crashingPart = uint64(2) << 40
	// partCrashes is the number of crashes after which every host must refuse the part.
	partCrashes = 5
)

// promptCall returns a call that differs from all others and has these shared parts.
func (f *fleet) promptCall(parts ...uint64) suspector.Call {
	return suspector.Call{Fingerprint: f.random.Uint64(), Parts: parts, Workspace: "w"}
}

// subject returns a random part that few calls share.
func (f *fleet) subject() uint64 { return 3<<40 + f.random.Uint64N(400) }

func (f *fleet) randomHost() *host { return f.hosts[f.random.IntN(len(f.hosts))] }

// sendCrashing sends a call with crashingPart from a random host. If the server crashes,
// up to four sound calls of other hosts are broken off with it.
func (f *fleet) sendCrashing() {
	before := len(f.crashes)
	f.send(f.randomHost(), f.promptCall(commonPart, f.subject(), crashingPart), true, f.random.Float64() < 0.1)
	if len(f.crashes) == before {
		return
	}
	for range f.random.IntN(5) {
		f.randomHost().tracker.Failed(suspector.Attempt{
			Call: f.promptCall(commonPart, f.subject()), Server: f.lastCrashed.Incarnation(), Sent: f.clock.Now() - 50, Events: f.random.IntN(8),
		})
	}
}

// sendSound sends a call without crashingPart from a random host and reports whether it
// was admitted.
func (f *fleet) sendSound() bool {
	return f.send(f.randomHost(), f.promptCall(commonPart, f.subject()), false, false)
}

// Requests that share one part of their prompts crashed each server that ran them, and
// since no two were alike, none was refused. Here digests are lost, and hosts are
// replaced one by one and all at once. Sound requests with the same first part must be
// served meanwhile.
func TestPromptPartThatCrashesServersIsRefused(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 9, 9)
				defer f.close()
				f.threshold = partCrashes
				sent, served := 0, 0
				f.simulate(90*timer.Second, func(n int) {
					if f.random.Float64() < 0.05 {
						f.sendCrashing()
					}
					if n%3 == 0 {
						ok := f.sendSound()
						if len(f.crashes) >= partCrashes && f.clock.Now() > f.crashes[partCrashes-1]+2*settleTime {
							sent++
							if ok {
								served++
							}
						}
					}
					if n%250 == 249 {
						f.kill(f.random.IntN(len(f.hosts)))
					}
					if n%2000 == 1999 {
						for i := range f.hosts {
							f.kill(i)
						}
					}
				})
				require.GreaterOrEqual(t, len(f.crashes), 2)
				require.LessOrEqual(t, f.retries, maxRetries)
				require.GreaterOrEqual(t, float64(served), 0.85*float64(sent), "sound calls refused")
			})
		})
	}
}

// crashAll sends calls with crashingPart, 60 ms apart, until they are refused or most
// servers have crashed.
func (f *fleet) crashAll(most int) {
	f.simulate(20*timer.Second, func(n int) {
		if n%3 == 0 && len(f.crashes) < most {
			f.sendCrashing()
		}
	})
}

// The store is unavailable when the first servers crash, and hosts learn of the part only
// from one another. Its record is written once the store is back.
func TestPromptPartIsRefusedWhileTheStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 11, 9, 30)
		defer f.close()
		f.ledger.SetUnavailable(true)
		f.crashAll(30)
		require.LessOrEqual(t, len(f.crashes), partCrashes+maxRetries)
		f.ledger.SetUnavailable(false)
		f.simulate(6*timer.Second, func(n int) {
			if n%3 == 0 {
				f.sendCrashing()
			}
		})
		before := len(f.crashes)
		for i := range f.hosts {
			f.kill(i)
		}
		f.simulate(2*timer.Second, func(n int) {
			if n%3 == 0 {
				f.sendCrashing()
			}
		})
		require.Len(t, f.crashes, before, "hosts that started anew sent calls with the part")
	})
}

// The store is unavailable when servers crash, and then all hosts but one are replaced.
// The others take over what that one knows.
func TestPromptPartIsKnownToHostsThatStartWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 9, 30)
		defer f.close()
		f.ledger.SetUnavailable(true)
		f.simulate(timer.Second, func(n int) {
			if n%5 == 0 && len(f.crashes) < partCrashes {
				f.sendCrashing()
			}
		})
		before := len(f.crashes)
		for i := range f.hosts[1:] {
			f.kill(i + 1)
			f.hosts[i+1].tracker.Merge(f.hosts[0].tracker.Known())
			f.hosts[i+1].view = f.hosts[0].view
		}
		for range 40 {
			f.sendCrashing()
		}
		require.Len(t, f.crashes, before)
	})
}

// Two parts crash servers at the same time, and servers crash for other reasons too, with
// sound calls in flight. Only calls with one of the parts are refused.
func TestTwoCrashingPartsAmongOrdinaryCrashes(t *testing.T) {
	const otherPart, otherCommon = crashingPart + 1, commonPart + 1
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, seed, 9, 30)
				defer f.close()
				f.threshold = 2 * partCrashes
				sent, served, bursts := 0, 0, 0
				f.simulate(30*timer.Second, func(n int) {
					if n%11 == 0 {
						f.sendCrashing()
					}
					if n%13 == 0 {
						f.send(f.randomHost(), f.promptCall(otherCommon, otherPart, f.subject()), true, false)
					}
					if n%20 == 0 && n < 200 {
						bursts++
						f.ordinaryCrash(6)
					}
					sent++
					if f.sendSound() {
						served++
					}
				})
				require.LessOrEqual(t, f.retries, 2*maxRetries)
				require.LessOrEqual(t, len(f.crashes)-6*bursts, 2*(partCrashes+maxRetries))
				require.GreaterOrEqual(t, float64(served), 0.85*float64(sent))
			})
		})
	}
}

// ordinaryCrash crashes servers at the same moment, each with three sound calls in flight.
// Some share the first part of all prompts, others share no part with any call.
func (f *fleet) ordinaryCrash(servers int) {
	for range servers {
		v, ok := f.pick(f.hosts[0])
		if !ok {
			return
		}
		f.crash(v)
		for _, c := range []suspector.Call{f.promptCall(commonPart, f.subject()), f.promptCall(commonPart, f.subject()), f.promptCall(f.random.Uint64())} {
			f.randomHost().tracker.Failed(suspector.Attempt{Call: c, Server: v.Incarnation(), Sent: f.clock.Now() - 50})
		}
	}
}

// The first part of all prompts of a route begins to crash servers, after it was answered
// before. All calls of that route are refused, and calls without the part are served.
func TestFirstPartOfARouteThatCrashesServersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 13, 9, 30)
		defer f.close()
		f.simulate(3*timer.Second, func(int) { f.sendSound() })
		served := 0
		const other = commonPart + 1
		f.simulate(12*timer.Second, func(n int) {
			if n%2 == 0 {
				f.send(f.randomHost(), f.promptCall(commonPart, f.subject()), true, false)
			}
			if f.send(f.randomHost(), f.promptCall(other, f.subject()), false, false) {
				served++
			}
		})
		require.LessOrEqual(t, len(f.crashes), partCrashes+maxRetries)
		require.GreaterOrEqual(t, served, 590, "of 600 calls without the part")
	})
}

// A part no longer crashes servers after 10 s. Calls with it are served again after the
// first trial, 15 s after the last crash.
func TestPromptPartIsServedAgainAfterItsTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 14, 9, 30)
		defer f.close()
		f.simulate(10*timer.Second, func(n int) {
			if n%10 == 0 {
				f.sendCrashing()
			}
		})
		served := 0
		f.simulate(10*timer.Second, func(n int) {
			if n >= 350 && f.send(f.randomHost(), f.promptCall(commonPart, f.subject(), crashingPart), false, false) {
				served++
			}
		})
		require.GreaterOrEqual(t, served, 130, "of the 150 calls from 17 s on")
	})
}
