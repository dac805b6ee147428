package picker_test

import (
	"fmt"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/ejector"
	"github.com/jackdawgate/jackdawgate/gossiper"
	"github.com/jackdawgate/jackdawgate/localizer"
	"github.com/jackdawgate/jackdawgate/picker"
	"github.com/jackdawgate/jackdawgate/selector"
	"github.com/jackdawgate/jackdawgate/throttler"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func inRegions(list []cataloger.Server) *picker.Picker {
	s := cataloger.Snapshot{}.WithServers(list)
	return picker.New(picker.Options{
		Snapshot: func() cataloger.Snapshot { return s }, RemoteLoad: func(string) gossiper.Load { return gossiper.Load{} },
		Ejector: ejector.New(timer.System(), zap.NewNop()), OnChange: func() {}, Leaving: func(cataloger.Incarnation) bool { return false },
		Throttler: throttler.New(timer.System(), zap.NewNop()), Slowdown: func(string) float64 { return 1 },
		DataCentre: "z-us", Zones: localizer.Zones{"z-eu": "eu", "z-us": "us"},
	})
}

func servers(dataCentres ...string) []cataloger.Server {
	var out []cataloger.Server
	for i, d := range dataCentres {
		out = append(out, cataloger.Server{ID: fmt.Sprintf("s%05d", i), Service: "x", Slots: 2, DataCentre: d})
	}
	return out
}

func within(regions ...string) selector.Request {
	return selector.Request{PromptPrefix: "p", Subject: localizer.Subject{Route: &cataloger.Route{AllowedRegions: regions}}}
}

// The servers of the allowed region are full, and others are idle and nearer.
func TestFullRegionDoesNotOverflowIntoAnother(t *testing.T) {
	p := inRegions(servers("z-eu", "z-us", "z-none", "z-eu"))
	for range 12 {
		r, err := p.Pick("x", within("eu"))
		require.NoError(t, err)
		require.Contains(t, []string{"s00000", "s00003"}, r.Server.ID)
	}
}

// All servers of a region are gone, or drain.
func TestCallOfARegionWithoutServersIsRefusedWithThatReason(t *testing.T) {
	gone, draining := servers("z-us", "z-none"), servers("z-eu", "z-us")
	draining[0].Draining = true
	for want, list := range map[int][]cataloger.Server{0: gone, 1: draining} {
		_, err := inRegions(list).Pick("x", within("eu"))
		var none *picker.NotPermittedError
		require.ErrorAs(t, err, &none)
		require.Equal(t, []int{2, want}, []int{none.Servers, none.Permitted})
		require.Equal(t, []string{"eu"}, none.Allowed.Regions())
	}
}

// A sample of many servers has none of the allowed region.
func TestTheOnlyServerOfARegionAmongManyIsFound(t *testing.T) {
	list := servers(make([]string, 3000)...)
	list[1234].DataCentre = "z-eu"
	p := inRegions(list)
	for range 20 {
		r, err := p.Pick("x", within("eu"))
		require.NoError(t, err)
		require.Equal(t, "s01234", r.Server.ID)
	}
}
