package broker_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/jackdawgate/jackdawgate/cataloger"
	"github.com/jackdawgate/jackdawgate/timer"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// ownerModel is what must hold of jobs, whatever versions of the configuration come: from its 202
// on, a job answers to its owner and to nobody else. It knows nothing of package authorizer.
type ownerModel struct {
	*rapid.T
	// entries are two entry hosts, each with its own version of the configuration.
	entries []*entry
	latest  cataloger.ConfigParts
	// known are the configurations of entries.
	known []cataloger.ConfigParts
	// jobs are the jobs that were accepted.
	jobs map[string]modelJob
}

type modelJob struct {
	// owner is the name of a workspace, empty for nobody.
	owner string
	ended bool
}

// modelKeys are the keys that callers send, modelNames the names of jobs.
var (
	modelKeys  = []string{"", "k1", "k2", "kv", "k3", "unknown"}
	modelNames = []string{"j1", "j2", "j3", "j4", "j5", "j6"}
)

// submissionPath is the path of all submissions, on the host name h.
const submissionPath = "h/batch/1"

// drawConfig returns the next version: any workspaces with any keys, and any routes.
func (m *ownerModel) drawConfig() cataloger.ConfigParts {
	p := cataloger.ConfigParts{Version: m.latest.Version + 1, Keys: make(map[string]string)}
	names := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"w", "v", "renamed"}), rapid.ID).Draw(m.T, "workspaces")
	for _, name := range names {
		p.Workspaces = append(p.Workspaces, cataloger.Workspace{Name: name})
	}
	for _, key := range []string{"k1", "k2", "kv", "k3"} {
		if len(names) > 0 && rapid.Bool().Draw(m.T, "has "+key) {
			p.Keys[key] = rapid.SampledFrom(names).Draw(m.T, "workspace of "+key)
		}
	}
	ordinary := cataloger.Route{Name: "r", Host: "h", Prefix: "/batch/", Kind: cataloger.Idempotent}
	routes := map[string]cataloger.Route{
		"kept": batchRoute("r", "h", "/batch/"), "public": batchRoute("r", "h", "/batch/"),
		"other name": batchRoute("r2", "h", "/batch/"), "other host": batchRoute("r", "h2", "/batch/"),
		"other prefix": batchRoute("r", "h", "/moved/"), "other kind": ordinary, "only for others": batchRoute("x", "x", "/"),
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(slices.Sorted(maps.Keys(routes))), 0, 2, rapid.ID).Draw(m.T, "routes") {
		r := routes[name]
		r.Public, r.MaxQueued = name == "public", 0
		p.Routes = append(p.Routes, r)
	}
	return p
}

// publish makes a new version known to one of the hosts, or to both.
func (m *ownerModel) publish() {
	m.latest = m.drawConfig()
	first := rapid.IntRange(0, 1).Draw(m.T, "first host")
	m.learn(first)
	if rapid.Bool().Draw(m.T, "at both") {
		m.learn(1 - first)
	}
}

// learn makes the latest version known to a host.
func (m *ownerModel) learn(host int) {
	m.known[host] = m.latest
	m.entries[host].configure(m.latest, 0)
}

// holder returns the workspace of a key under the configuration of a host. It is empty if the
// configuration has no workspaces, or has some and the key is empty; ok is false if the key is one
// that no workspace has.
func (m *ownerModel) holder(host int, key string) (workspace string, ok bool) {
	c := m.known[host]
	if len(c.Workspaces) == 0 || key == "" {
		return "", true
	}
	workspace, ok = c.Keys[key]
	return workspace, ok
}

// batchPath reports whether a host has a route for batch jobs that matches submissions, and
// whether it has one of another kind.
func (m *ownerModel) batchPath(host int) (batch, ordinary bool) {
	for _, r := range m.known[host].Routes {
		if r.Host == "h" && r.Prefix == "/batch/" {
			return r.Kind == cataloger.Batch, r.Kind != cataloger.Batch
		}
	}
	return false, false
}

// submit submits a job, which may be a repeat of one that was accepted.
func (m *ownerModel) submit() {
	host, name, key := rapid.IntRange(0, 1).Draw(m.T, "host"), rapid.SampledFrom(modelNames).Draw(m.T, "job"), rapid.SampledFrom(modelKeys).Draw(m.T, "key")
	batch, ordinary := m.batchPath(host)
	if ordinary {
		return // A request of that route.
	}
	status := m.entries[host].call(submissionPath, name, key, "a b")
	workspace, known := m.holder(host, key)
	mayOwn := known && (workspace != "" || len(m.known[host].Workspaces) == 0)
	existing, exists := m.jobs[name]
	what := fmt.Sprintf("submission of %s with key %q at host %d, version %d", name, key, host, m.known[host].Version)
	switch {
	case exists && mayOwn && existing.owner == workspace:
		require.Equal(m, http.StatusAccepted, status, "repeated %s", what)
	case exists:
		require.NotEqual(m, http.StatusAccepted, status, "another's %s", what)
	case mayOwn && batch:
		require.Equal(m, http.StatusAccepted, status, what)
		m.jobs[name] = modelJob{owner: workspace}
	default:
		require.Contains(m, []int{http.StatusNotFound, http.StatusUnauthorized}, status, what)
	}
}

// read makes a call about a job with a key that changes nothing.
func (m *ownerModel) read(host int, target, name, key string) {
	workspace, known := m.holder(host, key)
	j, exists := m.jobs[name]
	status := m.entries[host].call(strings.ReplaceAll(target, "%", name), "", key, "")
	what := fmt.Sprintf("%s of %s with key %q at host %d, version %d: %+v", target, name, key, host, m.known[host].Version, j)
	if !exists || !known || j.owner != workspace {
		unknown := m.entries[host].call(strings.ReplaceAll(target, "%", "no-job"), "", key, "")
		require.Contains(m, []int{http.StatusNotFound, http.StatusUnauthorized}, status, what)
		require.Equal(m, unknown, status, "tells that there is such a job: %s", what)
		return
	}
	want := http.StatusOK
	if j.ended && strings.Contains(target, "/body/") {
		want = http.StatusNotFound
	}
	require.Equal(m, want, status, what)
}

// end ends a job with a key.
func (m *ownerModel) end() {
	host, name, key := rapid.IntRange(0, 1).Draw(m.T, "host"), rapid.SampledFrom(modelNames).Draw(m.T, "job"), rapid.SampledFrom(modelKeys).Draw(m.T, "key")
	workspace, known := m.holder(host, key)
	status := m.entries[host].call("h/end/"+name, "", key, "")
	j, exists := m.jobs[name]
	if !exists || !known || j.owner != workspace {
		require.NotEqual(m, http.StatusOK, status, "end of another's %s with key %q: %+v", name, key, j)
		return
	}
	require.Equal(m, http.StatusOK, status, "end of %s with key %q", name, key)
	j.ended = true
	m.jobs[name] = j
}

// readStale asks a host whose configuration was not confirmed lately. It may not know, but must not
// say that a job of its caller is unknown, nor show it to anybody else.
func (m *ownerModel) readStale() {
	host, age := rapid.IntRange(0, 1).Draw(m.T, "host"), rapid.SampledFrom([]timer.Millis{2, 10}).Draw(m.T, "age in s")*timer.Second
	e := m.entries[host]
	e.configure(m.known[host], age)
	for name, j := range m.jobs {
		for _, key := range modelKeys {
			status := e.call("h/results/"+name, "", key, "")
			workspace, known := m.holder(host, key)
			if known && j.owner == workspace {
				require.Contains(m, []int{http.StatusOK, http.StatusServiceUnavailable}, status, "%s with key %q", name, key)
			} else {
				require.Contains(m, []int{http.StatusNotFound, http.StatusUnauthorized, http.StatusServiceUnavailable}, status, "%s with key %q", name, key)
			}
		}
	}
	e.configure(m.known[host], 0)
}

// readAll calls about all jobs, with all keys, at both hosts.
func (m *ownerModel) readAll() {
	for host := range m.entries {
		for i, name := range slices.Sorted(maps.Keys(m.jobs)) {
			for k, key := range modelKeys {
				// The names of hosts are mixed: none of them has a part in the answer.
				targets := []string{"h/results/%", "h/body/%/a", "h2/results/%", "nowhere/body/%/a"}
				m.read(host, targets[(host+i+k)%len(targets)], name, key)
			}
		}
	}
}

// Jobs were unknown to their owners after versions that removed their route, made it public, or
// brought the first workspace or took the last. With -rapid.seed other sequences are drawn. No
// call waits, and the clock of the entry hosts stands still, so the verdict is the same each time.
func TestJobAnswersToItsOwnerAloneWhateverVersionsCome(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := start(t)
		m := &ownerModel{T: r, known: make([]cataloger.ConfigParts, 2), jobs: make(map[string]modelJob)}
		m.entries = []*entry{f.entry(f.broker), f.entry(f.other)}
		m.latest = twoWorkspaces(1, cataloger.Route{Name: "r", Host: "h", Prefix: "/batch/", Kind: cataloger.Batch})
		m.learn(0)
		m.learn(1)
		r.Repeat(map[string]func(*rapid.T){
			"new version":   func(*rapid.T) { m.publish() },
			"catch up":      func(r *rapid.T) { m.learn(rapid.IntRange(0, 1).Draw(r, "host")) },
			"submit":        func(*rapid.T) { m.submit() },
			"submit more":   func(*rapid.T) { m.submit() },
			"end":           func(*rapid.T) { m.end() },
			"read at stale": func(*rapid.T) { m.readStale() },
			"":              func(*rapid.T) { m.readAll() },
		})
	})
}
