package serverset

import (
	"cmp"
	"slices"
	"time"
)

// stepEngine is an engine that works in steps: each prefills prompts, the most urgent
// first, and decodes one token for each request that is prefilled.
type stepEngine struct {
	running []*stepRequest
	waiting []*stepRequest
	busy    bool
	// slow multiplies the duration of each step; 1 at a normal engine.
	slow float64
	// rate is the tokens prefilled in a ms at normal speed; stepPrefillRate if 0.
	rate float64
	// displaces lets more urgent requests take the slots of less urgent ones, whose prompts are
	// prefilled again; displaced counts those.
	displaces bool
	displaced int
}

// stepRequest is a request at a stepEngine.
type stepRequest struct {
	rank int
	// unread are the prompt tokens still to prefill, tokens and want the output tokens decoded
	// and wanted.
	unread float64
	tokens int
	want   int
	// first is called with the first event, event with each, last with the last token; event may
	// be nil.
	first func()
	event func()
	last  func()
	// prompt are the tokens to prefill when the request is displaced.
	prompt float64
}

const (
	stepSlots       = 32
	stepBase        = 3.2    // ms for a step
	stepEach        = 0.05   // more ms for each request
	stepPrefillRate = 112.0  // tokens prefilled in a ms
	stepChunk       = 2048.0 // tokens prefilled in a step
	stepStride      = 10     // tokens in an event
)

// step begins a step unless there is nothing to do; after schedules its end.
func (e *stepEngine) step(after func(d time.Duration, do func())) {
	for len(e.waiting) > 0 && len(e.running) < stepSlots {
		slices.SortStableFunc(e.waiting, func(a, b *stepRequest) int { return cmp.Compare(a.rank, b.rank) })
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.displace()
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	took := e.slow * (stepBase + stepEach*float64(len(e.running)) + e.chunk()/cmp.Or(e.rate, stepPrefillRate))
	after(time.Duration(took*float64(time.Millisecond)), func() {
		e.decode()
		e.step(after)
	})
}

// displace gives the slots of less urgent requests to more urgent ones that wait.
func (e *stepEngine) displace() {
	for e.displaces && len(e.waiting) > 0 {
		slices.SortStableFunc(e.waiting, func(a, b *stepRequest) int { return cmp.Compare(a.rank, b.rank) })
		last := 0
		for i, r := range e.running {
			if r.rank >= e.running[last].rank {
				last = i
			}
		}
		out := e.running[last]
		if out.rank <= e.waiting[0].rank {
			return
		}
		e.running[last] = e.waiting[0]
		out.unread = out.prompt + float64(out.tokens)
		e.waiting[0] = out
		e.displaced++
	}
}

// chunk prefills the most urgent prompts, as much as fits in a step, and returns the tokens.
func (e *stepEngine) chunk() float64 {
	slices.SortStableFunc(e.running, func(a, b *stepRequest) int { return cmp.Compare(a.rank, b.rank) })
	left := stepChunk
	for _, r := range e.running {
		part := min(left, r.unread)
		r.unread -= part
		left -= part
	}
	return stepChunk - left
}

// decode gives each prefilled request its next token.
func (e *stepEngine) decode() {
	e.running = slices.DeleteFunc(e.running, func(r *stepRequest) bool {
		if r.unread > 0 {
			return false
		}
		r.tokens++
		if r.tokens == min(stepStride, r.want) {
			r.first()
		}
		if r.event != nil && (r.tokens%stepStride == 0 || r.tokens == r.want) {
			r.event()
		}
		if r.tokens == r.want {
			r.last()
		}
		return r.tokens == r.want
	})
}
