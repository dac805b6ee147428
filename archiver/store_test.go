package archiver_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// openStore opens the data folder without forcing writes to the disk.
func openStore(t require.TestingT, folder string) *archiver.Store {
	s, err := archiver.Open(archiver.StoreOptions{Folder: folder, Sync: persister.SyncNever, Log: zap.NewNop()})
	require.NoError(t, err)
	return s
}

// records returns n records that contain consecutive numbers, starting with from.
func records(from, n int) [][]byte {
	var out [][]byte
	for i := from; i < from+n; i++ {
		out = append(out, []byte(fmt.Sprintf("record %d", i)))
	}
	return out
}

// appendTo appends records to the segment a/b and creates it if first is 0.
func appendTo(s *archiver.Store, epoch registrar.Epoch, first uint64, rs [][]byte) error {
	_, err := s.Append(segmenter.AppendRequest{Name: "a/b", Epoch: epoch, First: first, Records: rs, Create: first == 0})
	return err
}

// readAll reads the segment a/b page by page, up to its end or the first error.
func readAll(s *archiver.Store) ([][]byte, error) {
	var out [][]byte
	for {
		p, err := s.Read(segmenter.ReadRequest{Name: "a/b", From: uint64(len(out)), MaxBytes: 64})
		if err != nil {
			return out, err
		}
		out = append(out, p.Records...)
		if p.End {
			return out, nil
		}
	}
}

// freeze freezes the segment a/b and returns its description.
func freeze(t require.TestingT, s *archiver.Store, epoch registrar.Epoch) segmenter.Info {
	i, err := s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: epoch})
	require.NoError(t, err)
	return i
}

func TestAppendRepeatsAndGaps(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer func() { require.NoError(t, s.Close()) }()
	require.NoError(t, appendTo(s, 1, 0, records(0, 5)))
	require.NoError(t, appendTo(s, 1, 0, records(0, 5)))
	require.NoError(t, appendTo(s, 1, 3, records(3, 4)), "a repeat that goes on adds only what is new")
	require.True(t, segmenter.HasCode(appendTo(s, 1, 9, records(9, 1)), segmenter.CodeGap))
	require.True(t, segmenter.HasCode(appendTo(s, 1, 2, records(7, 1)), segmenter.CodeMismatch))
	require.Equal(t, uint64(7), freeze(t, s, 1).Records)
	got, err := readAll(s)
	require.NoError(t, err)
	require.Equal(t, records(0, 7), got)
}

func TestReadOfOpenSegmentReturnsOnlyCommittedRecords(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer func() { require.NoError(t, s.Close()) }()
	require.NoError(t, appendTo(s, 1, 0, records(0, 5)))
	got, err := readAll(s)
	require.NoError(t, err)
	require.Empty(t, got)
	_, err = s.Append(segmenter.AppendRequest{Name: "a/b", Epoch: 1, First: 5, Records: records(5, 1), Committed: 5})
	require.NoError(t, err)
	got, err = readAll(s)
	require.NoError(t, err)
	require.Equal(t, records(0, 5), got)
}

func TestLowerEpochIsRefusedAfterRestart(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.NoError(t, appendTo(s, 3, 0, records(0, 1)))
	require.NoError(t, appendTo(s, 7, 1, records(1, 1)))
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	require.True(t, segmenter.HasCode(appendTo(s, 6, 2, records(2, 1)), segmenter.CodeOldEpoch))
	_, err := s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 6})
	require.True(t, segmenter.HasCode(err, segmenter.CodeOldEpoch))
	require.Equal(t, uint64(2), freeze(t, s, 8).Records)
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	defer func() { require.NoError(t, s.Close()) }()
	require.True(t, segmenter.HasCode(appendTo(s, 9, 2, records(2, 1)), segmenter.CodeFrozen))
}

func TestFreezeOfUnknownSegmentRefusesLateWriter(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.True(t, freeze(t, s, 4).Missing)
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	defer func() { require.NoError(t, s.Close()) }()
	require.True(t, segmenter.HasCode(appendTo(s, 3, 0, records(0, 1)), segmenter.CodeOldEpoch))
	require.True(t, segmenter.HasCode(appendTo(s, 5, 0, records(0, 1)), segmenter.CodeFrozen))
}

func TestFinalLengthTruncatesTheTail(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.NoError(t, appendTo(s, 1, 0, records(0, 9)))
	_, err := s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 2, Final: true, Records: 10})
	require.True(t, segmenter.HasCode(err, segmenter.CodeShort))
	_, err = s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 2, Final: true, Records: 6})
	require.NoError(t, err)
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	defer func() { require.NoError(t, s.Close()) }()
	got, err := readAll(s)
	require.NoError(t, err)
	require.Equal(t, records(0, 6), got)
}

// dataFile returns the path of the only data file in folder.
func dataFile(t require.TestingT, folder string) string {
	paths, err := filepath.Glob(filepath.Join(folder, "*.data"))
	require.NoError(t, err)
	require.Len(t, paths, 1)
	return paths[0]
}

// The file is truncated, or overwritten with zeros, from any byte of the last append
// on. What remains must be a prefix of the records that has all earlier appends.
func TestTornTailIsTruncatedToCompleteRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(r, err)
		s := openStore(r, folder)
		before := rapid.IntRange(1, 40).Draw(r, "before")
		require.NoError(r, appendTo(s, 1, 0, records(0, before)))
		st, err := os.Stat(dataFile(r, folder))
		require.NoError(r, err)
		last := rapid.IntRange(1, 20).Draw(r, "last")
		require.NoError(r, appendTo(s, 1, uint64(before), records(before, last)))
		require.NoError(r, s.Close())

		data, err := os.ReadFile(dataFile(r, folder))
		require.NoError(r, err)
		cut := rapid.IntRange(int(st.Size()), len(data)-1).Draw(r, "cut")
		if rapid.Bool().Draw(r, "zeros") {
			clear(data[cut:])
		} else {
			data = data[:cut]
		}
		require.NoError(r, os.WriteFile(dataFile(r, folder), data, 0o600))

		s = openStore(r, folder)
		have := freeze(r, s, 1).Records
		require.GreaterOrEqual(r, have, uint64(before))
		require.Less(r, have, uint64(before+last))
		got, err := readAll(s)
		require.NoError(r, err)
		require.Equal(r, records(0, int(have)), got)
		require.NoError(r, s.Close())
	})
}

// One byte of a segment's file is changed, whether the segment is final or not. No
// read may return a record that was not written. The damage must be reported unless
// the byte is in the last append of a segment that is not final, where it looks like
// an incomplete append.
func TestCorruptRecordIsReportedAndNotReturned(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "")
		require.NoError(r, err)
		s := openStore(r, folder)
		n := rapid.IntRange(2, 40).Draw(r, "n")
		for i := range n {
			require.NoError(r, appendTo(s, 1, uint64(i), records(i, 1)))
		}
		final := rapid.Bool().Draw(r, "final")
		if final {
			_, err := s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 1, Final: true, Records: uint64(n)})
			require.NoError(r, err)
		}
		require.NoError(r, s.Close())
		path := dataFile(r, folder)
		data, err := os.ReadFile(path)
		require.NoError(r, err)
		lastAppend := len(data) - 16 - len(records(n-1, 1)[0])
		at := rapid.IntRange(0, len(data)-1).Draw(r, "at")
		data[at] ^= byte(rapid.IntRange(1, 255).Draw(r, "flip"))
		require.NoError(r, os.WriteFile(path, data, 0o600))

		s = openStore(r, folder)
		if !final {
			freeze(r, s, 1)
		}
		got, err := readAll(s)
		require.Less(r, len(got), n)
		require.True(r, bytes.Equal(bytes.Join(got, nil), bytes.Join(records(0, len(got)), nil)))
		if final || at < lastAppend {
			require.True(r, segmenter.HasCode(err, segmenter.CodeCorrupt), "got %v", err)
		}
		require.NoError(r, s.Close())
	})
}

// Verify told of segments that were damaged, unknown, open or in a closed store that they
// were intact.
func TestVerifyTellsWhatIsKnownOfASegment(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	verify := func(name string) archiver.Verdict {
		v, _ := s.Verify(t.Context(), name, 0)
		return v
	}
	require.Equal(t, archiver.NotVerified, verify("a/unknown"))
	require.NoError(t, appendTo(s, 1, 0, records(0, 5)))
	require.Equal(t, archiver.NotVerified, verify("a/b"), "not final")
	_, err := s.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 1, Final: true, Records: 5})
	require.NoError(t, err)
	require.Equal(t, archiver.Intact, verify("a/b"))
	require.NoError(t, s.Close())
	require.Equal(t, archiver.NotVerified, verify("a/b"), "closed")
	path := dataFile(t, folder)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	data[len(data)-1] ^= 1
	require.NoError(t, os.WriteFile(path, data, 0o600))
	s = openStore(t, folder)
	require.Equal(t, archiver.Damaged, verify("a/b"))
	require.Equal(t, archiver.Damaged, verify("a/b"), "still, when asked again")
	require.NoError(t, s.Close())
}

func TestOpenFailsIfFolderIsAlreadyOpen(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	_, err := archiver.Open(archiver.StoreOptions{Folder: folder, Log: zap.NewNop()})
	require.Error(t, err)
	require.NoError(t, s.Close())
}
