package follower

import (
	"github.com/jackdawgate/jackdawgate/cataloger"
	"go.uber.org/zap"
)

// log writes the differences between the Snapshot before, a, and the new one, b.
func (f *Follower) log(a, b cataloger.Snapshot) {
	l := f.options.Logger
	if b.Config != nil && (a.Config == nil || a.Config.Version != b.Config.Version) {
		l.Info("configuration in force", zap.Int64("version", b.Config.Version))
	}
	for id, v := range b.Servers {
		if w, ok := a.Servers[id]; !ok || w.Draining != v.Draining || w.Address != v.Address || w.StartedAt != v.StartedAt {
			l.Info("server known", zap.String("server", id), zap.String("service", v.Service), zap.String("address", v.Address), zap.Bool("draining", v.Draining))
		}
	}
	for id := range a.Servers {
		if _, ok := b.Servers[id]; !ok {
			l.Info("server gone", zap.String("server", id))
		}
	}
	for name, m := range b.Members {
		if w, ok := a.Members[name]; !ok || w != m {
			l.Info("host known", zap.String("member", name), zap.String("incarnation", m.Incarnation), zap.Bool("leaving", m.Leaving))
		}
	}
	for name := range a.Members {
		if _, ok := b.Members[name]; !ok {
			l.Info("host gone", zap.String("member", name))
		}
	}
	for name := range b.Evacuated {
		if !a.Evacuated[name] {
			f.logEvacuation(name, b)
		}
	}
	for name := range a.Evacuated {
		if !b.Evacuated[name] {
			l.Info("evacuation cancelled", zap.String("data-centre", name), zap.Int("evacuated", len(b.Evacuated)))
		}
	}
	for n, g := range b.Groups {
		if a.Groups[n].Revision != g.Revision {
			l.Info("group changed", zap.Int("group", n), zap.Uint64("epoch", g.Epoch), zap.String("owner", g.Owner), zap.Strings("holders", g.Holders))
		}
	}
}

// logEvacuation writes that a data centre is evacuated. One without servers and hosts may be
// a mistyped name.
func (f *Follower) logEvacuation(name string, s cataloger.Snapshot) {
	servers, hosts := 0, 0
	for _, v := range s.Servers {
		if v.DataCentre == name {
			servers++
		}
	}
	for _, m := range s.Members {
		if m.DataCentre == name {
			hosts++
		}
	}
	fields := []zap.Field{
		zap.String("data-centre", name), zap.Int("servers", servers), zap.Int("hosts", hosts),
		zap.Int("known-servers", len(s.Servers)), zap.Int("evacuated", len(s.Evacuated)),
	}
	if servers+hosts == 0 {
		f.options.Logger.Warn("evacuated data centre is unknown", fields...)
		return
	}
	f.options.Logger.Info("data centre evacuated", fields...)
}
