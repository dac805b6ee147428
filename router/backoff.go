package router

import (
	"sync"

	"github.com/jackdawgate/jackdawgate/timer"
)

const (
	// initialBackoff is how long a server is excluded after a failure. Each further
	// consecutive failure doubles the time, up to maxBackoff.
	initialBackoff = 500 * timer.Millis(1)
	maxBackoff     = 30 * timer.Second
)

// Backoff excludes servers that recently failed from the choice. It holds only
// servers that have failed since their last success. It is safe for concurrent
// use.
type Backoff struct {
	mu      sync.Mutex
	servers map[string]backoffState
}

type backoffState struct {
	until, delay timer.Millis
}

// NewBackoff returns a Backoff that excludes no server.
func NewBackoff() *Backoff { return &Backoff{servers: make(map[string]backoffState)} }

// Failed records a failure of server. Failures while the server is in backoff do
// not count again: they belong to calls that were already in flight.
func (a *Backoff) Failed(server string, now timer.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	x, ok := a.servers[server]
	if ok && now < x.until {
		return
	}
	x.delay = min(max(2*x.delay, initialBackoff), maxBackoff)
	x.until = now + x.delay
	a.servers[server] = x
}

// Succeeded records a successful call, which ends the backoff of server.
func (a *Backoff) Succeeded(server string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.servers, server)
}

// Until returns the time from which server may be chosen again, or zero if it is
// not in backoff.
func (a *Backoff) Until(server string) timer.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.servers[server].until
}
