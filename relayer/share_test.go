package relayer_test

import (
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/apportioner"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// demand makes the workspace of the fixture's calls ask for a hundred times as many calls as
// another one, and for more than one slot runs. It returns what is logged.
func (f *fixture) demand() *observer.ObservedLogs {
	core, logs := observer.New(zap.InfoLevel)
	f.options.Logger = zap.New(core)
	f.relayer = relayer.New(f.options)
	uses := func(n float64) map[string]apportioner.Use {
		return map[string]apportioner.Use{"w": {Weight: 1, Own: 100 * n, Fleet: 100 * n}, "other": {Weight: 1, Own: n, Fleet: n}}
	}
	f.options.Apportioner.Update(uses(0), apportioner.Hearing{Heard: 1, Hosts: 1})
	time.Sleep(20 * time.Millisecond)
	f.options.Apportioner.Update(uses(1), apportioner.Hearing{Heard: 1, Hosts: 1})
	return logs
}

// Guards against a workspace that takes all slots: its calls that have to wait are refused
// beyond its share, as not run, with a time to return, and the line of the log says why.
func TestCallOverTheShareOfItsWorkspaceIsRefused(t *testing.T) {
	f := newFixture(t, 1, text("200 OK", signed, "ok"), text("200 OK", signed, "ok"), text("200 OK", signed, "ok"))
	f.fillOneSlot("s0")
	f.observe(10, 1000)
	logs := f.demand()
	var refused relayer.NotRun
	for range 4 {
		o, _ := f.run(route(cataloger.Idempotent, false, 1))
		if n, ok := o.(relayer.NotRun); ok {
			refused = n
		}
	}
	require.Contains(t, refused.Reason, "over its share")
	require.Positive(t, refused.RetryAfter)
	lines := logs.FilterMessage("refused as over its share").All()
	require.NotEmpty(t, lines)
	fields := lines[0].ContextMap()
	for _, name := range []string{"request", "workspace", "share", "demand", "capacity", "weight", "part", "rate", "level", "wait-ms", "heard", "hosts", "retry-after-ms"} {
		require.Contains(t, fields, name)
	}
}

// Guards against shares that are applied while there is a free slot.
func TestCallThatFindsAFreeSlotIsNotRefusedForItsShare(t *testing.T) {
	ok := text("200 OK", signed, "ok")
	f := newFixture(t, 1, ok, ok, ok, ok, ok, ok)
	f.observe(10, 1000)
	f.demand()
	for range 6 {
		o, _ := f.run(route(cataloger.Idempotent, false, 1))
		require.IsType(t, relayer.Delivered{}, o)
	}
	require.Zero(t, f.options.Apportioner.Refused())
}
