package commander_test

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/stretchr/testify/require"
)

type give struct {
	name string
	err  error
	got  []string
}

func (g *give) Name() string          { return "key give" }
func (g *give) Arguments() string     { return "WORKSPACE" }
func (g *give) Short() string         { return "gives a key" }
func (g *give) Example() string       { return "p key give kitchen" }
func (g *give) Flags(f *flag.FlagSet) { f.StringVar(&g.name, "name", "", "a `name`") }
func (g *give) Run(_ context.Context, _ commander.Env, args []string) error {
	g.got = args
	return g.err
}

func run(g *give, args ...string) (int, string, string) {
	var out, err bytes.Buffer
	p := commander.Program{Name: "p", Short: "test", Commands: []commander.Command{g}}
	code := p.Main(context.Background(), commander.Env{Stdout: &out, Stderr: &err}, args)
	return code, out.String(), err.String()
}

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args string
		err  error
		want int
	}{
		{"done", "key give kitchen", nil, commander.ExitOK},
		{"help", "key give -h", nil, commander.ExitOK},
		{"failed", "key give kitchen", errors.New("refused"), commander.ExitFailed},
		{"usage", "key give", &commander.UsageError{Problem: "no workspace"}, commander.ExitUsage},
		{"bad flag", "key give -nome x", nil, commander.ExitUsage},
		{"unknown", "key gvie", nil, commander.ExitUsage},
		{"nothing", "", nil, commander.ExitUsage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, _ := run(&give{err: c.err}, strings.Fields(c.args)...)
			require.Equal(t, c.want, code)
		})
	}
}

func TestFlagsMayFollowArguments(t *testing.T) {
	g := &give{}
	code, _, _ := run(g, "key", "give", "kitchen", "-name", "till", "more")
	require.Equal(t, commander.ExitOK, code)
	require.Equal(t, "till", g.name)
	require.Equal(t, []string{"kitchen", "more"}, g.got)
}

func TestUnknownCommandSuggestsTheNearest(t *testing.T) {
	_, _, message := run(&give{}, "key", "gvie")
	require.Contains(t, message, `did you mean "key give"?`)
}
