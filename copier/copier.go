// Package copier maintains the number of copies of the segments in one host's
// archiver.Store. It replaces lost and damaged copies, propagates deletions and
// removes expired segments.
//
// Invariants:
//
//   - Of the holders with a whole copy of a segment, only the one that placer.Rank
//     puts first makes further copies, so that no two hosts make the same copy.
//   - A holder is replaced only once it has been absent from the members for the
//     grace period. Neither a restart nor a failure to answer moves any data.
//   - A deletion takes precedence over every copy, and a whole copy over one that is
//     damaged or not final.
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
	// Self is the name of this host.
	Self  string
	Clock timer.Clock
	// Interval is the time between rounds, each of which compares the members with
	// those of the previous round.
	Interval timer.Millis
	// CheckInterval is the time between rounds that check all segments at their
	// other holders. They find losses that do not appear as a change of the members,
	// such as an emptied data folder.
	CheckInterval timer.Millis
	// Grace is how long a holder must have been absent from the members before its
	// copies are replaced. It must be longer than a restart takes, since a restart must
	// not move any data.
	Grace timer.Millis
	// BytesPerSecond limits the rate of each copy.
	BytesPerSecond int64
	// VerifyBytesPerSecond limits the rate at which final segments are read to verify
	// their checksums. Each is read once in every VerifyInterval.
	VerifyBytesPerSecond int64
	VerifyInterval       timer.Millis
	Log                  *zap.Logger
}

// Defaults of Options, and limits of requests.
const (
	defaultCopyInterval  = 5 * timer.Second
	defaultCheckInterval = 600 * timer.Second
	defaultCopyGrace     = 60 * timer.Second
	defaultCopyRate      = 32 << 20 // bytes per second
	// fetchTimeoutMargin is the part of the timeout of a copy that does not depend on
	// its size.
	fetchTimeoutMargin = 30 * timer.Second
	// maxNamesPerRequest is the maximum number of segments in one request for
	// descriptions.
	maxNamesPerRequest    = 500
	defaultVerifyRate     = 2 << 20 // bytes per second
	defaultVerifyInterval = 24 * 3600 * timer.Second
	// fetchTimeoutFactor is the ratio between the part of the timeout of a copy that
	// depends on its size and the time that the copy takes at its rate.
	fetchTimeoutFactor = 3
)

// Copier runs the maintenance of one Store that the package describes. In addition,
// it reads each final segment once in every VerifyInterval to find damage.
type Copier struct {
	options Options
	cancel  context.CancelFunc
	done    sync.WaitGroup

	// The fields below are used only by the goroutine that runs round.

	// incarnations has the incarnation of each member with a data folder, as of the
	// last round.
	incarnations map[string]string
	// absentSince has the time from which each former member has been absent.
	absentSince map[string]timer.Millis
	// pending has the names of the segments whose copies are to be checked.
	pending map[string]bool
	// lastCheck is when all segments were last added to pending.
	lastCheck timer.Millis
}

// New starts a Copier that uses the default for each option that is zero. The caller
// must call Close.
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
		absentSince: make(map[string]timer.Millis), pending: make(map[string]bool), lastCheck: o.Clock.Now(),
	}
	c.done.Go(func() { runEvery(ctx, o.Interval, c.round) })
	c.done.Go(func() { runEvery(ctx, o.VerifyInterval, c.verifyAll) })
	return c
}

// Close stops the Copier and waits until its goroutines have ended.
func (c *Copier) Close() {
	c.cancel()
	c.done.Wait()
}

// runEvery calls f immediately and then once per interval until ctx is done.
func runEvery(ctx context.Context, interval timer.Millis, f func(context.Context)) {
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

// round removes expired segments and restores the copies of the others.
func (c *Copier) round(ctx context.Context) {
	if expired, err := c.options.Store.Expire(timer.Wall()); err != nil {
		c.options.Log.Error("expired segments could not be deleted", zap.Error(err))
	} else if len(expired) > 0 {
		c.options.Log.Info("expired segments deleted", zap.Int("segments", len(expired)))
	}
	infos, err := c.options.Store.List(segmenter.ListRequest{})
	if err != nil {
		c.options.Log.Error("failed to list segments", zap.Error(err))
		return
	}
	c.markPending(infos)
	c.restorePending(ctx, infos)
}

// markPending adds to pending the final and deleted segments whose copies are to be
// checked: the damaged ones, those with a holder that has changed, and all of them
// once per CheckInterval.
func (c *Copier) markPending(infos []segmenter.Info) {
	now := c.options.Clock.Now()
	changed := c.changedMembers(now)
	checkAll := now-c.lastCheck >= c.options.CheckInterval
	if checkAll {
		c.lastCheck = now
	}
	for _, i := range infos {
		if !i.Final && !i.Deleted {
			continue
		}
		if checkAll || i.Damaged || slices.ContainsFunc(i.Holders, func(h string) bool { return changed[h] }) {
			c.pending[i.Name] = true
		}
	}
}

// changedMembers returns the members that were added or removed or that restarted
// since the last round, with true as their value. It records since when removed
// members have been absent.
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
		delete(c.absentSince, name)
	}
	for name := range c.incarnations {
		if _, ok := current[name]; !ok {
			changed[name] = true
			c.absentSince[name] = now
		}
	}
	c.incarnations = current
	return changed
}

// lost reports whether holder has been absent from the members for the grace period
// and is to be replaced.
func (c *Copier) lost(holder string) bool {
	if _, ok := c.incarnations[holder]; ok {
		return false
	}
	since, ok := c.absentSince[holder]
	if !ok {
		since = c.options.Clock.Now()
		c.absentSince[holder] = since
	}
	return c.options.Clock.Now()-since >= c.options.Grace
}

// restorePending queries the other holders of the pending segments, restores the
// copies of these segments, and removes those that are complete from pending.
func (c *Copier) restorePending(ctx context.Context, infos []segmenter.Info) {
	byHolder := make(map[string][]string)
	var pending []segmenter.Info
	for _, i := range infos {
		if !c.pending[i.Name] {
			continue
		}
		pending = append(pending, i)
		for _, h := range i.Holders {
			if _, ok := c.incarnations[h]; ok && h != c.options.Self {
				byHolder[h] = append(byHolder[h], i.Name)
			}
		}
	}
	answers := make(map[string]map[string]segmenter.Info)
	for _, h := range slices.Sorted(maps.Keys(byHolder)) {
		answers[h] = c.describeAt(ctx, h, byHolder[h])
	}
	for _, i := range pending {
		if ctx.Err() != nil {
			return
		}
		if c.restore(ctx, i, answers) {
			delete(c.pending, i.Name)
		}
	}
}

// describeAt returns the holder's descriptions of the segments called names, by name.
// It returns nil if a call fails.
func (c *Copier) describeAt(ctx context.Context, holder string, names []string) map[string]segmenter.Info {
	out := make(map[string]segmenter.Info, len(names))
	for batch := range slices.Chunk(names, maxNamesPerRequest) {
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

// restore does this host's part in bringing segment i to the wanted copies. It reports
// whether nothing remains to be done. answers has the descriptions by the other
// holders, by holder and segment.
func (c *Copier) restore(ctx context.Context, i segmenter.Info, answers map[string]map[string]segmenter.Info) bool {
	confirmed, unconfirmed, preferred := c.classifyHolders(i, answers)
	switch {
	case i.Deleted:
		return c.propagateDelete(ctx, i, answers)
	case preferred.Deleted:
		return c.options.Store.Delete(i.Name) == nil
	case preferred.Name != "":
		return c.replaceLocal(ctx, preferred)
	case !i.Complete():
		return len(unconfirmed) == 0 && len(confirmed) == 0
	}
	all := placer.Rank(c.options.Client.Record(), i.Name)
	confirmed = append(confirmed, c.options.Self)
	first := slices.IndexFunc(all, func(m registrar.Member) bool { return slices.Contains(confirmed, m.Name) })
	if first < 0 || all[first].Name != c.options.Self {
		return len(unconfirmed) == 0
	}
	missing := placer.WantedHolders(all) - len(confirmed) - len(unconfirmed)
	if missing <= 0 {
		return len(unconfirmed) == 0
	}
	return c.addCopies(ctx, i, confirmed, unconfirmed, all, missing)
}

// classifyHolders returns the other holders of i that have the same records, and those
// that were not reached and may have a copy. preferred is the description of a copy or a
// deletion that takes precedence over the local copy; its Name is empty if there is
// none.
func (c *Copier) classifyHolders(i segmenter.Info, answers map[string]map[string]segmenter.Info) (confirmed, unconfirmed []string, preferred segmenter.Info) {
	for _, h := range i.Holders {
		if h == c.options.Self {
			continue
		}
		infos, queried := answers[h]
		o, has := infos[i.Name]
		switch {
		case c.lost(h):
		case !queried || infos == nil:
			unconfirmed = append(unconfirmed, h)
		case !has || o.Missing:
		case o.Deleted, o.Complete() && (!i.Complete() || o.Epoch > i.Epoch) && !o.SameContent(i):
			preferred = segmenter.Prefer(preferred, o)
		case o.SameContent(i):
			confirmed = append(confirmed, h)
		}
	}
	return confirmed, unconfirmed, preferred
}

// propagateDelete deletes the segment at its other holders and reports whether all
// calls succeeded.
func (c *Copier) propagateDelete(ctx context.Context, i segmenter.Info, answers map[string]map[string]segmenter.Info) bool {
	done := true
	for _, h := range i.Holders {
		if o, ok := answers[h][i.Name]; !ok || o.Deleted {
			continue
		}
		if err := c.options.Client.DeleteAt(ctx, h, i.Name); err != nil {
			done = false
		}
	}
	return done
}

// replaceLocal replaces the local copy with the preferred one of another holder and
// reports whether that succeeded.
func (c *Copier) replaceLocal(ctx context.Context, preferred segmenter.Info) bool {
	for _, h := range preferred.Holders {
		if h == c.options.Self {
			continue
		}
		address, err := c.options.Client.PeerAddress(h)
		if err != nil {
			continue
		}
		_, err = c.options.Store.Fetch(ctx, c.options.Client.Caller(), segmenter.FetchRequest{
			Info: preferred, Source: address, BytesPerSecond: c.options.BytesPerSecond,
		})
		c.options.Log.Info("segment copied here again", zap.String("segment", preferred.Name),
			zap.String("from", h), zap.Error(err))
		if err == nil {
			return true
		}
	}
	return false
}

// addCopies has up to missing further members fetch a copy from this host. It reports
// whether all copies were made and no holder is unconfirmed.
func (c *Copier) addCopies(ctx context.Context, i segmenter.Info, confirmed, unconfirmed []string, all []registrar.Member, missing int) bool {
	for _, m := range c.targets(confirmed, unconfirmed, all) {
		if missing == 0 {
			break
		}
		next := i
		next.Holders = append(append(slices.Clone(confirmed), unconfirmed...), m.Name)
		if err := c.requestFetch(ctx, m, next); err != nil {
			c.options.Log.Warn("failed to copy segment", zap.String("segment", i.Name), zap.String("to", m.Name), zap.Error(err))
			continue
		}
		c.options.Log.Info("segment copied", zap.String("segment", i.Name),
			zap.String("to", m.Name), zap.Int64("bytes", i.Bytes), zap.Strings("holders", next.Holders))
		confirmed = append(confirmed, m.Name)
		missing--
	}
	c.updateHolders(ctx, i, confirmed, unconfirmed)
	return missing == 0 && len(unconfirmed) == 0
}

// targets returns the members of all that have no copy. Those in data centres without
// a copy come first.
func (c *Copier) targets(confirmed, unconfirmed []string, all []registrar.Member) []registrar.Member {
	has := func(m registrar.Member) bool {
		return slices.Contains(confirmed, m.Name) || slices.Contains(unconfirmed, m.Name)
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

// requestFetch requests that m fetch the segment from this host. The timeout grows
// with the size of the segment.
func (c *Copier) requestFetch(ctx context.Context, m registrar.Member, i segmenter.Info) error {
	address, err := c.options.Client.PeerAddress(c.options.Self)
	if err != nil {
		return err
	}
	timeout := fetchTimeoutMargin + fetchTimeoutFactor*timer.Millis(i.Bytes*1000/c.options.BytesPerSecond)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return c.options.Client.FetchAt(ctx, m, segmenter.FetchRequest{
		Info: i, Source: address, BytesPerSecond: c.options.BytesPerSecond,
	})
}

// updateHolders stores the new list of holders at the confirmed holders.
func (c *Copier) updateHolders(ctx context.Context, i segmenter.Info, confirmed, unconfirmed []string) {
	holders := append(slices.Clone(confirmed), unconfirmed...)
	if slices.Equal(holders, i.Holders) {
		return
	}
	q := segmenter.SealRequest{Name: i.Name, Epoch: i.Epoch, Final: true, Records: i.Records, Holders: holders}
	for _, h := range confirmed {
		if err := c.options.Client.SealAt(ctx, h, q); err != nil {
			c.options.Log.Warn("failed to update holders of segment", zap.String("segment", i.Name), zap.String("at", h), zap.Error(err))
		}
	}
}
