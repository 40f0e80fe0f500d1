package routegate

import (
	"math"
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
	// staleWaitAfter is how long the means hold without a new wait; then what exceeds waitFloorMS
	// halves every staleWaitHalfLife. While the means refuse every request none is observed: they
	// must not refuse an idle service for good.
	staleWaitAfter    = 2 * time.Second
	staleWaitHalfLife = 2 * time.Second
)

// waitStats compares predicted with observed waits per route, so that effects outside the
// prediction, such as higher-priority work in the engines, enter the next one.
type waitStats struct {
	mu     sync.Mutex
	routes map[string]*waitMeans
	// now is time.Now if nil.
	now func() time.Time
}

type waitMeans struct {
	predicted float64
	observed  float64
	// at is the time of the last wait.
	at time.Time
}

func (w *waitStats) clock() time.Time {
	if w.now != nil {
		return w.now()
	}
	return time.Now()
}

// means returns what holds now of the means of a route; ok is false without any. The lock is held.
func (w *waitStats) means(route string) (m waitMeans, ok bool) {
	p := w.routes[route]
	if p == nil {
		return m, false
	}
	m = *p
	if stale := w.clock().Sub(m.at) - staleWaitAfter; stale > 0 {
		left := math.Exp2(-stale.Seconds() / staleWaitHalfLife.Seconds())
		m.predicted = waitFloorMS + (m.predicted-waitFloorMS)*left
		m.observed = waitFloorMS + (m.observed-waitFloorMS)*left
	}
	return m, true
}

// observe records a predicted wait and the observed one.
func (w *waitStats) observe(route string, predicted, observed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.routes == nil {
		w.routes = map[string]*waitMeans{}
	}
	m, ok := w.means(route)
	if !ok {
		m = waitMeans{predicted: waitFloorMS, observed: waitFloorMS}
	}
	m.at = w.clock()
	m.predicted += waitWeight * (float64(predicted.Milliseconds()) - m.predicted)
	m.observed += waitWeight * (float64(observed.Milliseconds()) - m.observed)
	w.routes[route] = &m
}

// observeProbe records the wait of a request that was sent although the means refuse its route. If it
// is shorter than they say it replaces them: the others waited for something that is over.
func (w *waitStats) observeProbe(route string, predicted, observed time.Duration) {
	w.observe(route, predicted, observed)
	w.mu.Lock()
	defer w.mu.Unlock()
	if m := w.routes[route]; float64(observed.Milliseconds()) < m.observed {
		m.observed = float64(observed.Milliseconds())
		m.predicted = min(m.predicted, m.observed)
	}
}

// correct scales a predicted wait by the ratio of observed to predicted waits.
func (w *waitStats) correct(route string, predicted time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.means(route)
	if !ok {
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
	m, ok := w.means(route)
	if !ok {
		return 0
	}
	return time.Duration(max(0, m.observed-m.predicted-idleExcessMS) * float64(time.Millisecond))
}

// mean returns the running mean of the waits observed on a route.
func (w *waitStats) mean(route string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m, ok := w.means(route); ok {
		return time.Duration(m.observed * float64(time.Millisecond))
	}
	return 0
}
