package mirrorer_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/messenger"
	"github.com/jackdawgate/jackdawgate/mirrorer"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// exampleMachine prints what is committed.
type exampleMachine struct{ serving chan struct{} }

func (exampleMachine) Reset()               {}
func (exampleMachine) Apply(data []byte)    { fmt.Printf("committed: %s\n", data) }
func (exampleMachine) Checkpoint() [][]byte { return nil }
func (m exampleMachine) StartServing()      { close(m.serving) }
func (exampleMachine) StopServing()         {}

// A group on one disk, with an in-memory store. In production, a group has several holders,
// View lists the disks of the hosts that answer, and package follower passes on manifests.
func Example() {
	ctx, clock := context.Background(), timer.System()
	folder, err := os.MkdirTemp("", "mirrorer-")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(folder) }()
	log, err := mirrorer.OpenLog(filepath.Join(folder, "log"), "group-0")
	if err != nil {
		fmt.Println(err)
		return
	}
	store := storer.NewMemoryLedger(clock)
	machine := exampleMachine{serving: make(chan struct{})}
	r := mirrorer.New(mirrorer.Options{
		Disk: "disk-a", Incarnation: "a-1", Log: log, Machine: machine, Ledger: store, Key: "groups/0",
		Caller: messenger.NewMemory().Host("a:1", messenger.Peer{Name: "a"}), Clock: clock, Logger: zap.NewNop(),
		View: func(cataloger.Group) mirrorer.View {
			return mirrorer.View{Reachable: []string{"disk-a"}, MinHolders: 1, WantedHolders: 1, Stable: true}
		},
		Address: func(string) (string, bool) { return "", false },
	})
	defer r.Close()
	// The Replica has put the group on its disk, and serves it.
	<-machine.serving
	items, _, err := store.Range(ctx, "groups/")
	if err != nil || len(items) != 1 {
		fmt.Println(items, err)
		return
	}
	var g cataloger.Group
	if err := cbor.Unmarshal(items[0].Value, &g); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("owner:", g.Owner, "holders:", g.Holders)
	fmt.Println("error:", r.Propose(ctx, []byte("first"), []byte("second")))
	// Output:
	// owner: disk-a holders: [disk-a]
	// committed: first
	// committed: second
	// error: <nil>
}
