package hoster

import (
	"context"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// retireInterval is how often a host checks whether it is to be emptied, and whether
// it is empty.
const retireInterval timer.Millis = 200

// reportRetirement writes to the store whether this host is empty, while operators
// request that it be emptied. It is empty when no manifest names its disk.
func (h *BulkHost) reportRetirement(ctx context.Context) {
	defer close(h.done)
	reported, empty := false, false
	for timer.Sleep(ctx, retireInterval) {
		s := h.follower.Snapshot()
		if !s.Retiring[h.member.Name] {
			reported = false
			continue
		}
		emptyNow := h.isEmpty(s)
		if reported && emptyNow == empty {
			continue
		}
		if err := h.report(ctx, emptyNow); err != nil {
			h.logger.Warn("cannot write retirement status", zap.Error(err))
			continue
		}
		h.logger.Info("retirement status written", zap.Bool("empty", emptyNow))
		reported, empty = true, emptyNow
	}
}

func (h *BulkHost) isEmpty(s cataloger.Snapshot) bool {
	for _, g := range s.Groups {
		if g.Holds(h.member.Disk) || g.Owner == h.member.Disk {
			return false
		}
	}
	return true
}

func (h *BulkHost) report(ctx context.Context, empty bool) error {
	ctx, cancel := context.WithTimeout(ctx, timer.Second.Duration())
	defer cancel()
	_, err := h.platform.Ledger.Commit(ctx, storer.Transaction{
		Set: []storer.Item{{Key: h.platform.RetireStatusKey(h.member.Name), Value: h.platform.RetireStatus(empty)}},
	})
	return err
}
