package follower

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// entryID identifies a server by its identifier, or a host by its name.
type entryID struct {
	host bool
	name string
}

func (f *Follower) removeServer(s cataloger.Snapshot, id string) cataloger.Snapshot {
	v, ok := s.Servers[id]
	if !ok {
		return s
	}
	if v.Draining || !f.mayBeOutage(s) {
		return s.WithoutServer(id)
	}
	f.keepMissing(entryID{name: id})
	return s
}

func (f *Follower) removeMember(s cataloger.Snapshot, name string) cataloger.Snapshot {
	m, ok := s.Members[name]
	if !ok || m.Leaving || !f.mayBeOutage(s) {
		return s.WithoutMember(name)
	}
	f.keepMissing(entryID{host: true, name: name})
	return s
}

// mayBeOutage reports whether an entry may have expired because its writer could
// not reach the store.
func (f *Follower) mayBeOutage(s cataloger.Snapshot) bool {
	now := f.options.Clock.Now()
	switch {
	case now-s.ConfirmedAt > f.options.OutageAfter:
		return !f.othersConfirmedSince(s.ConfirmedAt)
	case f.recentlyRecovered(now):
		return !f.othersConfirmedSince(f.outageStart)
	}
	return false
}

// recentlyRecovered reports whether the store recovered less than ReturnGrace ago,
// so that entries of running servers may still be missing.
func (f *Follower) recentlyRecovered(now timer.Millis) bool {
	return f.recoveredAt != 0 && now-f.recoveredAt < f.options.ReturnGrace
}

// othersConfirmedSince reports whether another host has been continuously confirmed
// by the store since the given instant.
func (f *Follower) othersConfirmedSince(since timer.Millis) bool {
	return f.options.Relay.anyConfirmedFor(f.options.Clock.Now() - since)
}

// keepMissing keeps an entry that disappeared until the store has been available
// for long enough for the writer to renew it.
func (f *Follower) keepMissing(e entryID) {
	if _, ok := f.missing[e]; ok {
		return
	}
	now := f.options.Clock.Now()
	from := now
	if f.recentlyRecovered(now) {
		from = f.recoveredAt
	}
	f.missing[e] = from + f.options.ReturnGrace
}

// withoutExpired removes entries that were not renewed in time, or that were kept
// for an outage that turned out to affect only this host.
func (f *Follower) withoutExpired(s cataloger.Snapshot) cataloger.Snapshot {
	if len(f.missing) == 0 {
		return s
	}
	now := f.options.Clock.Now()
	onlyThisHost := f.recoveredAt != 0 && f.othersConfirmedSince(f.outageStart)
	for e, until := range f.missing {
		if now < until && !onlyThisHost {
			continue
		}
		delete(f.missing, e)
		f.options.Logger.Info("missing entry dropped", zap.String("name", e.name), zap.Bool("host-entry", e.host),
			zap.Bool("store-was-away", !onlyThisHost))
		if e.host {
			s = s.WithoutMember(e.name)
		} else {
			s = s.WithoutServer(e.name)
		}
	}
	return s
}
