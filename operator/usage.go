package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/recorder"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// timeRange holds the flags that select usage entries by time. from is inclusive and
// until exclusive.
type timeRange struct{ from, until string }

func (p *timeRange) addFlags(f *flag.FlagSet) {
	f.StringVar(&p.from, "from", "", "earliest `time`, such as 2026-01-31T00:00:00Z; default the first record")
	f.StringVar(&p.until, "until", "", "`time` before which the period ends; default now")
}

// query returns the range as the query of a URL, in Unix milliseconds. It returns a
// UsageError if a flag is not in RFC 3339.
func (p *timeRange) query() (string, error) {
	q := url.Values{}
	for name, text := range map[string]string{"from": p.from, "until": p.until} {
		if text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, text)
		if err != nil {
			return "", &commander.UsageError{Problem: fmt.Sprintf("-%s: %q is not a time such as 2026-01-31T00:00:00Z", name, text)}
		}
		q.Set(name, strconv.FormatInt(t.UnixMilli(), 10))
	}
	return "?" + q.Encode(), nil
}

// UsageReport prints the usage of each owner and workspace. Its JSON output is a bill
// that UsageVerify can check.
type UsageReport struct {
	apiClient
	timeRange
}

// Name implements commander.Command.
func (*UsageReport) Name() string { return "usage report" }

// Arguments implements commander.Command.
func (*UsageReport) Arguments() string { return "" }

// Short implements commander.Command.
func (*UsageReport) Short() string { return "shows usage by owner and workspace" }

// Example implements commander.Command.
func (*UsageReport) Example() string {
	return "jackdawgate usage report -from 2026-01-01T00:00:00Z -json > bill.json"
}

// Flags implements commander.Command.
func (u *UsageReport) Flags(f *flag.FlagSet) {
	u.apiClient.Flags(f)
	u.addFlags(f)
}

// Run implements commander.Command.
func (u *UsageReport) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	q, err := u.query()
	if err != nil {
		return err
	}
	var bill recorder.Bill
	if err := u.get(ctx, e, administrator.UsagePath+q, &bill); err != nil {
		return err
	}
	if len(bill.Unreached) > 0 {
		_, _ = fmt.Fprintf(e.Stderr, "the report may be incomplete: no answer from %s\n", strings.Join(bill.Unreached, ", "))
	}
	if len(bill.Unsealed) > 0 {
		_, _ = fmt.Fprintf(e.Stderr, "the report may lack the last records of earlier runs of %s; they are read about a minute after the host went\n", strings.Join(bill.Unsealed, ", "))
	}
	if u.jsonOutput {
		return printJSON(e.Stdout, bill)
	}
	var rows []string
	for _, l := range bill.Lines {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d",
			l.Owner, l.Workspace, className(l.Class), l.Requests, l.Usage.PromptTokens, l.Usage.CompletionTokens))
	}
	return writeTable(e.Stdout, "owner\tworkspace\tclass\trequests\tprompt tokens\tcompletion tokens", rows)
}

// className returns the name of c in the output.
func className(c requester.Class) string {
	if c == requester.Batch {
		return "batch"
	}
	return "online"
}

// UsageVerify checks a bill against the signed usage records. The check runs in this
// process, with the hosts' public keys from the record.
type UsageVerify struct {
	apiClient
	billFile    string
	recordsFile string
}

// Name implements commander.Command.
func (*UsageVerify) Name() string { return "usage verify" }

// Arguments implements commander.Command.
func (*UsageVerify) Arguments() string { return "" }

// Short implements commander.Command.
func (*UsageVerify) Short() string {
	return "recomputes a bill from the signed records alone and reports the first record that does not match"
}

// Example implements commander.Command.
func (*UsageVerify) Example() string { return "jackdawgate usage verify -bill bill.json" }

// Flags implements commander.Command.
func (u *UsageVerify) Flags(f *flag.FlagSet) {
	u.apiClient.Flags(f)
	f.StringVar(&u.billFile, "bill", "", "`file` with a bill that usage report -json printed; default one computed now")
	f.StringVar(&u.recordsFile, "records", "", "`file` with records; default those of the fleet")
}

// Run implements commander.Command.
func (u *UsageVerify) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	bill, err := u.readBill(ctx, e)
	if err != nil {
		return err
	}
	data, err := u.readRecords(ctx, e)
	if err != nil {
		return err
	}
	chains, err := recorder.ReadChains(bytes.NewReader(data))
	if err != nil {
		return err
	}
	r, err := u.getRecord(ctx, e)
	if err != nil {
		return err
	}
	if err := recorder.Verify(bill, chains, recorder.KeysOf(r)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.Stdout, "the bill of %d lines follows from %d chains of records\n", len(bill.Lines), len(chains))
	return err
}

// readBill reads the bill from the file of -bill, or requests one from a host.
func (u *UsageVerify) readBill(ctx context.Context, e commander.Env) (recorder.Bill, error) {
	var bill recorder.Bill
	if u.billFile == "" {
		return bill, u.get(ctx, e, administrator.UsagePath, &bill)
	}
	data, err := os.ReadFile(u.billFile)
	if err != nil {
		return bill, eris.Wrap(err, "read bill")
	}
	return bill, eris.Wrap(json.Unmarshal(data, &bill), "decode bill")
}

// readRecords reads the records from the file of -records, or requests them from a host.
func (u *UsageVerify) readRecords(ctx context.Context, e commander.Env) ([]byte, error) {
	if u.recordsFile == "" {
		return u.send(ctx, e, request{method: fasthttp.MethodGet, path: administrator.UsageRecordsPath})
	}
	data, err := os.ReadFile(u.recordsFile)
	return data, eris.Wrap(err, "read records")
}

// UsageRecords prints the signed usage records, so that they can be stored or verified
// elsewhere.
type UsageRecords struct{ apiClient }

// Name implements commander.Command.
func (*UsageRecords) Name() string { return "usage records" }

// Arguments implements commander.Command.
func (*UsageRecords) Arguments() string { return "" }

// Short implements commander.Command.
func (*UsageRecords) Short() string { return "prints the signed usage records as JSON lines" }

// Example implements commander.Command.
func (*UsageRecords) Example() string { return "jackdawgate usage records > records.jsonl" }

// Run implements commander.Command.
func (u *UsageRecords) Run(ctx context.Context, e commander.Env, args []string) error {
	if err := checkArgumentCount(args); err != nil {
		return err
	}
	data, err := u.send(ctx, e, request{method: fasthttp.MethodGet, path: administrator.UsageRecordsPath})
	if err != nil {
		return err
	}
	_, err = e.Stdout.Write(data)
	return err
}
