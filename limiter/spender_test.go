package limiter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jackdawgate/jackdawgate/limiter"
	"github.com/jackdawgate/jackdawgate/timer"
)

var wide = limiter.Limit{Rate: 100, Burst: 100}

// requestGrant makes one request and returns the grant request that it causes.
func requestGrant(t *testing.T, s *limiter.Spender, now timer.Millis) limiter.GrantRequest {
	t.Helper()
	for _, f := range s.Request(wide, now) {
		if send, ok := f.(limiter.Send); ok {
			return send.Request
		}
	}
	require.Fail(t, "request caused no grant request")
	return limiter.GrantRequest{}
}

func admitted(effects []limiter.SpenderEffect) (n int) {
	for _, f := range effects {
		if a, ok := f.(limiter.Admit); ok {
			n += a.Requests
		}
	}
	return n
}

func TestLateAnswerIsNotSpent(t *testing.T) {
	s := limiter.NewSpender(limiter.Chosen)
	a := requestGrant(t, s, 0)
	require.Zero(t, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1}, wide, 100)))
	a = requestGrant(t, s, 200)
	require.Equal(t, 1, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1}, wide, 299)))
	require.Zero(t, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1}, wide, 299)), "repeated answer was spent twice")
}

func TestEarlierOwnersAnswerIsIgnoredAfterReport(t *testing.T) {
	s := limiter.NewSpender(limiter.Chosen)
	a := requestGrant(t, s, 0)
	require.Equal(t, limiter.Report{}, s.Report(2, wide, 10))
	lease := limiter.Lease{Seq: 1, Rate: 50, Depth: 20, InitialTokens: 20, BaseLimit: wide}
	require.Zero(t, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1, Lease: lease}, wide, 20)))
	require.Zero(t, admitted(s.Request(wide, 21)))
	require.Equal(t, limiter.Report{}, s.Report(2, wide, 30))
}

func TestTokensOfALeaseAreTakenOnce(t *testing.T) {
	s := limiter.NewSpender(limiter.Chosen)
	lease := limiter.Lease{Seq: 1, Rate: 0.001, Depth: 5, InitialTokens: 5, BaseLimit: wide}
	a := requestGrant(t, s, 0)
	require.Equal(t, 1, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1, Lease: lease}, wide, 1)))
	for range 5 {
		require.Equal(t, 1, admitted(s.Request(wide, 2)))
	}
	a = requestGrant(t, s, 16_000)
	require.Equal(t, 1, admitted(s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1, Lease: lease}, wide, 16_001)))
	require.Zero(t, admitted(s.Request(wide, 16_002)))
}

func TestLeaseExpiresOnSpendersClock(t *testing.T) {
	s := limiter.NewSpender(limiter.Chosen)
	a := requestGrant(t, s, 1000)
	lease := limiter.Lease{Seq: 1, Rate: 50, Depth: 20, InitialTokens: 20, BaseLimit: wide}
	_ = s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1, Lease: lease}, wide, 1090)
	require.True(t, s.SpendLease(wide, 15_999))
	require.False(t, s.SpendLease(wide, 16_000), "lease still in force 15 s after the grant request was sent")
}

func TestLowerLimitScalesTheLeaseAtOnce(t *testing.T) {
	s := limiter.NewSpender(limiter.Chosen)
	a := requestGrant(t, s, 0)
	lease := limiter.Lease{Seq: 1, Rate: 50, Depth: 20, InitialTokens: 20, BaseLimit: wide}
	_ = s.HandleResponse(limiter.GrantResponse{Seq: a.Seq, Tenure: 1, Tokens: 1, Lease: lease}, wide, 1)
	lower := limiter.Limit{Rate: 10, Burst: 10}
	n := 0
	for s.SpendLease(lower, 2) {
		n++
	}
	require.Equal(t, 2, n)
}

// A clock that runs one percent fast admits no more than the limit.
func TestFastClockDoesNotExceedTheLimit(t *testing.T) {
	limit := limiter.Limit{Rate: 50, Burst: 5}
	owner := limiter.NewFullOwner(limiter.TokenOnly, 1, limit, 0)
	spender := limiter.NewSpender(limiter.EqualSplit)
	var pool, lease []limiter.Admission
	for now := timer.Millis(0); now < 120*timer.Second; now++ {
		fast := timer.Millis(float64(now) * 1.01)
		if owner.AdmitLocal(limit, fast) == (limiter.Admitted{}) {
			pool = append(pool, limiter.Admission{At: now})
		}
		spender.SetEqualShare(limit, 1, fast)
		if spender.SpendLease(limit, fast) {
			lease = append(lease, limiter.Admission{At: now})
		}
	}
	require.Greater(t, len(pool), 5900)
	require.NoError(t, limiter.CheckHistory(pool, limit, 1))
	require.NoError(t, limiter.CheckHistory(lease, limit, 1))
}

func TestPermissionIsCheckedAgainAfterTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, limiter.TokenOnly, 1, 20*time.Millisecond)
		f.start(3, exactClock, workspace("a", 100, 100))
		time.Sleep(permission.Duration())
		for _, h := range f.hosts {
			if h == f.owner("a") {
				continue
			}
			h.mu.Lock()
			h.cutAt = h.Now() - permission + 10
			h.mu.Unlock()
			u, ok := h.limiter.Admit(t.Context(), "a").(limiter.Unknown)
			require.True(t, ok, "admitted although the permission ended during the wait")
			require.Equal(t, limiter.NotPermitted, u.Reason)
		}
	})
}
