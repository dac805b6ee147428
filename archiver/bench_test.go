package archiver_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// BenchmarkAppend measures appends of 800-byte records, with and without forcing each
// append to the disk.
func BenchmarkAppend(b *testing.B) {
	for _, x := range []struct {
		name string
		sync persister.SyncPolicy
	}{{"always", persister.SyncAlways}, {"never", persister.SyncNever}} {
		for _, records := range []int{1, 64, 1024} {
			b.Run(fmt.Sprintf("sync=%s,records=%d", x.name, records), func(b *testing.B) {
				s, err := archiver.Open(archiver.StoreOptions{Folder: b.TempDir(), Sync: x.sync, Log: zap.NewNop()})
				require.NoError(b, err)
				rs := make([][]byte, records)
				for i := range rs {
					rs[i] = make([]byte, 800)
				}
				b.SetBytes(int64(800 * records))
				b.ResetTimer()
				for i := range b.N {
					if err := appendTo(s, 1, uint64(i*records), rs); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
				require.NoError(b, s.Close())
			})
		}
	}
}

// BenchmarkFetch copies a 64 MiB segment without a rate limit and with fsync.
func BenchmarkFetch(b *testing.B) {
	const size = 64 << 20
	net := messenger.NewMemory()
	source := net.Host("source", messenger.Peer{Name: "source"})
	open := func(folder string) *archiver.Store {
		s, err := archiver.Open(archiver.StoreOptions{Folder: folder, Log: zap.NewNop()})
		require.NoError(b, err)
		return s
	}
	from := open(b.TempDir())
	from.Register(source, source)
	rs := make([][]byte, 1024)
	for i := range rs {
		rs[i] = make([]byte, 1024-16)
	}
	for i := range uint64(size >> 20) {
		require.NoError(b, appendTo(from, 1, i*1024, rs))
	}
	info, err := from.Seal(segmenter.SealRequest{Name: "a/b", Epoch: 1, Final: true, Records: size >> 10})
	require.NoError(b, err)
	b.SetBytes(size)
	b.ResetTimer()
	for range b.N {
		to := open(b.TempDir())
		_, err := to.Fetch(b.Context(), source, segmenter.FetchRequest{Info: info, Source: "source"})
		require.NoError(b, err)
		require.NoError(b, to.Close())
	}
	require.NoError(b, from.Close())
}
