package forecaster_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/forecaster"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { harness.Main(m) }

const (
	service = "s"
	slots   = 8
)

func newWarm(first, run timer.Millis) *forecaster.Forecaster {
	f := forecaster.New()
	for range 200 {
		f.Observe(ended(0, first, run))
	}
	return f
}

// ended returns a call that found ahead others at its server and was answered.
func ended(ahead int, first, run timer.Millis) forecaster.Sample {
	return forecaster.Sample{Call: call(ahead), First: first, Run: run, Full: ahead >= slots}
}

func call(ahead int) forecaster.Call {
	return forecaster.Call{Service: service, Ahead: ahead, Slots: slots}
}

func TestCallWithAFreeSlotEndsInItsOwnTime(t *testing.T) {
	f := newWarm(50, 900)
	require.True(t, f.Predict(call(slots-1)).EndsWithin(950))
	require.False(t, f.Predict(call(slots-1)).EndsWithin(949))
}

func TestCallToUnknownServiceIsNotRefused(t *testing.T) {
	require.True(t, forecaster.New().Predict(call(slots+2)).EndsWithin(5*timer.Second))
}

// A host that had just started had observed no call and sent all of them to the only server
// with room, where 31 were waiting.
func TestLongQueueIsNotJoinedBeforeACallWasObserved(t *testing.T) {
	require.False(t, forecaster.New().Predict(call(4*slots)).EndsWithin(5*timer.Second))
}

func TestWaitGrowsWithTheQueue(t *testing.T) {
	f := newWarm(50, 400)
	require.Equal(t, timer.Millis(50), f.Predict(call(slots)).Wait)
	require.Equal(t, timer.Millis(250), f.Predict(call(slots+4)).Wait)
}

// Callers that wait for seconds were refused since their calls would have had to wait for
// more than half of the objective.
func TestCallMayWaitAsLongAsItCanEndByItsDeadline(t *testing.T) {
	f := newWarm(50, 400)
	require.True(t, f.Predict(call(slots+90)).EndsWithin(5*timer.Second), "4,550 ms for a slot, 450 ms for the call")
	require.False(t, f.Predict(call(slots+91)).EndsWithin(5*timer.Second))
}

// A resumed stream needs only the rest of its time.
func TestWorkThatIsDoneIsNotExpectedAgain(t *testing.T) {
	f := newWarm(50, 400)
	c := call(0)
	require.False(t, f.Predict(c).EndsWithin(300))
	c.Done = 200
	require.True(t, f.Predict(c).EndsWithin(300))
	c.Done = 1000
	require.True(t, f.Predict(c).EndsWithin(50))
	require.False(t, f.Predict(c).EndsWithin(49))
}

// drawCall draws a call of the service or of one that was not observed.
func drawCall(t *rapid.T) forecaster.Call {
	return forecaster.Call{
		Service:  rapid.SampledFrom([]string{service, "unobserved"}).Draw(t, "service"),
		Ahead:    rapid.IntRange(0, 200).Draw(t, "ahead"),
		Slots:    rapid.IntRange(1, 32).Draw(t, "slots"),
		Slowdown: rapid.Float64Range(0, 8).Draw(t, "slowdown"),
		Done:     timer.Millis(rapid.IntRange(0, 3000).Draw(t, "done")),
	}
}

func TestMoreTimeNeverTurnsAnAdmissionIntoARefusal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newWarm(timer.Millis(rapid.IntRange(0, 1000).Draw(t, "first")), timer.Millis(rapid.IntRange(0, 5000).Draw(t, "run")))
		c := drawCall(t)
		left := timer.Millis(rapid.IntRange(0, 10000).Draw(t, "left"))
		more := timer.Millis(rapid.IntRange(0, 5000).Draw(t, "more"))
		require.False(t, f.Predict(c).EndsWithin(left) && !f.Predict(c).EndsWithin(left+more))
		require.False(t, f.Predict(c).EndsSurelyWithin(left) && !f.Predict(c).EndsSurelyWithin(left+more))
	})
}

// A call that its host's stop would cut off is lost for a caller that may not repeat it, so
// the longest one lately counts, and not the average.
func TestCallSurelyEndsIfTheLongestLatelyWould(t *testing.T) {
	f := newWarm(100, 400)
	require.True(t, f.Predict(call(0)).EndsSurelyWithin(500))
	f.Observe(ended(0, 100, 1900))
	require.True(t, f.Predict(call(0)).EndsWithin(600))
	require.False(t, f.Predict(call(0)).EndsSurelyWithin(1999))
	require.True(t, f.Predict(call(0)).EndsSurelyWithin(2000))
	require.False(t, f.Predict(call(slots)).EndsSurelyWithin(2000), "it waits for a slot first")
	for range 500 {
		f.Observe(ended(0, 100, 400))
	}
	require.True(t, f.Predict(call(0)).EndsSurelyWithin(600), "that was long ago")
	require.False(t, forecaster.New().Predict(call(0)).EndsSurelyWithin(5*timer.Second), "not observed")
}

// The averages consisted of calls that ended in time only: of a service that had become too
// slow for its callers, no call was observed any more, and all were sent as before.
func TestCallsThatAreGivenUpCount(t *testing.T) {
	f := newWarm(50, 400)
	c := call(0)
	require.True(t, f.Predict(c).EndsWithin(timer.Second))
	for range 60 {
		f.Observe(forecaster.Sample{Call: c, First: 50, Run: 950, GivenUp: true})
	}
	require.False(t, f.Predict(c).EndsWithin(900))
	for range 200 {
		f.Observe(forecaster.Sample{Call: c, First: 50, Run: 100, GivenUp: true})
	}
	require.False(t, f.Predict(c).EndsWithin(900), "callers who leave early tell nothing")
	for range 100 {
		f.Observe(ended(0, 50, 400))
	}
	require.True(t, f.Predict(c).EndsWithin(900), "it is fast again")
}

// A server has more calls ahead than its host knows of, so all wait twice as long as
// predicted. Later calls are predicted by what those before them waited.
func TestPredictedWaitsAreCorrectedByThoseObserved(t *testing.T) {
	for name, givenUp := range map[string]bool{"answered": false, "given-up": true} {
		t.Run(name, func(t *testing.T) {
			f := newWarm(50, 400)
			require.EqualValues(t, 250, f.Predict(call(slots+4)).Wait)
			for range 100 {
				m := ended(slots+4, 550, 400)
				m.GivenUp = givenUp
				f.Observe(m)
			}
			require.InDelta(t, 500, int(f.Predict(call(slots+4)).Wait), 30)
			require.InDelta(t, 200, int(f.Predict(call(slots+1)).Wait), 15)
			require.Zero(t, f.Predict(call(slots-1)).Wait)
		})
	}
}

// The first call that a host observed had waited for a slot for 1.5 s. As long as all servers
// were full, the host took that for the time in which answers begin.
func TestWaitOfTheFirstCallIsNotTakenForTheTimeToBegin(t *testing.T) {
	f := forecaster.New()
	for range 20 {
		f.Observe(ended(slots+20, 1500, 400))
	}
	require.LessOrEqual(t, f.Predict(call(0)).Begin, timer.Millis(0))
	f.Observe(ended(0, 50, 400))
	require.EqualValues(t, 50, f.Predict(call(0)).Begin)
}

// One odd call among many, or a whole minute of them, neither refuses all calls nor makes
// queues look empty.
func TestCorrectionOfWaitsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newWarm(50, 400)
		for _, first := range rapid.SliceOfN(rapid.IntRange(0, 1<<30), 1, 200).Draw(t, "firsts") {
			f.Observe(ended(slots+4, timer.Millis(first), 400))
		}
		require.GreaterOrEqual(t, int(f.Predict(call(slots+4)).Wait), 250/2)
		require.LessOrEqual(t, int(f.Predict(call(slots+4)).Wait), 250*4)
	})
}

// A server that takes three times as long as the others of its service also takes three
// times as long to serve those ahead.
func TestSlowServersTakeLonger(t *testing.T) {
	f := newWarm(50, 400)
	c := call(slots)
	c.Slowdown = 3
	require.EqualValues(t, 150, f.Predict(c).Wait)
	require.True(t, f.Predict(c).EndsWithin(150+50+1200))
	require.False(t, f.Predict(c).EndsWithin(150+50+1199))
	for range 100 {
		f.Observe(forecaster.Sample{Call: forecaster.Call{Service: service, Slots: slots, Slowdown: 3}, First: 50, Run: 1200})
	}
	require.True(t, f.Predict(call(0)).EndsWithin(450), "its calls tell how long they run at the others")
}

// A peak of twice the capacity is followed by a quiet period. There is one server, which
// runs calls in the order of arrival. Callers wait for as long as a fifth of the peak lasts
// and leave then; a call whose caller left before it began does not run.
func TestPeakIsServedUpToTheCapacity(t *testing.T) {
	const patience, run = 600, 200
	refused, gaveUp, served := simulatePeak(newWarm(0, run), patience, run)
	offered := refused + gaveUp + served
	capacity := slots * (peak + patience) / run
	require.GreaterOrEqual(t, served, capacity*95/100, "of %d", offered)
	require.LessOrEqual(t, gaveUp, offered*2/100, "those that cannot be served are refused at once")
}

const peak = 3000

// simulatePeak returns how many callers were refused, left unserved after patience, and were
// served. Times are in milliseconds.
func simulatePeak(f *forecaster.Forecaster, patience, run int) (refused, gaveUp, served int) {
	const gap = 12
	// busy holds the time until which each slot is taken, waiting when the calls arrived.
	var busy [slots]int
	var waiting []int
	for now := range peak + 2*patience {
		if now < peak && now%gap == 0 {
			ahead := len(waiting)
			for _, until := range busy {
				if until > now {
					ahead++
				}
			}
			if f.Predict(call(ahead)).EndsWithin(timer.Millis(patience)) {
				waiting = append(waiting, now)
			} else {
				refused++
			}
		}
		for i, until := range busy {
			if until > now || len(waiting) == 0 {
				continue
			}
			if now+run-waiting[0] <= patience {
				served++
			} else {
				gaveUp++
			}
			busy[i] = now + run
			waiting = waiting[1:]
		}
	}
	return refused, gaveUp, served
}

// Calls ran at a server of twice the pace. Guards against predictions for other servers that
// are too short, and for fast ones that are too long, so that calls are refused needlessly.
func TestFastServersAreNotTakenForTheMean(t *testing.T) {
	f := forecaster.New()
	for range 100 {
		f.Observe(forecaster.Sample{Call: forecaster.Call{Service: "s", Slowdown: 0.5}, First: 10, Run: 400})
		f.Observe(forecaster.Sample{Call: forecaster.Call{Service: "s"}, First: 10, Run: 800})
	}
	require.InDelta(t, 810, int(f.Predict(forecaster.Call{Service: "s"}).End), 2)
	require.InDelta(t, 410, int(f.Predict(forecaster.Call{Service: "s", Slowdown: 0.5}).End), 2)
}
