package hoster

import (
	"net/http"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/resolver"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// directoryTTL is how long callers may cache the directory's answer.
	directoryTTL timer.Millis = 1000
	// hostTimeout is the time without a digest after which a host counts as
	// unreachable.
	hostTimeout timer.Millis = 700
)

// otherEntryHosts returns the other entry hosts in this host's snapshot.
func (e *EntryHost) otherEntryHosts() []resolver.Host {
	now := e.clock.Now()
	var out []resolver.Host
	for name, m := range e.follower.Snapshot().Members {
		if name == e.member.Name || m.Role != cataloger.Entry {
			continue
		}
		h := resolver.Host{Address: m.CallerAddress, Leaving: m.Leaving}
		if at, ok := e.gossiper.LastReceived(name); ok && now-at < hostTimeout {
			d, _ := e.gossiper.Newest(name)
			h.Reachable, h.Ready = true, d.Ready
		}
		out = append(out, h)
	}
	return out
}

// othersReady reports whether another entry host is known to admit requests.
func (e *EntryHost) othersReady() bool {
	return slices.ContainsFunc(e.otherEntryHosts(), resolver.Host.TakesCallers)
}

// serveDirectory answers a caller with the addresses to connect to.
func (e *EntryHost) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	self := resolver.Host{Address: e.member.CallerAddress, Reachable: true, Ready: e.ready(), Leaving: e.leaving.Load()}
	body, err := e.platform.Addresses(resolver.Choose(append(e.otherEntryHosts(), self)), directoryTTL)
	if err != nil {
		e.logger.Error("cannot encode directory answer", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
