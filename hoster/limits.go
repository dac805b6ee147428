package hoster

import (
	"context"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/rationer"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// methodLimits is the method that returns what a host knows of the limits of servers.
	methodLimits messenger.Method = "limits/known"
	// orderTimeout is the time without a digest after which a host takes no turns.
	orderTimeout timer.Millis = 800
)

// knownLimits is the reply of methodLimits.
type knownLimits struct {
	Host        string             `cbor:"1,keyasint"`
	Incarnation string             `cbor:"2,keyasint"`
	Limits      []throttler.Notice `cbor:"3,keyasint"`
}

// serveLimits registers the handler of methodLimits.
func (b *base) serveLimits() {
	b.serveKnown(methodLimits, func() any {
		return knownLimits{Host: b.member.Name, Incarnation: b.member.Incarnation, Limits: b.throttler.Known()}
	})
}

// fetchLimits merges what the host at address knows of the limits of servers.
func (b *base) fetchLimits(ctx context.Context, address string) error {
	var r knownLimits
	if err := b.fetch(ctx, address, methodLimits, &r); err != nil {
		return err
	}
	b.throttler.Merge(r.Host, r.Incarnation, r.Limits)
	return nil
}

// watchLimits keeps the throttler's hosts up to date until ctx ends, and drops the limits
// of servers that are gone.
func (b *base) watchLimits(ctx context.Context) {
	for {
		b.updateLimits()
		if !timer.Sleep(ctx, quotaUpdateInterval) {
			return
		}
	}
}

// updateLimits passes to the throttler which hosts send requests to servers, and the place
// of this host among the entry hosts that are heard.
func (b *base) updateLimits() {
	s := b.follower.Snapshot()
	var peers []rationer.Peer
	var order []string
	if b.member.Role == cataloger.Entry {
		order = append(order, b.member.Name)
	}
	now := b.clock.Now()
	for name, m := range s.Members {
		if name == b.member.Name || m.Leaving {
			continue
		}
		at, heard := b.gossiper.LastReceived(name)
		peers = append(peers, rationer.Peer{Name: name, LastReceived: at})
		if heard && now-at <= orderTimeout && m.Role == cataloger.Entry {
			order = append(order, name)
		}
	}
	b.throttler.SetHosts(peers, rationer.NewOrder(b.member.Name, order))
	b.throttler.Retain(func(v cataloger.Incarnation) bool {
		known, ok := s.Servers[v.ID]
		return ok && known.StartedAt == v.StartedAt
	})
}
