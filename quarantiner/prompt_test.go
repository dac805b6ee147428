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
