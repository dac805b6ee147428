package rescuer_test

import (
	"errors"
	"testing"

	"github.com/jackdawgate/jackdawgate/rescuer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func TestPanicBecomesAnError(t *testing.T) {
	err := rescuer.Run(zap.NewNop(), "message", func() error { panic("odd") })
	var p *rescuer.PanicError
	require.ErrorAs(t, err, &p)
	require.Equal(t, "message", p.Operation)
	require.Equal(t, "odd", p.Value)
	require.Contains(t, string(p.Stack), "rescuer_test")
}

func TestOtherErrorsAreUnchanged(t *testing.T) {
	want := errors.New("plain")
	require.Equal(t, want, rescuer.Run(zap.NewNop(), "message", func() error { return want }))
	require.True(t, rescuer.Do(zap.NewNop(), "message", func() {}))
	require.False(t, rescuer.Do(zap.NewNop(), "message", func() { panic(1) }))
}
