package registrar_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/stretchr/testify/require"
)

func kitchen(t *testing.T) registrar.Record {
	t.Helper()
	r, err := registrar.Record{}.WithChange("1", registrar.PutWorkspace{Workspace: registrar.Workspace{Name: "kitchen"}, Create: true})
	require.NoError(t, err)
	return r
}

func TestRepeatedChangeLeavesTheRecordUnchanged(t *testing.T) {
	c := registrar.SetLimit{Workspace: "kitchen", RatePerSecond: 5, Burst: 5}
	once, err := kitchen(t).WithChange("2", c)
	require.NoError(t, err)
	twice, err := once.WithChange("2", c)
	require.NoError(t, err)
	require.Equal(t, once, twice)
	a, ok := twice.FindApplied("2")
	require.True(t, ok)
	require.Equal(t, registrar.Version(2), a.Version)
}

func TestReusedIdentifierIsAConflict(t *testing.T) {
	r := kitchen(t)
	same, err := r.WithChange("1", registrar.SetLimit{Workspace: "kitchen", RatePerSecond: 5, Burst: 5})
	var c *registrar.ConflictError
	require.ErrorAs(t, err, &c)
	require.Equal(t, r, same)
}

func TestInvalidChangeIsRefusedAndChangesNothing(t *testing.T) {
	r := kitchen(t)
	for code, c := range map[string]registrar.Change{
		"workspace-exists":  registrar.PutWorkspace{Workspace: registrar.Workspace{Name: "kitchen"}, Create: true},
		"unknown-workspace": registrar.GiveKey{Key: registrar.Key{ID: "k", Workspace: "hall"}},
		"unknown-key":       registrar.WithdrawKey{KeyID: "k"},
		"unknown-preset":    registrar.UsePreset{Name: "peak"},
	} {
		same, err := r.WithChange("2", c)
		var refused *registrar.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, code, refused.Code)
		require.Equal(t, r, same)
	}
}

func TestChangeDoesNotModifyThePreviousRecord(t *testing.T) {
	r := kitchen(t)
	next, err := r.WithChange("2", registrar.GiveKey{Key: registrar.Key{ID: "k", Workspace: "kitchen", Hash: []byte{1}}})
	require.NoError(t, err)
	require.Empty(t, r.Keys)
	_, err = next.WithChange("3", registrar.WithdrawKey{KeyID: "k"})
	require.NoError(t, err)
	require.Len(t, next.Keys, 1)
	require.Nil(t, next.WithoutHashes().Keys["k"].Hash)
	require.NotNil(t, next.Keys["k"].Hash)
}

func TestRecordRoundTrip(t *testing.T) {
	r := kitchen(t).WithMember(registrar.Member{Name: "b", Incarnation: "1"}).WithMember(registrar.Member{Name: "a", Incarnation: "1"})
	data, err := r.Encode()
	require.NoError(t, err)
	again, err := registrar.Decode(data)
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, []string{again.Members[0].Name, again.Members[1].Name})
	same, err := again.Encode()
	require.NoError(t, err)
	require.Equal(t, data, same)
}

func TestEnvelopeRoundTripOfEveryChange(t *testing.T) {
	for _, c := range []registrar.Change{
		registrar.PutWorkspace{},
		registrar.SetLimit{},
		registrar.GiveKey{},
		registrar.WithdrawKey{},
		registrar.PutServer{},
		registrar.RemoveServer{},
		registrar.PutRoute{},
		registrar.PutPreset{},
		registrar.UsePreset{},
		registrar.RemoveHosts{},
	} {
		require.Equal(t, c, registrar.NewEnvelope(c).Change())
	}
	require.Nil(t, registrar.Envelope{}.Change())
}

func TestFormerMembersAreKeptForSomeEpochs(t *testing.T) {
	r := registrar.Record{}.WithMember(registrar.Member{Name: "a", Incarnation: "a-1", UsageKey: []byte{1}})
	r = r.WithMember(registrar.Member{Name: "a", Incarnation: "a-2", UsageKey: []byte{2}}).WithoutMember("a", "a-2")
	require.Equal(t, registrar.FormerMember{Name: "a", Epoch: 2, UsageKey: []byte{1}}, r.Former["a-1"])
	require.Equal(t, registrar.FormerMember{Name: "a", Epoch: 3, UsageKey: []byte{2}}, r.Former["a-2"])
	for i := range 100 {
		r = r.WithMember(registrar.Member{Name: "b", Incarnation: fmt.Sprint("b-", i)})
		require.LessOrEqual(t, len(r.Former), 66)
	}
	require.NotContains(t, r.Former, "a-1")
	require.Contains(t, r.Former, "b-98")
}
