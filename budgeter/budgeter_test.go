package budgeter_test

import (
	"math/rand/v2"
	"testing"

	"github.com/jackdawgate/jackdawgate/budgeter"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

func TestMain(m *testing.M) { harness.Main(m) }

var key = budgeter.Key{Service: "s", Workspace: "w"}

// play runs calls that fail with this probability at each attempt, each tried
// three times at most, and returns how many were sent and how many served.
func play(b *budgeter.Budgeter, calls int, failing float64) (sent, served int) {
	r := rand.New(rand.NewPCG(1, 1))
	for range calls {
		b.Earn(key)
		for attempt := range 3 {
			if attempt > 0 && !b.Spend(key) {
				break
			}
			sent++
			if r.Float64() >= failing {
				served++
				break
			}
		}
	}
	return sent, served
}

// Pattern: a tenth of the servers fails all calls. Retries hide it from callers.
func TestFewFailuresAreAllRetried(t *testing.T) {
	sent, served := play(budgeter.New(budgeter.Options{}), 10000, 0.1)
	require.GreaterOrEqual(t, served, 9980)
	require.LessOrEqual(t, sent, 11200)
}

// Pattern: the whole service fails. It is sent a quarter more, not three times
// as much.
func TestSickServiceIsNotSentMuchMore(t *testing.T) {
	sent, _ := play(budgeter.New(budgeter.Options{}), 10000, 1)
	require.LessOrEqual(t, sent, 12510)
}

// Pattern: one workspace's calls fail. The retries of others are not spent.
func TestOneWorkspaceDoesNotSpendAnothersRetries(t *testing.T) {
	b := budgeter.New(budgeter.Options{})
	play(b, 1000, 1)
	require.False(t, b.Spend(key))
	other := budgeter.Key{Service: "s", Workspace: "other"}
	require.True(t, b.Spend(other))
}

// Pattern: the budgets of many hosts add up to the share of all calls.
func TestBudgetsOfManyHostsAddUp(t *testing.T) {
	sent := 0
	for range 100 {
		n, _ := play(budgeter.New(budgeter.Options{}), 1000, 1)
		sent += n
	}
	require.LessOrEqual(t, sent, 125300)
}

func TestBudgetOfAQuietTimeIsBounded(t *testing.T) {
	b := budgeter.New(budgeter.Options{})
	for range 100000 {
		b.Earn(key)
	}
	n := 0
	for b.Spend(key) {
		n++
	}
	require.Equal(t, 30, n)
}

func TestForgottenBudgetsBeginAnew(t *testing.T) {
	b := budgeter.New(budgeter.Options{Start: 1})
	require.True(t, b.Spend(key))
	require.False(t, b.Spend(key))
	b.Keep(func(budgeter.Key) bool { return false })
	require.True(t, b.Spend(key))
}
