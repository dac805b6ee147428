package follower_test

import (
	"context"
	"fmt"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/follower"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// A host keeps a snapshot of an in-memory store. In production, the store is the platform's,
// and Options.Relay lets most hosts ask others in its place.
func Example() {
	ctx, clock := context.Background(), timer.System()
	store := storer.NewMemoryLedger(clock)
	f := follower.New(follower.Options{Ledger: store, Decoder: decoder{}, Clock: clock, Logger: zap.NewNop()})
	defer f.Close()
	changed := make(chan struct{}, 1)
	f.Notify(func(s cataloger.Snapshot) {
		if _, ok := s.Servers["one"]; ok {
			select {
			case changed <- struct{}{}:
			default:
			}
		}
	})
	if _, err := store.Commit(ctx, storer.Transaction{Set: []storer.Item{{Key: "servers/one", Value: []byte("ready")}}}); err != nil {
		fmt.Println(err)
		return
	}
	<-changed
	s := f.Snapshot()
	fmt.Println("servers:", len(s.Servers))
	// A host acts on a snapshot only while its age is below a bound.
	fmt.Println("confirmed within a second:", clock.Now()-s.ConfirmedAt < timer.Second)
	// Output:
	// servers: 1
	// confirmed within a second: true
}
