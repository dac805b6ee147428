package soaker

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/storer"
)

const (
	// faultsPerOddEntry is the number of faults after which odd entries are written.
	faultsPerOddEntry = 5
	// oddEntryPeriod is how long the entry of a running server stays odd.
	oddEntryPeriod = time.Second
)

// oddEntries are values that name no server.
var oddEntries = []string{
	strings.Repeat("[", 100000), `{"service":"svc","address":"127.0.0.1:99999","state":"ready","slots":4,"born":1}`,
	`{"service":"svc","address":"127.0.0.1:0","state":"ready","slots":4}`, `{"service":"engine","address":"nowhere","state":"ready"}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"ready","slots":99999999999999999999}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"ready","slots":-4}`,
	`{"service":"svc","address":"127.0.0.1:9","state":"ready","born":1e400}`,
	`{"service":7,"address":[],"state":{}}`, "\x00\xff\xfe", "",
}

// injectOddEntries writes odd entries among those of the servers, as another writer might,
// and one over the entry of a running server for a while.
func (f *faultInjector) injectOddEntries(n int) {
	if !f.claim("server") {
		return
	}
	f.record("odd entries")
	r := rand.New(rand.NewPCG(uint64(n), 11))
	list := f.env.allServers()
	s := list[r.IntN(len(list))]
	f.wg.Go(func() {
		defer f.release("server")
		s.setDisturbedUntil(time.Now().Add(time.Hour))
		keys := []string{"servers/" + s.ID, "servers/odd-1", "servers/odd-2", "servers/odd/" + s.ID}
		ctx := context.Background()
		for _, key := range keys {
			value := []byte(oddEntries[r.IntN(len(oddEntries))])
			retry(func() bool {
				_, err := f.env.ledger.Commit(ctx, storer.Transaction{Set: []storer.Item{{Key: key, Value: value}}})
				return err == nil
			})
		}
		time.Sleep(oddEntryPeriod)
		retry(func() bool { return s.WriteEntry(ctx, false) == nil })
		retry(func() bool {
			_, err := f.env.ledger.Commit(ctx, storer.Transaction{Delete: keys[1:]})
			return err == nil
		})
		s.setDisturbedUntil(time.Now())
	})
}
