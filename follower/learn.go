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
	// isolatedPause bounds that pause for a host that knows of hosts with a fresh
	// confirmation but cannot reach them.
	isolatedPause timer.Millis = 800
	// avoidFor is how long a host that did not answer is not asked again.
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

// askPeer asks another host for changes, if there is one with a fresh confirmation.
// It returns false when there is none or it did not answer. A confirmation that
// became stale on its way still counts as an answer: asking a store that this host
// may be unable to reach instead would delay it further.
func (f *Follower) askPeer(ctx context.Context, s source, began timer.Millis) bool {
	if s.address == "" {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	changes, age, err := f.options.Relay.ask(limited, s.address, f.cursor)
	if err != nil {
		f.options.Logger.Info("ask host for changes of the store", zap.String("address", s.address), zap.Error(err))
		f.avoid, f.avoidUntil = s.address, f.options.Clock.Now()+avoidFor
		return false
	}
	f.applyChanges(f.Snapshot(), changes, began-age)
	return true
}

// mayAskStore reports whether this host asks the store itself now: always if it
// reads for others, otherwise once probeAt has passed. A host that knows of a
// reader but cannot reach it probes sooner.
func (f *Follower) mayAskStore(s source, now timer.Millis) bool {
	if s.direct {
		return true
	}
	pause := timer.Millis(s.hosts) * probePerHost
	if s.address != "" {
		pause = min(pause, isolatedPause)
	}
	if !f.probing {
		// The random delay keeps hosts that lose the same reader from asking the store
		// at the same time.
		f.probing, f.probeAt = true, now+rand.N(pause+1)
	}
	if now < f.probeAt {
		return false
	}
	f.probeAt = now + pause/2 + rand.N(pause+1)
	return true
}
