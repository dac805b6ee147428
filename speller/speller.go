// Package speller has the names that callers, backend servers and the platform
// use in their HTTP messages. The adapter of a deployment fills Names in; the
// rest of the module reads them and never writes such a name itself.
package speller

// Names are the headers of one deployment's HTTP messages, and how its callers
// address batch jobs. It is never changed after start.
type Names struct {
	// RequestID carries a caller's identifier of one attempt.
	RequestID string
	// Deadline carries how many milliseconds the caller still waits.
	Deadline string
	// Key carries a workspace's key; it is never passed on.
	Key string
	// Workspace carries the name of the key's workspace to backend servers.
	Workspace string
	// ExpectServer carries the identifier of the backend server that may run a call.
	ExpectServer string
	// Signature carries a backend server's signature of its answer.
	Signature string
	// NotRun says in an answer that the call was not run.
	NotRun string
	// Leaving says in an answer that its server leaves.
	Leaving string
	// ResumeAfter carries the number of the last event that arrived.
	ResumeAfter string
	// Wait carries how many milliseconds a read may wait for news.
	Wait string
	// Prompt carries the parts of a call's prompt.
	Prompt string
	// Job finds out what a caller's call asks of a batch job.
	Job func(method, path, query string) (JobCall, bool)
}

// JobCall is a caller's call about an existing batch job.
type JobCall interface{ jobCall() }

// ReadResults asks for the results of a job from a position on.
type ReadResults struct {
	Job  string
	From int
}

// ReadBody asks for the body of an item that has no result yet.
type ReadBody struct{ Job, Item string }

// EndJob asks that a job be ended.
type EndJob struct{ Job string }

func (ReadResults) jobCall() {}
func (ReadBody) jobCall()    {}
func (EndJob) jobCall()      {}
