package server_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/coordinator"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/jackdawgate/jackdawgate/server"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// testKey belongs to the workspace of the tests. otherKey belongs to another
// workspace and has the format of the keys that operators create.
const (
	testKey  = "jg-kitchen-0123456789abcdef"
	otherKey = "jk-AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA"
)

// viewer is a Viewer whose snapshot can be changed by tests.
type viewer struct {
	mu sync.Mutex
	s  coordinator.Snapshot
}

func (v *viewer) View() coordinator.Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.s
}

func (v *viewer) set(f func(*coordinator.Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.s)
}

// withdraw withdraws testKey as an accepted change does.
func (v *viewer) withdraw(t *testing.T) {
	v.set(func(s *coordinator.Snapshot) {
		r, err := s.Record.WithChange("withdraw", registrar.WithdrawKey{KeyID: "k1"})
		require.NoError(t, err)
		*s = s.WithRecord(r)
	})
}

// record returns a record with two hosts, two keys, a backend server for a
// model and one for a plain service.
func record() registrar.Record {
	hash, other := sha256.Sum256([]byte(testKey)), sha256.Sum256([]byte(otherKey))
	return registrar.Record{
		Version: 5, Epoch: 1,
		Members: []registrar.Member{
			{Name: "h0", Incarnation: "1", DataCentre: "kol", CallerAddress: "127.0.0.1:1", PeerAddress: "h0"},
			{Name: "h1", Incarnation: "1", DataCentre: "sil", CallerAddress: "127.0.0.1:2", PeerAddress: "h1"},
		},
		Workspaces: map[string]registrar.Workspace{"kitchen": {Name: "kitchen", Weight: 1}},
		Keys: map[string]registrar.Key{
			"k1": {ID: "k1", Workspace: "kitchen", Hash: hash[:]},
			"k2": {ID: "k2", Workspace: "pantry", Hash: other[:]},
		},
		Servers: map[string]registrar.BackendServer{
			"m1": {Name: "m1", Address: "m1", Kind: registrar.KindModel, Models: []string{"m"}, Slots: 8},
			"p1": {Name: "p1", Address: "p1", Kind: registrar.KindPlain, Service: "dockets", Slots: 8},
		},
		Routes: map[string]registrar.Route{
			"docket": {Name: "docket", Method: "POST", Path: "/dockets/", Service: "dockets"},
			"stock":  {Name: "stock", Method: "GET", Path: "/stock", Service: "dockets", Repeatable: true, Public: true},
		},
	}
}

// doerFunc is a function that implements Doer.
type doerFunc func(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome

func (f doerFunc) Do(ctx context.Context, r requester.Request, s requester.Sink) requester.Outcome {
	return f(ctx, r, s)
}

// limiterFunc is a function that implements Limiter.
type limiterFunc func(workspace string) server.Decision

func (f limiterFunc) Admit(_ context.Context, w string) server.Decision { return f(w) }

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// harness is a running Server with a client that is connected to it. It
// serves on an in-memory listener or, with newLoopbackHarness, on a TCP port.
type harness struct {
	t       testing.TB
	server  *server.Server
	viewer  *viewer
	dial    func() (net.Conn, error)
	address string
	logs    *lockedBuffer
	logger  *zap.Logger
	client  *http.Client
}

func newHarness(t testing.TB, doer requester.Doer, change func(*server.Options)) *harness {
	l := fasthttputil.NewInmemoryListener()
	return startHarness(t, l, l.Dial, doer, change)
}

// newLoopbackHarness serves on a TCP port, for tests of behaviour that
// in-memory connections lack.
func newLoopbackHarness(t testing.TB, doer requester.Doer, change func(*server.Options)) *harness {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := startHarness(t, l, func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }, doer, change)
	h.address = l.Addr().String()
	return h
}

// startHarness starts a Server on l that the test's cleanup closes.
func startHarness(t testing.TB, l net.Listener, dial func() (net.Conn, error), doer requester.Doer, change func(*server.Options)) *harness {
	h := &harness{t: t, viewer: &viewer{}, dial: dial, logs: &lockedBuffer{}}
	h.viewer.set(func(s *coordinator.Snapshot) {
		r := record()
		*s = coordinator.Snapshot{Self: r.Members[0], PermittedUntil: 1 << 40}.WithRecord(r)
	})
	h.logger = zap.New(zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(h.logs), zap.DebugLevel))
	adminHash := sha256.Sum256([]byte("operators-token"))
	o := server.Options{
		Viewer: h.viewer, Doer: doer, Clock: timer.System(), AdminTokenHash: adminHash[:], DrainTimeout: 200,
		Limiter: limiterFunc(func(string) server.Decision { return server.Admitted{} }),
		Logger:  h.logger,
	}
	if change != nil {
		change(&o)
	}
	s, err := server.New(o)
	require.NoError(t, err)
	h.server = s
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(l)
	}()
	h.client = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return h.dial() },
	}}
	t.Cleanup(func() {
		h.client.CloseIdleConnections()
		_ = s.Close()
		<-served
	})
	return h
}

// request returns a request that is authorized by testKey.
func (h *harness) request(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://host"+path, strings.NewReader(body))
	require.NoError(h.t, err)
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("Content-Type", "application/json")
	return r
}

// response is a response whose body has been read.
type response struct {
	status int
	header http.Header
	body   string
	code   string
	param  string
	// closes reports that the server closes the connection.
	closes bool
}

// do sends r and reads the whole response.
func (h *harness) do(r *http.Request) response {
	a, err := h.client.Do(r)
	require.NoError(h.t, err)
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	require.NoError(h.t, err)
	var e struct {
		Error struct {
			Code  string  `json:"code"`
			Param *string `json:"param"`
		} `json:"error"`
	}
	out := response{status: a.StatusCode, header: a.Header, body: string(b), closes: a.Close}
	if json.Unmarshal(b, &e) == nil {
		out.code = e.Error.Code
		if e.Error.Param != nil {
			out.param = *e.Error.Param
		}
	}
	return out
}

// answerWith returns a Doer that answers each call with body.
func answerWith(body string) doerFunc {
	return func(_ context.Context, _ requester.Request, s requester.Sink) requester.Outcome {
		if err := s.Head(200, []requester.Header{{Name: "Content-Type", Value: "application/json"}}); err != nil {
			return requester.MaybeRun{}
		}
		if err := s.Body([]byte(body)); err != nil {
			return requester.MaybeRun{}
		}
		return requester.Answered{Status: 200, Server: "m1"}
	}
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
