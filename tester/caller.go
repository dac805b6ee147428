package tester

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackdawgate/jackdawgate/emulator"
	"github.com/jackdawgate/jackdawgate/requester"
	"github.com/stretchr/testify/require"
)

// Response is the outcome of a caller's request.
type Response struct {
	Status int
	Body   string
	// NotRun is set if a header guarantees that no backend server ran any part of
	// the call.
	NotRun bool
	// Err is set if the request failed or its response was not read completely.
	Err error
}

// callTimeout bounds each call of a test, except streams.
const callTimeout = 30 * time.Second

// Chat requests a chat completion from a host and reads the whole response.
func Chat(client *http.Client, host, key, prompt string, tokens int) Response {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"max_tokens":%d}`, emulator.DefaultModel, prompt, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+host+requester.PathChat, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Body: string(data), NotRun: resp.Header.Get("jackdawgate-not-run") == "true", Err: err}
}

// NewClient returns a client that shares its connections with no other client.
func NewClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// Stream opens a chat completion stream and returns a channel that receives its
// non-empty lines as they arrive. The channel is closed when the stream ends. Its
// buffer holds a line for each token, so that a test need not read it.
func Stream(t *testing.T, host, key string, tokens int) <-chan string {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":"long"}],"max_tokens":%d}`, emulator.DefaultModel, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+host+requester.PathChat, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := (&http.Client{}).Do(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	lines := make(chan string, tokens+64)
	go func() {
		defer close(lines)
		defer func() { _ = resp.Body.Close() }()
		s := bufio.NewScanner(resp.Body)
		for s.Scan() {
			if s.Text() != "" {
				lines <- s.Text()
			}
		}
	}()
	return lines
}

// post sends a request with an optional key and returns the status and the body.
func post(t *testing.T, url, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(data)
}

// OfferedHosts returns the addresses of the hosts that the host at address offers
// to callers, or nil if it cannot get the list.
func OfferedHosts(client *http.Client, key, address string) []string {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/hosts", nil)
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		Hosts []struct {
			Address string `json:"address"`
		} `json:"hosts"`
	}
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil
	}
	var out []string
	for _, h := range list.Hosts {
		out = append(out, h.Address)
	}
	return out
}
