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

// sendCalls makes calls whose attempts fail with probability failureRate, with at most
// three attempts each. It returns the number of attempts sent and of calls served.
func sendCalls(b *budgeter.Budgeter, calls int, failureRate float64) (sent, served int) {
	r := rand.New(rand.NewPCG(1, 1))
	for range calls {
		b.Earn(key)
		for attempt := range 3 {
			if attempt > 0 && !b.Spend(key) {
				break
			}
			sent++
			if r.Float64() >= failureRate {
				served++
				break
			}
		}
	}
	return sent, served
}

// A tenth of the servers fails all calls. Retries hide this from callers.
func TestFewFailuresAreAllRetried(t *testing.T) {
	sent, served := sendCalls(budgeter.New(budgeter.Options{}), 10000, 0.1)
	require.GreaterOrEqual(t, served, 9980)
	require.LessOrEqual(t, sent, 11200)
}

// The whole service fails. It receives a quarter more calls, not three times as many.
func TestFailingServiceIsSentFewRetries(t *testing.T) {
	sent, _ := sendCalls(budgeter.New(budgeter.Options{}), 10000, 1)
	require.LessOrEqual(t, sent, 12510)
}

// The calls of one workspace fail. They do not spend the retries of other workspaces.
func TestOneWorkspaceDoesNotSpendAnothersRetries(t *testing.T) {
	b := budgeter.New(budgeter.Options{})
	sendCalls(b, 1000, 1)
	require.False(t, b.Spend(key))
	other := budgeter.Key{Service: "s", Workspace: "other"}
	require.True(t, b.Spend(other))
}

// The budgets of many hosts add up to the same share of all calls.
func TestBudgetsOfManyHostsAddUp(t *testing.T) {
	sent := 0
	for range 100 {
		n, _ := sendCalls(budgeter.New(budgeter.Options{}), 1000, 1)
		sent += n
	}
	require.LessOrEqual(t, sent, 125300)
}

func TestUnspentBudgetIsBounded(t *testing.T) {
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

func TestRemovedBudgetStartsAtItsInitialValue(t *testing.T) {
	b := budgeter.New(budgeter.Options{Initial: 1})
	require.True(t, b.Spend(key))
	require.False(t, b.Spend(key))
	b.Retain(func(budgeter.Key) bool { return false })
	require.True(t, b.Spend(key))
}
