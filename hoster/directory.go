package hoster

import (
	"net/http"
	"slices"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

const (
	// directoryKeep is how long callers keep the directory's answer.
	directoryKeep timer.Millis = 1000
	// maxAddresses is how many addresses an answer has at most.
	maxAddresses = 64
	// hostSilence is how long a host may be unheard and still be named.
	hostSilence timer.Millis = 700
)

// entryHost is a host as the directory sees it.
type entryHost struct {
	member cataloger.Member
	// Heard says that it was heard lately, ready that it takes requests.
	heard, ready bool
}

// chooseAddresses picks the hosts that callers are told of: those that are ready;
// where none is, those that were heard; where none was, all that are known. Hosts
// that are leaving are named only when there is no other.
func chooseAddresses(hosts []entryHost) []string {
	for _, fits := range []func(entryHost) bool{
		func(h entryHost) bool { return h.heard && h.ready && !h.member.Leaving },
		func(h entryHost) bool { return h.heard && !h.member.Leaving },
		func(h entryHost) bool { return !h.member.Leaving },
		func(entryHost) bool { return true },
	} {
		var out []string
		for _, h := range hosts {
			if fits(h) {
				out = append(out, h.member.Callers)
			}
		}
		if len(out) > 0 {
			slices.Sort(out)
			return out[:min(len(out), maxAddresses)]
		}
	}
	return nil
}

// entryHosts lists the entry hosts as this host knows them, itself included.
func (e *EntryHost) entryHosts() []entryHost {
	now := e.clock.Now()
	self := e.member
	self.Leaving = e.leaving.Load()
	out := []entryHost{{member: self, heard: true, ready: e.ready()}}
	for name, m := range e.follower.Snapshot().Members {
		if name == self.Name || m.Role != cataloger.Entry || m.Callers == "" {
			continue
		}
		h := entryHost{member: m}
		if at, ok := e.gossiper.Heard(name); ok && now-at < hostSilence {
			d, _ := e.gossiper.Newest(name)
			h.heard, h.ready = true, d.Ready
		}
		out = append(out, h)
	}
	return out
}

// serveDirectory answers a caller that asks where to connect.
func (e *EntryHost) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	body, err := e.platform.Addresses(chooseAddresses(e.entryHosts()), directoryKeep)
	if err != nil {
		e.logger.Error("directory's answer not encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
