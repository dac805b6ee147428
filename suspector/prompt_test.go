package suspector_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/suspector"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// promptAttempt returns an attempt of a call with these parts that was not answered yet.
func promptAttempt(server string, call uint64, workspace string, parts ...uint64) suspector.Attempt {
	return suspector.Attempt{
		Call: suspector.Call{Fingerprint: call, Parts: parts, Workspace: workspace}, Server: incarnation(server),
	}
}

// manyParts returns n parts that no other call has.
func manyParts(call uint64, n int) []uint64 {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint(call, "-", i)
	}
	return suspector.Parts(ids)
}

// Servers of one rack lose power at the same moment, with calls in flight that share a
// part which was never answered.
func TestServersThatCrashTogetherCountOnceAgainstAPart(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	for i := range 8 {
		w.Failed(promptAttempt(fmt.Sprint("s", i), uint64(i), "w", 1))
		c.Time++
	}
	_, refused := w.Refused(suspector.Call{Fingerprint: 99, Parts: []uint64{1}})
	require.False(t, refused)
}

// One unlucky call meets three crashes. It is refused itself, but other calls with its
// part are not.
func TestPartOfASingleCallIsNotRefused(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	for i := range 3 {
		w.Failed(promptAttempt(fmt.Sprint("s", i), 7, "w", 1))
		c.Time += 200
	}
	_, refused := w.Refused(suspector.Call{Fingerprint: 7, Parts: []uint64{1}})
	require.True(t, refused)
	_, refused = w.Refused(suspector.Call{Fingerprint: 8, Parts: []uint64{1}})
	require.False(t, refused)
}

// Calls whose answers were under way when their servers crashed say nothing about their
// parts.
func TestPartOfAnAnswerUnderWayIsNotRefused(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	for i := range 5 {
		a := promptAttempt(fmt.Sprint("s", i), uint64(i), "w", 1)
		a.Events = suspector.ProgressEvents
		w.Failed(a)
		c.Time += 200
	}
	_, refused := w.Refused(suspector.Call{Fingerprint: 99, Parts: []uint64{1}})
	require.False(t, refused)
}

// One workspace crashes servers with long prompts that it makes up anew each time. The
// crashes under a part of another workspace's prompts must still be counted, and a part
// that is refused must stay refused.
func TestRecordOfAPartIsNotDisplacedByMadeUpParts(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	a, b := suspector.NewTracker(c, zap.NewNop(), nil), suspector.NewTracker(c, zap.NewNop(), nil)
	for i := range uint64(3) {
		a.Failed(promptAttempt(fmt.Sprint("s", i), i, "victim", 1, 2+i))
		for j := range uint64(300) {
			call := 1000 + i*1000 + j
			a.Failed(promptAttempt(fmt.Sprint("t", call), call, "other", manyParts(call, 200)...))
		}
		b.Merge(a.Records())
		c.Time += 300
	}
	for _, w := range []*suspector.Tracker{a, b} {
		_, refused := w.Refused(suspector.Call{Fingerprint: 99, Parts: []uint64{50, 1}})
		require.True(t, refused)
	}
	for call := range uint64(5000) {
		a.Failed(promptAttempt(fmt.Sprint("u", call), call, "other", manyParts(1<<20+call, 10)...))
		a.Completed(suspector.Call{Fingerprint: call, Parts: manyParts(1<<21+call, 10), Workspace: "other"})
		c.Time += 2
	}
	_, refused := a.Refused(suspector.Call{Fingerprint: 99, Parts: []uint64{1}})
	require.True(t, refused)
}

// A crashing part is hidden among 300 made-up ones, more than are recorded of one call.
func TestPartAmongManyMadeUpOnesIsFound(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	sent := 0
	for call := range uint64(40) {
		parts := append(manyParts(call, 300), suspector.Parts([]string{"crashing"})...)
		if _, refused := w.Refused(suspector.Call{Fingerprint: call, Parts: parts}); refused {
			break
		}
		sent++
		w.Failed(promptAttempt(fmt.Sprint("s", call), call, "w", parts...))
		c.Time += 100
	}
	require.Less(t, sent, 20)
}

// Thousands of calls with long prompts fail at a host within one report window. What it
// reports must still fit into a datagram with the rest of its digest.
func TestReportOfManyFailuresFitsIntoADatagram(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	for call := range uint64(5000) {
		w.Failed(promptAttempt(fmt.Sprint("i-", call), call, fmt.Sprint("w", call%50), manyParts(call, 20)...))
	}
	frame, err := cbor.Marshal(w.Records())
	require.NoError(t, err)
	require.Less(t, len(frame), 48<<10)
}

// Records of prompts are bounded in memory and in the message that a host sends.
func TestPromptStateSize(t *testing.T) {
	c := &harness.Clock{Time: 1000}
	w := suspector.NewTracker(c, zap.NewNop(), nil)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for call := range uint64(4000) {
		w.Failed(promptAttempt(fmt.Sprint("s", call), call, fmt.Sprint("w", call%50), manyParts(call, 500)...))
		w.Completed(suspector.Call{Fingerprint: 1 << 30, Parts: manyParts(1<<22+call, 500)})
		if call%100 == 99 {
			c.Time += timer.Second
			frame, err := cbor.Marshal(w.Records())
			require.NoError(t, err)
			require.Less(t, len(frame), 48<<10, "a datagram holds 64 KiB")
		}
	}
	frame, err := cbor.Marshal(w.Known())
	require.NoError(t, err)
	require.Less(t, len(frame), 512<<10)
	runtime.GC()
	runtime.ReadMemStats(&after)
	size := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d bytes, %d in a message to a host that starts", size, len(frame))
	require.Less(t, size, uint64(8<<20))
	runtime.KeepAlive(w)
}

// Calls that share the beginnings of their prompts crash servers of different hosts, among
// sound calls that share only the first of these beginnings.
func TestCallsThatShareACrashingBeginningAreRefusedOnAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const first, second, longer = 1, 2, 3
		_, hosts := startHosts(5)
		for i := range 3 {
			for _, h := range hosts {
				_, refused := h.Refused(suspector.Call{Fingerprint: uint64(i), Parts: []uint64{first, second, longer}})
				require.False(t, refused, "after %d crashes", i)
			}
			sound := suspector.Call{Fingerprint: uint64(200 + i), Parts: []uint64{first}}
			hosts[i].RecordCrash(fmt.Sprint("m", i), []suspector.Call{{Fingerprint: uint64(100 + i), Parts: []uint64{first, second, longer}}, sound})
			timer.Sleep(t.Context(), 30)
			hosts[4].RecordAnswer(sound)
			synctest.Wait()
		}
		for _, h := range hosts {
			wait, refused := h.Refused(suspector.Call{Fingerprint: 999, Parts: []uint64{first, second, longer, 4}})
			require.True(t, refused)
			require.LessOrEqual(t, wait, 60*timer.Second)
			require.False(t, h.TryStart("m", suspector.Call{Fingerprint: 999, Parts: []uint64{first, second}}))
			_, refused = h.Refused(suspector.Call{Fingerprint: 999, Parts: []uint64{first, 5}})
			require.False(t, refused, "a sound call that shares the first beginning")
		}
		timer.Sleep(t.Context(), 61*timer.Second)
		recovered := suspector.Call{Fingerprint: 1000, Parts: []uint64{first, second}}
		require.True(t, hosts[0].TryStart("m", recovered), "refused for longer than the stated time")
		hosts[0].RecordAnswer(recovered)
		synctest.Wait()
		hosts[0].RecordCrash("m9", []suspector.Call{{Fingerprint: 1001, Parts: []uint64{first, second}}})
		_, refused := hosts[1].Refused(suspector.Call{Fingerprint: 1002, Parts: []uint64{first, second}})
		require.False(t, refused, "one crash after an answer")
		for _, h := range hosts {
			h.Close()
		}
	})
}
