package checker_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/checker"
	"github.com/stretchr/testify/require"
)

// load reads the settings that the template of the deployment gives for a table of data
// centres as the platform renders it.
func load(t *testing.T, zones string) (checker.MemberSettings, error) {
	template, err := os.ReadFile("../deploy/host.ini")
	require.NoError(t, err)
	text := strings.Replace(string(template), "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", zones, 1)
	text, _, _ = strings.Cut(text, "[bounds]")
	for name, value := range map[string]string{
		"{{nodeName}}": "a", "{{zone}}": "z1", "{{region}}": "r1", "{{limits.memoryMb}}": "100", "{{#limits.maxFds}}": "", "{{limits.maxFds}}": "4100", "{{/limits.maxFds}}": "", "{{ip}}:{{portRange.0}}": "127.0.0.1:1", "{{ip}}:{{portRange.1}}": "127.0.0.1:2",
		"{{listen.front}}": "", "{{listen.readyAddr}}": "", "{{listen.directory}}": "", "{{platform.address}}": "127.0.0.1:3",
	} {
		text = strings.ReplaceAll(text, name, value)
	}
	require.NotContains(t, text, "{{")
	path := filepath.Join(t.TempDir(), "host.ini")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return checker.LoadMember(path)
}

func TestTableOfDataCentresIsRead(t *testing.T) {
	s, err := load(t, "z1=r1,z2=r1, z3 = r-3")
	require.NoError(t, err)
	require.Equal(t, map[string]string{"z1": "r1", "z2": "r1", "z3": "r-3"}, s.Host.Zones)
	s, err = load(t, "")
	require.NoError(t, err)
	require.Empty(t, s.Host.Zones)
}

// A table with a fault would place requests in data centres of other regions.
func TestFaultyTableOfDataCentresIsReportedAtStart(t *testing.T) {
	for zones, problem := range map[string]string{
		"z1=r1,z2":      `"z2" is not NAME=NAME`,
		"z1=r1,z2=":     `"z2=" is not NAME=NAME`,
		"z1=r1,z2=r=3":  `"z2=r=3" is not NAME=NAME`,
		`{"z1":"r1"}`:   `"{\"z1\":\"r1\"}" is not NAME=NAME`,
		"z2=r1,z2=r2":   `"z2" is given twice`,
		"z1=r2,z2=r2":   `"z1" is in region "r2" here and in "r1" by the setting region`,
		"z1=r1,Z2=r 17": `"Z2=r 17" is not NAME=NAME`,
	} {
		_, err := load(t, zones)
		var invalid *checker.InvalidError
		require.ErrorAs(t, err, &invalid, zones)
		require.ErrorContains(t, err, "[host] zones: "+problem)
		require.Equal(t, 5, invalid.Diagnostics[0].Line)
	}
}
