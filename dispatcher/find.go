package dispatcher

import (
	"slices"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
)

// Finder finds the backend servers that are considered for a call. Its methods are
// called by many goroutines for every call.
type Finder interface {
	// Find returns servers that can run r and are not leaving. It may leave out those
	// in tried as long as there are others. The caller does not modify the slice.
	Find(r *requester.Request, s *coordinator.Snapshot, tried []string) []registrar.BackendServer
	// Leaving reports whether a server that can run r is leaving.
	Leaving(r *requester.Request, s *coordinator.Snapshot) bool
}

// ScanFinder finds all servers that can run a call. It examines each server of the
// record, so it suits fleets with few servers.
type ScanFinder struct{}

var _ Finder = ScanFinder{}

// Find implements Finder.
func (ScanFinder) Find(r *requester.Request, s *coordinator.Snapshot, _ []string) []registrar.BackendServer {
	var out []registrar.BackendServer
	for _, b := range s.Record.Servers {
		if !b.Leaving && canRun(&b, r) {
			out = append(out, b)
		}
	}
	return out
}

// Leaving implements Finder.
func (ScanFinder) Leaving(r *requester.Request, s *coordinator.Snapshot) bool {
	for _, b := range s.Record.Servers {
		if b.Leaving && canRun(&b, r) {
			return true
		}
	}
	return false
}

func canRun(b *registrar.BackendServer, r *requester.Request) bool {
	if r.Service != "" {
		return b.Kind == registrar.KindPlain && b.Service == r.Service
	}
	return b.Kind != registrar.KindPlain && slices.Contains(b.Models, r.Model)
}
