// Package pendingrules accepts pending residency rules once every configured host and
// every store has them.
package pendingrules

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/appliedgen"
	"wheelgauge/peerhttp"
	"wheelgauge/periodic"
	"wheelgauge/registry"
	"wheelgauge/replica"
)

// PathReport is the path at which a store returns its StoreReport.
const PathReport = "/store/inforce"

const (
	checkInterval  = 250 * time.Millisecond
	requestTimeout = time.Second
)

// StoreReport has the generation of a store and those that hosts reported to it.
type StoreReport struct {
	Store      string                         `json:"store"`
	Generation uint64                         `json:"generation"`
	Hosts      []wheelgauge.AppliedGeneration `json:"hosts"`
}

// Acceptor checks for pending rules on every store; only the leader accepts them.
type Acceptor struct {
	registry *registry.Registry
	replica  *replica.Replica
	table    *appliedgen.Table
	client   *peerhttp.Client
	log      logr.Logger
	cancel   context.CancelFunc
	done     chan error
}

// Start runs an Acceptor until it is closed.
func Start(ctx context.Context, reg *registry.Registry, rep *replica.Replica, table *appliedgen.Table, client *peerhttp.Client, log logr.Logger) *Acceptor {
	ctx, cancel := context.WithCancel(ctx)
	a := &Acceptor{registry: reg, replica: rep, table: table, client: client, log: log, cancel: cancel, done: make(chan error, 1)}
	go func() { a.done <- periodic.Run(ctx, checkInterval, a.tick) }()
	return a
}

// Close stops the Acceptor and waits until it has ended.
func (a *Acceptor) Close() error {
	a.cancel()
	return <-a.done
}

func (a *Acceptor) tick(ctx context.Context) {
	if !a.replica.IsLeader() {
		return
	}
	pending := a.registry.PendingRules()
	if len(pending) == 0 {
		return
	}
	reports := a.Reports(ctx)
	for _, r := range pending {
		if len(a.Lagging(r.PendingGeneration, reports)) == 0 {
			a.accept(ctx, r)
		}
	}
}

func (a *Acceptor) accept(ctx context.Context, r wheelgauge.Resource) {
	change := wheelgauge.Change{Op: wheelgauge.OpAccept, Kind: r.Kind, Name: r.Name, ExpectedGeneration: &r.PendingGeneration}
	command, err := json.Marshal(change)
	if err != nil {
		a.log.Error(err, "Acceptance of a rule could not be encoded.")
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if _, err := a.replica.Propose(proposeCtx, command); err != nil {
		a.log.Error(err, "Acceptance of a rule could not be committed; the next check retries.", "rule", r.Name)
		return
	}
	a.log.Info("Rule is accepted: every host has it.", "rule", r.Name)
}

// OwnReport returns the report of this store.
func (a *Acceptor) OwnReport() StoreReport {
	return StoreReport{Store: a.replica.Status().Self.Name, Generation: a.registry.Generation(), Hosts: a.table.List()}
}

// Reports returns the reports of all stores. The report of a store that does not respond
// has generation 0.
func (a *Acceptor) Reports(ctx context.Context) []StoreReport {
	callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	status := a.replica.Status()
	out := make([]StoreReport, len(status.Members))
	var group sync.WaitGroup
	for i, m := range status.Members {
		if m.ID == status.Self.ID {
			out[i] = a.OwnReport()
			continue
		}
		group.Go(func() {
			if err := a.client.Call(callCtx, http.MethodGet, m.Address, PathReport, nil, &out[i]); err != nil {
				out[i] = StoreReport{}
			}
			out[i].Store = m.Name
		})
	}
	group.Wait()
	return out
}

// MergeHosts returns the latest report of each host.
func MergeHosts(reports []StoreReport) []wheelgauge.AppliedGeneration {
	lists := make([][]wheelgauge.AppliedGeneration, len(reports))
	for i := range reports {
		lists[i] = reports[i].Hosts
	}
	return appliedgen.Merge(lists...)
}

// Lagging returns the names of the hosts and stores that do not have a generation yet.
func (a *Acceptor) Lagging(generation uint64, reports []StoreReport) []string {
	current := map[string]bool{}
	for _, h := range MergeHosts(reports) {
		current[h.Host] = h.Generation >= generation
	}
	var out []string
	for _, h := range a.registry.List(wheelgauge.KindHost).Resources {
		if !current[h.Name] {
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
