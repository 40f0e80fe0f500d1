package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/fake/script"
)

const (
	maxTries         = 4
	dialTimeout      = 2 * time.Second
	maxIdleConns     = 2048
	entryListTimeout = 3 * time.Second
	maxErrorBytes    = 64 << 10
)

// Result is the outcome of one request.
type Result struct {
	Kind         string `json:"kind"`
	Client       string `json:"client"`
	Region       string `json:"region"`
	ServedRegion string `json:"served,omitempty"`
	// FirstToken and Total are in milliseconds from the intended start. Gaps are the
	// times between consecutive tokens, in milliseconds.
	FirstToken float64   `json:"first_ms,omitempty"`
	Total      float64   `json:"total_ms"`
	Gaps       []float64 `json:"-"`
	Tokens     int       `json:"tokens,omitempty"`
	Tries      int       `json:"tries"`
	Reason     string    `json:"reason,omitempty"`
	Outcome    string    `json:"outcome,omitempty"`
	// Wrong says what is wrong with the response: it belongs to another request, is
	// truncated but marked as complete, or shows that a non-repeatable call ran twice.
	Wrong string `json:"wrong,omitempty"`
	Late  bool   `json:"late,omitempty"`
	// Ref is the reference of a non-repeatable call.
	Ref string `json:"ref,omitempty"`
}

// Runner sends the requests of a scenario.
type Runner struct {
	scenario Scenario
	http     *http.Client
	mu       sync.Mutex
	lists    map[string]entryList
	results  []Result
}

type entryList struct {
	entries []wheelgauge.Entry
	expires time.Time
}

// NewRunner returns a runner for a scenario.
func NewRunner(s Scenario) *Runner {
	t := &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxIdleConns: maxIdleConns, IdleConnTimeout: 4 * time.Second, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	return &Runner{scenario: s, http: &http.Client{Transport: t}, lists: map[string]entryList{}}
}

// Run sends all requests and returns the results once all have ended.
func (r *Runner) Run(ctx context.Context) []Result {
	requests := r.scenario.plan()
	start := time.Now()
	var wg sync.WaitGroup
	for i := range requests {
		if !sleepUntil(ctx, start.Add(requests[i].offset)) {
			break
		}
		wg.Go(func() { r.addResult(r.send(ctx, &requests[i], start)) })
	}
	wg.Wait()
	return r.results
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *Runner) addResult(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, result)
}

// send sends a request as a caller would: to a host of the entry list, and to the next host
// when one rejects it or is unreachable, within the request's deadline.
func (r *Runner) send(ctx context.Context, p *plannedRequest, start time.Time) Result {
	intended := start.Add(p.offset)
	deadline := intended.Add(p.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	region := r.scenario.Regions[p.region]
	out := Result{Kind: p.kind, Client: p.client, Region: region.Name}
	if p.key != "" {
		out.Ref = p.ref
	}
	for try := range maxTries {
		out.Tries = try + 1
		address := r.chooseHost(ctx, p, region, try)
		retry := r.attempt(ctx, p, address, intended, &out)
		if !retry || ctx.Err() != nil {
			break
		}
	}
	out.Total = milliseconds(time.Since(intended))
	out.Late = out.Reason == "" && time.Now().After(deadline) || out.Reason == string(wheelgauge.ReasonDeadline)
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// chooseHost returns the address of the next host to try: one of the entry list, or the
// bootstrap address if there is no list.
func (r *Runner) chooseHost(ctx context.Context, p *plannedRequest, region Region, try int) string {
	r.mu.Lock()
	known := r.lists[p.client]
	r.mu.Unlock()
	if time.Now().After(known.expires) || try > 0 {
		if fresh, err := r.refreshEntryList(ctx, p, region, known); err == nil {
			known = fresh
		}
	}
	if len(known.entries) == 0 {
		return region.Entry
	}
	return known.entries[try%len(known.entries)].Address
}

// refreshEntryList fetches a new entry list from the bootstrap address or from a host of the
// old list.
func (r *Runner) refreshEntryList(ctx context.Context, p *plannedRequest, region Region, old entryList) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, entryListTimeout)
	defer cancel()
	sources := []string{region.Entry}
	for _, e := range old.entries {
		sources = append(sources, e.Address)
	}
	err := errors.New("no host to fetch the entry list from")
	for _, address := range sources {
		var list entryList
		if list, err = r.fetchEntryList(ctx, p, address); err == nil {
			r.mu.Lock()
			r.lists[p.client] = list
			r.mu.Unlock()
			return list, nil
		}
	}
	return old, err
}

func (r *Runner) fetchEntryList(ctx context.Context, p *plannedRequest, address string) (entryList, error) {
	var list entryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry", nil)
	if err != nil {
		return list, fmt.Errorf("entry list: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+CredentialOf(p.client))
	resp, err := r.http.Do(req)
	if err != nil {
		return list, fmt.Errorf("entry list: %w", err)
	}
	defer resp.Body.Close()
	var body wheelgauge.EntryList
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil || resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("entry list: status %d", resp.StatusCode)
	}
	list.entries = body.Entries
	list.expires = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	return list, nil
}

// attempt sends a request once. It reports whether the request should be retried.
func (r *Runner) attempt(ctx context.Context, p *plannedRequest, address string, intended time.Time, out *Result) bool {
	req, err := r.newRequest(ctx, p, address)
	if err != nil {
		out.Reason = err.Error()
		return false
	}
	resp, err := r.http.Do(req)
	if err != nil {
		out.Reason, out.Outcome = "connection", string(wheelgauge.OutcomeUnknown)
		// A call with an idempotency key may be retried: its claim prevents a second run.
		return !errors.Is(err, context.DeadlineExceeded)
	}
	defer resp.Body.Close()
	out.ServedRegion = resp.Header.Get(wheelgauge.HeaderRegion)
	if resp.StatusCode != http.StatusOK {
		return recordError(resp, out)
	}
	out.Reason, out.Outcome = "", string(wheelgauge.OutcomeRan)
	if p.answerTokens > 0 {
		return r.readStream(resp.Body, p, intended, out)
	}
	return r.readReceipt(resp.Body, p, out)
}

// recordError reads an error response. It reports whether the request may be retried at
// another host.
func recordError(resp *http.Response, out *Result) bool {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := new(wheelgauge.Error)
	if err != nil || json.Unmarshal(body, e) != nil {
		out.Reason, out.Outcome = "unreadable error", string(wheelgauge.OutcomeUnknown)
		return true
	}
	out.Reason, out.Outcome = string(e.Reason()), string(e.Outcome())
	switch e.Reason() {
	case wheelgauge.ReasonDraining, wheelgauge.ReasonResidency, wheelgauge.ReasonNoConfiguration, wheelgauge.ReasonClaimStore, wheelgauge.ReasonClaimHeld, wheelgauge.ReasonServerFailed:
		return true
	default:
		return false
	}
}

func (r *Runner) newRequest(ctx context.Context, p *plannedRequest, address string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	switch p.kind {
	case kindStock, kindTariff:
		method, path = http.MethodGet, "/s/lookup/"+p.ref
	case kindBooking, kindPayment:
		path = "/s/book/"
		body = fmt.Appendf(nil, `{"ref":%q}`, p.ref)
	default:
		body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, modelOf(p.kind), p.answerTokens, p.prompt)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+CredentialOf(p.client))
	req.Header.Set("Content-Type", "application/json")
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(wheelgauge.HeaderDeadline, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	if p.key != "" {
		req.Header.Set(wheelgauge.HeaderIdempotency, p.key)
		req.Header.Set(wheelgauge.HeaderNotRepeatable, "true")
	}
	return req, nil
}

// modelOf returns the model that serves a kind of request.
func modelOf(kind string) string {
	switch kind {
	case kindPlan, kindReview:
		return "large"
	default:
		return "small"
	}
}

// streamEvent holds the fields of a stream event that are checked.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream reads a stream and compares it with the tokens that the fake engines generate
// for the prompt.
func (r *Runner) readStream(body io.Reader, p *plannedRequest, intended time.Time, out *Result) bool {
	var text strings.Builder
	last := time.Time{}
	complete := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			break
		}
		var c streamEvent
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			break // the error event that ends a broken stream
		}
		now := time.Now()
		if last.IsZero() {
			out.FirstToken = milliseconds(now.Sub(intended))
		} else {
			out.Gaps = append(out.Gaps, milliseconds(now.Sub(last)))
		}
		last = now
		out.Tokens++
		text.WriteString(c.Choices[0].Delta.Content)
	}
	checkStream(p, text.String(), complete, out)
	return false
}

func checkStream(p *plannedRequest, text string, complete bool, out *Result) {
	want := script.Answer(p.prompt, p.answerTokens)
	switch {
	case !strings.HasPrefix(want, text):
		out.Wrong = "response does not belong to this request"
	case complete && text != want:
		out.Wrong = "response truncated but marked as complete"
	case !complete:
		out.Reason = string(wheelgauge.ReasonBrokenStream)
	}
}

// receipt is the response of the fake service.
type receipt struct {
	Ref       string `json:"ref"`
	Execution int    `json:"execution"`
}

func (r *Runner) readReceipt(body io.Reader, p *plannedRequest, out *Result) bool {
	var got receipt
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		out.Reason = "cut"
		return true
	}
	out.FirstToken = 0
	if got.Ref != p.ref {
		out.Wrong = "response does not belong to this request"
	}
	if got.Execution > 1 {
		out.Wrong = "non-repeatable call ran more than once"
	}
	return false
}
