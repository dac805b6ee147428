package keeper_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/jackdawgate/jackdawgate/keeper"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/timer"
)

// The seed is fixed unless the command line sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

// model is a reference model of a Scheduler. It applies the Scheduler's effects
// and checks that each is allowed.
type model struct {
	class   map[keeper.CallID]requester.Class
	waiting map[keeper.CallID]bool
	running map[keeper.CallID]bool
	evicted map[keeper.CallID]bool
}

func newModel() *model {
	return &model{
		class:   make(map[keeper.CallID]requester.Class),
		waiting: make(map[keeper.CallID]bool),
		running: make(map[keeper.CallID]bool),
		evicted: make(map[keeper.CallID]bool),
	}
}

func (m *model) apply(t require.TestingT, effects []keeper.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case keeper.Granted:
			require.True(t, m.waiting[e.Call], "granted a call that is not waiting")
			if m.class[e.Call] == requester.Batch {
				require.Zero(t, m.count(m.waiting, requester.Online), "batch call started while an online call waits")
			}
			delete(m.waiting, e.Call)
			m.running[e.Call] = true
		case keeper.Evicted:
			require.True(t, m.running[e.Call] && !m.evicted[e.Call], "evicted a call twice or a call that is not running")
			require.Equal(t, requester.Batch, m.class[e.Call], "evicted an online call")
			m.evicted[e.Call] = true
		case keeper.Refused:
			require.True(t, m.waiting[e.Call], "refused a call that is not waiting")
			delete(m.waiting, e.Call)
		}
	}
}

func (m *model) count(set map[keeper.CallID]bool, class requester.Class) int {
	n := 0
	for id := range set {
		if m.class[id] == class {
			n++
		}
	}
	return n
}

func (m *model) pick(t *rapid.T, set map[keeper.CallID]bool) (keeper.CallID, bool) {
	var ids []keeper.CallID
	for id := keeper.CallID(1); int(id) <= len(m.class); id++ {
		if set[id] {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, "call"), true
}

func TestPreemptivePolicyInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := keeper.Limits{Slots: rapid.IntRange(1, 6).Draw(t, "slots"), BatchShare: 1, Queue: 5}
		policy := keeper.Preemptive{
			Headroom:   rapid.IntRange(0, 1).Draw(t, "headroom"),
			Overcommit: rapid.IntRange(0, 2).Draw(t, "overcommit"),
		}
		s, m := keeper.NewScheduler(limits, policy), newModel()
		for i := range 200 {
			now := timer.Millis(i)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				enqueue(t, s, m, now)
			case 3:
				if id, ok := m.pick(t, m.running); ok {
					delete(m.running, id)
					delete(m.evicted, id)
					m.apply(t, s.Release(id, now))
				}
			case 4:
				if id, ok := m.pick(t, m.waiting); ok {
					delete(m.waiting, id)
					m.apply(t, s.Release(id, now))
					require.Empty(t, s.Release(id, now), "second release had an effect")
				}
			case 5:
				limits.Slots = rapid.IntRange(1, 6).Draw(t, "slots")
				limits.ReserveSlots = rapid.IntRange(0, 2).Draw(t, "reserve")
				m.apply(t, s.SetLimits(limits, now))
			}
			checkPreemptive(t, s, m, limits, policy)
		}
	})
}

func enqueue(t *rapid.T, s *keeper.Scheduler, m *model, now timer.Millis) {
	class := rapid.SampledFrom([]requester.Class{requester.Online, requester.Batch}).Draw(t, "class")
	request := keeper.Request{
		Workspace: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "workspace")),
		Class:     class, Tokens: rapid.Int64Range(0, 50).Draw(t, "tokens"), Weight: 1,
	}
	id, effects := s.Enqueue(request, now)
	m.class[id] = class
	m.waiting[id] = true
	m.apply(t, effects)
}

func checkPreemptive(t *rapid.T, s *keeper.Scheduler, m *model, limits keeper.Limits, p keeper.Preemptive) {
	load := s.Load()
	online, batch := m.count(m.running, requester.Online), m.count(m.running, requester.Batch)
	require.Equal(t, online, load.RunningOnline)
	require.Equal(t, batch, load.RunningBatch)
	require.Equal(t, len(m.evicted), load.Closing)
	require.Equal(t, m.count(m.waiting, requester.Online), load.WaitingOnline)
	require.Equal(t, m.count(m.waiting, requester.Batch), load.WaitingBatch)
	require.LessOrEqual(t, load.WaitingOnline, limits.Queue)
	require.LessOrEqual(t, load.WaitingBatch, limits.Queue)

	active := batch - load.Closing
	require.LessOrEqual(t, active, max(0, limits.Slots-limits.ReserveSlots), "more batch calls than their limit")
	if load.WaitingOnline > 0 && active > 0 {
		require.LessOrEqual(t, online+active+load.WaitingOnline, limits.Slots, "online call waits and no batch call is evicted")
	}
	if load.WaitingOnline > 0 {
		require.GreaterOrEqual(t, online+batch, limits.Slots+min(load.Closing, p.Overcommit), "online call waits although a slot is free")
	}
	if load.WaitingBatch > 0 && load.WaitingOnline == 0 {
		full := online+batch >= limits.Slots-p.Headroom || batch >= limits.Slots-limits.ReserveSlots
		require.True(t, full, "batch call waits although a slot is free")
	}
}

func TestOnlineCallEvictsNewestBatchCallAndStartsAtOnce(t *testing.T) {
	s := keeper.NewScheduler(keeper.Limits{Slots: 2, BatchShare: 1, Queue: 4}, keeper.DefaultPolicy())
	batch := keeper.Request{Workspace: "a", Class: requester.Batch, Tokens: 1}
	online := keeper.Request{Workspace: "b", Class: requester.Online, Tokens: 1}
	_, _ = s.Enqueue(batch, 0)
	_, _ = s.Enqueue(batch, 1)

	id, effects := s.Enqueue(online, 2)
	require.Equal(t, []keeper.Effect{keeper.Evicted{Call: 2}, keeper.Granted{Call: id}}, effects)

	second, effects := s.Enqueue(online, 3)
	require.Equal(t, []keeper.Effect{keeper.Evicted{Call: 1}}, effects, "overcommitted by more than one")
	require.Equal(t, []keeper.Effect{keeper.Granted{Call: second}}, s.Release(2, 4))
}

func TestOtherPoliciesDoNotEvict(t *testing.T) {
	limits := keeper.Limits{Slots: 4, ReserveSlots: 1, BatchShare: 1, Queue: 8}
	batch := keeper.Request{Workspace: "a", Class: requester.Batch, Tokens: 1}
	online := keeper.Request{Workspace: "b", Class: requester.Online, Tokens: 1}
	for _, c := range []struct {
		policy                      keeper.Policy
		batchRunning, onlineWaiting int
	}{
		{keeper.Sharing{}, 4, 2},
		{keeper.FixedReserve{}, 3, 1},
		{keeper.NoBatch{}, 0, 0},
	} {
		s := keeper.NewScheduler(limits, c.policy)
		for range 6 {
			_, effects := s.Enqueue(batch, 0)
			require.NotContains(t, fmt.Sprintf("%T", effects), "Evicted")
		}
		_, _ = s.Enqueue(online, 0)
		_, _ = s.Enqueue(online, 0)
		load := s.Load()
		require.Equal(t, c.batchRunning, load.RunningBatch, "%T", c.policy)
		require.Equal(t, c.onlineWaiting, load.WaitingOnline, "%T", c.policy)
		require.Zero(t, load.Closing, "%T evicted", c.policy)
	}
}

func TestSharingIsFirstComeFirstServed(t *testing.T) {
	s := keeper.NewScheduler(keeper.Limits{Slots: 1, BatchShare: 1, Queue: 8}, keeper.Sharing{})
	for i, class := range []requester.Class{requester.Batch, requester.Online, requester.Batch, requester.Online} {
		_, _ = s.Enqueue(keeper.Request{Workspace: fmt.Sprint(i % 2), Class: class, Tokens: 100}, 0)
	}
	for id := keeper.CallID(1); id < 4; id++ {
		require.Equal(t, []keeper.Effect{keeper.Granted{Call: id + 1}}, s.Release(id, 1))
	}
}

// serve runs calls to completion, always releasing the oldest running call, and
// returns the tokens served per workspace. Every workspace always has waiting
// calls.
func serve(s *keeper.Scheduler, class requester.Class, actual, weights map[string]float64, rounds int) map[string]float64 {
	served := make(map[string]float64)
	owner := make(map[keeper.CallID]string)
	var running []keeper.CallID
	record := func(effects []keeper.Effect) {
		for _, e := range effects {
			if g, ok := e.(keeper.Granted); ok {
				running = append(running, g.Call)
			}
		}
	}
	arrive := func(w string) {
		id, effects := s.Enqueue(keeper.Request{Workspace: w, Class: class, Tokens: 10, Weight: weights[w]}, 0)
		owner[id] = w
		record(effects)
	}
	for _, w := range []string{"a", "b", "c"} {
		for range 8 {
			arrive(w)
		}
	}
	for range rounds {
		id := running[0]
		running = running[1:]
		w := owner[id]
		served[w] += actual[w]
		s.Progress(id, int64(actual[w]))
		record(s.Release(id, 0))
		arrive(w)
	}
	return served
}

func TestTokensAreSharedByWeight(t *testing.T) {
	actual := map[string]float64{"a": 5, "b": 50, "c": 500}
	weights := map[string]float64{"a": 1, "b": 2, "c": 1}
	for _, class := range []requester.Class{requester.Online, requester.Batch} {
		s := keeper.NewScheduler(keeper.Limits{Slots: 4, BatchShare: 1, Queue: 100}, keeper.DefaultPolicy())
		served := serve(s, class, actual, weights, 20_000)
		require.InEpsilon(t, 2, served["b"]/served["a"], 0.05)
		require.InEpsilon(t, 1, served["c"]/served["a"], 0.05)
	}
}

func TestIdleWorkspaceEarnsNoCredit(t *testing.T) {
	s := keeper.NewScheduler(keeper.Limits{Slots: 1, BatchShare: 1, Queue: 100}, keeper.DefaultPolicy())
	request := func(w string) keeper.Request {
		return keeper.Request{Workspace: w, Class: requester.Online, Tokens: 10}
	}
	for i := range keeper.CallID(50) {
		_, _ = s.Enqueue(request("busy"), 0)
		_ = s.Release(i+1, 0)
	}
	order := map[keeper.CallID]string{}
	for range 6 {
		for _, w := range []string{"busy", "idle"} {
			id, _ := s.Enqueue(request(w), 0)
			order[id] = w
		}
	}
	served := map[string]int{}
	running := keeper.CallID(51)
	for range 6 {
		effects := s.Release(running, 0)
		require.Len(t, effects, 1)
		running = effects[0].(keeper.Granted).Call
		served[order[running]]++
	}
	require.Equal(t, 3, served["idle"])
}

func TestFullQueueRefusesTheWorkspaceThatFillsIt(t *testing.T) {
	s := keeper.NewScheduler(keeper.Limits{Slots: 1, BatchShare: 1, Queue: 4}, keeper.DefaultPolicy())
	flood := keeper.Request{Workspace: "flood", Class: requester.Online, Tokens: 1}
	for range 5 {
		_, _ = s.Enqueue(flood, 0)
	}
	id, effects := s.Enqueue(flood, 0)
	requireFull(t, effects, id)
	other, effects := s.Enqueue(keeper.Request{Workspace: "other", Class: requester.Online, Tokens: 1}, 0)
	require.NotEqual(t, other, requireFull(t, effects, 5))
}

func requireFull(t *testing.T, effects []keeper.Effect, id keeper.CallID) keeper.CallID {
	t.Helper()
	require.Len(t, effects, 1)
	refused, ok := effects[0].(keeper.Refused)
	require.True(t, ok)
	require.Equal(t, id, refused.Call)
	var full *keeper.FullError
	require.True(t, errors.As(refused.Err, &full))
	require.Positive(t, full.RetryAfter)
	return refused.Call
}
