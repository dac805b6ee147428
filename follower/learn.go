package follower

import (
	"context"
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
	// avoidFor is how long no further request is sent to a host that did not answer.
	avoidFor timer.Millis = 1000
)

// source returns where this host reads changes from.
func (f *Follower) source() source {
	if !f.loaded {
		return source{direct: true}
	}
	if f.options.Clock.Now() >= f.avoidUntil {
		f.avoid = ""
	}
	return f.options.Relay.source(f.avoid)
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
		f.avoid, f.avoidUntil = s.address, f.options.Clock.Now()+avoidFor
		return false
	}
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
