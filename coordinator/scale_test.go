package coordinator_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

// Sizes of the benchmarks: the numbers of members, and of the other entries in the
// record.
var fleetSizes = []int{9, 90, 900, 3600}

const (
	fleetServers    = 10_000
	fleetWorkspaces = 220
	fleetDataCentre = 10
)

func fleetMember(i int) registrar.Member {
	return registrar.Member{
		Name: fmt.Sprintf("host-%04d", i), Incarnation: fmt.Sprintf("0198c0de-7a11-7%03x-8000-%012d", i%4096, i),
		DataCentre: fmt.Sprint("dc-", i%fleetDataCentre), Region: fmt.Sprint("region-", i%4),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:8490", i%10, i/250, i%250), CallerAddress: fmt.Sprintf("10.%d.%d.%d:8480", i%10, i/250, i%250),
		UsageKey: make([]byte, 32),
	}
}

// fleetRecord returns a record with n members and a configuration of the intended size.
func fleetRecord(n int) registrar.Record {
	r := registrar.Record{
		Workspaces: make(map[string]registrar.Workspace), Keys: make(map[string]registrar.Key),
		Servers: make(map[string]registrar.BackendServer),
	}
	for i := range fleetWorkspaces {
		name := fmt.Sprint("workspace-", i)
		r.Workspaces[name] = registrar.Workspace{Name: name, Owner: "owner", RatePerSecond: 400, Burst: 800, Weight: 1}
		for k := range 2 {
			id := fmt.Sprint("key-", i, "-", k)
			r.Keys[id] = registrar.Key{ID: id, Workspace: name, Hash: make([]byte, 32), CreatedAt: 1}
		}
	}
	for i := range fleetServers {
		name := fmt.Sprintf("server-%05d", i)
		r.Servers[name] = registrar.BackendServer{
			Name: name, Address: fmt.Sprintf("10.%d.%d.%d:8000", i%10, i/250, i%250), DataCentre: fmt.Sprint("dc-", i%fleetDataCentre),
			Kind: registrar.KindModel, Models: []string{"order-assistant"}, Slots: 64,
		}
	}
	var join []registrar.Member
	for i := range n {
		join = append(join, fleetMember(i))
	}
	return r.WithMembers(registrar.MemberChange{Join: join})
}

// fleetState returns the state of the first member of r, permitted by a majority.
func fleetState(tb testing.TB, r registrar.Record) coordinator.State {
	s := coordinator.New(r.Members[0], nil, coordinator.DefaultTiming(), 0)
	s, _ = coordinator.Step(s, coordinator.Ticked{At: 1})
	s, _ = coordinator.Step(s, coordinator.RecordFetched{At: 2, Record: r})
	s, effects := coordinator.Step(s, coordinator.Ticked{At: 100})
	for i := range len(r.Members)/2 + 1 {
		s, _ = coordinator.Step(s, fleetReport(r, effects, i, 101))
	}
	require.True(tb, s.Snapshot().Permitted(102))
	require.Equal(tb, r.Version, s.Accepted())
	return s
}

// fleetReport returns the response of member i to the round that effects began.
func fleetReport(r registrar.Record, effects []coordinator.Effect, i int, at timer.Millis) coordinator.ReportReceived {
	m := r.Members[i]
	e := coordinator.ReportReceived{At: at, Name: m.Name, Address: m.PeerAddress}
	e.Report = coordinator.Report{Name: m.Name, Incarnation: m.Incarnation, Version: r.Version, Accepted: r.Version}
	for _, f := range effects {
		if a, ok := f.(coordinator.QueryReports); ok {
			e.Round = a.Round
		}
	}
	return e
}

func forEachSize(b *testing.B, f func(b *testing.B, r registrar.Record)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, fleetRecord(n))
		})
	}
}

func BenchmarkStepTick(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		for b.Loop() {
			coordinator.Step(s, coordinator.Ticked{At: 300})
		}
	})
}

func BenchmarkStepReportReceived(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s, effects := coordinator.Step(fleetState(b, r), coordinator.Ticked{At: 1200})
		e := fleetReport(r, effects, 1, 1201)
		for b.Loop() {
			coordinator.Step(s, e)
		}
	})
}

func BenchmarkStepReportRequested(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		q := coordinator.ReportRequest{Report: fleetReport(r, nil, 1, 0).Report, Address: r.Members[1].PeerAddress}
		for b.Loop() {
			coordinator.Step(s, coordinator.ReportRequested{At: 1201, Request: q})
		}
	})
}

// BenchmarkConfirmationRound makes a request to all members and handles the responses of
// a majority.
func BenchmarkConfirmationRound(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		start := fleetState(b, r)
		for b.Loop() {
			s, effects := coordinator.Step(start, coordinator.Ticked{At: 1200})
			for i := range len(r.Members)/2 + 1 {
				s, _ = coordinator.Step(s, fleetReport(r, effects, i, 1201))
			}
		}
	})
}

// BenchmarkMemberChange adopts a record in which one member has a new incarnation.
func BenchmarkMemberChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		m := r.Members[len(r.Members)-1]
		m.Incarnation = "another"
		next := r.WithMember(m)
		for b.Loop() {
			coordinator.Step(s, coordinator.RecordFetched{At: 1201, Record: next})
		}
	})
}

// BenchmarkConfigurationChange makes and adopts a version in which a key is withdrawn.
func BenchmarkConfigurationChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		for b.Loop() {
			next, err := r.WithChange("withdraw", registrar.WithdrawKey{KeyID: "key-1-1"})
			if err != nil {
				b.Fatal(err)
			}
			coordinator.Step(s, coordinator.RecordFetched{At: 1201, Record: next})
		}
	})
}

func BenchmarkRecordEncode(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		size := 0
		for b.Loop() {
			data, err := r.Encode()
			if err != nil {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "record-bytes")
	})
}

func BenchmarkRecordDecode(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		data, err := r.Encode()
		require.NoError(b, err)
		for b.Loop() {
			if _, err := registrar.Decode(data); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkOwns calls Owns for 10,000 servers in turn, as the request path does.
func BenchmarkOwns(b *testing.B) {
	objects := make([]coordinator.Object, fleetServers)
	for i := range objects {
		objects[i] = coordinator.ServerObject(fmt.Sprintf("server-%05d", i))
	}
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r).Snapshot()
		for _, o := range objects {
			s.Owner(o)
		}
		i := 0
		for b.Loop() {
			s.Owns(objects[i%fleetServers], 1000)
			i++
		}
	})
}

// BenchmarkOwnerUncached looks up the owner of objects that were not looked up before.
func BenchmarkOwnerUncached(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r).Snapshot()
		i := 0
		for b.Loop() {
			s.Owner(coordinator.JobObject(fmt.Sprint(i)))
			i++
		}
	})
}

// BenchmarkOwnerAfterChange looks up the owner of each object for the first time after a
// change of members, when the owners before the change are cached.
func BenchmarkOwnerAfterChange(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		for i := range fleetServers {
			s.Snapshot().Owner(coordinator.ServerObject(fmt.Sprintf("server-%05d", i)))
		}
		m := r.Members[len(r.Members)-1]
		m.Name, m.Incarnation = "host-9999", "another"
		s, _ = coordinator.Step(s, coordinator.RecordFetched{At: 1201, Record: r.WithMember(m)})
		i := 0
		for b.Loop() {
			s.Snapshot().Owner(coordinator.ServerObject(fmt.Sprintf("server-%05d", i%fleetServers)))
			i++
		}
	})
}

// BenchmarkMemory measures the heap size of a decoded record and of a state that has it.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		data, err := r.Encode()
		require.NoError(b, err)
		for b.Loop() {
			before := heapBytes()
			decoded, err := registrar.Decode(data)
			require.NoError(b, err)
			middle := heapBytes()
			s := fleetState(b, decoded)
			b.ReportMetric(float64(middle-before), "record-heap-bytes")
			b.ReportMetric(float64(heapBytes()-middle), "state-heap-bytes")
			runtime.KeepAlive(s)
			runtime.KeepAlive(decoded)
		}
	})
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkSpread propagates a change of configuration from one host to all others,
// which receive a request from it and fetch the record. It sums the work of all hosts.
func BenchmarkSpread(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		s := fleetState(b, r)
		next, err := r.WithChange("withdraw", registrar.WithdrawKey{KeyID: "key-1-1"})
		require.NoError(b, err)
		q := coordinator.ReportRequest{Report: coordinator.Report{Name: r.Members[1].Name, Incarnation: r.Members[1].Incarnation, Version: next.Version}, Address: "writer"}
		for b.Loop() {
			for range len(r.Members) - 1 {
				t, _ := coordinator.Step(s, coordinator.ReportRequested{At: 1201, Request: q})
				coordinator.Step(t, coordinator.RecordFetched{At: 1202, Record: next})
			}
		}
	})
}

// TestMessagesStaySmall bounds the size of the messages that hosts send each second. It
// must not depend on the number of members.
func TestMessagesStaySmall(t *testing.T) {
	m := fleetMember(3599)
	report := coordinator.Report{Name: m.Name, Incarnation: m.Incarnation, Version: 1 << 30, Accepted: 1 << 30, Settled: 1 << 20}
	question := coordinator.ReportRequest{Report: report, Address: m.PeerAddress}
	for _, v := range []any{report, question, coordinator.RelayRequest{Name: m.Name}, coordinator.RelayResponse{Version: 1 << 30}} {
		b, err := cbor.Marshal(v)
		require.NoError(t, err)
		t.Logf("%T: %d bytes", v, len(b))
		require.Less(t, len(b), 128)
	}
}

// TestStepDoesNotGrowWithTheFleet compares the allocations of a frequent event in fleets
// of two sizes. Allocations, unlike times, are the same in each run.
func TestStepDoesNotGrowWithTheFleet(t *testing.T) {
	allocations := func(n int) float64 {
		r := fleetRecord(n)
		s, effects := coordinator.Step(fleetState(t, r), coordinator.Ticked{At: 1200})
		e := fleetReport(r, effects, 1, 1201)
		return testing.AllocsPerRun(100, func() { coordinator.Step(s, e) })
	}
	require.LessOrEqual(t, allocations(3600), allocations(90)+2)
}

// BenchmarkDelta makes and applies the delta of a withdrawn key between two decoded
// records, as a relay does.
func BenchmarkDelta(b *testing.B) {
	forEachSize(b, func(b *testing.B, r registrar.Record) {
		next, err := r.WithChange("withdraw", registrar.WithdrawKey{KeyID: "key-1-1"})
		require.NoError(b, err)
		old, next := redecoded(b, r), redecoded(b, next)
		for b.Loop() {
			d := next.DeltaFrom(old)
			encoded, err := cbor.Marshal(d)
			require.NoError(b, err)
			b.ReportMetric(float64(len(encoded)), "delta-bytes")
			if _, err := old.WithDelta(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// redecoded encodes and decodes r, so that it shares no memory with the original.
func redecoded(tb testing.TB, r registrar.Record) registrar.Record {
	data, err := r.Encode()
	require.NoError(tb, err)
	r, err = registrar.Decode(data)
	require.NoError(tb, err)
	return r
}
