package limiter_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/timer"
)

func TestRepeatedAskGetsSameAnswerAndIsChargedOnce(t *testing.T) {
	limit := limiter.Limit{Rate: 1, Burst: 10}
	o := limiter.NewFullOwner(limiter.TokenOnly, 1, limit, 0)
	first := o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 4}, limit, 0)
	require.Equal(t, 4, first.Tokens)
	for range 5 {
		require.Equal(t, first, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 4}, limit, 1))
	}
	require.Equal(t, 6, o.HandleRequest("b", true, limiter.GrantRequest{Seq: 1, Want: 10}, limit, 2).Tokens)
}

func TestLateAskIsNotChargedAfterAnswerWasDiscarded(t *testing.T) {
	limit := limiter.Limit{Rate: 1, Burst: 10}
	o := limiter.NewFullOwner(limiter.TokenOnly, 1, limit, 0)
	_ = o.HandleRequest("a", true, limiter.GrantRequest{Seq: 2, Want: 3}, limit, 0)
	late := o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 3}, limit, 200)
	require.Zero(t, late.Tokens)
	require.Zero(t, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 2, Want: 3}, limit, 200).Tokens)
	require.Equal(t, 7, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 3, Want: 10}, limit, 200).Tokens)
}

// A granted token reserves capacity in the pool until it is settled or has
// expired. Otherwise both the token and the refill of that time could be spent.
func TestUnspentTokensCountAgainstTheCapacity(t *testing.T) {
	limit := limiter.Limit{Rate: 1000, Burst: 10}
	o := limiter.NewFullOwner(limiter.TokenOnly, 1, limit, 0)
	require.Equal(t, 10, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 10}, limit, 0).Tokens)
	require.Zero(t, o.HandleRequest("b", true, limiter.GrantRequest{Seq: 1, Want: 10}, limit, 90).Tokens)
	// The holder reports its grant request as settled, which frees all capacity.
	settled := limiter.GrantRequest{Seq: 2, Want: 10, SettledSeq: 1}
	_ = o.HandleRequest("a", true, limiter.GrantRequest{Seq: 3, SettledSeq: 1}, limit, 91)
	require.Equal(t, 10, o.HandleRequest("a", true, settled, limit, 120).Tokens)
}

func TestNewOwnerGrantsNothingBeforeAllHaveReported(t *testing.T) {
	limit := limiter.Limit{Rate: 100, Burst: 50}
	o := limiter.NewOwner(limiter.Chosen, 2, limiter.Takeover{Members: []string{"a", "b"}}, 0)
	o.AddReport("a", limiter.Report{Rate: 60, Depth: 20, Remaining: 10_000}, 10)
	require.Positive(t, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 1}, limit, 5_000).InactiveFor)
	o.AddReport("b", limiter.Report{Handover: &limiter.Handover{PoolTokens: 45}}, 5_000)

	// The earlier owner's pool is kept, except for the depth of the lease.
	got := o.HandleRequest("a", true, limiter.GrantRequest{Seq: 2, Want: 100}, limit, 5_001)
	require.Equal(t, 30, got.Tokens)
	// Only the rate that is not leased refills the pool.
	_ = o.HandleRequest("a", true, limiter.GrantRequest{Seq: 3, SettledSeq: 2}, limit, 5_001)
	require.InDelta(t, 20, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 4, Want: 100}, limit, 5_501).Tokens, 1)
}

func TestSilentMemberBlocksOwnerUntilItsLeaseHasExpired(t *testing.T) {
	limit := limiter.Limit{Rate: 100, Burst: 50}
	o := limiter.NewOwner(limiter.Chosen, 2, limiter.Takeover{Members: []string{"a"}}, 0)
	require.Positive(t, o.HandleRequest("b", true, limiter.GrantRequest{Seq: 1, Want: 1}, limit, 15_100).InactiveFor)
	require.Zero(t, o.HandleRequest("b", true, limiter.GrantRequest{Seq: 2, Want: 1}, limit, 15_151).Tokens, "pool must start empty")
	require.Equal(t, 1, o.HandleRequest("b", true, limiter.GrantRequest{Seq: 3, Want: 1}, limit, 15_170).Tokens)
}

func TestPoolIsHandedOverOnce(t *testing.T) {
	limit := limiter.Limit{Rate: 100, Burst: 50}
	o := limiter.NewFullOwner(limiter.Chosen, 1, limit, 0)
	require.Equal(t, &limiter.Handover{PoolTokens: 50}, o.HandOver(0))
	require.Nil(t, o.HandOver(0))
	require.Zero(t, o.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 1}, limit, 60_000).Tokens)
}

// A retry after exactly RetryAfter is admitted if nothing else changed, and
// consecutive refused requests receive different retry times.
func TestRetryAfterSucceeds(t *testing.T) {
	limit := limiter.Limit{Rate: 7, Burst: 3}
	now, o := timer.Millis(0), limiter.NewFullOwner(limiter.TokenOnly, 1, limit, 0)
	for range 3 {
		require.Equal(t, limiter.Admitted{}, o.AdmitLocal(limit, now))
	}
	var moments []timer.Millis
	for range 5 {
		now++
		r, ok := o.AdmitLocal(limit, now).(limiter.Refused)
		require.True(t, ok)
		moments = append(moments, now+r.RetryAfter)
	}
	for i, m := range moments {
		if i > 0 {
			require.Greater(t, m, moments[i-1])
		}
		require.Equal(t, limiter.Admitted{}, o.AdmitLocal(limit, m), "retry %d", i)
	}
}

// A host that left the record may still act under an earlier epoch. Before
// Takeover.OwnsFrom only the previous owner has a record of its lease.
func TestLeaseOfAHostThatLeftIsCounted(t *testing.T) {
	limit := limiter.Limit{Rate: 100, Burst: 50}
	before := limiter.NewFullOwner(limiter.Chosen, 1, limit, 0)
	lease := before.HandleRequest("left", true, limiter.GrantRequest{Seq: 1, Demand: 40, SteadyDemand: 40}, limit, 0).Lease
	require.Positive(t, lease.Rate)
	takeover := limiter.Takeover{Self: "new", Members: []string{"a"}, OwnsFrom: 5000}

	alone := limiter.NewOwner(limiter.Chosen, 2, takeover, 1000)
	alone.AddReport("a", limiter.Report{}, 1000)
	require.Positive(t, alone.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 1}, limit, 4999).InactiveFor, "decides before the leases of former members are known")
	require.Zero(t, alone.HandleRequest("a", true, limiter.GrantRequest{Seq: 2, Want: 1}, limit, 5000).InactiveFor)

	informed := limiter.NewOwner(limiter.Chosen, 2, takeover, 1000)
	informed.AddReport("a", limiter.Report{}, 1000)
	informed.AddReport("before", limiter.Report{Handover: before.HandOver(1000)}, 1000)
	got := informed.HandleRequest("a", true, limiter.GrantRequest{Seq: 1, Want: 100}, limit, 1200).Tokens
	require.LessOrEqual(t, float64(got), limit.Burst-lease.Depth)
	require.Greater(t, float64(got), limit.Burst-lease.Depth-1)
}
