package measurer_test

import (
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/measurer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

func TestOperatorsPageListsAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	require.Contains(t, string(page), measurer.Table())
}

func TestEveryListedMetricIsShown(t *testing.T) {
	m, err := measurer.New()
	require.NoError(t, err)
	defer func() { require.NoError(t, m.Close()) }()
	one := func() uint64 { return 1 }
	require.NoError(t, m.Observe(measurer.Callbacks{
		ConfirmationAge: func() timer.Millis { return 1 }, KnownServers: func() int { return 1 },
		ReachableHosts: func() int { return 1 }, QuarantinedCalls: func() int { return 1 }, LimitedServers: func() int { return 1 }, PacedServers: func() int { return 1 }, HeldBackCalls: one, OverShareCalls: one, Dials: one,
		ColdServers: func() int { return 1 }, Evacuations: func() []string { return []string{"a", "b"} }, DroppedLines: one,
		BudgetBytes: func() int64 { return 1 }, OpenConnections: func() int { return 1 },
	}))
	m.Request("delivered", 55)
	m.StoreCall("watch")
	m.Item("completed")
	m.ItemsHeldBack(3)
	m.NotPlaced("call")
	m.BudgetRefusal("memory-shed")
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, i := range measurer.Instruments() {
		require.Contains(t, w.Body.String(), strings.ReplaceAll(i.Name, ".", "_"))
	}
	require.Contains(t, w.Body.String(), `outcome="delivered"`)
	require.Contains(t, w.Body.String(), `data_centre="b"`)
}

func TestNilMeasurerCountsNothing(t *testing.T) {
	var m *measurer.Measurer
	require.NotPanics(t, func() {
		m.Request("x", 1)
		m.StoreCall("x")
		m.Item("x")
		m.BudgetRefusal("x")
	})
}
