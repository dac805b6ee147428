package follower

import (
	"context"
	"maps"
	"math/rand/v2"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// relayTimeout bounds a request to another host.
	relayTimeout timer.Millis = 500
	// probePerHost is what each host of the fleet adds to the pause between two
	// requests of one host to the store, while no host has a fresh confirmation.
	probePerHost timer.Millis = 40
	// isolatedPause bounds that pause for a host that has candidates with a fresh
	// confirmation but cannot reach them.
	isolatedPause timer.Millis = 800
	// minAvoid is how long no further request is sent to a host that did not answer. The time
	// doubles with each further failure, up to maxAvoid.
	minAvoid timer.Millis = 1000
	maxAvoid timer.Millis = 8000
)

// avoidance is for how long no request is sent to a host that did not answer, and until when.
type avoidance struct{ pause, until timer.Millis }

// avoid records that the host at an address did not answer.
func (f *Follower) avoid(address string, now timer.Millis) {
	pause := min(max(minAvoid, 2*f.avoided[address].pause), maxAvoid)
	f.avoided[address] = avoidance{pause: pause, until: now + pause}
}

// avoids reports whether no request is sent to the host at an address now.
func (f *Follower) avoids(address string, now timer.Millis) bool {
	return now < f.avoided[address].until
}

// source returns where this host reads changes from.
func (f *Follower) source() source {
	if !f.loaded {
		return source{direct: true}
	}
	now := f.options.Clock.Now()
	maps.DeleteFunc(f.avoided, func(_ string, a avoidance) bool { return now > a.until+maxAvoid })
	return f.options.Relay.source(func(address string) bool { return f.avoids(address, now) })
}

// readFromPeer requests changes from another host, if there is one with a fresh
// confirmation. It returns false when there is none or it did not answer. A
// confirmation that became stale in transit still counts as an answer: a request to
// a store that this host may be unable to reach would delay it further.
func (f *Follower) readFromPeer(ctx context.Context, s source, began timer.Millis) bool {
	if s.address == "" {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	changes, age, err := f.options.Relay.requestChanges(limited, s.address, f.cursor)
	if err != nil {
		f.options.Logger.Info("request changes of the store from another host", zap.String("address", s.address), zap.Error(err))
		f.avoid(s.address, f.options.Clock.Now())
		return false
	}
	delete(f.avoided, s.address)
	f.applyChanges(f.Snapshot(), changes, began-age)
	return true
}

// mayReadStore reports whether this host reads from the store itself now: always if
// it reads for others, otherwise once probeAt has passed. A host that has a reader
// but cannot reach it probes sooner.
func (f *Follower) mayReadStore(s source, now timer.Millis) bool {
	if s.direct {
		return true
	}
	pause := timer.Millis(s.hosts) * probePerHost
	if s.address != "" {
		pause = min(pause, isolatedPause)
	}
	if !f.probing {
		// The random delay prevents hosts that lose the same reader from sending
		// requests to the store at the same time.
		f.probing, f.probeAt = true, now+rand.N(pause+1)
	}
	if now < f.probeAt {
		return false
	}
	f.probeAt = now + pause/2 + rand.N(pause+1)
	return true
}
