package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/jackdawgate/jackdawgate/authenticator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/developer"
	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/rotisserie/eris"
)

const (
	devWorkspace = "dev"
	devHosts     = 3
	// devStartTimeout limits the start of the hosts, devStopTimeout their shutdown.
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 60 * time.Second
	// devMemoryLimit is the memory limit of the Go runtime, in bytes, unless GOMEMLIMIT sets
	// one. Without it garbage of large bodies took the process to 569 MB.
	devMemoryLimit = 150 << 20
)

// Dev runs a fleet for local development in one process, until it is interrupted. The
// platform and the backend servers are emulated.
type Dev struct {
	listen     string
	key        string
	dataFolder string
	logLevel   string
}

// Name implements commander.Command.
func (*Dev) Name() string { return "dev" }

// Arguments implements commander.Command.
func (*Dev) Arguments() string { return "" }

// Short implements commander.Command.
func (*Dev) Short() string {
	return "runs three hosts, an emulated platform and two emulated model engines in one process"
}

// Example implements commander.Command.
func (*Dev) Example() string { return "jackdawgate dev" }

// Flags implements commander.Command.
func (d *Dev) Flags(f *flag.FlagSet) {
	f.StringVar(&d.listen, "listen", "127.0.0.1:8480", "`address` of the first host; the others take the next ports")
	f.StringVar(&d.key, "key", "", "`key` of the workspace and token of the operator; generated and printed when not given")
	f.StringVar(&d.dataFolder, "data", "", "`folder` for bulk data; removed at the end when not given")
	f.StringVar(&d.logLevel, "log", "warn", "lowest `level` that is logged")
}

// Run implements commander.Command.
func (d *Dev) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	listeners, err := listenConsecutive(d.listen, devHosts)
	if err != nil {
		return err
	}
	key, err := d.keyOrNew()
	if err != nil {
		return err
	}
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(devMemoryLimit)
	}
	logger, err := newLogger(d.logLevel)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	hash := sha256.Sum256([]byte(key))
	startCtx, cancelStart := context.WithTimeout(ctx, devStartTimeout)
	defer cancelStart()
	f, err := developer.Start(startCtx, developer.Options{
		CallerListeners: listeners, DataFolder: d.dataFolder, AdminTokenHash: hex.EncodeToString(hash[:]), Logger: logger, PlainServers: 1,
	})
	if err != nil {
		return err
	}
	err = d.createWorkspace(startCtx, e.Stdout, f, key)
	if err == nil {
		<-ctx.Done()
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), devStopTimeout)
	defer cancelStop()
	if closeErr := f.Close(stopCtx); err == nil {
		err = closeErr
	}
	return err
}

// keyOrNew returns the value of -key, or a new key if the flag was not given.
func (d *Dev) keyOrNew() (string, error) {
	if d.key != "" {
		return d.key, nil
	}
	text, _, err := authenticator.NewKey(devWorkspace, devWorkspace)
	return text, err
}

// createWorkspace creates the workspace and its key, and prints the key if it was
// generated, the address of the first host and an example request.
func (d *Dev) createWorkspace(ctx context.Context, w io.Writer, f *developer.Fleet, key string) error {
	h := f.Hosts()[0]
	workspace := registrar.Workspace{Name: devWorkspace, Owner: devWorkspace, RatePerSecond: 1000, Burst: 2000, Weight: 1}
	if err := h.Change(ctx, registrar.PutWorkspace{Workspace: workspace, Create: true}); err != nil {
		return err
	}
	if err := h.Change(ctx, registrar.GiveKey{Key: authenticator.HashedKey(devWorkspace, devWorkspace, key)}); err != nil {
		return err
	}
	if d.key == "" {
		if _, err := fmt.Fprintf(w, "key %s\n", key); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "ready http://%s\n"+
		"curl http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}],\"max_tokens\":16}'\n",
		h.CallerAddress(), h.CallerAddress(), key, emulator.DefaultModel)
	return err
}

// listenConsecutive opens listeners on n consecutive ports, the first of which is that
// of address. If one of them fails, it closes the others.
func listenConsecutive(address string, n int) ([]net.Listener, error) {
	first, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &commander.UsageError{Problem: fmt.Sprintf("-listen: %q is not an IP address and port", address)}
	}
	var out []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String())
		if err != nil {
			for _, o := range out {
				_ = o.Close()
			}
			return nil, eris.Wrap(err, "listen")
		}
		out = append(out, l)
	}
	return out, nil
}
