package replicator_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/archiver"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/copier"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/persister"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/replicator"
	"github.com/jackdawgate/jackdawgate/segmenter"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// fleet is a group of hosts with data folders, two in each data centre, that are
// connected by an in-memory network. It implements coordinator.Viewer for them.
type fleet struct {
	t       *testing.T
	net     *messenger.Memory
	folders map[string]string
	stores  map[string]*archiver.Store
	copiers map[string]*copier.Copier
	client  *replicator.Client

	mu     sync.Mutex
	record registrar.Record
}

func (f *fleet) View() coordinator.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return coordinator.Snapshot{}.WithRecord(f.record)
}

func newFleet(t *testing.T, dataCentres ...string) *fleet {
	f := &fleet{
		t: t, net: messenger.NewMemory(), folders: make(map[string]string),
		stores: make(map[string]*archiver.Store), copiers: make(map[string]*copier.Copier),
	}
	for _, d := range dataCentres {
		for i := range 2 {
			name := fmt.Sprintf("%s%d", d, i)
			f.folders[name] = t.TempDir()
			f.record = f.record.WithMember(registrar.Member{Name: name, DataCentre: d, PeerAddress: name, Bulk: true})
		}
	}
	f.client = f.newClient("client")
	for name := range f.folders {
		f.start(name)
	}
	return f
}

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

// newClient returns a client that sends its calls as the host called name.
func (f *fleet) newClient(name string) *replicator.Client {
	return replicator.NewClient(replicator.ClientOptions{
		Caller: f.net.Host(name, messenger.Peer{Name: name}), Viewer: f, Log: zap.NewNop(),
	})
}

// start opens the host's store and starts its copier.
func (f *fleet) start(name string) {
	s := openStore(f.t, f.folders[name])
	h := f.net.Host(name, messenger.Peer{Name: name})
	s.Register(h, h)
	f.stores[name] = s
	f.copiers[name] = copier.New(copier.Options{
		Store: s, Self: name, Clock: timer.System(), Log: zap.NewNop(), BytesPerSecond: 1 << 20,
		Client: replicator.NewClient(replicator.ClientOptions{Caller: h, Viewer: f, Log: zap.NewNop()}),
	})
}

// stop stops the host. It remains a member.
func (f *fleet) stop(name string) {
	f.net.Remove(name)
	f.copiers[name].Close()
	require.NoError(f.t, f.stores[name].Close())
	delete(f.stores, name)
}

// removeMember removes the host from the members without stopping it.
func (f *fleet) removeMember(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record = f.record.WithoutMember(name, "")
}

func (f *fleet) close() {
	for name := range f.stores {
		f.stop(name)
	}
}

// write creates a segment with n records and returns its writer.
func (f *fleet) write(name string, n int) *replicator.Writer {
	w, err := f.client.Create(f.t.Context(), replicator.CreateRequest{Name: name, Epoch: 1})
	require.NoError(f.t, err)
	require.NoError(f.t, w.Append(f.t.Context(), 1, records(0, n)))
	return w
}

// read returns all records of a segment.
func (f *fleet) read(name string, holders []string) ([][]byte, error) {
	var out [][]byte
	err := f.client.Read(f.t.Context(), name, holders, 0, 0, func(_ uint64, r []byte) error {
		out = append(out, r)
		return nil
	})
	return out, err
}

// copies returns the sorted names of the running hosts that have a whole copy.
func (f *fleet) copies(name string) []string {
	var out []string
	for h, s := range f.stores {
		infos, err := s.Info([]string{name})
		require.NoError(f.t, err)
		if len(infos) == 1 && infos[0].Final && !infos[0].Damaged && !infos[0].Deleted {
			out = append(out, h)
		}
	}
	slices.Sort(out)
	return out
}

func TestHoldersAreInDifferentDataCentres(t *testing.T) {
	for _, c := range []struct {
		dataCentres []string
		copies      int
	}{{[]string{"x"}, 2}, {[]string{"x", "y"}, 2}, {[]string{"x", "y", "z"}, 3}, {[]string{"w", "x", "y", "z"}, 3}} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, c.dataCentres...)
			defer f.close()
			for i := range 20 {
				w := f.write(fmt.Sprintf("s/%d", i), 1)
				seen := make(map[string]bool)
				for _, h := range w.Holders() {
					seen[h[:1]] = true
				}
				require.Len(t, w.Holders(), c.copies)
				require.Len(t, seen, min(c.copies, len(c.dataCentres)))
			}
		})
	}
}

func TestCreateFailsIfHoldersOfOnlyOneOfTwoDataCentresAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		defer f.close()
		f.stop("y0")
		f.stop("y1")
		_, err := f.client.Create(t.Context(), replicator.CreateRequest{Name: "s", Epoch: 1})
		var notEnough *replicator.NotEnoughHoldersError
		require.ErrorAs(t, err, &notEnough)
	})
}

func TestReadContinuesAtNextHolderAfterDamageAndLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y", "z")
		defer f.close()
		w := f.write("s", 200)
		require.NoError(t, w.Finalize(t.Context(), 1))
		h := w.Holders()
		f.net.Cut("client", h[0], true)
		path := filepath.Join(f.folders[h[1]], "s.data")
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		data[len(data)/2] ^= 1
		require.NoError(t, os.WriteFile(path, data, 0o600))
		got, err := f.read("s", h)
		require.NoError(t, err)
		require.Equal(t, records(0, 200), got)
	})
}

func TestFreezeStopsOldWriterAndReturnsTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		defer f.close()
		w := f.write("s", 3)
		f.net.Cut("client", w.Holders()[1], true)
		var lost *replicator.HolderError
		require.ErrorAs(t, w.Append(t.Context(), 1, records(3, 2)), &lost)
		f.net.Cut("client", w.Holders()[1], false)

		frozen, err := f.client.Freeze(t.Context(), "s", w.Holders(), 2)
		require.NoError(t, err)
		require.Equal(t, uint64(3), frozen.Records)
		require.Equal(t, records(3, 2), frozen.Tail)
		for _, h := range w.Holders() {
			_, err := f.stores[h].Append(segmenter.AppendRequest{Name: "s", Epoch: 1, First: 3, Records: records(3, 1)})
			require.True(t, segmenter.HasCode(err, segmenter.CodeOldEpoch))
		}
		_, err = f.client.Freeze(t.Context(), "s", w.Holders(), 1)
		require.True(t, segmenter.HasCode(err, segmenter.CodeOldEpoch))

		require.NoError(t, f.client.Finalize(t.Context(), replicator.FinalizeRequest{
			Name: "s", Holders: w.Holders(), Epoch: 2, Records: frozen.Records,
		}))
		got, err := f.read("s", w.Holders())
		require.NoError(t, err)
		require.Equal(t, records(0, 3), got)
	})
}

func TestLostHolderIsReplacedOnceAtLimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y", "z")
		defer f.close()
		w, err := f.client.Create(t.Context(), replicator.CreateRequest{Name: "s", Epoch: 1})
		require.NoError(t, err)
		big := []byte(strings.Repeat("b", 512<<10))
		for range 20 {
			require.NoError(t, w.Append(t.Context(), 1, [][]byte{big}))
		}
		require.NoError(t, w.Finalize(t.Context(), 1))
		time.Sleep(10 * time.Second)
		lost := w.Holders()[0]
		f.stop(lost)
		time.Sleep(30 * time.Second)
		require.Len(t, f.copies("s"), 2, "a member that does not respond is not replaced")
		f.removeMember(lost)
		time.Sleep(70 * time.Second)
		require.Len(t, f.copies("s"), 2, "10 MB at 1 MB/s are not copied at once")
		time.Sleep(15 * time.Second)
		require.Len(t, f.copies("s"), 3)
		require.NotContains(t, f.copies("s"), lost)
		time.Sleep(30 * time.Minute)
		require.Len(t, f.copies("s"), 3, "no more copies than wanted")

		for _, h := range w.Holders()[1:] {
			f.stop(h)
		}
		got, err := f.read("s", w.Holders())
		require.NoError(t, err, "the new copy is found though no list names its holder")
		require.Len(t, got, 20)
	})
}

func TestEmptiedFolderAndDamageAreRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		defer f.close()
		w := f.write("s", 50)
		require.NoError(t, w.Finalize(t.Context(), 1))
		h := w.Holders()
		f.stop(h[0])
		f.folders[h[0]] = t.TempDir()
		f.start(h[0])
		time.Sleep(11 * time.Minute)
		require.Equal(t, slices.Sorted(slices.Values(h)), f.copies("s"))

		path := filepath.Join(f.folders[h[1]], "s.data")
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		data[100] ^= 1
		require.NoError(t, os.WriteFile(path, data, 0o600))
		time.Sleep(25 * time.Hour)
		repaired, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NotEqual(t, data, repaired)
		require.Equal(t, slices.Sorted(slices.Values(h)), f.copies("s"))
	})
}

func TestDeletedSegmentIsNotCopiedBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		defer f.close()
		w := f.write("s", 5)
		require.NoError(t, w.Finalize(t.Context(), 1))
		stopped := w.Holders()[0]
		f.stop(stopped)
		require.Error(t, f.client.Delete(t.Context(), "s"), "not all holders answered")
		f.start(stopped)
		time.Sleep(11 * time.Minute)
		require.Empty(t, f.copies("s"))
		l, err := f.client.List(t.Context(), "s")
		require.NoError(t, err)
		require.Empty(t, l.Infos)
	})
}

func TestExpiredSegmentIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "x", "y")
		defer f.close()
		w, err := f.client.Create(t.Context(), replicator.CreateRequest{Name: "s", Epoch: 1, Expires: timer.Wall() + 3600*timer.Second})
		require.NoError(t, err)
		require.NoError(t, w.Append(t.Context(), 1, records(0, 5)))
		require.NoError(t, w.Finalize(t.Context(), 1))
		time.Sleep(59 * time.Minute)
		require.Len(t, f.copies("s"), 2)
		time.Sleep(2 * time.Minute)
		require.Empty(t, f.copies("s"))
		for _, folder := range f.folders {
			left, err := filepath.Glob(filepath.Join(folder, "s.*"))
			require.NoError(t, err)
			require.Empty(t, left)
		}
	})
}
