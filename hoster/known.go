package hoster

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// methodSuspects is the method that returns what a host knows of calls that crash
	// servers.
	methodSuspects messenger.Method = "suspects/known"
	// knownSources is how many hosts a host that has started asks for what they know.
	knownSources = 2
	// knownTimeout bounds one call, knownPeriod the time in which hosts are asked.
	knownTimeout timer.Millis = 500
	knownPeriod               = 5 * timer.Second
)

// serveSuspects registers the handler of methodSuspects.
func (b *base) serveSuspects() {
	b.serveKnown(methodSuspects, func() any { return b.tracker.Known() })
}

// serveKnown registers the handler of a method that returns what this host knows.
func (b *base) serveKnown(method messenger.Method, known func() any) {
	b.messenger.Handle(method, func(_ context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
		frame, err := cbor.Marshal(known())
		if err != nil {
			return eris.Wrapf(err, "encode reply to %s", method)
		}
		return send(frame)
	})
}

// inheritKnown takes over from other hosts what they know of calls that crash servers and
// of the limits of servers. Bulk hosts are asked first: they keep it when all entry hosts
// stop at once.
func (b *base) inheritKnown(ctx context.Context) {
	started := b.clock.Now()
	asked := make(map[string]bool)
	replies := 0
	for replies < knownSources && b.clock.Now()-started < knownPeriod {
		for _, address := range b.levelSources() {
			if replies == knownSources || ctx.Err() != nil {
				return
			}
			if asked[address] {
				continue
			}
			if err := errors.Join(b.fetchSuspects(ctx, address), b.fetchLimits(ctx, address)); err != nil {
				b.logger.Info("cannot take over suspects and limits", zap.String("address", address), zap.Error(err))
				continue
			}
			asked[address] = true
			replies++
		}
		if !timer.Sleep(ctx, configPollInterval) {
			return
		}
	}
}

// fetchSuspects merges what the host at address knows of calls that crash servers.
func (b *base) fetchSuspects(ctx context.Context, address string) error {
	var r suspector.Records
	if err := b.fetch(ctx, address, methodSuspects, &r); err != nil {
		return err
	}
	b.tracker.Merge(r)
	return nil
}

// fetch calls a method of the host at address that returns what it knows, and decodes the
// reply into out.
func (b *base) fetch(ctx context.Context, address string, method messenger.Method, out any) error {
	ctx, cancel := context.WithTimeout(ctx, knownTimeout.Duration())
	defer cancel()
	return b.messenger.Call(ctx, address, method, nil, func(frame []byte) error {
		return eris.Wrapf(cbor.Unmarshal(frame, out), "decode reply to %s", method)
	})
}
