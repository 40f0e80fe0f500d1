// Package waitroom holds requests at a host while no server would take them in time. Each
// service has a queue of its own; who waits and who is let go is decided from the clock, the
// rate of releases and the servers' room as this host sees it.
package waitroom

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/meter"
	"wheelgauge/periodic"
)

const (
	// tickInterval is the interval at which room is looked for: well below the shortest
	// objectives.
	tickInterval = 25 * time.Millisecond
	// maxEntries bounds those that wait at a host: some seconds of its requests.
	maxEntries = 256
	// defaultMaxBytes bounds the memory of the requests that wait, in bytes.
	defaultMaxBytes = 16 << 20
	// logInterval is the least time between two lines of the log, which also say how many
	// decisions were not logged.
	logInterval = 100 * time.Millisecond
)

// Options configure a Room.
type Options struct {
	// MaxBytes bounds the memory of the requests that wait, in bytes; a default if 0.
	MaxBytes int
	Now      func() time.Time
	Meter    *meter.Meter
	Log      logr.Logger
}

// Room is a waiting room. It is safe for concurrent use. While somebody waits, one goroutine
// looks for room.
type Room struct {
	options Options
	mu      sync.Mutex
	queues  map[string]*queue
	waiting int
	bytes   int
	closed  bool
	// stop ends the goroutine, and is nil while there is none; done reports its end.
	stop context.CancelFunc
	done chan error

	loggedAt time.Time
	unlogged int
}

// New returns an empty room.
func New(o Options) *Room {
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.Meter == nil {
		o.Meter = meter.New()
	}
	return &Room{options: o, queues: map[string]*queue{}}
}

// Wait implements wheelgauge.WaitingRoom.
func (r *Room) Wait(ctx context.Context, q wheelgauge.QueuedRequest) bool {
	e := r.enter(q)
	if e == nil {
		return false
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		r.leave(e)
	}
	return e.released
}

// Holds implements wheelgauge.WaitingRoom.
func (r *Room) Holds(service string, rank int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.queues[service]
	return k != nil && k.holds(rank)
}

// enter adds a request to its queue; nil if it is refused.
func (r *Room) enter(q wheelgauge.QueuedRequest) *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	k := r.queue(q.Service, now)
	e := newEntry(q, now)
	why := refusedClosed
	if !r.closed {
		why = r.admit(k, e, now)
	}
	if why != "" {
		e.refused = why
		r.options.Meter.Count("room.refused.entry")
		r.logDecision("refused on entry", k, e, now)
		return nil
	}
	r.waiting++
	r.bytes += q.Bytes
	r.options.Meter.Count("room.entered")
	r.logDecision("entered", k, e, now)
	r.start()
	return e
}

// admit adds an entry to a queue within the room's bounds, or returns why it is refused.
func (r *Room) admit(k *queue, e *entry, now time.Time) refusal {
	if r.waiting >= maxEntries || r.bytes+e.request.Bytes > r.options.MaxBytes {
		worst := k.last(now)
		if worst == nil || !worst.above || e.above || r.bytes-worst.request.Bytes+e.request.Bytes > r.options.MaxBytes {
			return refusedFull
		}
		if why := k.enter(e, now); why != "" {
			return why
		}
		k.end(worst, false, refusedReplaced)
		r.ended(k, worst, now)
		return ""
	}
	return k.enter(e, now)
}

func (r *Room) queue(service string, now time.Time) *queue {
	k := r.queues[service]
	if k == nil {
		k = newQueue(now)
		r.queues[service] = k
	}
	return k
}

// leave takes out an entry whose caller has left, unless its result is known already.
func (r *Room) leave(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-e.done:
		return
	default:
	}
	k, now := r.queues[e.request.Service], r.options.Now()
	k.updateRates(now)
	k.end(e, false, refusedLeft)
	r.ended(k, e, now)
}

// start starts the goroutine unless it runs; the lock is held.
func (r *Room) start() {
	if r.stop != nil {
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	previous, done := r.done, make(chan error, 1)
	r.stop, r.done = stop, done
	go func() {
		defer stop()
		if previous != nil {
			<-previous
		}
		done <- periodic.Run(ctx, tickInterval, r.tick)
	}()
}

// tick lets the queues decide, and ends the goroutine when nobody waits.
func (r *Room) tick(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	for _, k := range r.queues {
		for _, e := range k.tick(now) {
			r.ended(k, e, now)
		}
	}
	if r.waiting == 0 && r.stop != nil {
		r.stop()
		r.stop = nil
	}
}

// ended records that an entry has left the room; the lock is held.
func (r *Room) ended(k *queue, e *entry, now time.Time) {
	r.waiting--
	r.bytes -= e.request.Bytes
	m := r.options.Meter
	m.Observe("room.ms", e.request.Route, e.request.Route, now.Sub(e.enteredAt))
	switch {
	case e.released:
		m.Count("room.released")
		r.logDecision("released", k, e, now)
	case e.refused == refusedLeft:
		m.Count("room.left")
		r.logDecision("left", k, e, now)
	default:
		m.Count("room.refused.waiting")
		r.logDecision("refused waiting", k, e, now)
	}
}

// logDecision logs a decision with its inputs, at most one each logInterval.
func (r *Room) logDecision(decision string, k *queue, e *entry, now time.Time) {
	if now.Sub(r.loggedAt) < logInterval {
		r.unlogged++
		return
	}
	q := e.request
	r.options.Log.Info("Waiting room decides.", "decision", decision, "cause", string(e.refused), "service", q.Service, "route", q.Route, "workspace", q.Workspace, "rank", q.Rank,
		"above_share", e.above, "returning", q.Returning, "again", q.Again, "waited_ms", now.Sub(e.enteredAt).Milliseconds(), "left_ms", e.startBy.Sub(now).Milliseconds(),
		"waiting", r.waiting, "bytes", r.bytes, "rate", k.rate(q.Rank), "unlogged", r.unlogged)
	r.loggedAt, r.unlogged = now, 0
}

// Close refuses all who wait and those who come later, and ends the goroutine.
func (r *Room) Close() error {
	r.mu.Lock()
	r.closed = true
	now := r.options.Now()
	for _, k := range r.queues {
		for len(k.entries) > 0 {
			e := k.entries[0]
			k.end(e, false, refusedClosed)
			r.ended(k, e, now)
		}
	}
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	done := r.done
	r.done = nil
	r.mu.Unlock()
	if done == nil {
		return nil
	}
	return <-done
}
