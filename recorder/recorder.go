package recorder

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

// FullError reports that an entry was not recorded because the buffer is full,
// usually because the holders of usage segments are unreachable. Close also returns
// it if it did not complete within its timeout. Buffered is the number of entries in
// the buffer; it does not include a batch that was given up.
type FullError struct{ Buffered int }

func (e *FullError) Error() string {
	return fmt.Sprintf("usage not recorded: %d entries wait for holders", e.Buffered)
}

// LostError reports that entries were given up: they could not be encoded, or the timeout
// of Close ended while they were being written.
type LostError struct{ Entries int }

func (e *LostError) Error() string {
	return fmt.Sprintf("usage lost: %d entries were not written", e.Entries)
}

// ErrClosed is returned by the methods of a closed Recorder.
var ErrClosed = eris.New("recorder is closed")

// Recorder writes the chain of this host's incarnation. It is safe for concurrent
// use.
type Recorder struct {
	options Options
	metrics metrics
	entries chan Entry
	flushes chan chan error
	closing chan struct{}
	done    chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc

	mu     sync.Mutex
	closed bool
	// activeCalls counts the calls of Record in progress.
	activeCalls sync.WaitGroup

	// The fields below are used only by the goroutine of run.
	header   ChainHeader
	chain    *ChainWriter
	writer   *replicator.Writer
	written  int64
	attested map[string]bool
	// lost counts the entries that were given up and not yet reported by Flush.
	lost int
	// announcedAt is the time of the last announcement to the holders and
	// announcedBatches the number of the segment's records announced then, each of which
	// is one encoded SignedBatch; see announce.
	announcedAt      timer.Millis
	announcedBatches uint64
}

// New starts a Recorder for the incarnation of this host that o.Viewer reports as
// Self. Close stops it. New fails if o.Key is not usable or a metric instrument
// can't be created.
func New(o Options) (*Recorder, error) {
	o = o.withDefaults()
	self := o.Viewer.View().Self
	public, ok := o.Key.Public().(ed25519.PublicKey)
	if !ok {
		return nil, eris.New("usage key is not an Ed25519 key")
	}
	header := ChainHeader{Host: self.Name, Incarnation: self.Incarnation, Key: public}
	c, err := NewChainWriter(header, o.Key)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		options: o, entries: make(chan Entry, o.MaxBuffered), flushes: make(chan chan error),
		closing: make(chan struct{}), done: make(chan struct{}), ctx: ctx, cancel: cancel,
		header: header, chain: c, attested: make(map[string]bool),
	}
	r.metrics, err = newMetrics(o.Meter, func() int64 { return int64(len(r.entries)) })
	if err != nil {
		cancel()
		return nil, err
	}
	go r.run()
	return r, nil
}

// Record adds an entry to the buffer. It does not block while fewer than
// MaxBuffered entries are waiting; otherwise it waits for space and returns a
// FullError when ctx ends. On a closed Recorder it returns ErrClosed.
func (r *Recorder) Record(ctx context.Context, e Entry) error {
	if !r.beginRecord() {
		return ErrClosed
	}
	defer r.activeCalls.Done()
	select {
	case r.entries <- e:
		return nil
	default:
	}
	select {
	case r.entries <- e:
		return nil
	case <-r.closing:
		return ErrClosed
	case <-ctx.Done():
		addCount(r.metrics.refused, 1)
		return &FullError{Buffered: r.options.MaxBuffered}
	}
}

// beginRecord registers a call of Record. When the Recorder is closed, run waits for
// registered calls before it drains the buffer, so that it includes their entries.
// beginRecord returns false if the Recorder is closed.
func (r *Recorder) beginRecord() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.activeCalls.Add(1)
	return true
}

// stopAccepting makes later calls of Record fail with ErrClosed.
func (r *Recorder) stopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.closing)
	}
}

// Flush waits until the entries recorded before the call have been written, ctx ends,
// or the Recorder has stopped, which gives ErrClosed. If it returns nil, the entries
// recorded since the last call are on their holders. If any was given up, it returns a
// *LostError, once.
func (r *Recorder) Flush(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case r.flushes <- done:
	case <-r.done:
		return ErrClosed
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "flush usage")
	}
	select {
	case err := <-done:
		return err
	case <-r.done:
		select {
		case err := <-done:
			return err
		default:
		}
		return ErrClosed
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "flush usage")
	}
}

// Close stops accepting entries, stores the buffered ones within timeout, and
// seals the segment. It returns a FullError if timeout ended first, even if only the
// sealing was not completed. Buffered is then the number of entries left in the buffer;
// entries already taken into a batch that was given up are not counted. A second call
// always returns a FullError. Close should therefore be called once.
func (r *Recorder) Close(timeout timer.Millis) error {
	r.stopAccepting()
	t := time.AfterFunc(timeout.Duration(), r.cancel)
	defer t.Stop()
	<-r.done
	defer r.cancel()
	if left := len(r.entries); left > 0 || r.ctx.Err() != nil {
		return &FullError{Buffered: left}
	}
	return nil
}

// run collects entries into batches and stores them until the Recorder is closed.
func (r *Recorder) run() {
	defer close(r.done)
	t := time.NewTicker(r.options.FlushInterval.Duration())
	defer t.Stop()
	var batch []Entry
	for {
		select {
		case e := <-r.entries:
			if batch = append(batch, e); len(batch) >= r.options.FlushCount {
				batch = r.writeBatch(batch)
			}
		case <-t.C:
			if len(batch) == 0 {
				r.announce()
			}
			batch = r.writeBatch(batch)
		case done := <-r.flushes:
			batch = r.drain(batch)
			done <- r.takeLossError()
		case <-r.closing:
			r.activeCalls.Wait()
			r.drain(batch)
			r.sealSegment()
			return
		}
		if r.ctx.Err() != nil {
			return
		}
	}
}

// takeLossError returns a *LostError if entries were given up since its last call.
func (r *Recorder) takeLossError() error {
	if r.lost == 0 {
		return nil
	}
	err := &LostError{Entries: r.lost}
	r.lost = 0
	return err
}

// announceInterval is the time after which an unchanged number of records of the
// segment is announced to the holders again.
const announceInterval = 10 * timer.Second

// announce sends an empty append, which notifies the holders of the number of the
// segment's records that all of them have. Readers then see the newest batch even if
// no other batch follows soon.
func (r *Recorder) announce() {
	now := timer.Wall()
	if r.writer == nil || (r.announcedBatches == r.writer.Records() && now-r.announcedAt < announceInterval) {
		return
	}
	r.announcedAt, r.announcedBatches = now, r.writer.Records()
	epoch := max(r.options.Viewer.View().Record.Epoch, r.writer.Epoch())
	if err := r.writer.Append(r.ctx, epoch, nil); err != nil {
		r.options.Log.Warn("usage segment abandoned after failed append", zap.String("segment", r.writer.Name()), zap.Error(err))
		r.writer = nil
	}
}

// drain writes the batch and all buffered entries.
func (r *Recorder) drain(batch []Entry) []Entry {
	for n := len(r.entries); n > 0; n-- {
		if batch = append(batch, <-r.entries); len(batch) >= r.options.FlushCount {
			batch = r.writeBatch(batch)
		}
	}
	return r.writeBatch(batch)
}

// writeBatch signs a batch of the entries and the new attestations, and stores it.
// It returns an empty list for the next entries. Entries that can't be encoded are
// logged and lost.
func (r *Recorder) writeBatch(entries []Entry) []Entry {
	attestations := r.newAttestations()
	if len(entries) == 0 && len(attestations) == 0 {
		return entries
	}
	b, err := r.chain.Batch(entries, attestations)
	if err != nil {
		r.options.Log.Error("usage not encoded", zap.Int("entries", len(entries)), zap.Error(err))
		r.lost += len(entries)
		return nil
	}
	if !r.storeBatch(b) {
		r.lost += len(entries)
	}
	return nil
}

// storeBatch appends the batch to the open segment, or to a new one if the open
// segment is full or an append to it failed. It retries until it succeeds or the
// Recorder's context ends, in which case the batch is lost and it returns false. A retry
// may store the batch in a second segment; readers count it once.
func (r *Recorder) storeBatch(b SignedBatch) bool {
	data, err := encoding.Marshal(b)
	if err != nil {
		r.options.Log.Error("usage not encoded", zap.Error(err))
		return false
	}
	for wait := storeBackoff; r.ctx.Err() == nil; wait = min(2*wait, maxStoreBackoff) {
		if err := r.tryStoreBatch(b.Records[0].Number, data); err == nil {
			addCount(r.metrics.entries, int64(len(b.Records)))
			return true
		} else if r.ctx.Err() == nil {
			r.options.Log.Warn("usage batch not stored; retrying", zap.Uint64("record", b.Records[0].Number), zap.Error(err))
		}
		addCount(r.metrics.retries, 1)
		r.sleep(wait)
	}
	return false
}

// Delays between attempts to store a batch: the first one, which doubles with each
// attempt, and its maximum.
const (
	storeBackoff    = 200 * time.Millisecond
	maxStoreBackoff = 5 * time.Second
)

func (r *Recorder) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.ctx.Done():
	}
}

func (r *Recorder) tryStoreBatch(first uint64, data []byte) error {
	if r.writer != nil && r.written >= r.options.RotateBytes {
		r.sealSegment()
	}
	epoch := r.options.Viewer.View().Record.Epoch
	if r.writer == nil {
		if err := r.openSegment(first, epoch); err != nil {
			return err
		}
	}
	if err := r.writer.Append(r.ctx, max(epoch, r.writer.Epoch()), [][]byte{data}); err != nil {
		r.writer = nil
		return err
	}
	r.written += int64(len(data))
	return nil
}

// openSegment creates the next usage segment, whose first usage record has number first.
func (r *Recorder) openSegment(first uint64, epoch registrar.Epoch) error {
	header, err := encoding.Marshal(segmentHeader{Chain: r.header, First: first})
	if err != nil {
		return eris.Wrap(err, "encode header")
	}
	r.writer, err = r.options.Archive.Create(r.ctx, replicator.CreateRequest{
		Name:   segmentName(r.header, first),
		Header: header, Epoch: epoch, Expires: timer.Wall() + r.options.Retention,
	})
	r.written = 0
	return err
}

// usagePrefix is the prefix of the names of usage segments.
const usagePrefix = "usage/"

func segmentName(h ChainHeader, first uint64) string {
	return fmt.Sprintf("%s%s/%s/%d-%d", usagePrefix, h.Host, h.Incarnation, first, timer.Wall())
}

// sealSegment finalizes the open segment. If that fails, the segment remains open until
// a Sealer finalizes it, after this incarnation is no longer a member.
func (r *Recorder) sealSegment() {
	if r.writer == nil {
		return
	}
	epoch := max(r.options.Viewer.View().Record.Epoch, r.writer.Epoch())
	if err := r.writer.Finalize(r.ctx, epoch); err != nil {
		r.options.Log.Warn("usage segment not sealed", zap.String("segment", r.writer.Name()), zap.Error(err))
	}
	r.writer = nil
}
