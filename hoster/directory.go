package hoster

import (
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/resolver"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// directoryTTL is how long callers may cache the directory's answer.
const directoryTTL timer.Millis = 1000

// otherEntryHosts returns the other entry hosts in a snapshot. prefers reports whether callers
// should be sent to hosts in a region.
func (e *EntryHost) otherEntryHosts(s cataloger.Snapshot, prefers func(region string) bool) []resolver.Host {
	now := e.clock.Now()
	var out []resolver.Host
	for name, m := range s.Members {
		if name == e.member.Name || m.Role != cataloger.Entry {
			continue
		}
		h := resolver.Host{Address: m.CallerAddress, Leaving: m.Leaving, Preferred: prefers(e.zones.RegionOfMember(m))}
		if at, ok := e.gossiper.LastReceived(name); ok {
			d, _ := e.gossiper.Newest(name)
			h.Received, h.Silence, h.Ready = true, now-at, d.Ready
		}
		out = append(out, h)
	}
	return out
}

// othersReady reports whether another entry host is known to admit requests.
func (e *EntryHost) othersReady() bool {
	anyRegion := func(string) bool { return true }
	return slices.ContainsFunc(e.otherEntryHosts(e.follower.Snapshot(), anyRegion), resolver.Host.TakesCallers)
}

// serveDirectory answers a caller with the addresses to connect to.
func (e *EntryHost) serveDirectory(w http.ResponseWriter, r *http.Request) {
	s := e.follower.Snapshot()
	prefers := e.platform.DirectoryQuery(r.URL.RawQuery).Prefers(s.Config, e.zones)
	self := resolver.Host{
		Address: e.member.CallerAddress, Received: true,
		Ready: e.ready(), Leaving: e.leaving.Load(), Preferred: prefers(e.member.Region),
	}
	addresses := resolver.Choose(append(e.otherEntryHosts(s, prefers), self), rand.Float64())
	body, err := e.platform.Addresses(addresses, directoryTTL)
	if err != nil {
		e.logger.Error("cannot encode directory answer", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
