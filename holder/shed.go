package holder

import (
	"sync/atomic"
	"time"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// progressBytes is how much must arrive before a body or a connection counts as having
	// made progress: a caller that sends a few bytes now and then makes none.
	progressBytes = 16 << 10
	// minShedBytes is the least that an account must hold to be shed. Smaller bodies are not
	// tracked, so that they cost no more than without shedding.
	minShedBytes = 32 << 10
	// trackedAllowance is how many bytes such an account may occupy without reserving memory,
	// so that a short request is read when larger ones have taken all. They count as part of
	// what a connection occupies (connectionBytes).
	trackedAllowance = 8 << 10
	// stallOffset is added to the time without progress, so that among bodies that all make
	// progress the largest is shed first.
	stallOffset = timer.Second
	// roomTimeout bounds the wait for what a shed account gives back.
	roomTimeout = timer.Second / 2
)

// tracked is the part of an Account that other goroutines use, if it can be shed.
type tracked struct {
	address   func() string
	interrupt func()
	// held is what the account has reserved, in bytes.
	held         atomic.Int64
	lastProgress atomic.Int64
	isShed       atomic.Bool
	// returning is what the account held when it was shed. It is guarded by Holder.mu.
	returning int64
	// registered and arrived, the bytes since the last progress, belong to the account's
	// goroutine.
	registered bool
	arrived    int64
}

// OpenFor returns an Account for a body that is read from a connection with the given remote
// address. Only its first 8 KB are free. Until Settle, it may be shed when the memory is used up: Shed
// is true from then on, interrupt is called, which must end the read that waits, and the
// reader must Release the account.
func (h *Holder) OpenFor(address func() string, interrupt func()) *Account {
	return &Account{holder: h, tracked: &tracked{address: address, interrupt: interrupt}}
}

// Shed reports whether the account was shed.
func (a *Account) Shed() bool { return a.tracked != nil && a.tracked.isShed.Load() }

// Settle states that the body has arrived whole: the account is not shed any more. It returns
// false if the account was shed before.
func (a *Account) Settle() bool {
	if a.tracked == nil || !a.tracked.registered {
		return true
	}
	h := a.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.shedable, a.tracked)
	return !a.tracked.isShed.Load()
}

// progress records that n bytes have arrived.
func (a *Account) progress(n int) {
	t := a.tracked
	if t == nil || !t.registered {
		return
	}
	if t.arrived += int64(n); t.arrived >= progressBytes {
		t.arrived = 0
		t.lastProgress.Store(int64(a.holder.now()))
	}
}

// reserveTracked adds n bytes to what the account uses, and sheds others to make room for
// them.
func (a *Account) reserveTracked(n int64) bool {
	t, h := a.tracked, a.holder
	if t.isShed.Load() {
		return false
	}
	more := max(0, a.used+n-trackedAllowance) - a.reserved
	if more == 0 {
		a.used += n
		return true
	}
	if _, ok := h.add(more, h.limit()); !ok && !h.makeRoom(a, more) {
		h.reporter.report(Refusal{Cause: MemoryRefused, Address: t.address(), Bytes: t.held.Load() + more})
		return false
	}
	a.used += n
	a.reserved += more
	held := t.held.Add(more)
	if !t.registered && held > minShedBytes {
		t.registered = true
		t.lastProgress.Store(int64(h.now()))
		h.mu.Lock()
		if h.shedable == nil {
			h.shedable = make(map[*tracked]struct{})
		}
		h.shedable[t] = struct{}{}
		h.mu.Unlock()
	}
	return true
}

// makeRoom reserves n bytes after shedding accounts that hold more for longer without progress
// than a. It returns false if there are none, or they do not give back in time.
func (h *Holder) makeRoom(a *Account, n int64) bool {
	timeout := time.NewTimer(roomTimeout.Duration())
	defer timeout.Stop()
	for {
		freed, ok := h.tryRoom(a, n)
		if freed == nil {
			return ok
		}
		select {
		case <-freed:
		case <-timeout.C:
			return false
		}
	}
}

// tryRoom reserves n bytes. If they are not free, it sheds what is needed and returns a
// channel that is closed when memory is given back, or nil if nothing can be shed.
func (h *Holder) tryRoom(a *Account, n int64) (freed <-chan struct{}, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.add(n, h.limit()); ok {
		return nil, true
	}
	for h.InUse()+n-h.returning > h.limit() {
		v := h.worst(a, n)
		if v == nil {
			return nil, false
		}
		delete(h.shedable, v)
		v.returning = v.held.Load()
		h.returning += v.returning
		v.isShed.Store(true)
		v.interrupt()
		h.reporter.report(Refusal{Cause: MemoryShed, Address: v.address(), Bytes: v.returning, Waited: h.now() - timer.Millis(v.lastProgress.Load())})
	}
	if h.freed == nil {
		h.freed = make(chan struct{})
		h.waiting.Store(true)
		// A release before waiting was set has closed no channel.
		if _, ok := h.add(n, h.limit()); ok {
			return nil, true
		}
	}
	return h.freed, false
}

// worst returns the account that has held the most for the longest without progress, if that
// is not a itself with n more bytes.
func (h *Holder) worst(a *Account, n int64) *tracked {
	now := h.now()
	var worst *tracked
	most := float64(a.tracked.held.Load()+n) * float64(stallOffset)
	for t := range h.shedable {
		if t == a.tracked {
			continue
		}
		stalled := max(0, now-timer.Millis(t.lastProgress.Load()))
		if score := float64(t.held.Load()) * float64(stalled+stallOffset); score > most {
			worst, most = t, score
		}
	}
	return worst
}

// release gives back what the account holds.
func (t *tracked) release(h *Holder) {
	h.inUse.Add(-t.held.Swap(0))
	if !t.registered && !h.waiting.Load() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.shedable, t)
	h.returning -= t.returning
	t.returning, t.registered = 0, false
	if h.freed != nil {
		close(h.freed)
		h.freed = nil
		h.waiting.Store(false)
	}
}

func (h *Holder) now() timer.Millis {
	if h.clock == nil {
		return timer.System().Now()
	}
	return h.clock.Now()
}
