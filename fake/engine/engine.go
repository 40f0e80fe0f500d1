// Package engine is a fake model engine: continuous batching over a number of slots,
// priorities, a limited prefix cache, cancel and resume, delayed load reports, delayed cache
// events with gaps, orders with fencing tokens, and export and import of cached prefixes.
package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/fake/responsetext"
	"wheelgauge/httpserve"
)

// Options of an Engine; Slots, Queue, Step, PrefillTokens and CacheBlocks have defaults.
type Options struct {
	Name    string
	Address string
	// Slots is the number of sequences that run at once, Queue the number that may wait.
	Slots int
	Queue int
	// Step is the duration of one decode step, PrefillTokens the number of prompt tokens
	// processed in one step, for all sequences together.
	Step          time.Duration
	PrefillTokens int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the delay of load reports and cache events.
	ReportLag time.Duration
	// EventLossShare is the fraction of cache events that are dropped.
	EventLossShare float64
	ChecksFences   bool
	// LoadTime is how long loading a model takes.
	LoadTime time.Duration
	// CrashOn makes the engine call Crash when a prompt that contains it starts to run; no
	// prompt does when it is empty.
	CrashOn string
	Crash   func()
	// RequestsPerSecond is the rate limit that responses announce; none when 0.
	RequestsPerSecond float64
	// BearsRejections is the number of rejections per second that all responses say that the
	// engine bears; none when 0. An engine that says it rejects what finds neither a slot nor
	// room in the queue, and counts its rejections.
	BearsRejections float64
	// RandomLoad makes the engine report a random load each time.
	RandomLoad bool
	Seed       uint64
}

func (o *Options) defaults() {
	o.Slots = orDefault(o.Slots, 8)
	o.Queue = orDefault(o.Queue, 256)
	o.Step = orDefault(o.Step, 10*time.Millisecond)
	o.PrefillTokens = orDefault(o.PrefillTokens, 256)
	o.CacheBlocks = orDefault(o.CacheBlocks, 512)
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}

// sequence is one request in the engine.
type sequence struct {
	id          string
	prompt      string
	priority    int
	arrival     int
	skip        int // the first token to generate
	nextToken   int // the next token to generate
	total       int
	prefillLeft int // prompt tokens still to be processed
	tokens      chan string
	ended       bool
}

// Engine is a running fake engine.
type Engine struct {
	o            Options
	mu           sync.Mutex
	rng          *rand.Rand
	waiting      []*sequence
	running      []*sequence
	byID         map[string]*sequence
	cache        *cache
	fence        uint64
	models       map[string]time.Time // time at which each is loaded
	orders       []receivedOrder
	leaving      bool
	frozen       bool
	slowdown     int
	steps        int
	reports      []timedReport
	submitted    int
	coldTokens   int64 // prompt tokens that were not in the cache
	promptTokens int64
	started      int
	cancelled    int
	notLoaded    int
	// arrivals are the arrival times of requests, rejections those of rejected ones, in Unix
	// milliseconds.
	arrivals, rejections []int64
	pushback             pushback
	server               *httpserve.Server
	cancel               context.CancelFunc
	done                 chan error
}

type timedReport struct {
	at     time.Time
	report wheelgauge.LoadReport
}

// Start starts an engine at the address of the options.
func Start(ctx context.Context, o Options) (*Engine, error) {
	o.defaults()
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{
		o: o, rng: rand.New(rand.NewPCG(o.Seed, 11)), byID: map[string]*sequence{}, cache: newCache(o.CacheBlocks),
		models: map[string]time.Time{}, cancel: cancel, done: make(chan error, 1),
	}
	server, err := httpserve.Listen(o.Address, e.handle, httpserve.Options{})
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start engine: %w", err)
	}
	e.server = server
	go func() { e.done <- e.run(ctx) }()
	return e, nil
}

// Address returns the address that the engine listens at.
func (e *Engine) Address() string { return e.server.Address() }

// Close stops the engine; running sequences are aborted.
func (e *Engine) Close(ctx context.Context) error {
	e.cancel()
	err := <-e.done
	if closeErr := e.server.Close(ctx); closeErr != nil && err == nil {
		err = closeErr
	}
	return err
}

func (e *Engine) run(ctx context.Context) error {
	ticker := time.NewTicker(e.o.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.endAll()
			return nil
		case <-ticker.C:
			e.step()
		}
	}
}

func (e *Engine) endAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.byID {
		s.end()
	}
}

func (s *sequence) end() {
	if !s.ended {
		s.ended = true
		close(s.tokens)
	}
}

// step runs one iteration of the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	if e.frozen || e.slowdown > 1 && e.steps%e.slowdown != 0 {
		e.recordReport()
		return
	}
	e.admit()
	budget := e.o.PrefillTokens
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.ended })
	e.recordReport()
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.arrival - b.arrival
	})
	for len(e.waiting) > 0 && len(e.running) < e.o.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.ended {
			continue
		}
		missing := e.cache.missingTokens(s.prompt)
		s.prefillLeft = missing
		e.coldTokens += int64(missing)
		e.promptTokens += int64(len(s.prompt)/responsetext.CharsPerToken) + 1
		e.running = append(e.running, s)
		if e.o.CrashOn != "" && strings.Contains(s.prompt, e.o.CrashOn) {
			e.o.Crash()
		}
	}
}

// advance runs one step of a sequence and returns the remaining prefill budget.
func (e *Engine) advance(s *sequence, budget int) int {
	if s.ended {
		return budget
	}
	if s.prefillLeft > 0 {
		n := min(s.prefillLeft, budget)
		s.prefillLeft -= n
		if s.prefillLeft > 0 {
			return budget - n
		}
		e.cache.insert(s.prompt, e.o.EventLossShare, e.rng, time.Now())
		budget -= n
	}
	select {
	case s.tokens <- responsetext.Token(s.prompt, s.nextToken):
		s.nextToken++
	default: // the reader is slow
	}
	if s.nextToken >= s.total {
		s.end()
	}
	return budget
}

// recordReport stores the current load, to be reported after the lag.
func (e *Engine) recordReport() {
	now := time.Now()
	e.reports = append(e.reports, timedReport{now, wheelgauge.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.o.Slots, Leaving: e.leaving,
		TokensPerSecond: float64(len(e.running)) / e.o.Step.Seconds(),
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.o.ReportLag {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) report() wheelgauge.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports) == 0 {
		return wheelgauge.LoadReport{Slots: e.o.Slots, Models: e.readyModels()}
	}
	r := e.reports[0].report
	r.Leaving = e.leaving
	r.Models = e.readyModels()
	if e.o.RandomLoad {
		r.Running, r.Waiting = e.rng.IntN(e.o.Slots), e.rng.IntN(e.o.Slots)
	}
	return r
}

// submit queues a sequence. It returns nil if the queue is full.
func (e *Engine) submit(id, model, prompt string, priority, skip, total int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.orders) > 0 && !e.hasModel(model) {
		e.notLoaded++
	}
	full := len(e.waiting) >= e.o.Queue
	if e.o.BearsRejections > 0 {
		// A free slot is taken with the next step only, and those that come before that wait.
		full = len(e.waiting)+len(e.running) >= e.o.Slots+e.o.Queue
	}
	if full {
		e.rejections = append(e.rejections, time.Now().UnixMilli())
		return nil
	}
	e.submitted++
	e.started++
	s := &sequence{id: id, prompt: prompt, priority: priority, arrival: e.submitted, skip: skip, nextToken: skip, total: total, tokens: make(chan string, max(1, total))}
	if skip >= total {
		s.end()
		return s
	}
	e.byID[id] = s
	e.waiting = append(e.waiting, s)
	return s
}

func (e *Engine) remove(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.end()
	if e.byID[s.id] == s {
		delete(e.byID, s.id)
	}
}

func (e *Engine) cancelSequence(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byID[id]
	if s == nil {
		return false
	}
	e.cancelled++
	s.end()
	return true
}

// Stats are counters for tests and reports.
type Stats struct {
	Started      int   `json:"started"`
	Cancelled    int   `json:"cancelled"`
	ColdTokens   int64 `json:"cold_tokens"`
	PromptTokens int64 `json:"asked_tokens"`
	Orders       int   `json:"orders"`
	// NotLoaded counts requests for models that are not loaded, once the engine has
	// received an order.
	NotLoaded int `json:"unready"`
}

// Stats returns the counters of the engine.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{e.started, e.cancelled, e.coldTokens, e.promptTokens, len(e.orders), e.notLoaded}
}

func (e *Engine) recordArrival() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now().UnixMilli())
}

// Arrivals returns the arrival times of requests, in Unix milliseconds.
func (e *Engine) Arrivals() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// Rejections returns the times of rejected requests, in Unix milliseconds.
func (e *Engine) Rejections() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.rejections)
}

// Freeze stops all progress, with connections kept open, or resumes it.
func (e *Engine) Freeze(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = frozen
}

// SetSlowdown makes every token take factor times as long.
func (e *Engine) SetSlowdown(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}
