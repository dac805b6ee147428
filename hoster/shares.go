package hoster

import (
	"context"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/timer"
)

// shareInterval is the interval at which the demands of workspaces are updated, from which their
// shares of servers follow. It is well below the duration of a call.
const shareInterval timer.Millis = 100

// watchShares keeps the demands of workspaces up to date until ctx ends.
func (e *EntryHost) watchShares(ctx context.Context) {
	for {
		e.updateShares()
		if !timer.Sleep(ctx, shareInterval) {
			return
		}
	}
}

// updateShares passes to the apportioner the requests of all configured workspaces, and of
// the callers without one.
func (e *EntryHost) updateShares() {
	c := e.follower.Snapshot().Config
	if c == nil {
		return
	}
	all, heard, hosts := e.rationer.Uses()
	uses := make(map[string]apportioner.Use, len(c.Workspaces())+1)
	for name, w := range c.Workspaces() {
		first, last := c.Ranks(w)
		uses[name] = apportioner.Use{Weight: w.Rate, First: first, Last: last, Own: all[name].Own, Fleet: all[name].Fleet}
	}
	if u, ok := all[""]; ok {
		first, last := c.Ranks(nil)
		uses[""] = apportioner.Use{First: first, Last: last, Own: u.Own, Fleet: u.Fleet}
	}
	e.apportioner.Update(uses, apportioner.Hearing{Heard: heard, Hosts: hosts})
}
