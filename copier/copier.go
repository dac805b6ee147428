// Package copier keeps the number of copies of the segments of one host's
// archiver.Store: lost ones are made again, damaged ones replaced, expired ones
// deleted.
//
// Invariants:
//
//   - Of a segment's sound holders only the one that ranks highest makes copies,
//     so no two hosts make the same one.
//   - A member is replaced only after it left the members and stayed away for the
//     grace period: neither a restart nor silence moves any data.
//   - A deletion goes before every copy, and a sound final copy before a bad one.
//   - Only final segments are copied.
package copier

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/placer"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Options configures a Copier.
type Options struct {
	Store  *archiver.Store
	Client *replicator.Client
	// Self is this host's name.
	Self  string
	Clock timer.Clock
	// Interval is how often members are looked at.
	Interval timer.Millis
	// CheckInterval is how often every segment's other holders are asked, for
	// losses that no change of members shows.
	CheckInterval timer.Millis
	// Grace is how long a member may be gone before its segments are copied
	// again: a restart must not move any data.
	Grace timer.Millis
	// BytesPerSecond bounds the copying.
	BytesPerSecond int64
	// VerifyBytesPerSecond bounds the reading of sealed segments, of which each
	// is read once in VerifyInterval.
	VerifyBytesPerSecond int64
	VerifyInterval       timer.Millis
	Log                  *zap.Logger
}

// Defaults of Options.
const (
	defaultCopyInterval   = 5 * timer.Second
	defaultCheckInterval  = 600 * timer.Second
	defaultCopyGrace      = 60 * timer.Second
	defaultCopyRate       = 32 << 20 // bytes a second
	fetchOverhead         = 30 * timer.Second
	infoBatch             = 500
	defaultVerifyRate     = 2 << 20 // bytes a second
	defaultVerifyInterval = 24 * 3600 * timer.Second
	fetchTimeoutOverShare = 3
)

// Copier keeps the number of copies of the segments of one Store: it copies
// those of lost holders again, deletes expired ones, and reads sealed ones now
// and then to find damage. Of a segment's holders the one that ranks highest
// acts.
type Copier struct {
	options Options
	cancel  context.CancelFunc
	done    sync.WaitGroup

	// The fields below belong to the goroutine of round.
	incarnations map[string]string
	goneSince    map[string]timer.Millis
	pending      map[string]bool
	lastCheck    timer.Millis
}

// New starts a Copier. Close ends it.
func New(o Options) *Copier {
	if o.Interval == 0 {
		o.Interval = defaultCopyInterval
	}
	if o.CheckInterval == 0 {
		o.CheckInterval = defaultCheckInterval
	}
	if o.Grace == 0 {
		o.Grace = defaultCopyGrace
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = defaultCopyRate
	}
	if o.VerifyBytesPerSecond == 0 {
		o.VerifyBytesPerSecond = defaultVerifyRate
	}
	if o.VerifyInterval == 0 {
		o.VerifyInterval = defaultVerifyInterval
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Copier{
		options: o, cancel: cancel, incarnations: make(map[string]string),
		goneSince: make(map[string]timer.Millis), pending: make(map[string]bool), lastCheck: o.Clock.Now(),
	}
	c.done.Go(func() { every(ctx, o.Interval, c.round) })
	c.done.Go(func() { every(ctx, o.VerifyInterval, c.verifyAll) })
	return c
}

// Close stops the Copier and waits for it.
func (c *Copier) Close() {
	c.cancel()
	c.done.Wait()
}

// every calls f at once and then each interval until ctx ends.
func every(ctx context.Context, interval timer.Millis, f func(context.Context)) {
	t := time.NewTicker(interval.Duration())
	defer t.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *Copier) round(ctx context.Context) {
	if gone, err := c.options.Store.Expire(timer.Wall()); err != nil {
		c.options.Log.Error("expired segments not deleted", zap.Error(err))
	} else if len(gone) > 0 {
		c.options.Log.Info("expired segments deleted", zap.Int("segments", len(gone)))
	}
	infos, err := c.options.Store.List(segmenter.ListRequest{})
	if err != nil {
		c.options.Log.Error("segments not listed", zap.Error(err))
		return
	}
	c.noteSuspects(infos)
	c.settle(ctx, infos)
}

// noteSuspects adds to pending the segments that may lack a copy.
func (c *Copier) noteSuspects(infos []segmenter.Info) {
	now := c.options.Clock.Now()
	changed := c.changedMembers(now)
	all := now-c.lastCheck >= c.options.CheckInterval
	if all {
		c.lastCheck = now
	}
	for _, i := range infos {
		if !i.Final && !i.Deleted {
			continue
		}
		if all || i.Damaged || slices.ContainsFunc(i.Holders, func(h string) bool { return changed[h] }) {
			c.pending[i.Name] = true
		}
	}
}

// changedMembers returns the members that came, went or restarted since the
// last round, and notes since when the missing ones are gone.
func (c *Copier) changedMembers(now timer.Millis) map[string]bool {
	current := make(map[string]string)
	for _, m := range c.options.Client.Record().Members {
		if m.Bulk {
			current[m.Name] = m.Incarnation
		}
	}
	changed := make(map[string]bool)
	for name, incarnation := range current {
		changed[name] = c.incarnations[name] != incarnation
		delete(c.goneSince, name)
	}
	for name := range c.incarnations {
		if _, ok := current[name]; !ok {
			changed[name] = true
			c.goneSince[name] = now
		}
	}
	c.incarnations = current
	return changed
}

// gone says whether holder left the members long enough ago to be replaced.
func (c *Copier) gone(holder string) bool {
	if _, ok := c.incarnations[holder]; ok {
		return false
	}
	since, ok := c.goneSince[holder]
	if !ok {
		since = c.options.Clock.Now()
		c.goneSince[holder] = since
	}
	return c.options.Clock.Now()-since >= c.options.Grace
}

// settle looks at the pending segments' other holders.
func (c *Copier) settle(ctx context.Context, infos []segmenter.Info) {
	byHolder := make(map[string][]string)
	var mine []segmenter.Info
	for _, i := range infos {
		if !c.pending[i.Name] {
			continue
		}
		mine = append(mine, i)
		for _, h := range i.Holders {
			if _, ok := c.incarnations[h]; ok && h != c.options.Self {
				byHolder[h] = append(byHolder[h], i.Name)
			}
		}
	}
	known := make(map[string]map[string]segmenter.Info)
	for _, h := range slices.Sorted(maps.Keys(byHolder)) {
		known[h] = c.askHolder(ctx, h, byHolder[h])
	}
	for _, i := range mine {
		if ctx.Err() != nil {
			return
		}
		if c.settleOne(ctx, i, known) {
			delete(c.pending, i.Name)
		}
	}
}

// askHolder returns what holder says of names; nil when it does not answer.
func (c *Copier) askHolder(ctx context.Context, holder string, names []string) map[string]segmenter.Info {
	out := make(map[string]segmenter.Info, len(names))
	for batch := range slices.Chunk(names, infoBatch) {
		infos, err := c.options.Client.DescribeAt(ctx, holder, batch)
		if err != nil {
			return nil
		}
		for _, i := range infos {
			out[i.Name] = i
		}
	}
	return out
}

// settleOne brings one segment to its wanted copies, as far as this host is to
// act, and says whether nothing is left to do.
func (c *Copier) settleOne(ctx context.Context, i segmenter.Info, known map[string]map[string]segmenter.Info) bool {
	good, waiting, better := c.sort(i, known)
	switch {
	case i.Deleted:
		return c.spreadDelete(ctx, i, known)
	case better.Deleted:
		return c.options.Store.Delete(i.Name) == nil
	case better.Name != "":
		return c.repair(ctx, better)
	case !i.Whole():
		return len(waiting) == 0 && len(good) == 0
	}
	all := placer.Rank(c.options.Client.Record(), i.Name)
	good = append(good, c.options.Self)
	first := slices.IndexFunc(all, func(m registrar.Member) bool { return slices.Contains(good, m.Name) })
	if first < 0 || all[first].Name != c.options.Self {
		return len(waiting) == 0
	}
	missing := placer.WantedHolders(all) - len(good) - len(waiting)
	if missing <= 0 {
		return len(waiting) == 0
	}
	return c.copyOut(ctx, i, good, waiting, all, missing)
}

// sort splits i's other holders into those with a whole copy and those that
// may still have one, and finds a copy that goes before ours.
func (c *Copier) sort(i segmenter.Info, known map[string]map[string]segmenter.Info) (good, waiting []string, better segmenter.Info) {
	for _, h := range i.Holders {
		if h == c.options.Self {
			continue
		}
		infos, asked := known[h]
		o, has := infos[i.Name]
		switch {
		case c.gone(h):
		case !asked || infos == nil:
			waiting = append(waiting, h)
		case !has || o.Missing:
		case o.Deleted, o.Whole() && (!i.Whole() || o.Epoch > i.Epoch) && !o.SameContent(i):
			better = segmenter.Prefer(better, o)
		case o.SameContent(i):
			good = append(good, h)
		}
	}
	return good, waiting, better
}

// spreadDelete tells the other holders of a deleted segment.
func (c *Copier) spreadDelete(ctx context.Context, i segmenter.Info, known map[string]map[string]segmenter.Info) bool {
	done := true
	for _, h := range i.Holders {
		if o, ok := known[h][i.Name]; !ok || o.Deleted {
			continue
		}
		if err := c.options.Client.DeleteAt(ctx, h, i.Name); err != nil {
			done = false
		}
	}
	return done
}

// repair replaces our copy by a better one of another holder.
func (c *Copier) repair(ctx context.Context, better segmenter.Info) bool {
	for _, h := range better.Holders {
		if h == c.options.Self {
			continue
		}
		address, err := c.options.Client.PeerAddress(h)
		if err != nil {
			continue
		}
		_, err = c.options.Store.Fetch(ctx, c.options.Client.Caller(), segmenter.FetchRequest{
			Info: better, Source: address, BytesPerSecond: c.options.BytesPerSecond,
		})
		c.options.Log.Info("segment copied here again", zap.String("segment", better.Name),
			zap.String("from", h), zap.Error(err))
		if err == nil {
			return true
		}
	}
	return false
}

// copyOut has the next members in rank take a copy.
func (c *Copier) copyOut(ctx context.Context, i segmenter.Info, good, waiting []string, all []registrar.Member, missing int) bool {
	for _, m := range c.targets(good, waiting, all) {
		if missing == 0 {
			break
		}
		next := i
		next.Holders = append(append(slices.Clone(good), waiting...), m.Name)
		if err := c.sendTo(ctx, m, next); err != nil {
			c.options.Log.Warn("segment not copied", zap.String("segment", i.Name), zap.String("to", m.Name), zap.Error(err))
			continue
		}
		c.options.Log.Info("segment copied", zap.String("segment", i.Name),
			zap.String("to", m.Name), zap.Int64("bytes", i.Bytes), zap.Strings("holders", next.Holders))
		good = append(good, m.Name)
		missing--
	}
	c.noteHolders(ctx, i, good, waiting)
	return missing == 0 && len(waiting) == 0
}

// targets are the members without a copy, those of data centres without one
// first.
func (c *Copier) targets(good, waiting []string, all []registrar.Member) []registrar.Member {
	has := func(m registrar.Member) bool {
		return slices.Contains(good, m.Name) || slices.Contains(waiting, m.Name)
	}
	covered := make(map[string]bool)
	for _, m := range all {
		covered[m.DataCentre] = covered[m.DataCentre] || has(m)
	}
	var elsewhere, same []registrar.Member
	for _, m := range all {
		switch {
		case has(m):
		case covered[m.DataCentre]:
			same = append(same, m)
		default:
			elsewhere = append(elsewhere, m)
		}
	}
	return append(placer.Spread(elsewhere), same...)
}

// sendTo tells m to fetch the segment from here.
func (c *Copier) sendTo(ctx context.Context, m registrar.Member, i segmenter.Info) error {
	address, err := c.options.Client.PeerAddress(c.options.Self)
	if err != nil {
		return err
	}
	limit := fetchOverhead + fetchTimeoutOverShare*timer.Millis(i.Bytes*1000/c.options.BytesPerSecond)
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	return c.options.Client.FetchAt(ctx, m, segmenter.FetchRequest{
		Info: i, Source: address, BytesPerSecond: c.options.BytesPerSecond,
	})
}

// noteHolders tells every holder who has the segment now.
func (c *Copier) noteHolders(ctx context.Context, i segmenter.Info, good, waiting []string) {
	holders := append(slices.Clone(good), waiting...)
	if slices.Equal(holders, i.Holders) {
		return
	}
	q := segmenter.SealRequest{Name: i.Name, Epoch: i.Epoch, Final: true, Records: i.Records, Holders: holders}
	for _, h := range good {
		if err := c.options.Client.SealAt(ctx, h, q); err != nil {
			c.options.Log.Warn("holders not noted", zap.String("segment", i.Name), zap.String("at", h), zap.Error(err))
		}
	}
}
