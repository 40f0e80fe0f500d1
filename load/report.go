package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestMicros = 600_000_000
	digits        = 3
)

// Tail holds quantiles in milliseconds.
type Tail struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// Line sums up one kind of request, or one client.
type Line struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// First is the time to the first token, of streams; Total to the end.
	First Tail `json:"first_ms"`
	Gap   Tail `json:"gap_ms"`
	Total Tail `json:"total_ms"`
	Away  int  `json:"away"`
	Late  int  `json:"late"`
}

// Report sums up a run.
type Report struct {
	Mix      string         `json:"mix"`
	Seed     uint64         `json:"seed"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Refused  map[string]int `json:"refused"`
	Late     int            `json:"late"`
	// ShareAway is the part of the answers that another region gave.
	ShareAway float64 `json:"share_away"`
	// Cost is the price of the generated tokens where they were generated, and of
	// the links that answers crossed.
	Cost          float64  `json:"cost"`
	CostPerTokens float64  `json:"cost_per_1000_tokens"`
	Tokens        int      `json:"tokens"`
	Tries         float64  `json:"tries_per_request"`
	Wrong         []string `json:"wrong,omitempty"`
	First         Tail     `json:"first_ms"`
	Gap           Tail     `json:"gap_ms"`
	Kinds         []Line   `json:"kinds"`
	Clients       []Line   `json:"clients"`
	// Once lists the references of calls that are not repeatable, by outcome.
	Once map[string][]string `json:"once,omitempty"`
}

type tally struct {
	line              Line
	first, gap, total *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMicros, digits) }
	return &tally{line: Line{Name: name}, first: h(), gap: h(), total: h()}
}

func (t *tally) add(r *Result) {
	t.line.Sent++
	if r.Late {
		t.line.Late++
	}
	for _, g := range r.Gaps {
		record(t.gap, g)
	}
	if r.First > 0 {
		record(t.first, r.First)
	}
	if r.Reason != "" {
		return
	}
	t.line.Answered++
	record(t.total, r.Total)
	if r.Served != "" && r.Served != r.Region {
		t.line.Away++
	}
}

func record(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(min(longestMicros, max(1, int64(ms*1000)))) // in range by construction
}

func tail(h *hdrhistogram.Histogram) Tail {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Tail{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), P999: at(99.9)}
}

func (t *tally) done() Line {
	t.line.First, t.line.Gap, t.line.Total = tail(t.first), tail(t.gap), tail(t.total)
	return t.line
}

// Summarise makes the report of a run.
func Summarise(s Scenario, results []Result) Report {
	out := Report{Mix: s.Mix, Seed: s.Seed, Refused: map[string]int{}, Once: map[string][]string{}}
	price := map[string]float64{}
	for _, r := range s.Regions {
		price[r.Name] = r.Price
	}
	all := newTally("all")
	kinds, clients := map[string]*tally{}, map[string]*tally{}
	tries, away := 0, 0
	for i := range results {
		r := &results[i]
		all.add(r)
		of(kinds, r.Kind).add(r)
		of(clients, r.Client).add(r)
		tries += r.Tries
		out.Tokens += r.Tokens
		out.Cost += price[r.Served] * float64(r.Tokens) / 1000
		out.note(r)
		if r.Reason == "" && r.Served != r.Region {
			away++
			out.Cost += s.LinkCost
		}
	}
	out.finish(all, tries, away)
	out.Kinds, out.Clients = lines(kinds), lines(clients)
	return out
}

func (p *Report) note(r *Result) {
	if r.Reason != "" {
		p.Refused[r.Reason]++
	}
	if r.Wrong != "" {
		p.Wrong = append(p.Wrong, r.Kind+" of "+r.Client+": "+r.Wrong)
	}
	if r.Ref != "" {
		outcome := r.Outcome
		if r.Reason == "" {
			outcome = "answered"
		}
		p.Once[outcome] = append(p.Once[outcome], r.Ref)
	}
}

func (p *Report) finish(all *tally, tries, away int) {
	line := all.done()
	p.Sent, p.Answered, p.Late, p.First, p.Gap = line.Sent, line.Answered, line.Late, line.First, line.Gap
	if p.Sent > 0 {
		p.Tries = float64(tries) / float64(p.Sent)
	}
	if p.Answered > 0 {
		p.ShareAway = float64(away) / float64(p.Answered)
	}
	if p.Tokens > 0 {
		p.CostPerTokens = p.Cost / float64(p.Tokens) * 1000
	}
}

func of(m map[string]*tally, name string) *tally {
	if m[name] == nil {
		m[name] = newTally(name)
	}
	return m[name]
}

func lines(m map[string]*tally) []Line {
	var out []Line
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].done())
	}
	return out
}

// WriteJSON writes the report for programs.
func (p *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(p); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report for people.
func (p *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	put := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush reports what failed
	put("%s, seed %d: sent %d, answered %d, late %d, away %.1f%%, cost %.3f (%.3f per 1,000 tokens), tries %.3f\n",
		p.Mix, p.Seed, p.Sent, p.Answered, p.Late, 100*p.ShareAway, p.Cost, p.CostPerTokens, p.Tries)
	put("kind\tsent\tanswered\taway\tlate\tfirst p50\tp95\tp99\tgap p95\tp99\ttotal p50\tp95\tp99\tp99.9\t\n")
	for _, group := range [][]Line{p.Kinds, p.Clients} {
		for _, l := range group {
			put("%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", l.Name, l.Sent, l.Answered, l.Away, l.Late,
				l.First.P50, l.First.P95, l.First.P99, l.Gap.P95, l.Gap.P99, l.Total.P50, l.Total.P95, l.Total.P99, l.Total.P999)
		}
	}
	if len(p.Refused) > 0 {
		var parts []string
		for _, reason := range slices.Sorted(maps.Keys(p.Refused)) {
			parts = append(parts, fmt.Sprintf("%s %d", reason, p.Refused[reason]))
		}
		put("refused or failed: %s\n", strings.Join(parts, ", "))
	}
	for _, wrong := range p.Wrong {
		put("WRONG: %s\n", wrong)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
