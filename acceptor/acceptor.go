// Package acceptor turns pending residency rules into accepted ones once every
// configured host and every store has them.
package acceptor

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/every"
	"wheelgauge/inforce"
	"wheelgauge/peerhttp"
	"wheelgauge/registry"
	"wheelgauge/replica"
)

// PathInForce is answered by every store with what it has and was told.
const PathInForce = "/store/inforce"

const (
	interval   = 250 * time.Millisecond
	askTimeout = time.Second
)

// StoreReport is what one store has and was told by hosts.
type StoreReport struct {
	Store      string               `json:"store"`
	Generation uint64               `json:"generation"`
	Hosts      []wheelgauge.InForce `json:"hosts"`
}

// Acceptor runs on every store and works on the leader.
type Acceptor struct {
	registry *registry.Registry
	replica  *replica.Replica
	table    *inforce.Table
	client   *peerhttp.Client
	log      logr.Logger
	cancel   context.CancelFunc
	done     chan error
}

// Start begins to watch for pending rules.
func Start(ctx context.Context, reg *registry.Registry, rep *replica.Replica, table *inforce.Table, client *peerhttp.Client, log logr.Logger) *Acceptor {
	ctx, cancel := context.WithCancel(ctx)
	a := &Acceptor{registry: reg, replica: rep, table: table, client: client, log: log, cancel: cancel, done: make(chan error, 1)}
	go func() { a.done <- every.Interval(ctx, interval, a.tick) }()
	return a
}

// Close stops and waits.
func (a *Acceptor) Close() error {
	a.cancel()
	return <-a.done
}

func (a *Acceptor) tick(ctx context.Context) {
	if !a.replica.Leading() {
		return
	}
	pending := a.registry.PendingList()
	if len(pending) == 0 {
		return
	}
	reports := a.Reports(ctx)
	for _, r := range pending {
		if len(a.Missing(r.PendingGen, reports)) == 0 {
			a.accept(ctx, r)
		}
	}
}

func (a *Acceptor) accept(ctx context.Context, r wheelgauge.Resource) {
	change := wheelgauge.Change{Op: wheelgauge.OpAccept, Kind: r.Kind, Name: r.Name, Expected: &r.PendingGen}
	command, err := json.Marshal(change)
	if err != nil {
		a.log.Error(err, "Acceptance is not encoded.")
		return
	}
	limit, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if _, err := a.replica.Propose(limit, command); err != nil {
		a.log.Error(err, "Acceptance is not logged yet.", "rule", r.Name)
		return
	}
	a.log.Info("Rule is accepted: every host has it.", "rule", r.Name)
}

// Own returns this store's report.
func (a *Acceptor) Own() StoreReport {
	return StoreReport{Store: a.replica.Status().Self.Name, Generation: a.registry.Generation(), Hosts: a.table.List()}
}

// Reports asks all stores. One that does not answer is reported at generation 0.
func (a *Acceptor) Reports(ctx context.Context) []StoreReport {
	limit, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status := a.replica.Status()
	out := make([]StoreReport, len(status.Members))
	var group sync.WaitGroup
	for i, m := range status.Members {
		if m.ID == status.Self.ID {
			out[i] = a.Own()
			continue
		}
		group.Go(func() {
			if err := a.client.Call(limit, http.MethodGet, m.Address, PathInForce, nil, &out[i]); err != nil {
				out[i] = StoreReport{}
			}
			out[i].Store = m.Name
		})
	}
	group.Wait()
	return out
}

// Hosts merges what all stores were told.
func Hosts(reports []StoreReport) []wheelgauge.InForce {
	lists := make([][]wheelgauge.InForce, len(reports))
	for i := range reports {
		lists[i] = reports[i].Hosts
	}
	return inforce.Merge(lists...)
}

// Missing names the hosts and stores that do not have a generation yet.
func (a *Acceptor) Missing(generation uint64, reports []StoreReport) []string {
	has := map[string]bool{}
	for _, h := range Hosts(reports) {
		has[h.Host] = h.Generation >= generation
	}
	var out []string
	for _, h := range a.registry.List(wheelgauge.KindHost).Resources {
		if !has[h.Name] {
			out = append(out, h.Name)
		}
	}
	for _, r := range reports {
		if r.Generation < generation {
			out = append(out, "store of "+r.Store)
		}
	}
	slices.Sort(out)
	return out
}
