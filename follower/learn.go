package follower

import (
	"context"
	"math/rand/v2"

	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// relayTimeout bounds a question to another host.
	relayTimeout timer.Millis = 500
	// probePerHost is how much of the pause between two questions each host stands
	// for, while no host has a young confirmation.
	probePerHost timer.Millis = 40
	// alonePause is the pause of a host that others could tell, but which they do
	// not reach.
	alonePause timer.Millis = 800
	// avoidTime is for how long a host is not asked again that did not answer.
	avoidTime timer.Millis = 1000
)

// source says whom this host asks.
func (f *Follower) source() source {
	if !f.loaded {
		return source{reads: true}
	}
	if f.options.Clock.Now() >= f.avoidUntil {
		f.avoid = ""
	}
	return f.options.Relay.source(f.avoid)
}

// learn asks another host, if there is one with a young confirmation. It returns
// false when there is none or it did not answer. A confirmation that has become old
// on its way is no reason to ask a store which this host may not reach: that would
// keep it from learning for longer.
func (f *Follower) learn(ctx context.Context, s source, began timer.Millis) bool {
	if s.address == "" {
		return false
	}
	limited, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	changes, age, err := f.options.Relay.ask(limited, s.address, f.cursor)
	if err != nil {
		f.options.Logger.Info("no answer from the host that reads the store", zap.String("address", s.address), zap.Error(err))
		f.avoid, f.avoidUntil = s.address, f.options.Clock.Now()+avoidTime
		return false
	}
	f.take(f.Snapshot(), changes, began-age)
	return true
}

// mayAsk says whether this host asks the store itself now: always if it reads for
// others, else when its turn has come. A host that alone fails to learn from others
// takes its turn sooner.
func (f *Follower) mayAsk(s source, now timer.Millis) bool {
	if s.reads {
		return true
	}
	pause := timer.Millis(s.hosts) * probePerHost
	if s.address != "" {
		pause = min(pause, alonePause)
	}
	if !f.probing {
		// Hosts that lose the same reader do not ask together.
		f.probing, f.probeAt = true, now+rand.N(pause+1)
	}
	if now < f.probeAt {
		return false
	}
	f.probeAt = now + pause/2 + rand.N(pause+1)
	return true
}
