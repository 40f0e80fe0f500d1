package systemtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"wheelgauge"
	"wheelgauge/fake/script"
	"wheelgauge/load"
)

// callerClient opens a new connection for each request, so that test steps stay
// independent of each other.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 60 * time.Second}

// reply is the result of a call as its caller sees it.
type reply struct {
	status int
	header http.Header
	body   string
	apiErr *wheelgauge.Error
	err    error
}

// outcome is what the caller may assume about the execution.
func (r reply) outcome() wheelgauge.Outcome {
	switch {
	case r.err != nil:
		return wheelgauge.OutcomeUnknown
	case r.apiErr != nil:
		return r.apiErr.Outcome()
	default:
		return wheelgauge.OutcomeRan
	}
}

func (r reply) reason() wheelgauge.Reason {
	if r.apiErr == nil {
		return ""
	}
	return r.apiErr.Reason()
}

func (r reply) String() string { return fmt.Sprintf("%d %s %v", r.status, r.body, r.err) }

// call is one request from a caller.
type call struct {
	method string
	path   string
	client string
	body   string
	header map[string]string
}

func (d *deployment) url(n *node, path string) string {
	return fmt.Sprintf("http://%s:%d%s", n.ip, portCaller, path)
}

// send sends a call to a host.
func (d *deployment) send(n *node, c call) reply {
	req, err := http.NewRequest(c.method, d.url(n, c.path), strings.NewReader(c.body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+load.CredentialOf(c.client))
	req.Header.Set("Content-Type", "application/json")
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out := reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
	if resp.StatusCode >= http.StatusBadRequest {
		out.apiErr = new(wheelgauge.Error)
		if json.Unmarshal(body, out.apiErr) != nil {
			out.apiErr = nil
		}
	}
	return out
}

// chat returns a streaming completion request.
func chat(client, prompt string, tokens int) call {
	return call{
		method: http.MethodPost, path: "/v1/chat/completions", client: client,
		body: fmt.Sprintf(`{"model":"small","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt),
	}
}

// book returns a call that is not repeatable; without an idempotency key if key is
// empty.
func book(client, ref, key string) call {
	c := call{method: http.MethodPost, path: "/s/book/", client: client, body: fmt.Sprintf(`{"ref":%q}`, ref), header: map[string]string{}}
	if key != "" {
		c.header[wheelgauge.HeaderIdempotency] = key
	}
	return c
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// checkComplete returns an error unless r is the complete stream of the answer to a
// prompt.
func checkComplete(r reply, prompt string, tokens int) error {
	if r.err != nil || r.status != http.StatusOK {
		return fmt.Errorf("got %s", r)
	}
	text, complete := "", false
	for line := range strings.SplitSeq(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			break
		}
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
			return fmt.Errorf("bad event %q", data)
		}
		text += c.Choices[0].Delta.Content
	}
	if want := script.Answer(prompt, tokens); text != want || !complete {
		return fmt.Errorf("terminated by [DONE]: %t, got %d characters, want %d; correct prefix: %t", complete, len(text), len(want), strings.HasPrefix(want, text))
	}
	return nil
}

// stream starts a completion and returns when its first line has arrived. The
// function that it returns waits for the rest.
func (d *deployment) stream(t testing.TB, n *node, c call) func() reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, c.method, d.url(n, c.path), strings.NewReader(c.body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+load.CredentialOf(c.client))
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(resp.Body)
	first, err := reader.ReadString('\n')
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("stream: status %d, %v", resp.StatusCode, err)
	}
	return func() reply {
		defer resp.Body.Close()
		rest, err := io.ReadAll(reader)
		return reply{status: resp.StatusCode, header: resp.Header, body: first + string(rest), err: err}
	}
}

// entries fetches a client's entry list from a host.
func (d *deployment) entries(n *node, client string) ([]wheelgauge.Entry, error) {
	r := d.send(n, call{method: http.MethodGet, path: "/v1/entry", client: client})
	if r.status != http.StatusOK {
		return nil, fmt.Errorf("entry list: %s", r)
	}
	var list wheelgauge.EntryList
	err := json.Unmarshal([]byte(r.body), &list)
	return list.Entries, err
}

func listed(entries []wheelgauge.Entry, host string) bool {
	for _, e := range entries {
		if e.Host == host {
			return true
		}
	}
	return false
}

// startedInRegion returns how many sequences the running engines of a region have
// started.
func (d *deployment) startedInRegion(region string) int {
	sum := 0
	for _, s := range d.servers {
		if s.pool != "engines" || s.region != region || s.process.exited {
			continue
		}
		var stats struct {
			Started int `json:"started"`
		}
		if err := getJSON("http://"+s.addr+"/v1/stats", &stats); err != nil {
			d.t.Fatal(err)
		}
		sum += stats.Started
	}
	return sum
}

// counter returns the value of a gateway's counter.
func (d *deployment) counter(n *node, name string) int {
	var all map[string]struct {
		Count int `json:"count"`
	}
	if err := getJSON(fmt.Sprintf("http://%s:%d/metrics", n.ip, portOperator), &all); err != nil {
		d.t.Fatal(err)
	}
	return all[name].Count
}

// generation returns the configuration generation in force at a host.
func (d *deployment) generation(n *node) (uint64, error) {
	var s struct {
		Generation uint64 `json:"generation"`
	}
	err := getJSON(fmt.Sprintf("http://%s:%d/status", n.ip, portOperator), &s)
	return s.Generation, err
}

// testClient returns the name of the first client of a region.
func testClient(region string) string { return load.ClientName(region, 0) }
