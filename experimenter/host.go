package experimenter

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/runner"
)

// adminToken is the operators' token of the fleets under test. It can be a constant
// because a fleet listens on loopback only and exists only while a row runs.
const adminToken = "experiment"

// host is one host of the fleet under test. It has the same parts as a host that
// runs in a process of its own.
type host struct {
	*runner.Host
	name           string
	callerListener *trackingListener
	peerListener   *trackingListener
	once           sync.Once
	err            error
}

// discardLogger returns a logger that formats every line, as the logger of a real
// host does, and discards it.
func discardLogger() *zap.Logger {
	e := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(e, zapcore.AddSync(io.Discard), zap.InfoLevel))
}

// listen returns a TCP listener on a free port of the loopback interface.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, eris.Wrap(err, "listen on loopback")
}

// startHost starts the host with index i. Its data folder is created in folder. If
// folder is empty, the host has no data folder.
func startHost(i int, platform, folder string, p policies) (*host, error) {
	callers, err := listen()
	if err != nil {
		return nil, err
	}
	peers, err := listen()
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("h%d", i), callerListener: newTrackingListener(callers), peerListener: newTrackingListener(peers)}
	s, err := h.settings(i, platform, folder, p)
	if err != nil {
		return nil, err
	}
	h.Host, err = runner.Start(s, runner.Options{Logger: discardLogger(), CallerListener: h.callerListener, PeerListener: h.peerListener})
	return h, err
}

func (h *host) settings(i int, platform, folder string, p policies) (checker.Settings, error) {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "[host]\nname = %s\ndata-centre = dc%d\ncaller-listen = %s\npeer-listen = %s\n",
		h.name, i, h.callerListener.Addr(), h.peerListener.Addr())
	if folder != "" {
		_, _ = fmt.Fprintf(&b, "data-folder = %s/%s\n", folder, h.name)
	}
	_, _ = fmt.Fprintf(&b, "[store]\naddress = %s\n[admin]\ntoken-sha256 = %x\n", platform, sha256.Sum256([]byte(adminToken)))
	_, _ = fmt.Fprintf(&b, "[callers]\nhosts-for = 1s\ndrain-for = 100ms\n[calls]\nprobe-interval = 200ms\n")
	_, _ = fmt.Fprintf(&b, "[policy]\nroute = %s\nshare = %s\n", p.route, p.share)
	s, err := checker.Parse("experiment", b.Bytes())
	return s, eris.Wrap(err, "parse settings of the experiment")
}

// kill stops the host as if its process had been killed: its connections break and
// it notifies no other host. It returns when the host has released its resources.
// Only the first call has an effect; later calls return the same error.
func (h *host) kill() error {
	h.once.Do(func() {
		h.callerListener.closeAll()
		h.peerListener.closeAll()
		h.err = h.Abort()
	})
	return h.err
}

// Owns reports whether the host owns o now, that is, may make decisions for it.
func (h *host) Owns(o coordinator.Object) bool {
	v := h.View()
	return v.Owns(o, h.Now())
}

// awaitMembership waits until the host is a member of the fleet.
func (h *host) awaitMembership(ctx context.Context) error {
	return eris.Wrapf(h.AwaitReady(ctx), "join host %s", h.name)
}
