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
	// cleanupJobID is not the ID of a job. The owner of an ID is determined from the
	// ID alone, whether or not the job exists, so exactly one host owns this one. That
	// host removes expired manifests.
	cleanupJobID = "janitor"
)

// runCleanup periodically removes the manifests of jobs whose results have
// expired, until ctx ends. Only the owner of cleanupJobID does so.
func (b *Batcher) runCleanup(ctx context.Context) {
	t := time.NewTicker(cleanupInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if b.options.Viewer.View().Owns(coordinator.JobObject(cleanupJobID), b.options.Clock.Now()) {
			b.removeExpired(ctx)
		}
	}
}

// removeExpired removes the manifests of jobs whose results have expired by now.
func (b *Batcher) removeExpired(ctx context.Context) {
	removed, err := b.manifests.RemoveExpired(ctx)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		b.log().Warn("could not remove expired jobs", zap.Error(err))
	default:
		b.log().Info("expired jobs removed", zap.Int("jobs", removed))
	}
}
