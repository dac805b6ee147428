package registrar_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/stretchr/testify/require"
)

func randomChange(r *rand.Rand) registrar.Change {
	name := fmt.Sprint(r.IntN(5))
	switch r.IntN(7) {
	case 0:
		return registrar.PutWorkspace{Workspace: registrar.Workspace{Name: name, Burst: r.Int64N(9)}}
	case 1:
		return registrar.GiveKey{Key: registrar.Key{ID: name, Workspace: name, Hash: []byte{1}}}
	case 2:
		return registrar.WithdrawKey{KeyID: name}
	case 3:
		return registrar.PutServer{Server: registrar.BackendServer{Name: name, Models: []string{fmt.Sprint(r.IntN(3))}}}
	case 4:
		return registrar.RemoveServer{Name: name}
	case 5:
		return registrar.PutRoute{Route: registrar.Route{Name: name, Path: fmt.Sprint("/", r.IntN(3))}}
	}
	return registrar.RemoveHosts{Names: []string{name}, Force: r.IntN(2) == 0}
}

// TestDeltaGivesTheSameEncoding applies deltas between versions that are a few
// changes apart. The deltas are encoded and decoded as CBOR, and applied both to
// records that share maps and to decoded records, which share none.
func TestDeltaGivesTheSameEncoding(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var r registrar.Record
	versions := []registrar.Record{r}
	for i := range 300 {
		next, err := r.WithChange(fmt.Sprint("change-", i), randomChange(random))
		if err != nil || random.IntN(4) == 0 {
			name := fmt.Sprint(random.IntN(5))
			next = r.WithMember(registrar.Member{Name: name, Incarnation: fmt.Sprint(i), PeerAddress: name})
		}
		r = next
		versions = append(versions, r)
		old := versions[max(0, len(versions)-1-random.IntN(6))]
		require.Equal(t, encode(t, r), encode(t, apply(t, old, r)))
		require.Equal(t, encode(t, r), encode(t, apply(t, decode(t, old), decode(t, r))))
	}
	_, err := versions[1].WithDelta(r.DeltaFrom(versions[2]))
	var wrong *registrar.DeltaError
	require.ErrorAs(t, err, &wrong)
}

func apply(t *testing.T, old, next registrar.Record) registrar.Record {
	b, err := cbor.Marshal(next.DeltaFrom(old))
	require.NoError(t, err)
	var d registrar.Delta
	require.NoError(t, cbor.Unmarshal(b, &d))
	got, err := old.WithDelta(d)
	require.NoError(t, err)
	return got
}

func encode(t *testing.T, r registrar.Record) []byte {
	b, err := r.Encode()
	require.NoError(t, err)
	return b
}

func decode(t *testing.T, r registrar.Record) registrar.Record {
	got, err := registrar.Decode(encode(t, r))
	require.NoError(t, err)
	return got
}

// TestDeltaDetectsAChangeOfEachField changes the fields of each type of entry one
// at a time, and checks that the delta has the changed entry.
func TestDeltaDetectsAChangeOfEachField(t *testing.T) {
	old := registrar.Record{
		Members: []registrar.Member{{Name: "m"}}, Workspaces: map[string]registrar.Workspace{"w": {}},
		Keys: map[string]registrar.Key{"k": {}}, Servers: map[string]registrar.BackendServer{"s": {}},
		Routes: map[string]registrar.Route{"r": {}}, Presets: map[string]registrar.Preset{"p": {}},
		Former: map[string]registrar.FormerMember{"f": {}},
	}
	each(t, old, func(v registrar.Member) registrar.Record {
		return registrar.Record{Epoch: 1, Members: []registrar.Member{v}}
	})
	each(t, old, func(v registrar.Workspace) registrar.Record {
		return registrar.Record{Workspaces: map[string]registrar.Workspace{"w": v}}
	})
	each(t, old, func(v registrar.Key) registrar.Record {
		return registrar.Record{Keys: map[string]registrar.Key{"k": v}}
	})
	each(t, old, func(v registrar.BackendServer) registrar.Record {
		return registrar.Record{Servers: map[string]registrar.BackendServer{"s": v}}
	})
	each(t, old, func(v registrar.Route) registrar.Record {
		return registrar.Record{Routes: map[string]registrar.Route{"r": v}}
	})
	each(t, old, func(v registrar.Preset) registrar.Record {
		return registrar.Record{Presets: map[string]registrar.Preset{"p": v}}
	})
	each(t, old, func(v registrar.FormerMember) registrar.Record {
		return registrar.Record{Former: map[string]registrar.FormerMember{"f": v}}
	})
}

func each[V any](t *testing.T, old registrar.Record, with func(V) registrar.Record) {
	var zero V
	for i := range reflect.TypeOf(zero).NumField() {
		changed := zero
		f := reflect.ValueOf(&changed).Elem().Field(i)
		switch f.Kind() {
		case reflect.String:
			f.SetString("x")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Int, reflect.Int64:
			f.SetInt(1)
		case reflect.Uint64:
			f.SetUint(1)
		case reflect.Float64:
			f.SetFloat(1)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		default:
			require.Fail(t, "field of unsupported kind", f.Kind())
		}
		d := with(changed).DeltaFrom(old)
		puts := len(d.Members.Put) + len(d.Workspaces.Put) + len(d.Keys.Put) + len(d.Servers.Put) + len(d.Routes.Put) + len(d.Presets.Put) + len(d.Former.Put)
		require.Equal(t, 1, puts, "%T.%s", zero, reflect.TypeOf(zero).Field(i).Name)
	}
}
