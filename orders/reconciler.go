// Package orders reconciles the models loaded on the engines with their configured
// placements.
//
// One store sends orders to load and unload models: the leader of the replicated
// log, under a lease that a quorum confirms. Each order carries the leader's term
// as its fence. An engine that checks fences refuses orders of an earlier leader;
// for an engine that does not, a new leader first waits until every order of an
// earlier leader has ended.
package orders

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/periodic"
)

const (
	// leaseDuration is how long a leader may send orders after a quorum confirmed it,
	// and orderTimeout how long one order may take. A new leader waits for both, and for
	// maxClockSkew, before it sends orders to an engine that does not check fences.
	leaseDuration = 2 * time.Second
	orderTimeout  = time.Second
	maxClockSkew  = 500 * time.Millisecond
	// fenceWait is how long a new leader waits before its first order to such an engine.
	fenceWait = leaseDuration + orderTimeout + maxClockSkew
)

// Leadership is the part of the replicated log that a Reconciler uses.
type Leadership interface {
	// IsLeader reports whether this store is the leader, and Term its current term.
	IsLeader() bool
	Term() uint64
	// ReadBarrier returns once a quorum has confirmed the leader.
	ReadBarrier(ctx context.Context) error
}

// Options configures a Reconciler.
type Options struct {
	Interval time.Duration
	// MaxLoads bounds the concurrent loads, as the store of model weights is rate-limited.
	MaxLoads int
	// LoadTimeout is how long a load may take before it is ordered again.
	LoadTimeout time.Duration
	Leadership  Leadership
	Catalog     func() *catalog.Catalog
	Engines     wheelgauge.ModelEngine
	// Clock measures the lease; the monotonic clock if nil.
	Clock wheelgauge.Clock
	Log   logr.Logger
}

// engineState is what the last poll of an engine returned; known is false if the poll failed.
type engineState struct {
	server *catalog.Server
	known  bool
	ready  []string
}

// Reconciler runs on every store; only that of the leader sends orders.
type Reconciler struct {
	o            Options
	term         uint64
	leaderSince  time.Time
	pendingLoads map[string]time.Time // by loadKey: when the load was ordered
	cancel       context.CancelFunc
	done         chan error
}

// Start runs a Reconciler until it is closed.
func Start(ctx context.Context, o Options) *Reconciler {
	ctx, cancel := context.WithCancel(ctx)
	if o.Clock == nil {
		o.Clock = wheelgauge.MonotonicClock{}
	}
	r := &Reconciler{o: o, pendingLoads: map[string]time.Time{}, cancel: cancel, done: make(chan error, 1)}
	go func() { r.done <- periodic.Run(ctx, o.Interval, r.tick) }()
	return r
}

// Close stops the Reconciler and waits until it has ended.
func (r *Reconciler) Close() error {
	r.cancel()
	return <-r.done
}

// tick compares the configured placements with the loaded models and sends the pending orders.
func (r *Reconciler) tick(ctx context.Context) {
	if !r.o.Leadership.IsLeader() {
		r.term = 0
		return
	}
	if term := r.o.Leadership.Term(); term != r.term {
		r.term, r.leaderSince = term, r.o.Clock.Now()
		clear(r.pendingLoads)
	}
	c := r.o.Catalog()
	if c == nil || len(c.PlacedModels()) == 0 {
		return
	}
	states := r.pollEngines(ctx, c)
	for _, p := range r.pendingOrders(c, states) {
		r.send(ctx, p)
	}
}

// pollEngines asks every engine for its ready models.
func (r *Reconciler) pollEngines(ctx context.Context, c *catalog.Catalog) []engineState {
	engines := c.Engines()
	states := make([]engineState, len(engines))
	var group sync.WaitGroup
	for i, s := range engines {
		states[i].server = s
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			defer cancel()
			if report, err := r.o.Engines.Load(callCtx, s.Address); err == nil {
				states[i].known, states[i].ready = true, report.Models
			}
		})
	}
	group.Wait()
	return states
}

// pendingOrder is an order to send to one engine.
type pendingOrder struct {
	server *catalog.Server
	order  wheelgauge.Order
}

func (r *Reconciler) pendingOrders(c *catalog.Catalog, states []engineState) []pendingOrder {
	var out []pendingOrder
	for _, model := range c.PlacedModels() {
		complete := r.addLoads(c, states, model, &out)
		if complete {
			r.addUnloads(c, states, model, &out)
		}
	}
	return out
}

// addLoads appends the loads of a model that are due, and reports whether every engine
// that should have the model has it ready.
func (r *Reconciler) addLoads(c *catalog.Catalog, states []engineState, model string, out *[]pendingOrder) bool {
	complete := true
	for i := range states {
		e := &states[i]
		_, version, wanted := c.Placement(model, e.server.Name)
		if !wanted {
			continue
		}
		key := loadKey(e.server, model, version)
		if slices.Contains(e.ready, wheelgauge.ModelName(model, version)) {
			delete(r.pendingLoads, key)
			continue
		}
		complete = false
		if orderedAt, loading := r.pendingLoads[key]; loading && r.o.Clock.Now().Sub(orderedAt) < r.o.LoadTimeout || !e.known || len(r.pendingLoads)+len(*out) >= r.o.MaxLoads {
			continue
		}
		*out = append(*out, pendingOrder{e.server, r.newOrder(wheelgauge.ActionLoad, model, version)})
	}
	return complete
}

// addUnloads appends the unloads of a model that are due. It is called once every engine
// that should have the model has it ready, and does nothing if there is no such engine, so
// that the last ready copy is never unloaded.
func (r *Reconciler) addUnloads(c *catalog.Catalog, states []engineState, model string, out *[]pendingOrder) {
	if !readyWherePlaced(c, states, model) {
		return
	}
	for i := range states {
		e := &states[i]
		_, version, wanted := c.Placement(model, e.server.Name)
		for _, name := range e.ready {
			base, readyVersion := splitModelName(name)
			if base != model || wanted && readyVersion == version {
				continue
			}
			*out = append(*out, pendingOrder{e.server, r.newOrder(wheelgauge.ActionUnload, model, readyVersion)})
		}
	}
}

// readyWherePlaced reports whether any engine that should have the model has it ready.
func readyWherePlaced(c *catalog.Catalog, states []engineState, model string) bool {
	return slices.ContainsFunc(states, func(e engineState) bool {
		_, version, wanted := c.Placement(model, e.server.Name)
		return wanted && slices.Contains(e.ready, wheelgauge.ModelName(model, version))
	})
}

// loadKey is the key of a load in progress.
func loadKey(s *catalog.Server, model, version string) string {
	return s.Name + " " + wheelgauge.ModelName(model, version)
}

func splitModelName(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}

func (r *Reconciler) newOrder(action, model, version string) wheelgauge.Order {
	return wheelgauge.Order{Fence: r.term, Action: action, Model: model, Version: version}
}

// send sends one order if a quorum has just confirmed this leader and, for an engine
// that does not check fences, all orders of earlier leaders have ended.
func (r *Reconciler) send(ctx context.Context, p pendingOrder) {
	if !p.server.ChecksFences && r.o.Clock.Now().Sub(r.leaderSince) < fenceWait {
		return
	}
	started := r.o.Clock.Now()
	barrierCtx, cancel := context.WithTimeout(ctx, leaseDuration)
	defer cancel()
	if err := r.o.Leadership.ReadBarrier(barrierCtx); err != nil || r.o.Leadership.Term() != r.term || r.o.Clock.Now().Sub(started) > leaseDuration {
		return
	}
	orderCtx, cancelOrder := context.WithTimeout(ctx, orderTimeout)
	defer cancelOrder()
	if err := r.o.Engines.Order(orderCtx, p.server.Address, p.order); err != nil {
		r.o.Log.Info("Engine did not accept an order.", "server", p.server.Name, "action", p.order.Action, "model", p.order.Model, "cause", err.Error())
		return
	}
	r.o.Log.Info("Engine accepted an order.", "server", p.server.Name, "action", p.order.Action, "model", p.order.Model, "version", p.order.Version, "fence", p.order.Fence)
	if p.order.Action == wheelgauge.ActionLoad {
		r.pendingLoads[loadKey(p.server, p.order.Model, p.order.Version)] = r.o.Clock.Now()
	}
}
