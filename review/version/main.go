//go:build review

// Command version plays the case of a request that asks for weights which the servers do not
// have. See claim.txt of its case.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/review/fleet"
)

const (
	// current is the version of the weights that all servers have, other one that none has.
	current, other = "1", "2"
	// servers is the number of servers of the users' sheets.
	servers = 9
	// load is how long the other callers send requests and jobs after the request.
	load = 8 * time.Second
	// settle is the time after that: recoverS and finishS.
	settle = 12*time.Second + 18*time.Second
	// finalReads is how long reads are tried again after that.
	finalReads = 10 * time.Second
)

// weights answers requests for a server as its weights require, and passes on all others.
type weights struct {
	server http.Handler
	record *fleet.Record
	name   string
	header string
}

// ServeHTTP implements http.Handler.
func (v *weights) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	names := platform.Names()
	asked := r.Header.Get(v.header)
	if asked == "" || asked == current {
		v.server.ServeHTTP(w, r)
		return
	}
	v.record.Log("the server at %s does not run %s, which asks for weights %s: 421", v.name, r.Header.Get(names.RequestID), asked)
	w.Header().Set(names.RequestID, r.Header.Get(names.RequestID))
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// withWeights starts a listener before the server at address, and returns its address.
func withWeights(record *fleet.Record, header string) func(address string) string {
	return func(address string) string {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return address
		}
		p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
		p.FlushInterval = -1
		p.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
		s := &http.Server{Handler: &weights{server: p, record: record, name: l.Addr().String(), header: header}, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
		return l.Addr().String()
	}
}

func main() { os.Exit(run()) }

func run() int {
	record, err := fleet.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return fleet.NotRun
	}
	defer func() { _ = record.Close() }()
	header := os.Getenv("VERSION_HEADER")
	if header == "" {
		err = errors.New("VERSION_HEADER is not set")
	}
	var f *fleet.Fleet
	if err == nil {
		f, err = fleet.Start(fleet.Options{Entries: 3, Bulks: 3, Servers: servers, Record: record, Server: withWeights(record, header)})
	}
	if f != nil {
		defer f.Stop()
	}
	if err != nil {
		record.Log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return fleet.NotRun
	}
	jobs := f.NewJobs()
	for range 4 {
		if !jobs.Submit(3, 20) {
			record.Log("cannot run: no job is accepted before the disruption")
			return fleet.NotRun
		}
	}
	if wrong := jobs.Complete(15 * time.Second); len(wrong) > 0 || online(f, 20, "before") < 20 {
		record.Log("cannot run: not all is served before the disruption: %s", strings.Join(wrong, "; "))
		return fleet.NotRun
	}
	version := other
	if os.Getenv("TROUBLE") == "0" {
		version = current
	}
	askFor(f, header, version)
	after, sent := 0, 0
	for began := time.Now(); time.Since(began) < load; time.Sleep(time.Second) {
		jobs.Submit(3, 3)
		after += online(f, 5, fmt.Sprintf("after%d", sent))
		sent += 5
	}
	time.Sleep(settle)
	late := online(f, 20, "late")
	wrong := jobs.Complete(finalReads)
	record.Log("online requests served: %d of %d in the %v after, %d of 20 after another %v", after, sent, load, late, settle)
	record.Log("%d batch jobs accepted, %d of them wrong at the end: %s", len(jobs.Accepted()), len(wrong), strings.Join(wrong, "; "))
	fmt.Printf("%d batch jobs accepted, %d of them wrong at the end; online requests served: %d of %d, then %d of 20\n", len(jobs.Accepted()), len(wrong), after, sent, late)
	if len(wrong) > 0 {
		return fleet.Broken
	}
	return fleet.Held
}

// askFor sends one request that asks for weights of a version, or with VIA=item a batch job
// with one such item.
func askFor(f *fleet.Fleet, header, version string) {
	h, names := f.EntryHosts()[0], platform.Names()
	path, body := standin.Resumable.Prefix+"versioned", "versioned"
	if os.Getenv("VIA") == "item" {
		path = standin.Batch.Prefix + "versioned"
		body = fmt.Sprintf(`{"items":[{"id":"versioned-item","path":"%s/item","headers":{"%s":"%s"},"body":"","tokens":20}]}`, path, header, version)
	}
	q, err := http.NewRequest(http.MethodPost, "http://"+h.Callers+path, strings.NewReader(body))
	if err != nil {
		return
	}
	q.Host = standin.Host
	q.Header.Set(names.Key, fleet.Key)
	q.Header.Set(names.RequestID, "versioned")
	q.Header.Set(names.Deadline, "5000")
	if os.Getenv("VIA") != "item" {
		q.Header.Set(header, version)
	}
	r, err := f.Caller.Client.Do(q)
	if err != nil {
		f.Record.Log("the request that asks for weights %s, sent to %s: %v", version, h.Name, err)
		return
	}
	f.Record.Log("the request that asks for weights %s, sent to %s: %d", version, h.Name, r.StatusCode)
	_ = r.Body.Close()
}

// online sends n requests without a version and returns how many were served.
func online(f *fleet.Fleet, n int, prefix string) int {
	served := 0
	for i := range n {
		h := f.EntryHosts()[i%len(f.EntryHosts())]
		a := standin.Attempt{ID: fmt.Sprintf("%s-%d", prefix, i), Key: fleet.Key, Address: h.Callers, Route: standin.Resumable}
		a.Path = a.Route.Prefix + a.ID
		a = f.Caller.Do(context.Background(), a, []byte(a.ID), 4*time.Second)
		f.Record.Log("request %s sent to %s: %d %v", a.ID, h.Name, a.Status, a.Err)
		if a.Status == http.StatusOK && a.Err == nil {
			served++
		}
	}
	return served
}
