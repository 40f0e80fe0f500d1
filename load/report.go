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
	maxLatencyMicros  = 600_000_000
	significantDigits = 3
)

// Quantiles holds quantiles of a distribution, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
}

// Summary aggregates the requests of one kind or of one client.
type Summary struct {
	Name     string `json:"name"`
	Sent     int    `json:"sent"`
	Answered int    `json:"answered"`
	// FirstToken is the time to the first token of streams, Total the time to the end.
	FirstToken  Quantiles `json:"first_ms"`
	Gap         Quantiles `json:"gap_ms"`
	Total       Quantiles `json:"total_ms"`
	OtherRegion int       `json:"away"`
	Late        int       `json:"late"`
}

// Report aggregates the results of a run.
type Report struct {
	Mix      string         `json:"mix"`
	Seed     uint64         `json:"seed"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Refused  map[string]int `json:"refused"`
	Late     int            `json:"late"`
	// ShareAway is the fraction of the responses served by another region.
	ShareAway float64 `json:"share_away"`
	// Cost is the price of the generated tokens in the regions that generated them, plus
	// the link cost of responses from other regions.
	Cost          float64   `json:"cost"`
	CostPerTokens float64   `json:"cost_per_1000_tokens"`
	Tokens        int       `json:"tokens"`
	Tries         float64   `json:"tries_per_request"`
	Wrong         []string  `json:"wrong,omitempty"`
	First         Quantiles `json:"first_ms"`
	Gap           Quantiles `json:"gap_ms"`
	Kinds         []Summary `json:"kinds"`
	Clients       []Summary `json:"clients"`
	// Once lists the references of non-repeatable calls, by outcome.
	Once map[string][]string `json:"once,omitempty"`
}

type aggregate struct {
	counts            Summary
	first, gap, total *hdrhistogram.Histogram
}

func newAggregate(name string) *aggregate {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicros, significantDigits) }
	return &aggregate{counts: Summary{Name: name}, first: newHistogram(), gap: newHistogram(), total: newHistogram()}
}

func (a *aggregate) add(r *Result) {
	a.counts.Sent++
	if r.Late {
		a.counts.Late++
	}
	for _, g := range r.Gaps {
		record(a.gap, g)
	}
	if r.FirstToken > 0 {
		record(a.first, r.FirstToken)
	}
	if r.Reason != "" {
		return
	}
	a.counts.Answered++
	record(a.total, r.Total)
	if r.ServedRegion != "" && r.ServedRegion != r.Region {
		a.counts.OtherRegion++
	}
}

func record(h *hdrhistogram.Histogram, ms float64) {
	_ = h.RecordValue(min(maxLatencyMicros, max(1, int64(ms*1000)))) // clamped, so always in range
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.TotalCount(), P50: quantile(50), P95: quantile(95), P99: quantile(99), P999: quantile(99.9)}
}

func (a *aggregate) summary() Summary {
	a.counts.FirstToken, a.counts.Gap, a.counts.Total = quantiles(a.first), quantiles(a.gap), quantiles(a.total)
	return a.counts
}

// Summarise returns the report of a run.
func Summarise(s Scenario, results []Result) Report {
	out := Report{Mix: s.Mix, Seed: s.Seed, Refused: map[string]int{}, Once: map[string][]string{}}
	price := map[string]float64{}
	for _, r := range s.Regions {
		price[r.Name] = r.Price
	}
	all := newAggregate("all")
	kinds, clients := map[string]*aggregate{}, map[string]*aggregate{}
	tries, otherRegion := 0, 0
	for i := range results {
		r := &results[i]
		all.add(r)
		aggregateOf(kinds, r.Kind).add(r)
		aggregateOf(clients, r.Client).add(r)
		tries += r.Tries
		out.Tokens += r.Tokens
		out.Cost += price[r.ServedRegion] * float64(r.Tokens) / 1000
		out.recordOutcome(r)
		if r.Reason == "" && r.ServedRegion != r.Region {
			otherRegion++
			out.Cost += s.LinkCost
		}
	}
	out.setTotals(all, tries, otherRegion)
	out.Kinds, out.Clients = summaries(kinds), summaries(clients)
	return out
}

func (p *Report) recordOutcome(r *Result) {
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

func (p *Report) setTotals(all *aggregate, tries, otherRegion int) {
	total := all.summary()
	p.Sent, p.Answered, p.Late, p.First, p.Gap = total.Sent, total.Answered, total.Late, total.FirstToken, total.Gap
	if p.Sent > 0 {
		p.Tries = float64(tries) / float64(p.Sent)
	}
	if p.Answered > 0 {
		p.ShareAway = float64(otherRegion) / float64(p.Answered)
	}
	if p.Tokens > 0 {
		p.CostPerTokens = p.Cost / float64(p.Tokens) * 1000
	}
}

func aggregateOf(m map[string]*aggregate, name string) *aggregate {
	if m[name] == nil {
		m[name] = newAggregate(name)
	}
	return m[name]
}

func summaries(m map[string]*aggregate) []Summary {
	var out []Summary
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name].summary())
	}
	return out
}

// WriteJSON writes the report as indented JSON.
func (p *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(p); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a table for reading.
func (p *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) } // Flush reports any write error
	printf("%s, seed %d: sent %d, answered %d, late %d, away %.1f%%, cost %.3f (%.3f per 1,000 tokens), tries %.3f\n",
		p.Mix, p.Seed, p.Sent, p.Answered, p.Late, 100*p.ShareAway, p.Cost, p.CostPerTokens, p.Tries)
	printf("kind\tsent\tanswered\taway\tlate\tfirst p50\tp95\tp99\tgap p95\tp99\ttotal p50\tp95\tp99\tp99.9\t\n")
	for _, group := range [][]Summary{p.Kinds, p.Clients} {
		for _, s := range group {
			printf("%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", s.Name, s.Sent, s.Answered, s.OtherRegion, s.Late,
				s.FirstToken.P50, s.FirstToken.P95, s.FirstToken.P99, s.Gap.P95, s.Gap.P99, s.Total.P50, s.Total.P95, s.Total.P99, s.Total.P999)
		}
	}
	if len(p.Refused) > 0 {
		var parts []string
		for _, reason := range slices.Sorted(maps.Keys(p.Refused)) {
			parts = append(parts, fmt.Sprintf("%s %d", reason, p.Refused[reason]))
		}
		printf("refused or failed: %s\n", strings.Join(parts, ", "))
	}
	for _, wrong := range p.Wrong {
		printf("WRONG: %s\n", wrong)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
