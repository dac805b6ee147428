package gatekeeper_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// heldKey belongs to a workspace, strangeKey to none.
	heldKey    = "n2ctnfzs989anu6wsjnb"
	strangeKey = "i9n73hh2b9wu3fexd9dn"
)

// logged returns all log lines, of any level, that calls with every outcome write.
func logged(t *testing.T) string {
	var out bytes.Buffer
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&out), zapcore.DebugLevel)
	f := newLoggedFixture(zap.New(core))
	f.call("/chat/1", heldKey)
	f.configure()
	f.holders(map[string]string{heldKey: "w"})
	outcomes := []relayer.Outcome{
		relayer.Delivered{Status: 200, Server: "s", Servers: 1},
		relayer.NotRun{Reason: "r", RetryAfter: 100},
		relayer.Unknown{Reason: "r"},
		relayer.Interrupted{Reason: "r"},
		relayer.CallerGone{},
	}
	for _, o := range outcomes {
		f.relay.outcome = o
		f.clock.Time += 10000
		f.snapshot = f.snapshot.WithConfirmed(f.clock.Time)
		for _, key := range []string{heldKey, strangeKey} {
			for _, path := range []string{"/chat/1", "/none", "/batch/1", "/jobs/1"} {
				f.callOrAbort(path, key)
			}
		}
	}
	f.clock.Time += 20000
	f.relay.outcome = outcomes[0]
	f.call("/chat/1", heldKey)
	for range 40 {
		f.snapshot = f.snapshot.WithConfirmed(f.clock.Time)
		f.call("/chat/1", heldKey)
	}
	for _, line := range []string{"over quota", "refused", "delivered", "broken off", "caller left", "job submitted", "job called"} {
		require.True(t, strings.Contains(out.String(), `"msg":"`+line+`"`), line)
	}
	return out.String()
}

func TestLogLinesContainNoKeys(t *testing.T) {
	lines := logged(t)
	require.False(t, strings.Contains(lines, heldKey))
	require.False(t, strings.Contains(lines, strangeKey))
}

// holders sets a configuration with the given keys.
func (f *fixture) holders(keys map[string]string) {
	f.snapshot = f.snapshot.WithConfig(configuration(2, keys)).WithConfirmed(f.clock.Time)
}

// callOrAbort makes a call that may abort its connection.
func (f *fixture) callOrAbort(path, key string) {
	defer func() { _ = recover() }()
	r := httptest.NewRequest(http.MethodPost, "http://h"+path, strings.NewReader("body"))
	r.Header.Set("Key", key)
	f.gate.ServeHTTP(httptest.NewRecorder(), r)
}
