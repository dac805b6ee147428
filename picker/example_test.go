package picker_test

import (
	"fmt"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"go.uber.org/zap"
)

// Two servers, one of which has a call of another host. In production, package follower
// keeps the snapshot, package gossiper the load of other hosts, and package departer the
// servers that are leaving.
func Example() {
	clock, logger := timer.System(), zap.NewNop()
	fleet := cataloger.Snapshot{}.WithServers([]cataloger.Server{
		{ID: "one", Service: "chat", Slots: 4, DataCentre: "kolkata"},
		{ID: "two", Service: "chat", Slots: 4, DataCentre: "kolkata"},
	})
	others := map[string]gossiper.Load{"one": {Online: 1}}
	p := picker.New(picker.Options{
		Snapshot:   func() cataloger.Snapshot { return fleet },
		RemoteLoad: func(server string) gossiper.Load { return others[server] },
		Ejector:    ejector.New(clock, logger),
		Leaving:    func(cataloger.Incarnation) bool { return false },
		Slowdown:   func(string) float64 { return 1 },
		Throttler:  throttler.New(clock, logger),
		OnChange:   func() {},
		DataCentre: "kolkata",
	})
	r, err := p.Pick("chat", selector.Request{})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("server:", r.Server.ID)
	fmt.Println("calls of this host:", p.Loads()["two"].Online)
	r.Release()
	fmt.Println("after the call:", p.Loads()["two"].Online)
	_, err = p.Pick("embeddings", selector.Request{})
	fmt.Println(err)
	// Output:
	// server: two
	// calls of this host: 1
	// after the call: 0
	// no usable server of service embeddings
}
