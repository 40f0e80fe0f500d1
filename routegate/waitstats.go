package routegate

import (
	"sync"
	"time"
)

const (
	// waitWeight is the weight of a new wait in the running means.
	waitWeight = 0.05
	// minCorrection and mostCorrection bound how far seen waits correct the
	// predicted ones.
	minCorrection = 1.0
	maxCorrection = 8.0
	// waitFloorMS keeps short waits from deciding the correction, in milliseconds.
	waitFloorMS = 50.0
	// idleExcessMS is what requests take longer than predicted at an idle server, in
	// milliseconds: the first step of an engine, and what long prompts need besides.
	idleExcessMS = 60.0
)

// waitStats compares the predicted waits of each route with those seen, so that
// what the prediction does not know, such as more urgent work in the engines,
// counts in the next one.
type waitStats struct {
	mu     sync.Mutex
	routes map[string]*waitMeans
}

type waitMeans struct {
	predicted float64
	observed  float64
}

// observe takes a predicted wait and the one seen.
func (w *waitStats) observe(route string, predicted, observed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil {
		w.routes = map[string]*waitMeans{}
	}
	m := w.routes[route]
	if m == nil {
		m = &waitMeans{predicted: waitFloorMS, observed: waitFloorMS}
		w.routes[route] = m
	}
	m.predicted += waitWeight * (float64(predicted.Milliseconds()) - m.predicted)
	m.observed += waitWeight * (float64(observed.Milliseconds()) - m.observed)
}

// correct returns a predicted wait as it should be.
func (w *waitStats) correct(route string, predicted time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		return predicted
	}
	factor := (m.observed + waitFloorMS) / (m.predicted + waitFloorMS)
	return time.Duration(float64(predicted) * min(maxCorrection, max(minCorrection, factor)))
}

// excess returns how much longer than predicted requests of a route wait here,
// beyond what they would at an idle server anywhere.
func (w *waitStats) excess(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		return 0
	}
	return time.Duration(max(0, m.observed-m.predicted-idleExcessMS) * float64(time.Millisecond))
}

// mean returns the running mean of the waits seen on a route.
func (w *waitStats) mean(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.routes[route]; m != nil {
		return time.Duration(m.observed * float64(time.Millisecond))
	}
	return 0
}
