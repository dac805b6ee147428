//go:build review

package main

import (
	"bytes"
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

//go:embed names.json
var namesFile []byte

//go:embed config.json
var configFile []byte

// names are the names of the platform's messages, from names.json.
var names struct {
	SettingsVariable, RequestID, Key, Seal, Instance, Expect, NotRun, Tenant, Deadline, Wait, LastEvent, Model, Tokens, ConfigKey string
	ServerEntry                                                                                                                   map[string]any
}

// The names of the configuration in config.json.
const (
	counterHost   = "counter.example"
	batchHost     = "dispatch.example"
	openHost      = "open.example"
	openPrefix    = "/open/"
	openJob       = "0be4a1"
	serviceName   = "desk"
	counterPrefix = "/counter/"
	batchPrefix   = "/dispatch/"
	officeKey     = "office-key"
	depotKey      = "depot-key"
)

// world is everything around the fleet, and the fleet.
type world struct {
	folder string
	ledger *storer.MemoryLedger
	store  *http.Server
	// storeAddress is the address of the store.
	storeAddress string
	started      time.Time

	mu      sync.Mutex
	record  *os.File
	hosts   []*host
	servers []*server
	proxies map[string]*proxy
	closed  bool
	stop    context.CancelFunc
	ctx     context.Context
}

// newWorld starts the store and writes the configuration to it.
func newWorld(recordPath string) (*world, error) {
	if err := json.Unmarshal(namesFile, &names); err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, ledger: storer.NewMemoryLedger(timer.System()), record: record, started: time.Now(), proxies: make(map[string]*proxy)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddress = l.Addr().String()
	store := standin.NewStore(w.ledger)
	store.OnWrite(w.showProxies)
	w.store = &http.Server{Handler: store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.store.Serve(l) }()
	return w, nil
}

// configure writes the configuration, changed by change.
func (w *world) configure(change func(c map[string]any)) error {
	var c map[string]any
	if err := json.Unmarshal(configFile, &c); err != nil {
		return err
	}
	if change != nil {
		change(c)
	}
	value, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = w.ledger.Commit(w.ctx, storer.Transaction{Set: []storer.Item{{Key: names.ConfigKey, Value: value}}})
	return err
}

// showProxies replaces the addresses of hosts by those of their proxies in a value that is
// written to the store.
func (w *world) showProxies(value []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for target, p := range w.proxies {
		value = bytes.ReplaceAll(value, []byte(target), []byte(p.address()))
	}
	return value
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = w.record.WriteString(line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Print(line)
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.stop()
	w.mu.Lock()
	w.closed = true
	hosts, servers := w.hosts, w.servers
	w.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	for _, s := range servers {
		s.close()
	}
	_ = w.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range hosts {
			if data, err := os.ReadFile(h.logPath()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.folder)
	_ = w.record.Close()
}

// freeAddress returns a loopback address whose port is free for streams and datagrams.
func freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		d, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = d.Close()
			// Addresses of equal length can stand in for one another in an encoded entry.
			if len(address) == len("127.0.0.1:40000") {
				return address, nil
			}
		}
	}
}
