package attributor_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/attributor"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const (
	common, crashing, subject = uint64(1), uint64(2), uint64(100)
	interval                  = 100 * timer.Millis(1)
)

// log adds crashes one interval apart.
type log struct {
	*attributor.Attributor
	now  timer.Millis
	call uint64
}

func newLog() *log { return &log{Attributor: attributor.New()} }

// crash adds a crash of one server with calls that have these parts in flight, and returns
// the parts that are refused because of it.
func (l *log) crash(prompts ...[]uint64) []uint64 {
	l.now += interval
	var refused []uint64
	id := fmt.Sprint(l.now)
	for _, parts := range prompts {
		l.call++
		c, _ := l.Add(attributor.Crash{ID: id, Call: l.call, Parts: parts, At: l.now}, l.now)
		refused = append(refused, c.Refused...)
	}
	return refused
}

func (l *log) isRefused(part uint64) bool {
	_, ok := l.Refused(part, l.now)
	return ok
}

// All prompts begin with one part, which is answered between the crashes at first and no
// longer when every server is down.
func TestPartThatAllCallsShareIsNotRefused(t *testing.T) {
	l := newLog()
	l.Answered([]uint64{common}, l.now, true)
	for i := range uint64(8) {
		l.crash([]uint64{common, subject + i, crashing}, []uint64{common, subject + 50 + i})
	}
	require.True(t, l.isRefused(crashing))
	require.False(t, l.isRefused(common))
	for i := range uint64(8) {
		require.False(t, l.isRefused(subject+i))
		require.False(t, l.isRefused(subject+50+i))
	}
}

// The part that all prompts begin with crashes the servers itself, though it was answered
// before, and the other parts were not.
func TestPartThatAllCallsShareIsRefusedIfItCrashesServers(t *testing.T) {
	l := newLog()
	l.Answered([]uint64{common}, l.now, true)
	refused := l.crash([]uint64{common, subject})
	refused = append(refused, l.crash([]uint64{common, subject + 1})...)
	refused = append(refused, l.crash([]uint64{common, subject + 2})...)
	require.Equal(t, []uint64{common}, refused)
}

// Two parts always occur together, and only one of them crashes servers. Both are refused
// until one is answered.
func TestPartsThatAlwaysOccurTogetherAreRefusedTogether(t *testing.T) {
	l := newLog()
	for range 2 {
		require.Empty(t, l.crash([]uint64{common, crashing}))
	}
	require.ElementsMatch(t, []uint64{common, crashing}, l.crash([]uint64{common, crashing}))
	l.now++
	require.Equal(t, []uint64{common}, l.Answered([]uint64{common}, l.now, true))
	require.True(t, l.isRefused(crashing))
	l.crash([]uint64{common, crashing})
	require.False(t, l.isRefused(common), "the crash is explained by the other part")
}

// An answer from before the last crash does not release a refused part.
func TestAnswerFromBeforeTheLastCrashReleasesNoPart(t *testing.T) {
	l := newLog()
	for i := range uint64(3) {
		l.crash([]uint64{crashing, subject + i})
	}
	require.Empty(t, l.Answered([]uint64{crashing}, l.now-1, false))
	require.True(t, l.isRefused(crashing))
}

// Hosts receive crashes in different orders, and repeatedly.
func TestResultDoesNotDependOnOrderOrRepetition(t *testing.T) {
	crashes := make([]attributor.Crash, 0, 6)
	for i := range uint64(6) {
		crashes = append(crashes, attributor.Crash{ID: fmt.Sprint(i), Call: i, Parts: []uint64{crashing, subject + i%2}, At: timer.Millis(100 * i)})
	}
	for _, order := range [][]int{{0, 1, 2, 3, 4, 5}, {5, 4, 3, 2, 1, 0, 0, 5}, {2, 2, 4, 0, 5, 1, 3}} {
		a := attributor.New()
		for _, i := range order {
			a.Add(crashes[i], 600)
		}
		r, ok := a.Refused(crashing, 600)
		require.True(t, ok)
		require.Equal(t, timer.Millis(500), r.LastCrash)
		_, ok = a.Refused(subject, 600)
		require.False(t, ok)
	}
}

// Refused parts and crashes count for ten minutes.
func TestCrashesExpire(t *testing.T) {
	l := newLog()
	for i := range uint64(3) {
		l.crash([]uint64{crashing, subject + i})
	}
	l.now += 600 * timer.Second
	require.False(t, l.isRefused(crashing))
	require.Empty(t, l.crash([]uint64{crashing, subject + 9}))
	require.False(t, l.isRefused(crashing))
}
