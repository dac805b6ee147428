package experimenter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/experimenter"
)

func runLoad(t *testing.T, args ...string) (code int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	p := commander.Program{Name: "jackdawgate", Commands: []commander.Command{&experimenter.Load{}}}
	e := commander.Env{Stdout: &stdout, Stderr: &stderr, Getenv: func(string) string { return "" }}
	code = p.Main(context.Background(), e, append([]string{"load"}, args...))
	return code, stdout.String(), stderr.String()
}

func TestYieldRowsAreCompleteAndConsistent(t *testing.T) {
	code, out, errs := runLoad(t, "-experiment", "yield", "-only", "no-batch,yielding", "-seconds", "1", "-json")
	require.Zero(t, code, errs)
	var rows []map[string]any
	require.NoError(t, json.Unmarshal([]byte(out), &rows))
	byPolicy := make(map[string]map[string]any)
	for _, r := range rows {
		byPolicy[r["policy"].(string)] = r
		for _, field := range []string{
			"online-p50-ms", "online-p99-ms", "online-p99-ratio", "batch-items-per-second",
			"batch-share-of-idle", "worst-workspace-share", "wrongful-refusals", "lost", "doubled",
		} {
			require.Contains(t, r, field)
		}
		require.Zero(t, r["lost"], r["policy"])
		require.Zero(t, r["results-twice"], r["policy"])
	}
	require.Zero(t, byPolicy["no-batch"]["batch-items-per-second"])
	require.Zero(t, byPolicy["no-batch"]["doubled"])
	require.Positive(t, byPolicy["no-batch"]["online-requests-per-second"])
	require.Positive(t, byPolicy["yielding"]["batch-items-per-second"])
	require.Positive(t, byPolicy["yielding"]["online-p99-ms"])
}

func TestUnknownExperiment(t *testing.T) {
	code, _, errs := runLoad(t, "-experiment", "dance")
	require.Equal(t, commander.ExitFailed, code)
	require.Contains(t, errs, "yield")
	code, _, _ = runLoad(t, "-seconds", "0")
	require.Equal(t, commander.ExitUsage, code)
}

func TestChartNamesEachPolicy(t *testing.T) {
	rows := []experimenter.Row{
		{Policy: "no-batch", OnlineP99: 5, FirstTokenP99Ratio: 1},
		{Policy: "sharing", OnlineP99: 50, FirstTokenP99Ratio: 9, BatchPerSecond: 60},
	}
	var svg strings.Builder
	require.NoError(t, experimenter.WriteChart(&svg, rows))
	require.Contains(t, svg.String(), "<svg")
	for _, r := range rows {
		require.Contains(t, svg.String(), r.Policy)
	}
}
