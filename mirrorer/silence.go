package mirrorer

import "github.com/jackdawgate/jackdawgate/timer"

// Silence tracks for how long the hosts of disks have been down, for View.SilentFor. It is
// not safe for concurrent use.
//
// Hosts send digests only to hosts that they know, and learn of one that has just started
// after it. So a host from which none was received counts as up for as long after the start
// as if its last digest had been received then.
type Silence struct {
	// heardBy is when any host that is up has been heard.
	heardBy timer.Millis
	lastUp  map[string]timer.Millis
}

// NewSilence returns a Silence of a process that starts now. A host is down if no digest was
// received from it for timeout.
func NewSilence(now, timeout timer.Millis) *Silence {
	return &Silence{heardBy: now + timeout, lastUp: make(map[string]timer.Millis)}
}

// SetUp records that the host of a disk is up now.
func (s *Silence) SetUp(disk string, now timer.Millis) { s.lastUp[disk] = now }

// For returns for how long the host of a disk has been down.
func (s *Silence) For(disk string, now timer.Millis) timer.Millis {
	return max(0, now-max(s.lastUp[disk], s.heardBy))
}
