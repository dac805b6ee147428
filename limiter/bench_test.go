package limiter_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/timer"
)

type fixedView struct{ snapshot coordinator.Snapshot }

func (v fixedView) View() coordinator.Snapshot { return v.snapshot }

// benchFleet returns the snapshot of a fleet as seen by its first host.
func benchFleet(hosts, workspaces int) coordinator.Snapshot {
	record := registrar.Record{Version: 1, Epoch: 1, Workspaces: make(map[string]registrar.Workspace)}
	for i := range hosts {
		record.Members = append(record.Members, registrar.Member{Name: fmt.Sprintf("host-%04d", i), Incarnation: fmt.Sprint(i)})
	}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		record.Workspaces[name] = registrar.Workspace{Name: name, RatePerSecond: 1e9, Burst: 1e9}
	}
	s := coordinator.Snapshot{Self: record.Members[0], PermittedUntil: 1 << 60}
	return s.WithRecord(record)
}

// BenchmarkAdmitOwned measures a request at the host that owns the workspace's
// limit.
func BenchmarkAdmitOwned(b *testing.B) {
	for _, workspaces := range []int{8, 220} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			v := fixedView{benchFleet(1, workspaces)}
			network := messenger.NewMemory().Host("a", messenger.Peer{})
			l := limiter.New(v, network, network, timer.System(), zap.NewNop(), noop.Meter{}, limiter.DefaultOptions())
			defer l.Close()
			awaitReady(b, l, workspaces)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				_ = l.Admit(context.Background(), fmt.Sprintf("workspace-%d", i%workspaces))
			}
		})
	}
}

func awaitReady(b *testing.B, l *limiter.Limiter, workspaces int) {
	for i := range workspaces {
		for {
			if _, ok := l.Admit(context.Background(), fmt.Sprintf("workspace-%d", i)).(limiter.Admitted); ok {
				break
			}
			runtime.Gosched()
		}
	}
}

// BenchmarkSpend measures a request admitted from a lease.
func BenchmarkSpend(b *testing.B) {
	limit := limiter.Limit{Rate: 1e9, Burst: 1e9}
	s := limiter.NewSpender(limiter.EqualSplit)
	s.SetEqualShare(limit, 1, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		_ = s.SpendLease(limit, timer.Millis(i))
	}
}

// BenchmarkAnswer measures how an owner with many holders answers a grant request.
func BenchmarkAnswer(b *testing.B) {
	for _, hosts := range []int{9, 3600} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			limit := limiter.Limit{Rate: 1e6, Burst: 1e6}
			o := limiter.NewFullOwner(limiter.Chosen, 1, limit, 0)
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a := limiter.GrantRequest{Seq: uint64(i/hosts + 1), Want: 1, Demand: 10, SteadyDemand: 8, SettledSeq: uint64(i / hosts)}
				_ = o.HandleRequest(names[i%hosts], true, a, limit, timer.Millis(i/100))
			}
		})
	}
}

// TestOwnerStatePerHost bounds the memory that an owner uses for each host.
func TestOwnerStatePerHost(t *testing.T) {
	const hosts = 3600
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	limit := limiter.Limit{Rate: 1e6, Burst: 1e6}
	o := limiter.NewFullOwner(limiter.Chosen, 1, limit, 0)
	for i := range hosts {
		_ = o.HandleRequest(fmt.Sprint(i), true, limiter.GrantRequest{Seq: 1, Want: 1, Demand: 10, SteadyDemand: 8}, limit, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perHost := float64(after.HeapAlloc-before.HeapAlloc) / hosts
	t.Logf("%.0f bytes per host", perHost)
	require.Less(t, perHost, 2048.0)
	runtime.KeepAlive(o)
}

// TestMessagesStaySmall bounds the encoded size of a GrantRequest and its
// GrantResponse.
func TestMessagesStaySmall(t *testing.T) {
	request := limiter.GrantRequest{Workspace: "kitchen-hire-kolkata", Seq: 1_000_000, Want: 1, Demand: 12.3, SteadyDemand: 7.9, Tenure: 9000, LeaseSeq: 12, SettledSeq: 999_999}
	lease := limiter.Lease{Seq: 12, Rate: 11.7, Depth: 4.3, InitialTokens: 1.1, BaseLimit: limiter.Limit{Rate: 100, Burst: 200}}
	answer := limiter.GrantResponse{Seq: 1_000_000, Tenure: 9000, Tokens: 1, Lease: lease}
	requestBody, err := cbor.Marshal(request)
	require.NoError(t, err)
	reply, err := cbor.Marshal(answer)
	require.NoError(t, err)
	t.Logf("request %d bytes, response %d bytes", len(requestBody), len(reply))
	require.Less(t, len(requestBody), 96)
	require.Less(t, len(reply), 96)
}

// TestSpenderState bounds the memory that a host uses for each workspace.
func TestSpenderState(t *testing.T) {
	const workspaces = 2200
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	all := make([]*limiter.Spender, workspaces)
	for i := range all {
		all[i] = limiter.NewSpender(limiter.Chosen)
		_ = all[i].Request(limiter.Limit{Rate: 1, Burst: 1}, 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	each := float64(after.HeapAlloc-before.HeapAlloc) / workspaces
	t.Logf("%.0f bytes per workspace", each)
	require.Less(t, each, 2048.0)
	runtime.KeepAlive(all)
}
