package batcher

import (
	"context"
	"time"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"go.uber.org/zap"
)

const (
	// cleanupInterval is how often manifests are checked for expiry.
	cleanupInterval = 24 * time.Hour
	// cleanupObject is the identifier of a job that does not exist; the host that
	// owns it removes expired manifests.
	cleanupObject = "janitor"
)

// runCleanup periodically deletes the manifests of jobs whose results have
// expired, until ctx ends. Only the owner of cleanupObject does so.
func (b *Batcher) runCleanup(ctx context.Context) {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if b.options.Viewer.View().Owns(coordinator.JobObject(cleanupObject), b.options.Clock.Now()) {
			b.sweep(ctx)
		}
	}
}

// sweep deletes the manifests that have expired by now.
func (b *Batcher) sweep(ctx context.Context) {
	removed, err := b.book.RemoveExpired(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		b.log().Warn("could not remove expired jobs", zap.Error(err))
	default:
		b.log().Info("expired jobs removed", zap.Int("jobs", removed))
	}
}
