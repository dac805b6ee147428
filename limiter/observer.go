package limiter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// reportTimeout bounds one request for a member's report; reportRetryPause is
	// the wait before the next attempt.
	reportTimeout    = 500 * timer.Millis(1)
	reportRetryPause = 250 * timer.Millis(1)
	// maxReports bounds the report requests that one new owner has in flight.
	maxReports = 64
)

// observe polls the fleet's snapshot until the Limiter is closed, and takes over
// limits as the fleet changes.
func (l *Limiter) observe() {
	ticker := time.NewTicker(observeInterval.Duration())
	defer ticker.Stop()
	var seen observed
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-ticker.C:
		}
		seen = l.poll(seen)
	}
}

// observed is the state kept from one poll to the next.
type observed struct {
	record registrar.Record
	// allTakenOver reports that every workspace owned by this host was taken over
	// and that the leases of former members were released.
	allTakenOver bool
	lastTick     timer.Millis
}

func (l *Limiter) poll(seen observed) observed {
	v, now := l.viewer.View(), l.clock.Now()
	if now-seen.lastTick >= timer.Second {
		seen.lastTick = now
		l.tick(v, now)
	}
	if !v.Permitted(now) || l.options.Scheme == EqualSplit {
		return seen
	}
	if seen.allTakenOver && seen.record.Version == v.Record.Version {
		return seen
	}
	seen.allTakenOver = l.releaseFormerMembers(v, now)
	for name := range v.Record.Workspaces {
		if !l.takeOver(l.entry(name), v, seen.record) {
			seen.allTakenOver = false
		}
	}
	seen.record = v.Record
	return seen
}

// releaseFormerMembers releases the leases of hosts that are no longer members,
// once none of them can act any more. It returns false if that is still pending.
func (l *Limiter) releaseFormerMembers(v coordinator.Snapshot, now timer.Millis) bool {
	if now < v.OwnsFrom {
		return false
	}
	members := make(map[string]bool, len(v.Record.Members))
	for _, m := range v.Record.Members {
		members[m.Incarnation] = true
	}
	for _, e := range l.allEntries() {
		e.mu.Lock()
		if e.owner != nil {
			for _, incarnation := range e.owner.Holders() {
				if !members[incarnation] {
					e.owner.RemoveHost(incarnation, now)
				}
			}
		}
		e.mu.Unlock()
	}
	return true
}

// takeOver begins a tenure if this host owns the workspace and has no Owner for
// it yet. It returns false if the tenure cannot begin yet.
func (l *Limiter) takeOver(e *entry, v coordinator.Snapshot, before registrar.Record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.locate(v)
	if !e.location.self || e.owner != nil {
		return true
	}
	now := l.clock.Now()
	if !v.Owns(e.object, now) || v.Record.Epoch <= e.latestReported {
		return false
	}
	e.spender.BecomeOwner(v.Record.Epoch)
	if created(e.workspace, v.Record, before) {
		e.owner = NewFullOwner(l.options.Scheme, v.Record.Epoch, LimitOf(v.Record.Workspaces[e.workspace]), now)
		l.logger.Info("limit created", zap.String("workspace", e.workspace))
		return true
	}
	l.recoverLimit(e, v, now)
	return true
}

// created reports whether a workspace was created within the current epoch, after
// this host first saw the record. The owner is then the only host that can have
// admitted requests for it.
func created(workspace string, now, before registrar.Record) bool {
	_, had := before.Workspaces[workspace]
	return !had && before.Epoch == now.Epoch && before.Version > 0
}

// recoverLimit begins a tenure with an empty pool and collects the reports of the
// members and of the previous owner. e.mu must be held.
func (l *Limiter) recoverLimit(e *entry, v coordinator.Snapshot, now timer.Millis) {
	var others []registrar.Member
	var incarnations []string
	for _, m := range v.Record.Members {
		if m.Name != v.Self.Name {
			others = append(others, m)
			incarnations = append(incarnations, m.Incarnation)
		}
	}
	k := Takeover{Self: v.Self.Incarnation, Members: incarnations, OwnsFrom: v.OwnsFrom}
	o := NewOwner(l.options.Scheme, v.Record.Epoch, k, now)
	e.owner, e.formerOwner = o, nil
	if b := e.previousOwner; b.Name != "" && !v.Record.HasMember(b.Name, b.Incarnation) {
		l.start(func() { l.collect(e, o, b) })
	}
	l.logger.Info("limit taken over", zap.String("workspace", e.workspace),
		zap.Uint64("epoch", uint64(v.Record.Epoch)), zap.Int("reports", len(others)))
	l.start(func() {
		var collecting sync.WaitGroup
		slots := make(chan struct{}, maxReports)
		for _, m := range others {
			slots <- struct{}{}
			collecting.Go(func() {
				l.collect(e, o, m)
				<-slots
			})
		}
		collecting.Wait()
	})
}

// collect requests the report of one member, or of the previous owner, until it
// answers or its report is no longer needed.
func (l *Limiter) collect(e *entry, o *Owner, m registrar.Member) {
	for l.stillNeeded(e, o, m) {
		ctx, cancel := context.WithTimeout(l.ctx, reportTimeout.Duration())
		var r Report
		err := call(ctx, l.caller, m.PeerAddress, reportMethod, ReportRequest{Workspace: e.workspace, Tenure: o.Tenure()}, &r)
		cancel()
		if err == nil {
			e.mu.Lock()
			o.AddReport(m.Incarnation, r, l.clock.Now())
			e.mu.Unlock()
			return
		}
		if !timer.Sleep(l.ctx, reportRetryPause) {
			return
		}
	}
}

// stillNeeded reports whether the owner still waits for a host's report. It
// removes a host that is no longer a member once that host can no longer act.
func (l *Limiter) stillNeeded(e *entry, o *Owner, m registrar.Member) bool {
	v, now := l.viewer.View(), l.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !v.Record.HasMember(m.Name, m.Incarnation) && now >= v.OwnsFrom {
		o.RemoveHost(m.Incarnation, now)
	}
	waits := o.AwaitsReport(m.Incarnation, now) || (m.Incarnation == e.previousOwner.Incarnation && o.AwaitsHandover(now))
	return e.owner == o && waits
}

// tick returns unused leases and deletes entries of workspaces that no longer
// exist and that hold no state.
func (l *Limiter) tick(v coordinator.Snapshot, now timer.Millis) {
	for _, e := range l.allEntries() {
		e.mu.Lock()
		if e.location.known && !e.location.self {
			l.apply(e, e.spender.Tick(now))
		}
		_, configured := v.Record.Workspaces[e.workspace]
		idle := !configured && e.spender.Idle(now)
		e.mu.Unlock()
		if idle {
			l.deleteEntry(e.workspace)
		}
	}
}

func (l *Limiter) deleteEntry(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, workspace)
}

// returnLease returns this host's lease to the owner and waits for the response.
func (l *Limiter) returnLease(e *entry) {
	e.mu.Lock()
	effects := e.spender.ReturnLease(l.clock.Now())
	address := e.location.member.PeerAddress
	e.mu.Unlock()
	for _, f := range effects {
		if s, ok := f.(Send); ok {
			s.Request.Workspace = e.workspace
			l.exchange(e, address, s.Request)
		}
	}
}
