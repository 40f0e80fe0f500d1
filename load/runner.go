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
	mostTries  = 4
	dialLimit  = 2 * time.Second
	mostIdle   = 2048
	listLimit  = 3 * time.Second
	errorLimit = 64 << 10
)

// Result is the end of one request.
type Result struct {
	Kind   string `json:"kind"`
	Client string `json:"client"`
	Region string `json:"region"`
	Served string `json:"served,omitempty"`
	// First, Total and Gap are in milliseconds, from the intended start; Gap is
	// the longest time between two tokens.
	First   float64   `json:"first_ms,omitempty"`
	Total   float64   `json:"total_ms"`
	Gaps    []float64 `json:"-"`
	Tokens  int       `json:"tokens,omitempty"`
	Tries   int       `json:"tries"`
	Reason  string    `json:"reason,omitempty"`
	Outcome string    `json:"outcome,omitempty"`
	// Wrong is set when the answer was not the request's own or not whole
	// though it looked so.
	Wrong string `json:"wrong,omitempty"`
	Late  bool   `json:"late,omitempty"`
	// Ref is set for calls that are not repeatable.
	Ref string `json:"ref,omitempty"`
}

// Runner sends a scenario.
type Runner struct {
	scenario Scenario
	http     *http.Client
	mu       sync.Mutex
	lists    map[string]entryList
	results  []Result
}

type entryList struct {
	entries []wheelgauge.Entry
	until   time.Time
}

// NewRunner returns a runner of a scenario.
func NewRunner(s Scenario) *Runner {
	t := &http.Transport{MaxIdleConnsPerHost: mostIdle, MaxIdleConns: mostIdle, IdleConnTimeout: 4 * time.Second, DialContext: (&net.Dialer{Timeout: dialLimit}).DialContext}
	return &Runner{scenario: s, http: &http.Client{Transport: t}, lists: map[string]entryList{}}
}

// Run sends everything and returns the results once all have ended.
func (r *Runner) Run(ctx context.Context) []Result {
	shots := r.scenario.plan()
	start := time.Now()
	var group sync.WaitGroup
	for i := range shots {
		if !sleepUntil(ctx, start.Add(shots[i].at)) {
			break
		}
		group.Go(func() { r.add(r.one(ctx, &shots[i], start)) })
	}
	group.Wait()
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

func (r *Runner) add(one Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, one)
}

// one sends a request, as a caller would: by the entry list, to the next host
// when one refuses or is not reached, within the request's deadline.
func (r *Runner) one(ctx context.Context, s *shot, start time.Time) Result {
	intended := start.Add(s.at)
	deadline := intended.Add(s.deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	region := r.scenario.Regions[s.region]
	out := Result{Kind: s.kind, Client: s.client, Region: region.Name}
	if s.key != "" {
		out.Ref = s.ref
	}
	for try := range mostTries {
		out.Tries = try + 1
		address := r.host(ctx, s, region, try)
		again := r.attempt(ctx, s, address, intended, &out)
		if !again || ctx.Err() != nil {
			break
		}
	}
	out.Total = milliseconds(time.Since(intended))
	out.Late = out.Reason == "" && time.Now().After(deadline) || out.Reason == string(wheelgauge.ReasonDeadline)
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// host returns the host to try: from the entry list, or the bootstrap address.
func (r *Runner) host(ctx context.Context, s *shot, region Region, try int) string {
	r.mu.Lock()
	known := r.lists[s.client]
	r.mu.Unlock()
	if time.Now().After(known.until) || try > 0 {
		if fresh, err := r.ask(ctx, s, region, known); err == nil {
			known = fresh
		}
	}
	if len(known.entries) == 0 {
		return region.Entry
	}
	return known.entries[try%len(known.entries)].Address
}

// ask gets a new entry list from a host of the old one, or the bootstrap address.
func (r *Runner) ask(ctx context.Context, s *shot, region Region, old entryList) (entryList, error) {
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	sources := []string{region.Entry}
	for _, e := range old.entries {
		sources = append(sources, e.Address)
	}
	err := errors.New("no host to ask")
	for _, address := range sources {
		var list entryList
		if list, err = r.askOne(ctx, s, address); err == nil {
			r.mu.Lock()
			r.lists[s.client] = list
			r.mu.Unlock()
			return list, nil
		}
	}
	return old, err
}

func (r *Runner) askOne(ctx context.Context, s *shot, address string) (entryList, error) {
	var list entryList
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry", nil)
	if err != nil {
		return list, fmt.Errorf("entry list: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+CredentialOf(s.client))
	resp, err := r.http.Do(req)
	if err != nil {
		return list, fmt.Errorf("entry list: %w", err)
	}
	defer resp.Body.Close()
	var answer wheelgauge.EntryList
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil || resp.StatusCode != http.StatusOK {
		return list, fmt.Errorf("entry list: status %d", resp.StatusCode)
	}
	list.entries = answer.Entries
	list.until = time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)
	return list, nil
}

// attempt sends a request once; true asks for another try.
func (r *Runner) attempt(ctx context.Context, s *shot, address string, intended time.Time, out *Result) bool {
	req, err := r.request(ctx, s, address)
	if err != nil {
		out.Reason = err.Error()
		return false
	}
	resp, err := r.http.Do(req)
	if err != nil {
		out.Reason, out.Outcome = "connection", string(wheelgauge.OutcomeUnknown)
		// A call with a key may be sent again: the claim keeps it from running twice.
		return !errors.Is(err, context.DeadlineExceeded)
	}
	defer resp.Body.Close()
	out.Served = resp.Header.Get(wheelgauge.HeaderRegion)
	if resp.StatusCode != http.StatusOK {
		return refused(resp, out)
	}
	out.Reason, out.Outcome = "", string(wheelgauge.OutcomeRan)
	if s.tokens > 0 {
		return r.readStream(resp.Body, s, intended, out)
	}
	return r.readReceipt(resp.Body, s, out)
}

// refused reads an error answer and tells whether another host may be asked.
func refused(resp *http.Response, out *Result) bool {
	body, err := io.ReadAll(io.LimitReader(resp.Body, errorLimit))
	fault := new(wheelgauge.Error)
	if err != nil || json.Unmarshal(body, fault) != nil {
		out.Reason, out.Outcome = "unreadable error", string(wheelgauge.OutcomeUnknown)
		return true
	}
	out.Reason, out.Outcome = string(fault.Reason()), string(fault.Outcome())
	switch fault.Reason() {
	case wheelgauge.ReasonDraining, wheelgauge.ReasonResidency, wheelgauge.ReasonNoConfiguration, wheelgauge.ReasonClaimStore, wheelgauge.ReasonClaimHeld, wheelgauge.ReasonServerFailed:
		return true
	default:
		return false
	}
}

func (r *Runner) request(ctx context.Context, s *shot, address string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(nil)
	switch s.kind {
	case kindStock, kindTariff:
		method, path = http.MethodGet, "/s/lookup/"+s.ref
	case kindBooking, kindPayment:
		path = "/s/book/"
		body = fmt.Appendf(nil, `{"ref":%q}`, s.ref)
	default:
		body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, modelOf(s.kind), s.tokens, s.prompt)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+CredentialOf(s.client))
	req.Header.Set("Content-Type", "application/json")
	if limit, ok := ctx.Deadline(); ok {
		req.Header.Set(wheelgauge.HeaderDeadline, strconv.FormatInt(max(1, time.Until(limit).Milliseconds()), 10))
	}
	if s.key != "" {
		req.Header.Set(wheelgauge.HeaderIdempotency, s.key)
		req.Header.Set(wheelgauge.HeaderNotRepeatable, "true")
	}
	return req, nil
}

// modelOf returns the model that answers a kind of request.
func modelOf(kind string) string {
	switch kind {
	case kindPlan, kindReview:
		return "large"
	default:
		return "small"
	}
}

// chunkMessage is what is read of an event of a stream.
type chunkMessage struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream checks a stream against what the engines answer to the prompt.
func (r *Runner) readStream(body io.Reader, s *shot, intended time.Time, out *Result) bool {
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
		var c chunkMessage
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			break // the error event of a broken stream
		}
		now := time.Now()
		if last.IsZero() {
			out.First = milliseconds(now.Sub(intended))
		} else {
			out.Gaps = append(out.Gaps, milliseconds(now.Sub(last)))
		}
		last = now
		out.Tokens++
		text.WriteString(c.Choices[0].Delta.Content)
	}
	check(s, text.String(), complete, out)
	return false
}

func check(s *shot, text string, complete bool, out *Result) {
	want := script.Answer(s.prompt, s.tokens)
	switch {
	case !strings.HasPrefix(want, text):
		out.Wrong = "not the answer to this request"
	case complete && text != want:
		out.Wrong = "cut short but called complete"
	case !complete:
		out.Reason = string(wheelgauge.ReasonBrokenStream)
	}
}

// receiptMessage is the answer of the service stand-in.
type receiptMessage struct {
	Ref       string `json:"ref"`
	Execution int    `json:"execution"`
}

func (r *Runner) readReceipt(body io.Reader, s *shot, out *Result) bool {
	var got receiptMessage
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		out.Reason = "cut"
		return true
	}
	out.First = 0
	if got.Ref != s.ref {
		out.Wrong = "not the answer to this request"
	}
	if got.Execution > 1 {
		out.Wrong = "a call that is not repeatable ran twice"
	}
	return false
}
