package routegate

import (
	"sync"
	"time"
)

const (
	// waitWeight is the weight of a new wait in the running means.
	waitWeight = 0.05
	// leastCorrection and mostCorrection bound how far seen waits correct the
	// predicted ones.
	leastCorrection = 1.0
	mostCorrection  = 8.0
	// waitFloor keeps short waits from deciding the correction, in milliseconds.
	waitFloor = 50.0
	// idleExcess is what requests take longer than predicted at an idle server, in
	// milliseconds: the first step of an engine, and what long prompts need besides.
	idleExcess = 60.0
)

// waits compares the predicted waits of each route with those seen, so that
// what the prediction does not know, such as more urgent work in the engines,
// counts in the next one.
type waits struct {
	mu     sync.Mutex
	routes map[string]*meanWait
}

type meanWait struct {
	predicted float64
	seen      float64
}

// note takes a predicted wait and the one seen.
func (w *waits) note(route string, predicted, seen time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil {
		w.routes = map[string]*meanWait{}
	}
	m := w.routes[route]
	if m == nil {
		m = &meanWait{predicted: waitFloor, seen: waitFloor}
		w.routes[route] = m
	}
	m.predicted += waitWeight * (float64(predicted.Milliseconds()) - m.predicted)
	m.seen += waitWeight * (float64(seen.Milliseconds()) - m.seen)
}

// correct returns a predicted wait as it should be.
func (w *waits) correct(route string, predicted time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		return predicted
	}
	factor := (m.seen + waitFloor) / (m.predicted + waitFloor)
	return time.Duration(float64(predicted) * min(mostCorrection, max(leastCorrection, factor)))
}

// excess returns how much longer than predicted requests of a route wait here,
// beyond what they would at an idle server anywhere.
func (w *waits) excess(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		return 0
	}
	return time.Duration(max(0, m.seen-m.predicted-idleExcess) * float64(time.Millisecond))
}

// mean returns the running mean of the waits seen on a route.
func (w *waits) mean(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.routes[route]; m != nil {
		return time.Duration(m.seen * float64(time.Millisecond))
	}
	return 0
}
