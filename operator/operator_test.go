package operator_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/developer"
	"github.com/jackdawgate/jackdawgate/operator"
	"github.com/stretchr/testify/require"
)

const operatorsToken = "operators-token"

// commandLine runs commands against a fleet in this process. hosts and token are the
// values of the environment variables.
type commandLine struct {
	t     *testing.T
	hosts string
	token string
}

func startCommandLine(t *testing.T) *commandLine {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	hash := sha256.Sum256([]byte(operatorsToken))
	f, err := developer.Start(ctx, developer.Options{AdminTokenHash: hex.EncodeToString(hash[:])})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, f.Close(ctx))
	})
	// Nothing listens on the first address, so commands must try the next one.
	hosts := "127.0.0.1:1," + f.Hosts()[0].CallerAddress() + "," + f.Hosts()[1].CallerAddress()
	return &commandLine{t: t, hosts: hosts, token: operatorsToken}
}

func (s *commandLine) run(line string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	e := commander.Env{Stdout: &out, Stderr: &err, Getenv: func(name string) string {
		return map[string]string{operator.HostVariable: s.hosts, operator.TokenVariable: s.token}[name]
	}}
	code = operator.Program().Main(context.Background(), e, strings.Fields(line))
	return code, out.String(), err.String()
}

// succeed runs a command that must succeed and returns its output.
func (s *commandLine) succeed(line string) string {
	s.t.Helper()
	code, out, err := s.run(line)
	require.Equal(s.t, commander.ExitOK, code, "%s: %s", line, err)
	return out
}

// fail runs a command that must exit with code and print message to standard error.
func (s *commandLine) fail(line string, code int, message string) {
	s.t.Helper()
	got, _, err := s.run(line)
	require.Equal(s.t, code, got, line)
	require.Contains(s.t, err, message)
}

func TestCommandsChangeTheFleet(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	require.Contains(t, s.succeed("workspace create kitchen -owner north -rate 50 -burst 60"), "in force as version")
	s.fail("workspace create kitchen -owner north", commander.ExitFailed, "workspace-exists")
	s.fail("workspace create hall -rate 0", commander.ExitUsage, "-rate must be above 0")
	s.fail("limit set hall -rate 1 -burst 1", commander.ExitFailed, "unknown-workspace")
	s.succeed("limit set kitchen -rate 70 -burst 80")
	require.Regexp(t, `kitchen\s+north\s+70\s+80`, s.succeed("workspace list"))

	key := strings.Fields(s.succeed("key give kitchen -name till"))
	require.True(t, strings.HasPrefix(key[len(key)-1], "jk-"))
	listed := s.succeed("key list -json")
	require.Contains(t, listed, `"id": "till"`)
	require.NotContains(t, listed, "hash")
	s.succeed("key withdraw till")
	s.fail("key withdraw till", commander.ExitFailed, "unknown-key")

	s.succeed("preset define night -reserve-slots 2 -batch-share 0.5")
	s.succeed("preset set night")
	require.Regexp(t, `night\s+true\s+2\s+0.5`, s.succeed("preset show"))
	s.fail("preset set noon", commander.ExitFailed, "unknown-preset")

	s.succeed("server put extra -address 127.0.0.1:2 -data-centre dc-1 -models other -leaving")
	require.Regexp(t, `extra\s+127.0.0.1:2\s+dc-1\s+other\s+16\s+true`, s.succeed("server list"))
	s.succeed("server remove extra")
	s.succeed("route put stock -path /stock/ -service stock")
	require.Contains(t, s.succeed("status"), "host-3")
}

func TestRepeatedChangeIsAppliedOnce(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	s.succeed("workspace create kitchen -id first")
	require.Contains(t, s.succeed("workspace create kitchen -id first"), "(already done)")
	s.fail("workspace create hall -id first", commander.ExitFailed, "first")
}

// An identifier of a change that is shorter than eight characters made the command panic
// when the key had no name.
func TestKeyIsNamedAfterAShortIdentifier(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	s.succeed("workspace create kitchen")
	s.succeed("key give kitchen -id x")
	require.Contains(t, s.succeed("key list -json"), `"id": "kitchen-x"`)
}

// The answer to the command was lost. Repeated with the same identifier it made another key
// and could not succeed, though the first may have.
func TestRepeatedKeyGiveGivesTheSameKey(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	s.succeed("workspace create kitchen")
	file := filepath.Join(t.TempDir(), "key.json")
	line := "key give kitchen -name till -id once -key-file " + file
	hosts := s.hosts
	s.hosts = "127.0.0.1:1"
	s.fail(line, commander.ExitFailed, "repeat with -id once")
	s.fail("key give kitchen -name lost", commander.ExitFailed, "withdraw lost")
	s.hosts = hosts
	first := strings.Fields(s.succeed(line))
	again := s.succeed(line)
	require.Contains(t, again, "(already done)")
	require.Contains(t, again, first[len(first)-1])
	s.fail("key give kitchen -name other -id twice -key-file "+file, commander.ExitFailed, "has key")
}

func TestJobCommands(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	s.succeed("workspace create kitchen -rate 500 -burst 500")
	file := filepath.Join(t.TempDir(), "items.jsonl")
	item := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"standin-small","messages":[{"role":"user","content":"a"}],"max_tokens":4}}`
	require.NoError(t, os.WriteFile(file, []byte(item+"\n"), 0o600))
	var job struct {
		ID string `json:"id"`
	}
	require.NoError(t, json.Unmarshal([]byte(s.succeed("job submit "+file+" -workspace kitchen -json -id once")), &job))
	require.Contains(t, s.succeed("job submit "+file+" -workspace kitchen -id once"), job.ID)
	require.Contains(t, s.succeed("job status "+job.ID+" -workspace kitchen -watch"), "completed")
	require.Contains(t, s.succeed("job results "+job.ID+" -workspace kitchen"), `"custom_id":"a"`)
	s.succeed("job cancel " + job.ID + " -workspace kitchen")
	s.fail("job status "+job.ID, commander.ExitUsage, "give -workspace")
	s.succeed("workspace create hall")
	s.fail("job status "+job.ID+" -workspace hall", commander.ExitFailed, "not-found")
}

func TestCommandsNeedTheTokenAndAHost(t *testing.T) {
	t.Parallel()
	s := startCommandLine(t)
	s.token = "wrong"
	s.fail("status", commander.ExitFailed, "admin-token-invalid")
	s.hosts = "127.0.0.1:1"
	s.fail("key withdraw till -id x", commander.ExitFailed, "repeat with -id x")
}
