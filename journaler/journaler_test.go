package journaler_test

import (
	"bytes"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jackdawgate/jackdawgate/journaler"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// blockedWriter is a writer that blocks until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	b    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.String()
}

func TestBlockedOutputDoesNotBlockLoggingAndKeepsErrors(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	j := journaler.New(w)
	l := j.Logger().With(zap.String("host", "h"))
	for i := range 60 {
		for k := range 300 {
			l.Info("routine "+strconv.Itoa(i), zap.Int("k", k))
		}
	}
	for range 50 {
		l.Error("rare")
	}
	require.Positive(t, j.Dropped())
	close(w.open)
	j.Close()
	require.Equal(t, 50, strings.Count(w.text(), `"msg":"rare"`), "routine lines must not displace errors")
}

func TestRoutineLinesOfOneKindAreBounded(t *testing.T) {
	w := &blockedWriter{open: make(chan struct{})}
	close(w.open)
	j := journaler.New(w)
	l := j.Logger()
	for range 1000 {
		l.Info("noisy")
	}
	l.Info("other")
	j.Close()
	require.Equal(t, 400, strings.Count(w.text(), `"noisy"`))
	require.Equal(t, 1, strings.Count(w.text(), `"other"`))
	require.EqualValues(t, 600, j.Dropped())
}

func BenchmarkLine(b *testing.B) {
	w := &blockedWriter{open: make(chan struct{})}
	close(w.open)
	l := journaler.New(w).Logger()
	for b.Loop() {
		l.Warn("line", zap.String("request", "0123456789abcdef"), zap.Int("online", 3))
	}
}
