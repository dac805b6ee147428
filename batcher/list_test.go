package batcher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/batcher"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/submitter"
	"github.com/stretchr/testify/require"
)

// silentOwners is a Caller to whose questions for the state of a job no host replies once
// it is silent. It calls onStatus, unless nil, before the first of them.
type silentOwners struct {
	messenger.Caller
	silent   *atomic.Bool
	onStatus func()
}

func (s silentOwners) Call(ctx context.Context, address string, m messenger.Method, body []byte, each func([]byte) error) error {
	if m != batcher.MethodStatus || !s.silent.Load() {
		return s.Caller.Call(ctx, address, m, body, each)
	}
	if s.onStatus != nil {
		s.onStatus()
	}
	<-ctx.Done()
	return ctx.Err()
}

// newSilentCluster returns a cluster with ended jobs whose owners no longer reply.
func newSilentCluster(t *testing.T, onStatus func(*cluster)) (*cluster, []string) {
	var c *cluster
	silent := new(atomic.Bool)
	c = newCluster(t, 3, func(o *batcher.Options) {
		o.Caller = silentOwners{Caller: o.Caller, silent: silent, onStatus: func() { onStatus(c) }}
	})
	var ids []string
	for _, k := range []string{"a", "b", "c", "d", "e", "f"} {
		ids = append(ids, c.submit(k, itemNames(k, 1)).ID)
	}
	for _, id := range ids {
		c.waitEnded(id, time.Hour)
	}
	_, err := c.anyBatcher().List(t.Context(), workspace, submitter.PageRequest{})
	require.NoError(t, err)
	silent.Store(true)
	return c, ids
}

// A list asked the owners of its jobs one after the other, 2 s each if they did not reply.
func TestListAsksOwnersAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ids := newSilentCluster(t, func(*cluster) {})
		defer c.close()
		began := time.Now()
		page, err := c.anyBatcher().List(t.Context(), workspace, submitter.PageRequest{})
		require.NoError(t, err)
		require.Len(t, page.Jobs, len(ids))
		require.Less(t, time.Since(began), 3*time.Second)
	})
}

// A job was removed while the list was being made, and the whole list failed.
func TestListLeavesOutAJobThatIsRemovedMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The owners are asked at the same time, and the first question removes a job.
		var first sync.Once
		var removed []string
		c, ids := newSilentCluster(t, func(c *cluster) {
			first.Do(func() {
				keys, err := c.store.List(context.Background(), "jackdawgate/jobs/")
				if err != nil || len(keys) < 6 {
					return
				}
				v, err := c.store.Get(context.Background(), keys[0])
				if err != nil {
					return
				}
				if ok, err := c.store.Delete(context.Background(), keys[0], v.Version); ok && err == nil {
					removed = append(removed, keys[0])
				}
			})
		})
		defer c.close()
		page, err := c.anyBatcher().List(t.Context(), workspace, submitter.PageRequest{})
		require.NoError(t, err)
		require.Len(t, removed, 1)
		require.GreaterOrEqual(t, len(page.Jobs), len(ids)-1)
	})
}
