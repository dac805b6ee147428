package mirrorer_test

import (
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// slowMachine takes a second to stop serving.
type slowMachine struct{ serving chan struct{} }

func (slowMachine) Apply([]byte)         {}
func (slowMachine) Reset()               {}
func (slowMachine) Checkpoint() [][]byte { return nil }
func (m slowMachine) StartServing()      { close(m.serving) }
func (slowMachine) StopServing()         { time.Sleep(time.Second) }

// The groups of a host were closed one after the other, so that a slow disk delayed the end
// of its process for each of them, beyond the grace period.
func TestReplicasOfAHostStopAtTheSameTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timer.System()
		var list []*mirrorer.Replica
		for i := range 12 {
			log, err := mirrorer.OpenLog(filepath.Join(t.TempDir(), "log"), fmt.Sprint("group-", i))
			require.NoError(t, err)
			machine := slowMachine{serving: make(chan struct{})}
			list = append(list, mirrorer.New(mirrorer.Options{
				Group: i, Disk: "disk-a", Incarnation: "a-1", Log: log, Machine: machine, Ledger: storer.NewMemoryLedger(clock), Key: "groups/0",
				Caller: messenger.NewMemory().Host("a:1", messenger.Peer{Name: "a"}), Clock: clock, Logger: zap.NewNop(),
				View: func(cataloger.Group) mirrorer.View {
					return mirrorer.View{Reachable: []string{"disk-a"}, MinHolders: 1, WantedHolders: 1, Stable: true}
				},
				Address: func(string) (string, bool) { return "", false },
			}))
			<-machine.serving
		}
		began := clock.Now()
		mirrorer.CloseAll(list)
		require.Less(t, clock.Now()-began, 2*timer.Second)
	})
}
