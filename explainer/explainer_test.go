package explainer_test

import (
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/explainer"
	"github.com/stretchr/testify/require"
)

const logs = `12.1 e1 {"level":"info","ts":1000.0,"msg":"job submitted","host":"e1","request":"j1","status":202,"path":"/p/j1"}
{"level":"info","ts":1030.5,"msg":"job taken in","host":"b1","job":"j1","items":2}
{"level":"info","ts":1040,"msg":"item sent","host":"b1","item":"i1","job":"j1","server":"s1"}
{"level":"info","ts":1041,"msg":"item sent","host":"b1","item":"i2","job":"j1","server":"s2"}
{"level":"info","ts":1500,"msg":"server gone","host":"b1","server":"s1"}
{"level":"info","ts":1501,"msg":"server gone","host":"b1","server":"s9"}
not a log line {
{"level":"info","ts":1600,"msg":"item listed","host":"b1","item":"i1","job":"j1","dead":true,"reason":"failed too often"}
{"level":"info","ts":2000,"msg":"sent","host":"e1","request":"r1","server":"s1"}
{"level":"warn","ts":2100,"msg":"log lines dropped","host":"e1","kinds":{"sent":3}}
`

func explain(t *testing.T, id string) (explainer.Timeline, string) {
	t.Helper()
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	timeline := explainer.Explain(id, lines)
	var b strings.Builder
	require.NoError(t, timeline.Write(&b))
	return timeline, b.String()
}

func messages(lines []explainer.Line) []string {
	var out []string
	for _, l := range lines {
		out = append(out, l.Message)
	}
	return out
}

func TestItemTimelineHasJobAndServersInOrderAcrossClocks(t *testing.T) {
	timeline, text := explain(t, "i1")
	require.Equal(t, []string{"job taken in", "job submitted", "item sent", "item listed"}, messages(timeline.Lines))
	require.InDelta(t, 30.5, timeline.ClockShifts["e1"], 0.01, "the caller gets its answer after the job was accepted")
	require.Equal(t, []string{"server gone", "log lines dropped"}, messages(timeline.Context))
	require.Equal(t, "s1", timeline.Context[0].Text("server"))
	require.Contains(t, text, "reason=failed too often")
	require.NotContains(t, text, "i2")
	require.Equal(t, []string{"host e1 dropped log lines during this time: map[sent:3]"}, timeline.Missing)
}

func TestTimelineReportsMissingEnd(t *testing.T) {
	timeline, text := explain(t, "r1")
	require.Len(t, timeline.Missing, 2)
	require.Contains(t, text, "no log line reports its end")
	require.Contains(t, text, "dropped log lines")
}

func TestUnknownIdentifierIsReported(t *testing.T) {
	timeline, _ := explain(t, "none")
	require.Empty(t, timeline.Lines)
	require.NotEmpty(t, timeline.Missing)
}
