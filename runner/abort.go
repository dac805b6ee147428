package runner

import (
	"errors"

	"github.com/jackdawgate/jackdawgate/timer"
)

// Now returns the current time of the clock that the times in View refer to.
func (h *Host) Now() timer.Millis { return h.clock.Now() }

// Abort stops the host immediately, which looks like a crash to the rest of the
// fleet: no host is notified, nothing is handed over, and the connections of open
// calls are closed. The caller must first close the listeners that it passed in
// Options. Abort is for experiments and tests.
func (h *Host) Abort() error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return nil
	}
	h.closed = true
	h.mu.Unlock()
	serverErr := h.server.Close()
	h.batcher.Close()
	// Usage that has not been replicated yet is lost, as in a crash.
	_ = h.recorder.Close(1)
	h.limiter.Close()
	return errors.Join(serverErr, h.closeComponents())
}
