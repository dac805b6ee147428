//go:build review

// Command rig plays the cases of the second review that are scripts. It starts the deployed
// program as separate processes on loopback addresses, with a store, an operator, model servers
// and callers that follow the platform's pages.
package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/storer"
	"github.com/jackdawgate/jackdawgate/timer"
)

//go:embed names.json
var namesFile []byte

// names are the platform's names, which stand in names.json.
var names struct {
	ConfigKey    string         `json:"config_key"`
	ServerPrefix string         `json:"server_prefix"`
	RetirePrefix string         `json:"retire_prefix"`
	StatusPrefix string         `json:"status_prefix"`
	RequestID    string         `json:"request_id"`
	Deadline     string         `json:"deadline"`
	ExpectServer string         `json:"expect_server"`
	ServerID     string         `json:"server_id"`
	Seal         string         `json:"seal"`
	NotRun       string         `json:"not_run"`
	Workspace    string         `json:"workspace"`
	Key          string         `json:"key"`
	ResumeAfter  string         `json:"resume_after"`
	Model        string         `json:"model"`
	Tokens       string         `json:"tokens"`
	Prompt       string         `json:"prompt"`
	Wait         string         `json:"wait"`
	JobsPath     string         `json:"jobs_path"`
	ItemsPath    string         `json:"items_path"`
	ReadyPath    string         `json:"ready_path"`
	Config       map[string]any `json:"config"`
}

// routeHost is the host name of all routes.
const routeHost = "pack.example"

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// rig is everything around the fleet, and the fleet.
type rig struct {
	trouble bool
	folder  string
	program string
	ledger  *storer.MemoryLedger
	store   *http.Server
	address string
	hosts   []*host
	servers []*server
	started time.Time
	// addresses are those that hosts use.
	addresses map[string]bool

	mu     sync.Mutex
	record *os.File
	closed bool
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*rig) int{"jobs": playJobs, "items": playItems, "spoil": playSpoil, "endless": playEndless}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return failed
	}
	if err := json.Unmarshal(namesFile, &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stopped
		_ = r.cannotRun(errors.New("stopped before the end"))
		r.close()
		os.Exit(failed)
	}()
	return cases[os.Args[1]](r)
}

func newRig(record string) (*rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/jackdawgated")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ledger := storer.NewMemoryLedger(timer.System())
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, program: program, ledger: ledger, record: f, started: time.Now(), addresses: make(map[string]bool),
		store: &http.Server{Handler: standin.NewStore(ledger), ReadHeaderTimeout: time.Minute}, address: l.Addr().String(),
	}
	go func() { _ = r.store.Serve(l) }()
	r.note("trouble %v", r.trouble)
	return r, nil
}

// note writes a line to the record, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes the configuration to the store, as the operator does.
func (r *rig) configure() error {
	value, err := json.Marshal(names.Config)
	if err != nil {
		return err
	}
	_, err = r.ledger.Commit(context.Background(), storer.Transaction{Set: []storer.Item{{Key: names.ConfigKey, Value: value}}})
	return err
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.end()
	}
	for _, s := range r.servers {
		s.close()
	}
	_ = r.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.record.Close()
}

// Ports of the hosts. They lie below those that systems give to outgoing connections, so that a
// process finds its port free when it starts again.
const firstPort, lastPort = 12000, 31999

// freeAddress returns an address on the loopback interface with a port that is free for TCP and
// UDP, and that it has not returned before.
func (r *rig) freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort+1))
		if r.addresses[address] {
			continue
		}
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			r.addresses[address] = true
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// verdict notes the outcome of a case and returns its exit code.
func (r *rig) verdict(problems []string) int {
	if len(problems) == 0 {
		r.note("held")
		fmt.Println("held")
		return held
	}
	for _, p := range problems {
		r.note("broken: %s", p)
		fmt.Println("broken:", p)
	}
	return broken
}

// ends notes what became of the processes, and returns the problem if the rule Fault is broken:
// processes ended by themselves, or for their memory, three times on a tenth of the machines, two
// at least.
func (r *rig) ends() []string {
	often := 0
	for _, h := range r.hosts {
		peak, kills, exits := h.counts()
		r.note("%s: peak %d MB of %d MB, killed for it %d times, ended %d times, disk %d MB", h.name, peak, h.memoryMB, kills, exits, h.diskMB())
		if exits >= maxEnds {
			often++
		}
	}
	if often < max(2, (len(r.hosts)+9)/10) {
		return nil
	}
	return []string{fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves %d times or more", often, len(r.hosts), maxEnds)}
}

// maxEnds is how often processes of a machine end by themselves when the machine counts for the
// rule Fault.
const maxEnds = 3

// cannotRun notes why a case could not run.
func (r *rig) cannotRun(err error) int {
	r.note("cannot run: %v", err)
	fmt.Println("cannot run:", err)
	return failed
}
