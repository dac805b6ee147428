package checker_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
)

const validSettings = `[host]
name = kolkata-1
data-centre = kolkata
caller-listen = 127.0.0.1:8480
peer-listen = 127.0.0.1:8580
seeds = 127.0.0.1:8581, 127.0.0.1:8582
[store]
address = 127.0.0.1:8500
[control]
permission = 6s
`

func TestParseReadsSettingsAndDefaults(t *testing.T) {
	s, err := checker.Parse("a.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "kolkata-1", s.Host.Name)
	require.Equal(t, []string{"127.0.0.1:8581", "127.0.0.1:8582"}, s.Host.Seeds)
	require.Equal(t, 6*timer.Second, s.Control.Permission)
	require.Equal(t, timer.Second, s.Control.ConfirmInterval)
	require.InDelta(t, 0.1, s.Calls.RetryShare, 0)
}

func TestParseReportsEveryFaultWithItsLine(t *testing.T) {
	text := strings.Replace(validSettings, "permission = 6s", "permision = 6s\nsilence = -1s\nsilence = 4s\nnonsense", 1)
	text = strings.Replace(text, "127.0.0.1:8480", "localhost", 1)
	text = strings.Replace(text, "data-centre = kolkata\n", "", 1)
	text += "[polices]\nroute = best\n[policy]\nroute = best\n"
	_, err := checker.Parse("a.ini", []byte(text))
	var invalid *checker.InvalidError
	require.ErrorAs(t, err, &invalid)
	want := []string{
		`a.ini: [host] data-centre: missing; lower-case letters, digits, '.' and '-', at most 63`,
		`a.ini:3: [host] caller-listen: "localhost" is not an address; an IP address and port such as 127.0.0.1:8480`,
		`a.ini:9: [control] permision: no such setting; did you mean "permission"?`,
		`a.ini:11: [control] silence: given twice; write key = value, once`,
		`a.ini:12: [control] nonsense: not a setting; write key = value, once`,
		`a.ini:13: [polices] : no such section; did you mean "policy"?`,
		`a.ini:16: [policy] route: "best" is not one of the values; one of scored, least-load, round-robin, random`,
	}
	require.Equal(t, strings.Join(want, "\n"), invalid.Error())
}

func TestParseChecksSettingsTogether(t *testing.T) {
	file := filepath.Join(t.TempDir(), "c.pem")
	require.NoError(t, os.WriteFile(file, []byte("x"), 0o600))
	_, err := checker.Parse("a.ini", []byte(strings.Replace(validSettings, "6s", "2s", 1)+"[tls]\ncaller-certificate = "+file+"\n"))
	var invalid *checker.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Diagnostics, 2)
}

func TestReferencePageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, checker.Reference(), string(page))
}
