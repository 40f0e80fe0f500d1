package serverset

import (
	"cmp"
	"slices"
	"time"
)

// stepEngine is an engine that works in steps: each reads prompts, the most urgent
// first, and gives one token to each request that was read.
type stepEngine struct {
	running []*stepped
	waiting []*stepped
	busy    bool
	// slow is how many times as long each step takes as at a sound engine.
	slow float64
}

// stepped is a request at a stepEngine.
type stepped struct {
	rank int
	// unread are the tokens of its prompt that are not read, tokens those that it was
	// given of the ones it wants.
	unread float64
	tokens int
	want   int
	// first and last are called with its first event and its last token.
	first func()
	last  func()
}

const (
	stepSlots  = 32
	stepBase   = 3.2    // ms of a step
	stepEach   = 0.05   // ms more for each request
	stepReads  = 112.0  // tokens read in a ms
	stepChunk  = 2048.0 // tokens read in a step
	stepStride = 10     // tokens of an event
)

// step begins a step unless there is nothing to do; after calls what ends it.
func (e *stepEngine) step(after func(d time.Duration, do func())) {
	for len(e.waiting) > 0 && len(e.running) < stepSlots {
		slices.SortStableFunc(e.waiting, func(a, b *stepped) int { return cmp.Compare(a.rank, b.rank) })
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	took := e.slow * (stepBase + stepEach*float64(len(e.running)) + e.chunk()/stepReads)
	after(time.Duration(took*float64(time.Millisecond)), func() {
		e.decode()
		e.step(after)
	})
}

// chunk reads the most urgent prompts, as much as fits in a step.
func (e *stepEngine) chunk() float64 {
	slices.SortStableFunc(e.running, func(a, b *stepped) int { return cmp.Compare(a.rank, b.rank) })
	left := stepChunk
	for _, r := range e.running {
		part := min(left, r.unread)
		r.unread -= part
		left -= part
	}
	return stepChunk - left
}

// decode gives each request that was read its next token.
func (e *stepEngine) decode() {
	e.running = slices.DeleteFunc(e.running, func(r *stepped) bool {
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
