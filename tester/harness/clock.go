package harness

import "github.com/jackdawgate/jackdawgate/timer"

// Clock is a timer.Clock that a test moves by hand. It is not safe for concurrent use.
type Clock struct{ Time timer.Millis }

// Now implements timer.Clock.
func (c *Clock) Now() timer.Millis { return c.Time }
