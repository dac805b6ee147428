package crowder_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/crowder"
	"github.com/stretchr/testify/require"
)

// Callers outside an operator's control brought a process down: it ran out of memory or of
// descriptors, or had neither left for ordinary callers.
func TestNoCrowdEndsAnEntryHost(t *testing.T) {
	program := build(t, "jackdawgated")
	for _, k := range crowder.Kinds() {
		t.Run(k.Name, func(t *testing.T) { checkCrowd(t, k, startEntry(t, program)) })
	}
}

// The same for the older core, with three hosts in one process.
func TestNoCrowdEndsTheDevelopmentFleet(t *testing.T) {
	program := build(t, "jackdawgate")
	for _, k := range crowder.Kinds() {
		t.Run(k.Name, func(t *testing.T) { checkCrowd(t, k, startDev(t, program)) })
	}
}

// checkCrowd opens a crowd, and checks the process and one ordinary request while the crowd is
// open.
func checkCrowd(t *testing.T, k crowder.Kind, s subject) {
	before, err := s.process.PeakMemoryMB()
	require.NoError(t, err)
	c := crowder.Open(k, s.target)
	defer c.Close()
	open, err := s.process.Descriptors()
	require.NoError(t, err, "the process has ended")
	answered := 0
	for range attempts {
		if answered = s.ordinary(); answered == http.StatusOK {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	peak, err := s.process.PeakMemoryMB()
	require.NoError(t, err, "the process has ended")
	t.Logf("peak %d MB (%d before the crowd), %d descriptors, answers by status %v, not connected %d", peak, before, open, c.Answers, c.Refused)
	require.True(t, s.process.Lives())
	if peak > s.memoryMB {
		t.Errorf("resident memory of %d MB exceeds %d MB", peak, s.memoryMB)
	}
	if open > descriptors-reserved {
		t.Errorf("%d open descriptors leave no reserve of %d below the limit of %d", open, reserved, descriptors)
	}
	if answered != http.StatusOK {
		t.Errorf("no ordinary request was answered: %d", answered)
	}
}

// Connections to the other addresses of a host took the descriptors that it needs for callers.
func TestNoCrowdAtAnotherAddressEndsAnEntryHost(t *testing.T) {
	program := build(t, "jackdawgated")
	for _, name := range []string{"peers", "metrics", "directory"} {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, program)
			s.target.Address = map[string]string{"peers": s.peers, "metrics": s.metrics, "directory": s.directory}[name]
			s.target.Head = "GET / HTTP/1.1\r\nHost: h\r\n"
			for _, k := range crowder.Kinds() {
				if k.Name == "idle connections" || k.Name == "headers without end" {
					checkCrowd(t, k, s)
				}
			}
		})
	}
}

// The platform's limit on descriptors is lower than that of the process.
func TestDescriptorsOfTheSettingsAreKept(t *testing.T) {
	s := startEntryWith(t, build(t, "jackdawgated"), "descriptors = 200\n")
	for _, k := range crowder.Kinds() {
		if k.Name != "idle connections" {
			continue
		}
		c := crowder.Open(k, s.target)
		defer c.Close()
		open, err := s.process.Descriptors()
		require.NoError(t, err)
		require.LessOrEqual(t, open, 200-reserved)
		require.Equal(t, http.StatusOK, s.ordinary())
	}
}
