package broker_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/executor"
	"github.com/jackdawgate/jackdawgate/gatekeeper"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/namer"
	"github.com/jackdawgate/jackdawgate/queuer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fixture has an entry host and a bulk host that owns all groups.
type fixture struct {
	t                *testing.T
	net              *messenger.Memory
	broker           *broker.Broker
	queues           []*queuer.Queue
	serving          bool
	receivesFromBulk bool
	// afterServing, unless nil, is called after a group was read while it was served.
	afterServing func(*queuer.Queue)
	// other is another entry host, which receives digests from the bulk host if
	// otherReceivesFromBulk.
	other                 *broker.Broker
	otherReceivesFromBulk bool
	proposeErr            error
	// items, unless nil, are the items of each submitted job.
	items []queuer.Item
	// proposeTime is how long a proposal takes.
	proposeTime timer.Millis
	// snapshot is what entry hosts know of the fleet, otherSnapshot what the other one knows
	// if it has a configuration, and bulkSnapshot what the bulk host knows.
	snapshot, otherSnapshot, bulkSnapshot cataloger.Snapshot
	zones                                 localizer.Zones
	// recipients are the disks to which the bulk host sends the logs of all groups.
	recipients []string
	// applyOnError makes a proposal take effect although it fails with proposeErr.
	applyOnError bool

	mu sync.Mutex
	// longestEntry is the length of the longest entry that was proposed.
	longestEntry int
}

// maxJobBytes is the length of the longest job that other hosts receive.
const maxJobBytes = 20 << 20

func start(t *testing.T) *fixture {
	f := &fixture{t: t, net: messenger.NewMemory(), serving: true, receivesFromBulk: true, otherReceivesFromBulk: true}
	bulk := f.net.Host("bulk", messenger.Peer{Name: "bulk"})
	var seats []broker.LocalGroup
	digest := gossiper.Digest{Host: "bulk"}
	for n := range broker.Groups {
		q := queuer.New(zap.NewNop(), func() {})
		q.StartServing()
		f.queues = append(f.queues, q)
		digest.Groups = append(digest.Groups, n)
		seats = append(seats, broker.LocalGroup{
			Recipients: func(context.Context) []string { return f.recipients },
			Group:      executor.Group{Number: n, Queue: q, Propose: func(_ context.Context, entries ...[]byte) error { return f.propose(q, entries) }},
			WhileServing: func(_ context.Context, read func()) bool {
				if !f.serving {
					return false
				}
				read()
				if f.afterServing != nil {
					f.afterServing(q)
				}
				return true
			},
		})
	}
	f.zones = localizer.Zones{"z-eu": "eu", "z-us": "us"}
	broker.NewHandler(seats, func() []gossiper.Digest { return nil }, broker.Fleet{Snapshot: func() cataloger.Snapshot { return f.bulkSnapshot }, Zones: f.zones}, bulk, zap.NewNop())
	clock := timer.System()
	s := cataloger.Snapshot{}.WithMember(cataloger.Member{Name: "bulk", Role: cataloger.Bulk, PeerAddress: "bulk", Disk: "d"}).
		WithMember(cataloger.Member{Name: "other", Role: cataloger.Entry, PeerAddress: "other"})
	f.snapshot, f.bulkSnapshot = s, s
	options := broker.Options{
		Formats: broker.Formats{
			Items: func(body []byte) ([]queuer.Item, error) {
				if f.items != nil {
					return f.items, nil
				}
				var out []queuer.Item
				for _, id := range strings.Fields(string(body)) {
					out = append(out, queuer.Item{ID: id, Path: "/" + id, Body: []byte(id), Tokens: 10})
				}
				return out, nil
			},
			Results: func(r queuer.Results) ([]byte, error) { return []byte{byte('0' + r.Total), byte('0' + r.Next)}, nil },
		},
		Caller: f.net.Host("entry", messenger.Peer{Name: "entry"}), Snapshot: func() cataloger.Snapshot { return f.snapshot }, Zones: f.zones,
		Digests:      func() []gossiper.Digest { return []gossiper.Digest{digest} },
		LastReceived: func(host string) (timer.Millis, bool) { return clock.Now(), f.receivesFromBulk || host != "bulk" },
		Clock:        clock, Wall: timer.Wall, Logger: zap.NewNop(), MaxJobBytes: maxJobBytes,
	}
	f.broker = broker.New(options)
	other := f.net.Host("other", messenger.Peer{Name: "other"})
	options.Caller, options.LastReceived = other, func(host string) (timer.Millis, bool) { return clock.Now(), f.otherReceivesFromBulk || host != "bulk" }
	options.Snapshot = func() cataloger.Snapshot {
		if f.otherSnapshot.Config != nil {
			return f.otherSnapshot
		}
		return f.snapshot
	}
	f.other = broker.New(options)
	f.other.ServeRelays(other)
	return f
}

func (f *fixture) noteLengths(entries [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, data := range entries {
		f.longestEntry = max(f.longestEntry, len(data))
	}
}

func (f *fixture) propose(q *queuer.Queue, entries [][]byte) error {
	if !q.Serving() {
		return &mirrorer.NotOwnerError{}
	}
	timer.Sleep(context.Background(), f.proposeTime)
	if f.proposeErr == nil || f.applyOnError {
		f.noteLengths(entries)
		for _, data := range entries {
			q.Apply(data)
		}
	}
	return f.proposeErr
}

func (f *fixture) submit(id, items string) gatekeeper.JobAnswer {
	return f.submitAs("w", id, items)
}

func (f *fixture) submitAs(workspace, id, items string) gatekeeper.JobAnswer {
	return f.broker.Submit(f.t.Context(), gatekeeper.Submission{
		ID: id, Owner: authorizer.Owner{Workspace: workspace}, Route: &cataloger.Route{Name: "r", MaxQueued: 50}, Host: "h", Body: []byte(items),
	})
}

func (f *fixture) read(workspace string, c namer.JobCall) gatekeeper.JobAnswer {
	return f.broker.Serve(f.t.Context(), authorizer.Owner{Workspace: workspace}, c, "")
}

func TestJobIsAcceptedOnceAndReadByItsWorkspaceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		for range 3 {
			require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
		}
		r := f.read("w", namer.ReadResults{Job: "j"})
		require.Equal(t, "20", string(r.Body))
		require.Equal(t, "a", string(f.read("w", namer.ReadBody{Job: "j", Item: "a"}).Body))
		require.Equal(t, http.StatusNotFound, f.read("other", namer.ReadResults{Job: "j"}).Status)
		require.Equal(t, http.StatusNotFound, f.read("w", namer.ReadResults{Job: "none"}).Status)
		for range 2 {
			require.Equal(t, http.StatusOK, f.read("w", namer.CancelJob{Job: "j"}).Status)
		}
	})
}

func TestMaxQueuedTokensHoldsAcrossGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		require.Equal(t, http.StatusAccepted, f.submit("j1", "a b c").Status)
		require.Equal(t, http.StatusAccepted, f.submit("j2", "d e").Status)
		a := f.submit("j3", "f")
		require.Equal(t, http.StatusTooManyRequests, a.Status)
		require.Positive(t, a.RetryAfterMillis)
	})
}

func TestHostThatIsNotServingDoesNotReportJobAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.serving = false
		require.Equal(t, http.StatusServiceUnavailable, f.read("w", namer.ReadResults{Job: "none"}).Status)
		require.Equal(t, http.StatusServiceUnavailable, f.submit("j", "a").Status, "nothing was appended, so the refusal is correct")
	})
}

// A host that served a group gave up its session just after it had been asked whether it
// serves the group. It reported an accepted job as unknown, and a job as ended that was not.
func TestAcceptedJobIsNotUnknownWhileTheGroupChangesItsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			call   namer.JobCall
			status int
		}{
			{namer.ReadResults{Job: "j"}, http.StatusServiceUnavailable},
			{namer.ReadBody{Job: "j", Item: "a"}, http.StatusOK},
			{namer.CancelJob{Job: "j"}, http.StatusServiceUnavailable},
		} {
			f := start(t)
			require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
			f.afterServing = func(q *queuer.Queue) {
				q.StopServing()
				q.Reset()
				f.serving = false
			}
			require.Equal(t, c.status, f.read("w", c.call).Status, "%T", c.call)
		}
	})
}

// Two workspaces submitted jobs of one name at the same time. Both were told that their job
// was accepted, and one of them was never run.
func TestOnlyOneOfTwoJobsOfOneNameIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.proposeTime = 10
		statuses := make(chan int, 2)
		for _, w := range []string{"w", "other"} {
			go func() { statuses <- f.submitAs(w, "j", "a").Status }()
		}
		require.ElementsMatch(t, []int{http.StatusAccepted, http.StatusConflict}, []int{<-statuses, <-statuses})
	})
}

func TestJobThatMayHaveBeenAcceptedIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.proposeErr = &mirrorer.UncertainError{}
		require.Equal(t, http.StatusBadGateway, f.submit("j", "a").Status)
		f.applyOnError = true
		require.Equal(t, http.StatusAccepted, f.submit("j2", "a").Status, "the retry finds that the job was accepted")
		f.proposeErr, f.applyOnError = errors.New("other"), false
		require.Equal(t, http.StatusBadGateway, f.submit("j3", "a").Status)
	})
}

// A host that was cut off from all bulk hosts held a submission for more than a second,
// so its caller tried another host too late.
func TestSubmissionWithoutReachableBulkHostIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.receivesFromBulk, f.otherReceivesFromBulk = false, false
		clock := timer.System()
		a := f.submit("j", "a")
		require.Equal(t, http.StatusServiceUnavailable, a.Status)
		require.LessOrEqual(t, a.RetryAfterMillis, int64(100))
		require.Zero(t, clock.Now())
	})
}

func TestReadWaitsForTheNextResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		require.Equal(t, http.StatusAccepted, f.submit("j", "a").Status)
		go func() {
			timer.Sleep(context.Background(), 300)
			entries, _ := queuer.Encode(queuer.Finished{Job: "j", Output: []byte("x")})
			f.queues[broker.GroupOf("j")].Apply(entries[0])
		}()
		clock := timer.System()
		a := f.broker.Serve(t.Context(), authorizer.Owner{Workspace: "w"}, namer.ReadResults{Job: "j"}, "1000")
		require.Equal(t, "11", string(a.Body))
		require.EqualValues(t, 300, clock.Now())
	})
}

// An entry host is cut off from all bulk hosts but not from other entry hosts. Its
// callers were refused, and failed when they reached two such hosts in a row.
func TestHostWithoutReachableBulkHostSubmitsThroughAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.receivesFromBulk = false
		require.Equal(t, http.StatusAccepted, f.submit("j", "a b").Status)
		require.Equal(t, "20", string(f.read("w", namer.ReadResults{Job: "j"}).Body))
		require.Equal(t, http.StatusNotFound, f.read("w", namer.ReadResults{Job: "none"}).Status)
		require.Equal(t, http.StatusOK, f.read("w", namer.CancelJob{Job: "j"}).Status)
	})
}

func TestForwardedSubmissionThatMayBeAcceptedIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.receivesFromBulk = false
		f.proposeErr = &mirrorer.UncertainError{}
		require.Equal(t, http.StatusBadGateway, f.submit("j", "a").Status)
		f.proposeErr, f.serving = nil, false
		require.Equal(t, http.StatusServiceUnavailable, f.submit("k", "a").Status)
	})
}

// A job exceeded the length of a log entry that can be read again, which the configuration
// allowed. It ended the process that owned its group.
func TestLongJobIsStoredInSeveralEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.items = []queuer.Item{{ID: "a", Path: "/a", Body: bytes.Repeat([]byte("a"), 9<<20)}, {ID: "b", Path: "/b", Body: bytes.Repeat([]byte("b"), 9<<20)}}
		require.Equal(t, http.StatusAccepted, f.submit("j", "").Status)
		require.LessOrEqual(t, f.longestEntry, mirrorer.MaxDataBytes)
		for _, i := range f.items {
			require.Equal(t, i.Body, f.read("w", namer.ReadBody{Job: "j", Item: i.ID}).Body)
		}
	})
}

func TestJobThatNoHostCanReceiveIsRefusedWithTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := start(t)
		f.items = []queuer.Item{{ID: "a", Path: "/a", Body: make([]byte, maxJobBytes)}}
		a := f.submit("j", "")
		require.Equal(t, http.StatusRequestEntityTooLarge, a.Status)
		require.Contains(t, a.Reason, strconv.Itoa(maxJobBytes))
		require.Zero(t, a.RetryAfterMillis)
		require.Zero(t, f.longestEntry, "nothing is written")
	})
}
