// Package namer declares the names that callers, backend servers and the
// platform use in their HTTP messages. The adapter of a deployment fills in Names.
// The rest of the module reads the names from there and never spells one out.
package namer

import "net/http"

// Names holds the header names of one deployment's HTTP messages and the function
// that recognizes its callers' batch job requests. It is immutable after startup,
// so it may be read concurrently.
type Names struct {
	// RequestID carries the identifier that a caller gives to one attempt.
	RequestID string
	// Deadline carries the time that the caller will still wait, in milliseconds.
	Deadline string
	// Key carries a workspace's API key. It is never forwarded.
	Key string
	// Workspace carries the name of the workspace that owns the key to backend
	// servers.
	Workspace string
	// ExpectServer carries the identifier of the only backend server that may run
	// the call.
	ExpectServer string
	// Server carries the identifier of the backend server in its answers, if it states it.
	Server string
	// Expectations are headers by which a caller can make any backend server answer as if
	// it was not the one that the call was meant for.
	Expectations []string
	// Signature carries a backend server's signature over its answer.
	Signature string
	// NotRun marks an answer whose call was not run.
	NotRun string
	// Leaving marks an answer whose backend server is leaving.
	Leaving string
	// Limit carries the requests a second that a backend server takes from all hosts
	// together, as a decimal number, while the server asks for a limit.
	Limit string
	// ResumeAfter carries the number of the last event that was received; the
	// stream resumes after it.
	ResumeAfter string
	// Wait carries how long a read may block until new results are available, in
	// milliseconds.
	Wait string
	// Prompt carries the parts of a call's prompt.
	Prompt string
	// SharedParts returns the identifiers of the parts that other calls may share, in
	// order, from the value of Prompt. The last part belongs to the call alone.
	SharedParts func(value string) []string
	// ParseJobCall parses a caller's request about an existing batch job. It returns
	// false if the request is not about one.
	ParseJobCall func(method, path, query string) (JobCall, bool)
}

// MeansOtherServer reports whether an answer with the status 421 to a request that was meant
// for a server shows that another server uses its address now. Callers' expectations lead to
// the same status, so the answer must name the other server, or the request must have none.
func (n Names) MeansOtherServer(server string, request, answer http.Header) bool {
	if at := answer.Get(n.Server); at != "" {
		return at != server
	}
	for _, name := range n.Expectations {
		if request.Get(name) != "" {
			return false
		}
	}
	return true
}

// JobCall is a caller's request about an existing batch job: a ReadResults,
// ReadBody or CancelJob.
type JobCall interface{ jobCall() }

// ReadResults requests the results of a job, starting at position From.
type ReadResults struct {
	Job  string
	From int
}

// ReadBody requests the body of an item that has no result yet.
type ReadBody struct{ Job, Item string }

// CancelJob requests that a job be cancelled.
type CancelJob struct{ Job string }

func (ReadResults) jobCall() {}
func (ReadBody) jobCall()    {}
func (CancelJob) jobCall()   {}
