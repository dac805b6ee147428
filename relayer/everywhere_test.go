package relayer_test

import (
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/relayer"
	"github.com/jackdawgate/jackdawgate/tester/harness"
	"github.com/stretchr/testify/require"
)

// rest returns a script that resumes a stream of events up to last.
func rest(last int) script {
	return func(c net.Conn, q *http.Request) {
		after, _ := strconv.Atoi(q.Header.Get("After"))
		events(after+1, last, true)(c, q)
	}
}

// blankLines matches blank lines between events, which mean nothing.
var blankLines = regexp.MustCompile(`\n{3,}`)

// A server sent other bytes at any position of its stream. What is passed on must be the
// events of its run before them, and the stream goes on behind these or is broken off.
func TestOtherBytesAtAnyPositionAreNotPassedOn(t *testing.T) {
	const last = 4
	for _, s := range harness.SpoilEverywhere(wholeStream(last), lost) {
		t.Run(s.Name, func(t *testing.T) {
			raw, _, whole := harness.EventsOfRun(s.Body)
			passed, answer := strings.Join(raw, ""), unfinished(streamHeaders, s.Body)
			if s.Ended {
				answer = text("200 OK", streamHeaders, s.Body)
			}
			f := newFixture(t, 2, answer, rest(last))
			o, got := f.run(route(cataloger.Stream, true, 2))
			require.IsType(t, relayer.Delivered{}, o)
			want := passed
			if !whole || !s.Ended {
				want += strings.TrimPrefix(wholeStream(last), wholeStream(len(raw)))
			}
			require.Equal(t, blankLines.ReplaceAllString(want, "\n\n"), blankLines.ReplaceAllString(got.body.String(), "\n\n"))

			f = newFixture(t, 2, answer, rest(last))
			o, got = f.run(route(cataloger.Stream, false, 2))
			require.Equal(t, blankLines.ReplaceAllString(passed, "\n\n"), blankLines.ReplaceAllString(got.body.String(), "\n\n"))
			require.Equal(t, whole && s.Ended, o == relayer.Delivered{Status: 200, Server: f.seen()[0].Header.Get("Expect"), Servers: 1}, "%T", o)
		})
	}
}
