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

// A call was refused because of the limits of servers. Its timeline tells of them, with the
// figures and their age.
func TestTimelineOfACallThatLimitsHeldBackShowsTheLimits(t *testing.T) {
	const logs = `{"level":"info","ts":1000,"msg":"server's limit changed","host":"e1","server":"s1","limit":2.5,"before":-1,"heard-here":false}
{"level":"info","ts":1000,"msg":"server's limit changed","host":"e2","server":"s1","limit":2.5,"before":-1,"heard-here":true}
{"level":"info","ts":2000,"msg":"held back by servers' limits","host":"e1","request":"r1","service":"x","limited":1,"limits":2.5,"age-ms":120,"room-in-ms":300,"retry-after-ms":700}
{"level":"info","ts":2001,"msg":"refused","host":"e1","request":"r1","status":503,"reason":"the limits of the servers leave no room","retry-after-ms":700}
`
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	timeline := explainer.Explain("r1", lines)
	require.Equal(t, []string{"held back by servers' limits", "refused"}, messages(timeline.Lines))
	require.Equal(t, []string{"server's limit changed"}, messages(timeline.Context))
	var b strings.Builder
	require.NoError(t, timeline.Write(&b))
	for _, want := range []string{"age-ms=120", "limits=2.5", "retry-after-ms=700", "server=s1", "limit=2.5"} {
		require.Contains(t, b.String(), want)
	}
}

// A call was refused while servers were cold, or evacuated for long. Its timeline tells why,
// not of what was cancelled since.
func TestTimelineOfACallThatColdOrEvacuatedServersRefusedShowsThem(t *testing.T) {
	const logs = `{"level":"info","ts":1000,"msg":"data centre evacuated","host":"e1","data-centre":"a","servers":9}
{"level":"info","ts":1001,"msg":"data centre evacuated","host":"e1","data-centre":"b","servers":9}
{"level":"info","ts":1002,"msg":"evacuation cancelled","host":"e1","data-centre":"b"}
{"level":"info","ts":90000,"msg":"share of a cold server","host":"e1","server":"s1","share":1,"rate":14,"hosts":12}
{"level":"info","ts":90010,"msg":"held back by servers' limits","host":"e1","request":"r1","service":"x","limited":1,"cold":1}
{"level":"info","ts":90011,"msg":"refused","host":"e1","request":"r1","status":503,"reason":"the servers are cold and leave no room"}
{"level":"info","ts":99000,"msg":"no server outside evacuated data centres","host":"e1","request":"r2","service":"x","evacuated":9}
{"level":"info","ts":99001,"msg":"refused","host":"e1","request":"r2","status":503,"reason":"all servers to send to are in evacuated data centres"}
`
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	require.Equal(t, []string{"share of a cold server"}, messages(explainer.Explain("r1", lines).Context))
	context := explainer.Explain("r2", lines).Context
	require.Equal(t, []string{"data centre evacuated"}, messages(context))
	require.Equal(t, "a", context[0].Text("data-centre"))
}

// A call was refused as over the share of its workspace. Its timeline tells the inputs.
func TestTimelineOfACallOverItsShareShowsTheShare(t *testing.T) {
	const logs = `{"level":"info","ts":2000,"msg":"refused as over its share","host":"e1","request":"r1","workspace":"w","service":"x","rank":0,"share":12.5,"demand":80,"capacity":100,"weight":4,"part":0.25,"rate":3.1,"level":0.2,"wait-ms":300,"heard":3,"hosts":4,"retry-after-ms":260}
{"level":"info","ts":2001,"msg":"refused","host":"e1","request":"r1","status":503,"reason":"the workspace is over its share of the servers, which have no free slot","retry-after-ms":260}
`
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, explainer.Explain("r1", lines).Write(&b))
	for _, want := range []string{"share=12.5", "demand=80", "capacity=100", "part=0.25", "heard=3", "hosts=4", "wait-ms=300"} {
		require.Contains(t, b.String(), want)
	}
}

// A call was refused because of a misspelt region, of which its host wrote when it read the
// configuration, an hour before.
func TestTimelineOfACallWithoutAPlaceShowsTheUnknownRegion(t *testing.T) {
	const logs = `{"level":"warn","ts":100,"msg":"allowed regions without a data centre","host":"e1","regions":["eruope"],"version":6}
{"level":"warn","ts":1000,"msg":"allowed regions without a data centre","host":"e1","regions":["uerope"],"version":7}
{"level":"warn","ts":1000,"msg":"allowed regions without a data centre","host":"e2","regions":["uerope"],"version":7}
{"level":"info","ts":3600000,"msg":"no permitted place","host":"e1","request":"r1","service":"x","allowed":["uerope"],"servers":9,"permitted":0}
{"level":"info","ts":3600001,"msg":"refused","host":"e1","request":"r1","status":503,"reason":"no usable server of service x in the allowed regions"}
`
	lines, err := explainer.Read(strings.NewReader(logs))
	require.NoError(t, err)
	timeline := explainer.Explain("r1", lines)
	require.Equal(t, []string{"no permitted place", "refused"}, messages(timeline.Lines))
	require.Len(t, timeline.Context, 1)
	require.Equal(t, "7", timeline.Context[0].Text("version"))
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
