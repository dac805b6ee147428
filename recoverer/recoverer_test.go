package recoverer_test

import (
	"errors"
	"testing"

	"github.com/jackdawgate/jackdawgate/recoverer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestPanicBecomesAnError(t *testing.T) {
	err := recoverer.Run(zap.NewNop(), "message", func() error { panic("odd") })
	var p *recoverer.PanicError
	require.ErrorAs(t, err, &p)
	require.Equal(t, "message", p.Operation)
	require.Equal(t, "odd", p.Value)
	require.Contains(t, string(p.Stack), "recoverer_test")
}

func TestOtherErrorsAreUnchanged(t *testing.T) {
	want := errors.New("plain")
	require.Equal(t, want, recoverer.Run(zap.NewNop(), "message", func() error { return want }))
	require.True(t, recoverer.Do(zap.NewNop(), "message", func() {}))
	require.False(t, recoverer.Do(zap.NewNop(), "message", func() { panic(1) }))
}
