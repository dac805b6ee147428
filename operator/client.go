// Package operator implements the operators' commands. Most of them send requests to
// a host through the HTTP API of package administrator. Any host will do: a command
// tries the hosts that it was given in order until one responds.
//
// A command that changes the fleet's configuration generates an identifier for the
// change and prints it if the outcome is unknown. Repeating the command with that
// identifier as -id determines whether the change took effect. The fleet applies a
// change at most once, however often it is sent.
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
	// HostVariable names the variable that holds the default value of -host.
	HostVariable = "JACKDAWGATE_HOST"
	// TokenVariable names the variable that holds the operators' token. It is read if
	// -token-file is not given.
	TokenVariable = "JACKDAWGATE_TOKEN"
)

const (
	defaultHost = "127.0.0.1:8480"
	// callTimeout limits one request to one host, including its response.
	callTimeout = 30 * time.Second
	// connectTimeout limits the time to connect to one host.
	connectTimeout = 3 * time.Second
)

// apiClient sends requests to hosts. The commands that use the operators' API embed
// it; its Flags method defines the flags that they have in common.
type apiClient struct {
	hosts      string
	tokenFile  string
	jsonOutput bool
	id         string
}

func (r *apiClient) Flags(f *flag.FlagSet) {
	f.StringVar(&r.hosts, "host", "", "`addresses` of hosts, separated by commas; default $"+HostVariable+" or "+defaultHost)
	f.StringVar(&r.tokenFile, "token-file", "", "`file` with the operators' token; default $"+TokenVariable)
	f.BoolVar(&r.jsonOutput, "json", false, "print JSON")
}

// addChangeFlags defines the flag of commands that change the configuration.
func (r *apiClient) addChangeFlags(f *flag.FlagSet) {
	f.StringVar(&r.id, "id", "", "`identifier` of the change; give that of an earlier attempt to repeat it")
}

// ResponseError reports that a host responded with an error. Code is empty if the
// response did not have the format of the host's errors; Message is then the body.
type ResponseError struct {
	Status  int
	Code    string
	Message string
}

func (e *ResponseError) Error() string {
	if e.Code == "" {
		return fmt.Sprintf("status %d: %s", e.Status, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// UnreachableError reports that none of the hosts responded. Err is the failure of the
// last one. A host may nevertheless have received the request.
type UnreachableError struct {
	Hosts []string
	Err   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Hosts, ", "), e.Err)
}

func (e *UnreachableError) Unwrap() error { return e.Err }

// UnconfirmedChangeError reports that a host processed a change but could not confirm
// that it is in force. Sending the change again with the same ID settles the outcome.
type UnconfirmedChangeError struct {
	ID     string
	Spread administrator.ChangeState
}

func (e *UnconfirmedChangeError) Error() string {
	return fmt.Sprintf("the change is %s but not known to be in force; repeat the command with -id %s to settle it", e.Spread, e.ID)
}

func (r *apiClient) readToken(e commander.Env) (string, error) {
	if r.tokenFile == "" {
		return e.Getenv(TokenVariable), nil
	}
	data, err := os.ReadFile(r.tokenFile)
	return strings.TrimSpace(string(data)), eris.Wrap(err, "read token")
}

func (r *apiClient) addresses(e commander.Env) []string {
	for _, list := range []string{r.hosts, e.Getenv(HostVariable)} {
		if list != "" {
			return strings.Split(list, ",")
		}
	}
	return []string{defaultHost}
}

// request is an HTTP request to a host. path includes the query.
type request struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
}

// send sends q to the hosts in order until one responds, and returns the response
// body. An error response counts as a response and is returned as a ResponseError.
func (r *apiClient) send(ctx context.Context, e commander.Env, q request) ([]byte, error) {
	token, err := r.readToken(e)
	if err != nil {
		return nil, err
	}
	hosts := r.addresses(e)
	var lastErr error
	for _, h := range hosts {
		body, err := sendTo(ctx, h, token, q)
		var a *ResponseError
		if err == nil || errors.As(err, &a) {
			return body, err
		}
		lastErr = err
	}
	return nil, &UnreachableError{Hosts: hosts, Err: lastErr}
}

// sendTo sends q to one host, without retries. It returns a ResponseError if the host
// responds with a status of 400 or above.
func sendTo(ctx context.Context, host, token string, q request) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if !strings.Contains(host, "://") {
		host = "http://" + host
	}
	req.SetRequestURI(host + q.path)
	req.Header.SetMethod(q.method)
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range q.headers {
		req.Header.Set(k, v)
	}
	req.SetBody(q.body)
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		Dial:                      func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, connectTimeout) },
	}
	deadline := time.Now().Add(callTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := client.DoDeadline(req, resp, deadline); err != nil {
		return nil, eris.Wrapf(err, "send request to %s", host)
	}
	body := bytes.Clone(resp.Body())
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return nil, decodeError(resp.StatusCode(), body)
	}
	return body, nil
}

// decodeError returns the error in body, which has the same format in all APIs of a
// host.
func decodeError(status int, body []byte) error {
	var response struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &response) != nil || response.Error.Message == "" {
		return &ResponseError{Status: status, Message: string(body)}
	}
	return &ResponseError{Status: status, Code: response.Error.Code, Message: response.Error.Message}
}

// get sends a GET request for path and decodes the JSON response into result.
func (r *apiClient) get(ctx context.Context, e commander.Env, path string, result any) error {
	body, err := r.send(ctx, e, request{method: fasthttp.MethodGet, path: path})
	if err != nil {
		return err
	}
	return eris.Wrapf(json.Unmarshal(body, result), "decode answer of %s", path)
}

// getRecord returns the record that is in force. The host leaves out key hashes.
func (r *apiClient) getRecord(ctx context.Context, e commander.Env) (registrar.Record, error) {
	var record registrar.Record
	err := r.get(ctx, e, administrator.RecordPath, &record)
	return record, err
}

// changeID returns the identifier of the change: the value of -id, or a random one
// that is generated on the first call.
func (r *apiClient) changeID() string {
	if r.id == "" {
		r.id = uuid.NewString()
	}
	return r.id
}

// change submits c. If c is in force, it prints message with the record's version.
func (r *apiClient) change(ctx context.Context, e commander.Env, c registrar.Change, message string) error {
	q := administrator.ChangeRequest{ID: r.changeID(), Change: registrar.NewEnvelope(c)}
	return r.postChange(ctx, e, administrator.ChangesPath, q, message)
}

// postChange posts q, a change with the identifier r.id, to path and prints the
// outcome. If the outcome is unknown, the error contains the identifier to repeat the
// change with.
func (r *apiClient) postChange(ctx context.Context, e commander.Env, path string, q any, message string) error {
	body, err := json.Marshal(q)
	if err != nil {
		return eris.Wrap(err, "encode change")
	}
	data, err := r.send(ctx, e, request{method: fasthttp.MethodPost, path: path, body: body})
	if outcomeUnknown(err) {
		return eris.Wrapf(err, "repeat with -id %s", r.id)
	}
	if err != nil {
		return err
	}
	var a administrator.ChangeResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return eris.Wrap(err, "decode answer")
	}
	return r.printOutcome(e, a, message)
}

// outcomeUnknown reports whether a change whose request failed with err may have been
// applied.
func outcomeUnknown(err error) bool {
	var u *UnreachableError
	var a *ResponseError
	return errors.As(err, &u) || (errors.As(err, &a) && a.Code == administrator.CodeChangeUnknown)
}

// printOutcome prints the outcome of a change. It returns an UnconfirmedChangeError if
// the change is not known to be in force.
func (r *apiClient) printOutcome(e commander.Env, a administrator.ChangeResponse, message string) error {
	if r.jsonOutput {
		if err := printJSON(e.Stdout, a); err != nil {
			return err
		}
	}
	if a.State != administrator.ChangeAccepted {
		return &UnconfirmedChangeError{ID: a.ID, Spread: a.State}
	}
	if r.jsonOutput {
		return nil
	}
	if a.Repeated {
		message += " (already done)"
	}
	_, err := fmt.Fprintf(e.Stdout, "%s; in force as version %d\n", message, a.Version)
	return err
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return eris.Wrap(enc.Encode(v), "print JSON")
}

// checkArgumentCount returns a UsageError unless args has one element for each name.
func checkArgumentCount(args []string, names ...string) error {
	if len(args) == len(names) {
		return nil
	}
	return &commander.UsageError{Problem: fmt.Sprintf("want %d arguments (%s), got %d", len(names), strings.Join(names, " "), len(args))}
}
