package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net"
	"net/netip"
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
	// devStartTimeout bounds starting the hosts, devStopTimeout stopping them.
	devStartTimeout = 30 * time.Second
	devStopTimeout  = 60 * time.Second
)

// Dev runs a fleet in one process.
type Dev struct {
	listen string
	key    string
	data   string
	level  string
}

// Name implements commander.Command.
func (*Dev) Name() string { return "dev" }

// Arguments implements commander.Command.
func (*Dev) Arguments() string { return "" }

// Short implements commander.Command.
func (*Dev) Short() string {
	return "runs three hosts with stand-ins of the platform and of two model engines, in one process"
}

// Example implements commander.Command.
func (*Dev) Example() string { return "jackdawgate dev" }

// Flags implements commander.Command.
func (d *Dev) Flags(f *flag.FlagSet) {
	f.StringVar(&d.listen, "listen", "127.0.0.1:8480", "`address` of the first host; the others take the next ports")
	f.StringVar(&d.key, "key", "", "`key` of the workspace and token of the operator; made and printed when not given")
	f.StringVar(&d.data, "data", "", "`folder` for bulk data; removed at the end when not given")
	f.StringVar(&d.level, "log", "warn", "lowest `level` that is logged")
}

// Run implements commander.Command.
func (d *Dev) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := exactly(args); err != nil {
		return err
	}
	listeners, err := listenConsecutive(d.listen, devHosts)
	if err != nil {
		return err
	}
	key, err := d.makeKey()
	if err != nil {
		return err
	}
	logger, err := newLogger(d.level)
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	hash := sha256.Sum256([]byte(key))
	starting, cancel := context.WithTimeout(ctx, devStartTimeout)
	defer cancel()
	f, err := developer.Start(starting, developer.Options{
		CallerListeners: listeners, DataFolder: d.data, AdminTokenHash: hex.EncodeToString(hash[:]), Logger: logger, PlainServers: 1,
	})
	if err != nil {
		return err
	}
	err = d.greet(starting, e.Stdout, f, key)
	if err == nil {
		<-ctx.Done()
	}
	stopping, stop := context.WithTimeout(context.Background(), devStopTimeout)
	defer stop()
	if closed := f.Close(stopping); err == nil {
		err = closed
	}
	return err
}

func (d *Dev) makeKey() (string, error) {
	if d.key != "" {
		return d.key, nil
	}
	text, _, err := authenticator.NewKey(devWorkspace, devWorkspace)
	return text, err
}

// greet makes the workspace and prints how to use it.
func (d *Dev) greet(ctx context.Context, w io.Writer, f *developer.Fleet, key string) error {
	h := f.Hosts()[0]
	space := registrar.Workspace{Name: devWorkspace, Owner: devWorkspace, RatePerSecond: 1000, Burst: 2000, Weight: 1}
	if err := h.Change(ctx, registrar.PutWorkspace{Workspace: space, Create: true}); err != nil {
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

// listenConsecutive listens on n consecutive ports from address on.
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
