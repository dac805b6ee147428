package mirrorer_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/stretchr/testify/require"
)

// FuzzLogFile checks that a log opens whatever its file holds, and keeps what is appended
// after what it could read.
func FuzzLogFile(f *testing.F) {
	path := filepath.Join(f.TempDir(), "log")
	log, err := mirrorer.OpenLog(path, "group-0")
	require.NoError(f, err)
	for i := range uint64(3) {
		require.NoError(f, log.Append([]mirrorer.Entry{{Term: mirrorer.Term{Epoch: i, Incarnation: "a"}, Data: []byte("data")}}))
	}
	untrimmed, err := os.ReadFile(path)
	require.NoError(f, err)
	require.NoError(f, log.Trim(2))
	trimmed, err := os.ReadFile(path)
	require.NoError(f, err)
	require.NoError(f, log.Close())
	f.Add(untrimmed)
	f.Add(trimmed)
	f.Add(untrimmed[:len(untrimmed)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, data, 0o600))
		l, err := mirrorer.OpenLog(path, "group-0")
		require.NoError(t, err)
		last := l.Last()
		require.NoError(t, l.Append([]mirrorer.Entry{{Term: mirrorer.Term{Epoch: 9, Incarnation: "b"}, Data: []byte("new")}}))
		require.Equal(t, last+1, l.Last())
		require.NoError(t, l.Close())
		l, err = mirrorer.OpenLog(path, "group-0")
		require.NoError(t, err)
		require.Equal(t, last+1, l.Last())
		list, err := l.Read(last+1, 1<<20)
		require.NoError(t, err)
		require.Equal(t, "new", string(list[0].Data))
		require.NoError(t, l.Close())
	})
}
