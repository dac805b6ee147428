package hoster

import (
	"context"

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
	// suspectSources is how many hosts a host that has started asks for this.
	suspectSources = 2
	// suspectsTimeout bounds one call, suspectsPeriod the time in which hosts are asked.
	suspectsTimeout timer.Millis = 500
	suspectsPeriod               = 5 * timer.Second
)

// serveSuspects registers the handler of methodSuspects.
func (b *base) serveSuspects() {
	b.messenger.Handle(methodSuspects, func(_ context.Context, _ messenger.Peer, _ []byte, send func([]byte) error) error {
		frame, err := cbor.Marshal(b.tracker.Known())
		if err != nil {
			return eris.Wrap(err, "encode suspects")
		}
		return send(frame)
	})
}

// inheritSuspects takes over from other hosts what they know of calls that crash servers.
// Bulk hosts are asked first: they keep it when all entry hosts stop at once.
func (b *base) inheritSuspects(ctx context.Context) {
	started := b.clock.Now()
	asked := make(map[string]bool)
	replies := 0
	for replies < suspectSources && b.clock.Now()-started < suspectsPeriod {
		for _, address := range b.levelSources() {
			if replies == suspectSources || ctx.Err() != nil {
				return
			}
			if asked[address] {
				continue
			}
			if err := b.fetchSuspects(ctx, address); err != nil {
				b.logger.Info("cannot take over suspects", zap.String("address", address), zap.Error(err))
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

// fetchSuspects merges what the host at address knows.
func (b *base) fetchSuspects(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout.Duration())
	defer cancel()
	var r suspector.Records
	err := b.messenger.Call(ctx, address, methodSuspects, nil, func(frame []byte) error {
		return eris.Wrap(cbor.Unmarshal(frame, &r), "decode suspects")
	})
	if err != nil {
		return err
	}
	b.tracker.Merge(r)
	return nil
}
