package registrar_test

import (
	"reflect"
	"testing"

	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/stretchr/testify/require"
)

// TestEqualComparesEveryField fails if a field was added that Equal does not compare.
func TestEqualComparesEveryField(t *testing.T) {
	var zero registrar.BackendServer
	require.True(t, zero.Equal(registrar.BackendServer{}))
	for i := range reflect.TypeFor[registrar.BackendServer]().NumField() {
		var b registrar.BackendServer
		switch f := reflect.ValueOf(&b).Elem().Field(i); f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int:
			f.SetInt(1)
		case reflect.Slice:
			f.Set(reflect.ValueOf([]string{"x"}))
		default:
			t.Fatalf("field of unsupported kind %v", f.Kind())
		}
		require.False(t, zero.Equal(b), reflect.TypeFor[registrar.BackendServer]().Field(i).Name)
	}
}
