// Package engine is a small stand-in for a model engine: continuous batching
// over a number of slots, priorities, a limited prefix cache, cancel and
// resume, late load reports, late cache events with gaps, fenced orders, and
// export and import of cached prefixes.
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
	"wheelgauge/fake/script"
	"wheelgauge/httpserve"
)

// Options of an Engine; zero values take defaults.
type Options struct {
	Name    string
	Address string
	// Slots is how many sequences run at once; Queue how many may wait.
	Slots int
	Queue int
	// Step is the time of one token; PrefillTokens how many prompt tokens one
	// step takes in, for all sequences together.
	Step          time.Duration
	PrefillTokens int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is how late load reports and cache events are.
	ReportLag time.Duration
	// EventLoss is the part of cache events that is lost.
	EventLoss    float64
	ChecksFences bool
	// LoadTime is how long an order to load takes.
	LoadTime time.Duration
	// EndsOn is what a prompt holds that ends the engine as soon as it runs; none when
	// empty. End is what ends it.
	EndsOn string
	End    func()
	// Limit is the requests a second that it says it takes; none when 0.
	Limit float64
	// Busy makes it report a load that changes all the time.
	Busy bool
	Seed uint64
}

func (o *Options) defaults() {
	o.Slots = or(o.Slots, 8)
	o.Queue = or(o.Queue, 256)
	o.Step = or(o.Step, 10*time.Millisecond)
	o.PrefillTokens = or(o.PrefillTokens, 256)
	o.CacheBlocks = or(o.CacheBlocks, 512)
}

func or[T int | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// sequence is one request in the engine.
type sequence struct {
	id       string
	prompt   string
	priority int
	order    int
	skip     int // the first token to give
	next     int // the token to give next
	total    int
	prefill  int // prompt tokens still to be taken in
	tokens   chan string
	ended    bool
}

// Engine is a running stand-in.
type Engine struct {
	o       Options
	mu      sync.Mutex
	rnd     *rand.Rand
	waiting []*sequence
	running []*sequence
	byID    map[string]*sequence
	cache   *cache
	fence   uint64
	models  map[string]time.Time // when each is ready
	taken   []taken
	leaving bool
	frozen  bool
	slow    int
	steps   int
	reports []timedReport
	made    int
	cold    int64 // prompt tokens that were not in the cache
	asked   int64
	started int
	cancels int
	unready int
	// arrivals are when requests came, in Unix milliseconds.
	arrivals []int64
	asking   asking
	server   *httpserve.Server
	cancel   context.CancelFunc
	done     chan error
}

type timedReport struct {
	at     time.Time
	report wheelgauge.LoadReport
}

// Start serves at the address of the options.
func Start(ctx context.Context, o Options) (*Engine, error) {
	o.defaults()
	ctx, cancel := context.WithCancel(ctx)
	e := &Engine{
		o: o, rnd: rand.New(rand.NewPCG(o.Seed, 11)), byID: map[string]*sequence{}, cache: newCache(o.CacheBlocks),
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

// Address returns where the engine serves.
func (e *Engine) Address() string { return e.server.Address() }

// Close stops the engine; sequences that run are cut.
func (e *Engine) Close(ctx context.Context) error {
	e.cancel()
	err := <-e.done
	if stop := e.server.Close(ctx); stop != nil && err == nil {
		err = stop
	}
	return err
}

func (e *Engine) run(ctx context.Context) error {
	ticker := time.NewTicker(e.o.Step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			e.cutAll()
			return nil
		case <-ticker.C:
			e.step()
		}
	}
}

func (e *Engine) cutAll() {
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

// step is one iteration of the batch.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	if e.frozen || e.slow > 1 && e.steps%e.slow != 0 {
		e.note()
		return
	}
	e.admit()
	budget := e.o.PrefillTokens
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.ended })
	e.note()
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if a.priority != b.priority {
			return b.priority - a.priority
		}
		return a.order - b.order
	})
	for len(e.waiting) > 0 && len(e.running) < e.o.Slots {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.ended {
			continue
		}
		missed := e.cache.miss(s.prompt)
		s.prefill = missed
		e.cold += int64(missed)
		e.asked += int64(len(s.prompt)/script.CharsPerToken) + 1
		e.running = append(e.running, s)
		if e.o.EndsOn != "" && strings.Contains(s.prompt, e.o.EndsOn) {
			e.o.End()
		}
	}
}

// advance gives a sequence its part of a step and returns what is left of the
// prefill budget.
func (e *Engine) advance(s *sequence, budget int) int {
	if s.ended {
		return budget
	}
	if s.prefill > 0 {
		part := min(s.prefill, budget)
		s.prefill -= part
		if s.prefill > 0 {
			return budget - part
		}
		e.cache.keep(s.prompt, e.o.EventLoss, e.rnd, time.Now())
		budget -= part
	}
	select {
	case s.tokens <- script.Token(s.prompt, s.next):
		s.next++
	default: // the reader is slow
	}
	if s.next >= s.total {
		s.end()
	}
	return budget
}

// note remembers the load for late reports.
func (e *Engine) note() {
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
		return wheelgauge.LoadReport{Slots: e.o.Slots, Models: e.ready()}
	}
	r := e.reports[0].report
	r.Leaving = e.leaving
	r.Models = e.ready()
	if e.o.Busy {
		r.Running, r.Waiting = e.rnd.IntN(e.o.Slots), e.rnd.IntN(e.o.Slots)
	}
	return r
}

// submit queues a sequence; nil means the queue is full or the engine leaves.
func (e *Engine) submit(id, model, prompt string, priority, skip, total int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.taken) > 0 && !e.holds(model) {
		e.unready++
	}
	if len(e.waiting) >= e.o.Queue {
		return nil
	}
	e.made++
	e.started++
	s := &sequence{id: id, prompt: prompt, priority: priority, order: e.made, skip: skip, next: skip, total: total, tokens: make(chan string, max(1, total))}
	if skip >= total {
		s.end()
		return s
	}
	e.byID[id] = s
	e.waiting = append(e.waiting, s)
	return s
}

func (e *Engine) forget(s *sequence) {
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
	e.cancels++
	s.end()
	return true
}

// Stats are counts for tests and reports.
type Stats struct {
	Started     int   `json:"started"`
	Cancelled   int   `json:"cancelled"`
	ColdTokens  int64 `json:"cold_tokens"`
	AskedTokens int64 `json:"asked_tokens"`
	Orders      int   `json:"orders"`
	// Unready counts requests for models that are not loaded, of an engine that
	// takes orders.
	Unready int `json:"unready"`
}

// Stats returns what the engine has done.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Stats{e.started, e.cancels, e.cold, e.asked, len(e.taken), e.unready}
}

func (e *Engine) arrived() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, time.Now().UnixMilli())
}

// Arrivals returns when requests came, in Unix milliseconds.
func (e *Engine) Arrivals() []int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.arrivals)
}

// Freeze stops all progress without closing anything; thaw ends that.
func (e *Engine) Freeze(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozen = frozen
}

// Slow makes every token take that many times as long.
func (e *Engine) Slow(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Leave makes the engine report that it is leaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}
