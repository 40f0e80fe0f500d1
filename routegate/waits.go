package routegate

import (
	"math"
	"sync"
	"time"
)

const (
	// waitLife is how long a wait counts, from when its request was sent, before
	// its weight has fallen to a third: queues build up and drain in a second or
	// two. By time and not by number, as a host that refuses sees few waits; and
	// from the sending, as a long wait tells of a queue that was.
	waitLife = 1500 * time.Millisecond
	// leastCorrection and mostCorrection bound how far seen queues correct the
	// predicted ones.
	leastCorrection = 1.0
	mostCorrection  = 8.0
	// waitFloor keeps short waits from deciding the correction, in milliseconds.
	waitFloor = 50.0
)

// waits compares the predicted waits of each route with those seen lately, so
// that what the prediction does not know, such as more urgent work in the
// engines, counts in the next one.
type waits struct {
	mu     sync.Mutex
	routes map[string]*waitSums
	now    func() time.Time
}

// waitSums are weighted sums, in milliseconds: of the waits seen, and of how long
// requests were predicted and seen to wait for others.
type waitSums struct {
	wait      float64
	predicted float64
	queued    float64
	weight    float64
	at        time.Time
}

// age lets what was noted before count less.
func (s *waitSums) age(now time.Time) {
	left := weightAfter(now.Sub(s.at))
	s.wait *= left
	s.predicted *= left
	s.queued *= left
	s.weight *= left
	s.at = now
}

func weightAfter(d time.Duration) float64 { return math.Exp(-d.Seconds() / waitLife.Seconds()) }

// note takes the wait seen so far by a request, with how long it was predicted
// to wait in all and for others.
func (w *waits) note(route string, wait, queue, seen time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.routes[route]
	if s == nil {
		s = &waitSums{}
		w.routes[route] = s
	}
	s.age(w.now())
	weight := weightAfter(seen)
	s.wait += weight * ms(seen)
	s.predicted += weight * ms(queue)
	s.queued += weight * max(0, ms(seen-(wait-queue)))
	s.weight += weight
}

// correct returns a predicted wait as it should be: the part due to others is
// longer by as much as it was lately.
func (w *waits) correct(route string, wait, queue time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.routes[route]
	if s == nil {
		return wait
	}
	s.age(w.now())
	// The floor counts once for each wait, and once for an idle route.
	floors := waitFloor * (s.weight + 1)
	factor := (s.queued + floors) / (s.predicted + floors)
	return wait - queue + time.Duration(float64(queue)*min(mostCorrection, max(leastCorrection, factor)))
}

// mean returns the mean of the waits seen lately on a route, with one of none.
func (w *waits) mean(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.routes[route]
	if s == nil {
		return 0
	}
	s.age(w.now())
	return time.Duration(s.wait / (s.weight + 1) * float64(time.Millisecond))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
