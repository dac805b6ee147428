package mirrorer_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/framer"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/stretchr/testify/require"
)

func open(t *testing.T, path string) *mirrorer.Log {
	t.Helper()
	l, err := mirrorer.OpenLog(path, "group-0")
	require.NoError(t, err)
	return l
}

func entries(epoch uint64, texts ...string) []mirrorer.Entry {
	var out []mirrorer.Entry
	for _, s := range texts {
		out = append(out, mirrorer.Entry{Term: mirrorer.Term{Epoch: epoch, Incarnation: "i"}, Data: []byte(s)})
	}
	return out
}

func texts(t *testing.T, l *mirrorer.Log) []string {
	t.Helper()
	var out []string
	for from := l.Base() + 1; from <= l.Last(); {
		list, err := l.Read(from, 10)
		require.NoError(t, err)
		require.NotEmpty(t, list)
		for _, e := range list {
			out = append(out, string(e.Data))
		}
		from += uint64(len(list))
	}
	return out
}

func TestLogIsReadAgainAfterARestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b")))
	require.NoError(t, l.Append(entries(2, "c")))
	require.NoError(t, l.Close())
	l = open(t, path)
	require.Equal(t, []string{"a", "b", "c"}, texts(t, l))
	require.EqualValues(t, 2, l.TermAt(3).Epoch)
	require.EqualValues(t, 1, l.FirstOfTerm(2))
}

func TestTornTailIsTruncatedAndOverwritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b")))
	whole := l.Bytes()
	require.NoError(t, l.Append(entries(1, "lost in part")))
	require.NoError(t, l.Close())
	for cut := whole + 1; cut < whole+20; cut += 6 {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		torn := append([]byte(nil), data[:cut]...)
		torn = append(torn, make([]byte, 64)...)
		other := filepath.Join(t.TempDir(), "torn")
		require.NoError(t, os.WriteFile(other, torn, 0o600))
		l = open(t, other)
		require.Equal(t, []string{"a", "b"}, texts(t, l))
		require.NoError(t, l.Append(entries(3, "d")))
		require.NoError(t, l.Close())
		require.Equal(t, []string{"a", "b", "d"}, texts(t, open(t, other)))
	}
}

func TestTruncatedEntriesDoNotReappear(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b", "c")))
	require.NoError(t, l.Truncate(1))
	require.NoError(t, l.Append(entries(2, "d")))
	require.NoError(t, l.Close())
	require.Equal(t, []string{"a", "d"}, texts(t, open(t, path)))
}

func TestTrimmedLogAcceptsAppends(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b")))
	require.NoError(t, l.Append(entries(2, "c", "d")))
	before := l.Bytes()
	require.NoError(t, l.Trim(2))
	require.NoError(t, l.Append(entries(2, "e")))
	check := func(want ...string) {
		t.Helper()
		require.EqualValues(t, 2, l.Base())
		require.EqualValues(t, 1, l.TermAt(2).Epoch, "the term at the base is kept")
		require.Equal(t, want, texts(t, l))
	}
	check("c", "d", "e")
	require.Less(t, l.Bytes(), 2*before)
	require.NoError(t, l.Close())
	l = open(t, path)
	check("c", "d", "e")
	require.EqualValues(t, 5, l.Last())
	require.EqualValues(t, 3, l.FirstOfTerm(5))
	require.NoError(t, l.Truncate(3))
	check("c")
	require.NoError(t, l.Append(entries(3, "f")))
	require.NoError(t, l.Close())
	l = open(t, path)
	check("c", "f")
	require.NoError(t, l.Trim(4))
	require.NoError(t, l.Append(entries(3, "g")))
	require.NoError(t, l.Close())
	l = open(t, path)
	require.EqualValues(t, 4, l.Base())
	require.Equal(t, []string{"g"}, texts(t, l))
}

func TestRestartedLogBeginsAfterItsBase(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b")))
	require.NoError(t, l.ResetTo(7, entries(4, "x")[0].Term))
	require.EqualValues(t, 7, l.Last())
	require.NoError(t, l.Append(entries(5, "c")))
	require.NoError(t, l.Close())
	l = open(t, path)
	require.EqualValues(t, 8, l.Last())
	require.EqualValues(t, 4, l.TermAt(7).Epoch)
	require.Equal(t, []string{"c"}, texts(t, l))
}

// A power loss during Trim leaves the old file, and possibly an incomplete new one.
func TestLogSurvivesInterruptedTrim(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a", "b")))
	require.NoError(t, os.WriteFile(path+".new", []byte("half"), 0o600))
	require.NoError(t, l.Close())
	l = open(t, path)
	require.Equal(t, []string{"a", "b"}, texts(t, l))
	require.NoError(t, l.Trim(1))
	require.Equal(t, []string{"b"}, texts(t, l))
}

// An entry was written that no log reads again.
func TestEntryThatCannotBeReadAgainIsNotWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	l := open(t, path)
	require.NoError(t, l.Append(entries(1, "a")))
	whole := l.Bytes()
	var long *mirrorer.TooLongError
	require.ErrorAs(t, l.Append(entries(1, "b", strings.Repeat("x", framer.MaxRecordBytes))), &long)
	require.Equal(t, framer.MaxRecordBytes, long.MaxBytes)
	require.Equal(t, whole, l.Bytes())
	longest := strings.Repeat("x", mirrorer.MaxDataBytes)
	require.NoError(t, l.Append(entries(1, longest, "c")))
	require.NoError(t, l.Close())
	l = open(t, path)
	require.Equal(t, []string{"a", longest, "c"}, texts(t, l))
	require.NoError(t, l.Close())
}
