//go:build review

// Command large plays the case of a batch job that is longer than a record of a group's log
// may be. See claim.txt of its case.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/broker"
	"github.com/jackdawgate/jackdawgate/platform"
	"github.com/jackdawgate/jackdawgate/platform/standin"
	"github.com/jackdawgate/jackdawgate/review/fleet"
	"github.com/jackdawgate/jackdawgate/storer"
)

const (
	// bodyBytes is the limit on bodies that the operator's second config states.
	bodyBytes = 16 << 20
	// items is the number of items of the large job, the most that a job may have. Their
	// bodies are of longItem bytes each, or of shortItem without the disruption.
	items     = 200
	longItem  = 45 << 10
	shortItem = 30 << 10
	// largeJobs is the number of large jobs, each of which is sent twice at most.
	largeJobs = 4
	// machinesWithEnds machines on which processes end by themselves endsOfMachine times
	// break the rule.
	machinesWithEnds, endsOfMachine = 2, 3
	// settle is the time after the large jobs: stableWindowMs and recoverS.
	settle = 3*time.Second + 12*time.Second
	// finalReads is how long reads are tried again after that.
	finalReads = 10 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := fleet.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return fleet.NotRun
	}
	defer func() { _ = record.Close() }()
	f, err := fleet.Start(fleet.Options{Entries: 3, Bulks: 3, Servers: 3, Record: record})
	if f != nil {
		defer f.Stop()
	}
	if err == nil {
		err = raiseLimit(f)
	}
	if err != nil {
		record.Log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return fleet.NotRun
	}
	jobs := f.NewJobs()
	for range 24 {
		if !jobs.Submit(2, 20) {
			record.Log("cannot run: no job is accepted before the disruption")
			return fleet.NotRun
		}
	}
	if wrong := jobs.Complete(15 * time.Second); len(wrong) > 0 {
		record.Log("cannot run: jobs are not complete before the disruption: %s", strings.Join(wrong, "; "))
		return fleet.NotRun
	}
	size := longItem
	if os.Getenv("TROUBLE") == "0" {
		size = shortItem
	}
	for n := range largeJobs {
		submitLarge(f, fmt.Sprintf("large%d", n), size)
		time.Sleep(pause)
	}
	time.Sleep(settle)
	wrong := jobs.Complete(finalReads)
	record.Log("%d batch jobs accepted before, %d of them wrong at the end: %s", len(jobs.Accepted()), len(wrong), strings.Join(wrong, "; "))
	machines := 0
	for name, n := range f.OwnEnds() {
		record.Log("the process of %s has ended by itself %d times", name, n)
		if n >= endsOfMachine {
			machines++
		}
	}
	record.Log("machines with %d such ends or more: %d", endsOfMachine, machines)
	fmt.Printf("processes that ended by themselves: %v; batch jobs wrong at the end: %d\n", f.OwnEnds(), len(wrong))
	if machines >= machinesWithEnds {
		return fleet.Broken
	}
	return fleet.Held
}

// raiseLimit writes the operator's config once more, with a higher version and limit on
// bodies, and waits until it is in force.
func raiseLimit(f *fleet.Fleet) error {
	list, _, err := f.Ledger.Range(context.Background(), "op/")
	if err != nil || len(list) != 1 {
		return fmt.Errorf("the store has %d configs: %w", len(list), err)
	}
	var config map[string]any
	if err := json.Unmarshal(list[0].Value, &config); err != nil {
		return err
	}
	config["version"] = config["version"].(float64) + 2
	config["limits"].(map[string]any)["maxBodyBytes"] = bodyBytes
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	_, err = f.Ledger.Commit(context.Background(), storer.Transaction{Set: []storer.Item{{Key: list[0].Key, Value: value}}})
	f.Record.Log("the operator's config has maxBodyBytes = %d: %v", bodyBytes, err)
	time.Sleep(3 * time.Second)
	return err
}

// pause is the time between two large jobs.
const pause = 3 * time.Second

// submitLarge submits a job with bodies of size bytes, twice at most, as a client does that
// may try again once.
func submitLarge(f *fleet.Fleet, id string, size int) {
	type entry struct {
		ID     string `json:"id"`
		Path   string `json:"path"`
		Body   []byte `json:"body"`
		Tokens int64  `json:"tokens"`
	}
	var in struct {
		Items []entry `json:"items"`
	}
	for i := range items {
		name := fmt.Sprintf("%s-item%d", id, i)
		in.Items = append(in.Items, entry{ID: name, Path: standin.Batch.Prefix + id + "/" + name, Body: bytes.Repeat([]byte{byte('a' + i%26)}, size), Tokens: 20})
	}
	body, err := json.Marshal(in)
	if err != nil {
		f.Record.Log("cannot encode the large job: %v", err)
		return
	}
	names := platform.Names()
	for i := range 2 {
		h := f.EntryHosts()[i]
		q, err := http.NewRequest(http.MethodPost, "http://"+h.Callers+standin.Batch.Prefix+id, bytes.NewReader(body))
		if err != nil {
			return
		}
		q.Host = standin.Host
		q.Header.Set(names.Key, fleet.Key)
		q.Header.Set(names.RequestID, id)
		r, err := f.Caller.Client.Do(q)
		if err != nil {
			f.Record.Log("%s (group %d, %d bytes) sent to %s: %v", id, broker.GroupOf(id), len(body), h.Name, err)
			continue
		}
		text, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		f.Record.Log("%s (group %d, %d bytes) sent to %s: %d %s", id, broker.GroupOf(id), len(body), h.Name, r.StatusCode, strings.TrimSpace(string(text)))
		if r.StatusCode == http.StatusAccepted {
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}
