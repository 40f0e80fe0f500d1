package routegate

import (
	"sync"
	"time"
)

const (
	// waitWeight is the weight of a new wait in the running means.
	waitWeight = 0.05
	// minCorrection and maxCorrection bound the factor by which observed waits correct
	// predicted ones.
	minCorrection = 1.0
	maxCorrection = 8.0
	// waitFloorMS keeps short waits from dominating the correction.
	waitFloorMS = 50.0
	// idleExcessMS is by how much requests exceed the prediction at an idle server: the first
	// step of an engine, and the additional cost of long prompts.
	idleExcessMS = 60.0
)

// waitStats compares predicted with observed waits per route, so that effects outside the
// prediction, such as higher-priority work in the engines, enter the next one.
type waitStats struct {
	mu     sync.Mutex
	routes map[string]*waitMeans
}

type waitMeans struct {
	predicted float64
	observed  float64
}

// observe records a predicted wait and the observed one.
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

// correct scales a predicted wait by the ratio of observed to predicted waits.
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

// excess returns how much longer than predicted requests of a route wait here, beyond the
// excess at any idle server.
func (w *waitStats) excess(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.routes[route]
	if m == nil {
		return 0
	}
	return time.Duration(max(0, m.observed-m.predicted-idleExcessMS) * float64(time.Millisecond))
}

// mean returns the running mean of the waits observed on a route.
func (w *waitStats) mean(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.routes[route]; m != nil {
		return time.Duration(m.observed * float64(time.Millisecond))
	}
	return 0
}
