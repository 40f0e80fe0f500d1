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
}

// stepRequest is a request at a stepEngine.
type stepRequest struct {
	rank int
	// unread are the prompt tokens still to prefill, tokens and want the output tokens decoded
	// and wanted.
	unread float64
	tokens int
	want   int
	// first is called with the first event, last with the last token.
	first func()
	last  func()
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
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	took := e.slow * (stepBase + stepEach*float64(len(e.running)) + e.chunk()/stepPrefillRate)
	after(time.Duration(took*float64(time.Millisecond)), func() {
		e.decode()
		e.step(after)
	})
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
		if r.tokens == r.want {
			r.last()
		}
		return r.tokens == r.want
	})
}
