// Package orders makes the placements of models true on the engines.
//
// One store gives orders: the leader of the replicated log, under a lease that
// a quorum confirms. Each order carries the leader's term as its fence. An
// engine that checks fences refuses what an earlier leader still sends; for one
// that does not, a new leader first waits until every order of an earlier one
// has ended.
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
	"wheelgauge/every"
)

const (
	// lease is how long after a quorum confirmed it a leader gives orders, and
	// orderLimit how long one order may take. A new leader waits for both, and
	// for skew, before it gives orders to an engine that checks no fences.
	lease      = 2 * time.Second
	orderLimit = time.Second
	skew       = 500 * time.Millisecond
	// firstWait is what a new leader waits for engines that check no fences.
	firstWait = lease + orderLimit + skew
)

// Leadership is what a Giver must know of the replicated log.
type Leadership interface {
	// Leading tells whether this store leads, and in which term.
	Leading() bool
	Term() uint64
	// ReadBarrier returns once a quorum has confirmed the leader.
	ReadBarrier(ctx context.Context) error
}

// Options of a Giver.
type Options struct {
	Interval time.Duration
	// LoadsAtOnce bounds the loads under way, as the weight store is rate-limited.
	LoadsAtOnce int
	// LoadLimit is how long a load may take before it is ordered again.
	LoadLimit  time.Duration
	Leadership Leadership
	Catalog    func() *catalog.Catalog
	Engines    wheelgauge.OrderTaker
	// Clock judges the lease; the steady one when nil.
	Clock wheelgauge.Clock
	Log   logr.Logger
}

// row is what is known of an engine.
type row struct {
	server *catalog.Server
	known  bool
	ready  []string
}

// Giver runs on every store and works on the leader.
type Giver struct {
	o       Options
	term    uint64
	since   time.Time
	loading map[string]time.Time // by server and model: when the order was given
	cancel  context.CancelFunc
	done    chan error
}

// Start begins to give orders.
func Start(ctx context.Context, o Options) *Giver {
	ctx, cancel := context.WithCancel(ctx)
	if o.Clock == nil {
		o.Clock = wheelgauge.SteadyClock{}
	}
	g := &Giver{o: o, loading: map[string]time.Time{}, cancel: cancel, done: make(chan error, 1)}
	go func() { g.done <- every.Interval(ctx, o.Interval, g.tick) }()
	return g
}

// Close stops and waits.
func (g *Giver) Close() error {
	g.cancel()
	return <-g.done
}

// tick compares what should be with what is and gives the orders that are due.
func (g *Giver) tick(ctx context.Context) {
	if !g.o.Leadership.Leading() {
		g.term = 0
		return
	}
	if term := g.o.Leadership.Term(); term != g.term {
		g.term, g.since = term, g.o.Clock.Now()
		clear(g.loading)
	}
	c := g.o.Catalog()
	if c == nil || len(c.Models()) == 0 {
		return
	}
	rows := g.look(ctx, c)
	for _, due := range g.due(c, rows) {
		g.give(ctx, due)
	}
}

// look asks every engine what it has ready.
func (g *Giver) look(ctx context.Context, c *catalog.Catalog) []row {
	engines := c.Engines()
	rows := make([]row, len(engines))
	var group sync.WaitGroup
	for i, s := range engines {
		rows[i].server = s
		group.Go(func() {
			limit, cancel := context.WithTimeout(ctx, orderLimit)
			defer cancel()
			if report, err := g.o.Engines.Load(limit, s.Address); err == nil {
				rows[i].known, rows[i].ready = true, report.Models
			}
		})
	}
	group.Wait()
	return rows
}

// due is an order for one engine.
type due struct {
	server *catalog.Server
	order  wheelgauge.Order
}

func (g *Giver) due(c *catalog.Catalog, rows []row) []due {
	var out []due
	for _, model := range c.Models() {
		complete := g.loads(c, rows, model, &out)
		if complete {
			g.unloads(c, rows, model, &out)
		}
	}
	return out
}

// loads adds the loads of a model that are due, and tells whether every engine
// that should hold it has it ready.
func (g *Giver) loads(c *catalog.Catalog, rows []row, model string, out *[]due) bool {
	complete := true
	for i := range rows {
		r := &rows[i]
		_, version, wanted := c.Placed(model, r.server.Name)
		if !wanted {
			continue
		}
		key := loadKey(r.server, model, version)
		if slices.Contains(r.ready, wheelgauge.ModelName(model, version)) {
			delete(g.loading, key)
			continue
		}
		complete = false
		if given, under := g.loading[key]; under && g.o.Clock.Now().Sub(given) < g.o.LoadLimit || !r.known || len(g.loading)+len(*out) >= g.o.LoadsAtOnce {
			continue
		}
		*out = append(*out, due{r.server, g.order(wheelgauge.ActionLoad, model, version)})
	}
	return complete
}

// unloads adds the drops that are due: only once every place that should hold
// the model has it, so that the last ready copy is never dropped.
func (g *Giver) unloads(c *catalog.Catalog, rows []row, model string, out *[]due) {
	if !heldWhereWanted(c, rows, model) {
		return
	}
	for i := range rows {
		r := &rows[i]
		_, version, wanted := c.Placed(model, r.server.Name)
		for _, name := range r.ready {
			base, at := split(name)
			if base != model || wanted && at == version {
				continue
			}
			*out = append(*out, due{r.server, g.order(wheelgauge.ActionUnload, model, at)})
		}
	}
}

// heldWhereWanted tells whether an engine that should hold the model has it.
func heldWhereWanted(c *catalog.Catalog, rows []row, model string) bool {
	return slices.ContainsFunc(rows, func(r row) bool {
		_, version, wanted := c.Placed(model, r.server.Name)
		return wanted && slices.Contains(r.ready, wheelgauge.ModelName(model, version))
	})
}

// loadKey names a load that is under way.
func loadKey(s *catalog.Server, model, version string) string {
	return s.Name + " " + wheelgauge.ModelName(model, version)
}

func split(name string) (model, version string) {
	model, version, _ = strings.Cut(name, "@")
	return model, version
}

func (g *Giver) order(action, model, version string) wheelgauge.Order {
	return wheelgauge.Order{Fence: g.term, Action: action, Model: model, Version: version}
}

// give sends one order, if a quorum has just confirmed this leader and, for an
// engine that checks no fences, every earlier leader's orders have ended.
func (g *Giver) give(ctx context.Context, d due) {
	if !d.server.ChecksFences && g.o.Clock.Now().Sub(g.since) < firstWait {
		return
	}
	began := g.o.Clock.Now()
	limit, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	if err := g.o.Leadership.ReadBarrier(limit); err != nil || g.o.Leadership.Term() != g.term || g.o.Clock.Now().Sub(began) > lease {
		return
	}
	sending, stop := context.WithTimeout(ctx, orderLimit)
	defer stop()
	if err := g.o.Engines.Order(sending, d.server.Address, d.order); err != nil {
		g.o.Log.Info("Order is not taken.", "server", d.server.Name, "action", d.order.Action, "model", d.order.Model, "cause", err.Error())
		return
	}
	g.o.Log.Info("Order is given.", "server", d.server.Name, "action", d.order.Action, "model", d.order.Model, "version", d.order.Version, "fence", d.order.Fence)
	if d.order.Action == wheelgauge.ActionLoad {
		g.loading[loadKey(d.server, d.order.Model, d.order.Version)] = g.o.Clock.Now()
	}
}
