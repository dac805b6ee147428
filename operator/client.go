// Package operator has the operators' commands. All but a few talk to any host
// over the HTTP API of package administrator, and try the next host that they
// were given when one cannot be reached.
//
// A command that changes something makes an identifier for its change and
// prints it when the outcome is not known; giving it again with -id settles
// whether the change took effect, and never applies it twice.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jackdawgate/jackdawgate/administrator"
	"github.com/jackdawgate/jackdawgate/commander"
	"github.com/jackdawgate/jackdawgate/registrar"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// Environment variables.
const (
	// HostVariable has the default of -host.
	HostVariable = "JACKDAWGATE_HOST"
	// TokenVariable has the operators' token.
	TokenVariable = "JACKDAWGATE_TOKEN"
)

const (
	defaultHost = "127.0.0.1:8480"
	// callTimeout is how long one host may take to answer.
	callTimeout = 30 * time.Second
	// connectTimeout is how long connecting to a host may take.
	connectTimeout = 3 * time.Second
)

// remote has the flags and the calls that all commands to hosts share.
type remote struct {
	hosts     string
	tokenFile string
	json      bool
	id        string
}

func (r *remote) Flags(f *flag.FlagSet) {
	f.StringVar(&r.hosts, "host", "", "`addresses` of hosts, separated by commas; default $"+HostVariable+" or "+defaultHost)
	f.StringVar(&r.tokenFile, "token-file", "", "`file` with the operators' token; default $"+TokenVariable)
	f.BoolVar(&r.json, "json", false, "print JSON")
}

// changeFlags adds the flag of commands that change something.
func (r *remote) changeFlags(f *flag.FlagSet) {
	f.StringVar(&r.id, "id", "", "`identifier` of the change; give that of an earlier try to repeat it")
}

// AnswerError is a host's refusal.
type AnswerError struct {
	Status  int
	Code    string
	Message string
}

func (e *AnswerError) Error() string {
	if e.Code == "" {
		return fmt.Sprintf("status %d: %s", e.Status, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// UnreachableError says that none of the hosts answered.
type UnreachableError struct {
	Hosts []string
	Err   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Hosts, ", "), e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// SpreadError says that a change is not known to be in force.
type SpreadError struct {
	ID     string
	Spread administrator.Spread
}

func (e *SpreadError) Error() string {
	return fmt.Sprintf("the change is %s but not known to be in force; repeat the command with -id %s to settle it", e.Spread, e.ID)
}

func (r *remote) token(e commander.Env) (string, error) {
	if r.tokenFile == "" {
		return e.Getenv(TokenVariable), nil
	}
	data, err := os.ReadFile(r.tokenFile)
	return strings.TrimSpace(string(data)), eris.Wrap(err, "read token")
}

func (r *remote) addresses(e commander.Env) []string {
	for _, list := range []string{r.hosts, e.Getenv(HostVariable)} {
		if list != "" {
			return strings.Split(list, ",")
		}
	}
	return []string{defaultHost}
}

// request is one call to a host.
type request struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
}

// do asks the hosts in turn until one answers.
func (r *remote) do(ctx context.Context, e commander.Env, q request) ([]byte, error) {
	token, err := r.token(e)
	if err != nil {
		return nil, err
	}
	hosts := r.addresses(e)
	var last error
	for _, h := range hosts {
		body, err := ask(ctx, h, token, q)
		var a *AnswerError
		if err == nil || errors.As(err, &a) {
			return body, err
		}
		last = err
	}
	return nil, &UnreachableError{Hosts: hosts, Err: last}
}

func ask(ctx context.Context, host, token string, q request) ([]byte, error) {
	in, out := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(in)
	defer fasthttp.ReleaseResponse(out)
	if !strings.Contains(host, "://") {
		host = "http://" + host
	}
	in.SetRequestURI(host + q.path)
	in.Header.SetMethod(q.method)
	in.Header.Set("Authorization", "Bearer "+token)
	for k, v := range q.headers {
		in.Header.Set(k, v)
	}
	in.SetBody(q.body)
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, connectTimeout) },
	}
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := client.DoDeadline(in, out, deadline); err != nil {
		return nil, eris.Wrapf(err, "ask %s", host)
	}
	body := bytes.Clone(out.Body())
	if out.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, refusal(out.StatusCode(), body)
	}
	return body, nil
}

// refusal reads the error shape that all APIs of a host share.
func refusal(status int, body []byte) error {
	var shape struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &shape) != nil || shape.Error.Message == "" {
		return &AnswerError{Status: status, Message: string(body)}
	}
	return &AnswerError{Status: status, Code: shape.Error.Code, Message: shape.Error.Message}
}

// get reads path into answer.
func (r *remote) get(ctx context.Context, e commander.Env, path string, answer any) error {
	body, err := r.do(ctx, e, request{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, answer), "decode answer of %s", path)
}

func (r *remote) record(ctx context.Context, e commander.Env) (registrar.Record, error) {
	var record registrar.Record
	err := r.get(ctx, e, administrator.RecordPath, &record)
	return record, err
}

// identifier returns the change's identifier, made anew unless given.
func (r *remote) identifier() string {
	if r.id == "" {
		r.id = uuid.NewString()
	}
	return r.id
}

// change asks for c and prints done when it is in force.
func (r *remote) change(ctx context.Context, e commander.Env, c registrar.Change, done string) error {
	q := administrator.ChangeRequest{ID: r.identifier(), Change: registrar.NewEnvelope(c)}
	return r.post(ctx, e, administrator.ChangesPath, q, done)
}

func (r *remote) post(ctx context.Context, e commander.Env, path string, q any, done string) error {
	body, err := json.Marshal(q)
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	data, err := r.do(ctx, e, request{method: fasthttp.MethodPost, path: path, body: body})
	if outcomeUnknown(err) {
		return eris.Wrapf(err, "repeat with -id %s", r.id)
	}
	if err != nil {
		return err
	}
	var a administrator.ChangeAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	return r.told(e, a, done)
}

// outcomeUnknown says whether a change that failed with err may have been made.
func outcomeUnknown(err error) bool {
	var u *UnreachableError
	var a *AnswerError
	return errors.As(err, &u) || (errors.As(err, &a) && a.Code == administrator.CodeChangeUnknown)
}

// told prints what became of a change.
func (r *remote) told(e commander.Env, a administrator.ChangeAnswer, done string) error {
	if r.json {
		if err := printJSON(e.Stdout, a); err != nil {
			return err
		}
	}
	if a.Spread != administrator.SpreadAccepted {
		return &SpreadError{ID: a.ID, Spread: a.Spread}
	}
	if r.json {
		return nil
	}
	if a.Repeated {
		done += " (already done)"
	}
	_, err := fmt.Fprintf(e.Stdout, "%s; in force as version %d\n", done, a.Version)
	return err
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(v), "print JSON")
}

// exactly checks the number of positional arguments.
func exactly(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	return &commander.UsageError{Problem: fmt.Sprintf("want %d arguments (%s), got %d", len(names), strings.Join(names, " "), len(args))}
}
