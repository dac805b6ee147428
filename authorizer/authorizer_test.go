package authorizer_test

import (
	"testing"

	"github.com/jackdawgate/jackdawgate/authorizer"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/stretchr/testify/require"
)

// What a caller may do follows from its key alone, and a call about a job that is not the caller's
// is answered as one about no job. The tests of package broker make the calls.
func TestOwnerFollowsFromTheKeyAlone(t *testing.T) {
	w := authorizer.Owner{Workspace: "w"}
	nobody := authorizer.Owner{}
	some := cataloger.NewConfig(cataloger.ConfigParts{Workspaces: []cataloger.Workspace{{Name: "w"}}, Keys: map[string]string{"k": "w"}})
	none := cataloger.NewConfig(cataloger.ConfigParts{})
	for _, c := range []struct {
		config                        *cataloger.Config
		key                           string
		submission, call              authorizer.Owner
		submissionErr, callErr, other error
	}{
		{some, "k", w, w, nil, nil, nil},
		{some, "", nobody, nobody, authorizer.ErrNoKey, nil, authorizer.ErrNoKey},
		{some, "x", nobody, nobody, authorizer.ErrUnknownKey, authorizer.ErrUnknownKey, authorizer.ErrUnknownKey},
		{none, "", nobody, nobody, nil, nil, nil},
		{none, "k", nobody, nobody, nil, nil, authorizer.ErrUnknownKey},
	} {
		caller := authorizer.Identify(c.config, c.key)
		owner, err := authorizer.OwnerOfSubmission(caller)
		require.Equal(t, c.submissionErr, err, "%T", caller)
		require.Equal(t, c.submission, owner, "%T", caller)
		owner, err = authorizer.OwnerForCall(caller)
		require.Equal(t, c.callErr, err, "%T", caller)
		require.Equal(t, c.call, owner, "%T", caller)
		require.Equal(t, c.other, authorizer.IfAbsent(caller), "%T", caller)
	}
	require.Equal(t, authorizer.Granted{}, authorizer.Check(w, w, true))
	require.Equal(t, authorizer.Granted{}, authorizer.Check(nobody, nobody, true))
	require.Equal(t, authorizer.Foreign{}, authorizer.Check(nobody, w, true))
	require.Equal(t, authorizer.Foreign{}, authorizer.Check(w, nobody, true))
	require.Equal(t, authorizer.Absent{}, authorizer.Check(w, w, false))
}
