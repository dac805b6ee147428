package follower

import (
	"context"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/recoverer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// load reads all keys from the store, in one request if they fit into one answer. sent is
// when it was sent.
func (f *Follower) load(ctx context.Context, s cataloger.Snapshot, sent timer.Millis) (cataloger.Snapshot, error) {
	items, from, err := f.options.Ledger.Range(ctx, "")
	if err != nil {
		return s, err
	}
	var servers []cataloger.Server
	// unreadable holds the backend servers whose entries cannot be decoded.
	unreadable := make(map[string]bool)
	fresh := cataloger.Snapshot{Config: s.Config, ConfirmedAt: s.ConfirmedAt}
	for _, i := range items {
		switch t := f.decode(i).(type) {
		case nil:
			if t, ok := f.options.Decoder.Kind(i.Key).(ServerFact); ok {
				unreadable[t.Server.ID] = true
			}
			fresh = f.withUnreadable(fresh, s, i)
		case ServerFact:
			delete(f.missing, entryID{name: t.Server.ID})
			known := s
			known.Config = fresh.Config
			servers = append(servers, f.serverOf(known, t))
		default:
			fresh = f.applyFact(fresh, t)
		}
	}
	fresh = fresh.WithServers(servers)
	for id, v := range s.Servers {
		if _, ok := fresh.Servers[id]; !ok && !v.Draining && !unreadable[id] && f.mayBeOutage(s) {
			fresh = fresh.WithServer(v)
			f.keepMissing(entryID{name: id})
		}
	}
	for name, m := range s.Members {
		if _, ok := fresh.Members[name]; !ok && !m.Leaving && f.mayBeOutage(s) {
			fresh = fresh.WithMember(m)
			f.keepMissing(entryID{host: true, name: name})
		}
	}
	f.cursor, f.loaded = from, true
	f.changeLog.restart(from, sent)
	return fresh.WithRevision(uint64(from)), nil
}

// apply returns s with one change applied.
func (f *Follower) apply(s cataloger.Snapshot, c storer.Change) cataloger.Snapshot {
	if c.Deleted {
		return f.applyRemoval(s, c.Key)
	}
	fact := f.decode(c.Item)
	if fact == nil {
		return f.applyUnreadable(s, c.Item)
	}
	return f.applyFact(s, fact)
}

// applyUnreadable returns s after an item changed to a value that cannot be decoded. A
// backend server with such an entry is not used any more. Of everything else, what was
// known is kept: hosts live on whatever their entries say, and a quarantined call is not
// released.
func (f *Follower) applyUnreadable(s cataloger.Snapshot, i storer.Item) cataloger.Snapshot {
	if t, ok := f.options.Decoder.Kind(i.Key).(ServerFact); ok {
		delete(f.missing, entryID{name: t.Server.ID})
		return s.WithoutServer(t.Server.ID)
	}
	return f.withUnreadable(s, s, i)
}

// withUnreadable returns fresh with what known has of an item whose value cannot be decoded.
// A host's entry has the revision of that value, by which the host notices that the entry is
// not the one that it wrote.
func (f *Follower) withUnreadable(fresh, known cataloger.Snapshot, i storer.Item) cataloger.Snapshot {
	switch t := f.options.Decoder.Kind(i.Key).(type) {
	case MemberFact:
		if m, ok := known.Members[t.Member.Name]; ok {
			m.Revision = uint64(i.Revision)
			return fresh.WithMember(m)
		}
	case GroupFact:
		if g, ok := known.Groups[t.Number]; ok {
			return fresh.WithGroup(t.Number, g)
		}
	case QuarantineFact:
		if q, ok := known.Quarantined[t.Fingerprint]; ok {
			return fresh.WithQuarantine(t.Fingerprint, q)
		}
	}
	return fresh
}

// decode returns the Fact of an item, or nil when it cannot be decoded.
func (f *Follower) decode(i storer.Item) Fact {
	var fact Fact
	err := recoverer.Run(f.options.Logger, "decoding an entry of the store", func() (err error) {
		fact, err = f.options.Decoder.Decode(i)
		return err
	})
	if err != nil {
		f.options.Logger.Warn("decode entry of the store", zap.String("key", i.Key), zap.Error(err))
		return nil
	}
	return fact
}

// applyFact returns s with one Fact applied; a nil Fact changes nothing.
func (f *Follower) applyFact(s cataloger.Snapshot, fact Fact) cataloger.Snapshot {
	switch t := fact.(type) {
	case ConfigFact:
		return s.WithConfig(t.Config)
	case ServerFact:
		delete(f.missing, entryID{name: t.Server.ID})
		return s.WithServer(f.serverOf(s, t))
	case MemberFact:
		delete(f.missing, entryID{host: true, name: t.Member.Name})
		return s.WithMember(t.Member)
	case GroupFact:
		return s.WithGroup(t.Number, t.Group)
	case RetireFact:
		return s.WithRetiring(t.Host, true)
	case EvacuateFact:
		return s.WithEvacuated(t.DataCentre, true)
	case RetireStatusFact:
		return s.WithRetireStatus(t.Host, t.Status)
	case QuarantineFact:
		return s.WithQuarantine(t.Fingerprint, t.Quarantine)
	case OtherFact:
	}
	return s
}

// applyRemoval returns s after the key was deleted.
func (f *Follower) applyRemoval(s cataloger.Snapshot, key string) cataloger.Snapshot {
	switch t := f.options.Decoder.Kind(key).(type) {
	case ServerFact:
		return f.removeServer(s, t.Server.ID)
	case MemberFact:
		return f.removeMember(s, t.Member.Name)
	case RetireFact:
		return s.WithRetiring(t.Host, false)
	case EvacuateFact:
		return s.WithEvacuated(t.DataCentre, false)
	case RetireStatusFact:
		return s.WithRetireStatus(t.Host, cataloger.RetireStatus{})
	case QuarantineFact:
		return s.WithoutQuarantine(t.Fingerprint)
	case ConfigFact, GroupFact, OtherFact:
	}
	return s
}
