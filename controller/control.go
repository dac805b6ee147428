package controller

import (
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// control is the state that only the control goroutine reads and writes. The
// maps have the channels of the goroutines that wait for a reply, by the token
// that the reply effect carries.
type control struct {
	*Controller
	state     coordinator.State
	lastToken coordinator.Token
	reports   map[coordinator.Token]chan<- coordinator.Report
	relays    map[coordinator.Token]chan<- coordinator.RelayResponse
	changes   map[coordinator.Token]chan<- coordinator.FinishChange
	leaves    map[coordinator.Token]chan<- struct{}
}

// run is the control goroutine. It steps the State on each tick and on each
// event from the inbox, until Close.
func (c *Controller) run() {
	k := &control{
		Controller: c,
		state:      coordinator.New(c.options.Self, c.options.Seeds, c.options.Timing, c.options.Clock.Now()),
		reports:    make(map[coordinator.Token]chan<- coordinator.Report),
		relays:     make(map[coordinator.Token]chan<- coordinator.RelayResponse),
		changes:    make(map[coordinator.Token]chan<- coordinator.FinishChange),
		leaves:     make(map[coordinator.Token]chan<- struct{}),
	}
	ticks, stop := newTicker(c.options.Timing.FastConfirmInterval)
	defer stop()
	k.step(coordinator.Ticked{At: c.options.Clock.Now()})
	for {
		select {
		case <-c.lifetime.Done():
			return
		case <-ticks:
			k.step(coordinator.Ticked{At: c.options.Clock.Now()})
		case e := <-c.inbox:
			k.step(e(k, c.options.Clock.Now()))
		}
	}
}

// step applies e to the State and performs the effects.
func (k *control) step(e coordinator.Event) {
	state, effects := coordinator.Step(k.state, e)
	k.state = state
	for _, e := range effects {
		k.perform(e)
	}
}

func (k *control) token() coordinator.Token {
	k.lastToken++
	return k.lastToken
}

func (k *control) expectReport(ch chan<- coordinator.Report) coordinator.Token {
	t := k.token()
	k.reports[t] = ch
	return t
}

func (k *control) expectRelay(ch chan<- coordinator.RelayResponse) coordinator.Token {
	t := k.token()
	k.relays[t] = ch
	return t
}

func (k *control) expectChange(ch chan<- coordinator.FinishChange) coordinator.Token {
	t := k.token()
	k.changes[t] = ch
	return t
}

func (k *control) expectLeave(ch chan<- struct{}) coordinator.Token {
	t := k.token()
	k.leaves[t] = ch
	return t
}

// resolve sends value to the channel that waits under token, if any, and removes
// the token. The channel must be buffered, so that the send does not block.
func resolve[V any](waiting map[coordinator.Token]chan<- V, token coordinator.Token, value V) {
	if ch, ok := waiting[token]; ok {
		delete(waiting, token)
		ch <- value
	}
}

// perform performs one effect. It never blocks: calls to the store and to peers
// run on goroutines of their own.
func (k *control) perform(e coordinator.Effect) {
	switch e := e.(type) {
	case coordinator.Publish:
		k.publish()
	case coordinator.QueryReports:
		k.ask(e)
	case coordinator.QueryRelay:
		k.spawn(func() { k.askRelay(e) })
	case coordinator.FetchRecord:
		k.spawn(func() { k.fetchRecord(e) })
	case coordinator.ReadStore:
		k.spawn(func() { k.readStore(e) })
	case coordinator.WriteStore:
		k.spawn(func() { k.writeStore(e) })
	case coordinator.ReplyReport:
		resolve(k.reports, e.Token, e.Report)
	case coordinator.ReplyRelay:
		resolve(k.relays, e.Token, e.Response)
	case coordinator.FinishChange:
		resolve(k.changes, e.Token, e)
	case coordinator.FinishLeave:
		resolve(k.leaves, e.Token, struct{}{})
	case coordinator.LogDecision:
		k.logDecision(e.Decision)
	}
}

// publish makes the State's Snapshot the newest one and notifies subscribers.
func (k *control) publish() {
	s := k.state.Snapshot()
	k.cache.add(s.Record)
	k.view.Store(&s)
	k.metrics.update(k.state)
	k.notify()
}

func (k *control) logDecision(d coordinator.Decision) {
	k.log.Info(string(d.Kind),
		zap.Uint64("version", uint64(d.Version)),
		zap.Uint64("epoch", uint64(d.Epoch)),
		zap.Strings("hosts", d.Hosts),
		zap.Int64("permitted-until", int64(k.state.PermittedUntil())),
	)
}

// spawn runs f on a goroutine that Close waits for. Only the control goroutine
// calls it, so that no goroutine starts after the control goroutine has ended.
func (c *Controller) spawn(f func()) { c.effects.Go(f) }

// deliver sends the outcome of an effect to the control goroutine.
func (c *Controller) deliver(event func(now timer.Millis) coordinator.Event) {
	// post fails only if the controller is closing; the outcome is not needed then.
	_ = c.post(c.lifetime, func(_ *control, now timer.Millis) coordinator.Event { return event(now) })
}
