package confstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/changefeed"
	"wheelgauge/changefetch"
	"wheelgauge/changelog"
	"wheelgauge/peerhttp"
	"wheelgauge/routehistory"
	"wheelgauge/routetable"
)

var errUndecodable = errors.New("configuration cannot be decoded")

// configTable has the rows of the current configuration for the feed of changes. It is safe for
// concurrent use.
type configTable struct {
	mu      sync.Mutex
	version uint64
	rows    *changelog.Table
	// table has the same routes to match requests by, history those that were in force lately.
	table   *routetable.Table
	history *routehistory.History
	// failed is the last version that could not be decoded.
	failed uint64
}

// serveChanges handles requests for changes of tables; false means another path.
func (n *Node) serveChanges(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, changefeed.Path, func(r wheelgauge.ChangesRequest) (peerhttp.Body, error) {
		n.meter.Count("changes.requests")
		return n.changes(r)
	})
}

func (n *Node) changes(r wheelgauge.ChangesRequest) (peerhttp.Body, error) {
	if r.Config {
		return n.configChanges(r)
	}
	n.feed.Add(wheelgauge.TableHosts, n.hosts.Changes(), !n.warmingUp())
	return n.feed.Response(r, nil)
}

// configChanges returns changes of the configuration. A host that holds none also gets the
// crashes of quarantined requests, since it serves as soon as it has the configuration, from
// whichever store.
func (n *Node) configChanges(r wheelgauge.ChangesRequest) (peerhttp.Body, error) {
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	s, err := n.updateConfigTable()
	if err != nil {
		return peerhttp.Body{}, err
	}
	if s.Generation <= r.Generation {
		return n.feed.Response(r, nil)
	}
	head := &wheelgauge.ConfigHead{Generation: s.Generation, Version: s.Version, Digest: n.config.rows.Digest(), DrainedHalls: s.DrainedHalls, Rollouts: n.withElapsed(s.Rollouts)}
	if r.Generation == 0 {
		n.crashes.SetPersisted(s.Crashes)
		head.Crashes, _ = n.crashes.Candidates()
		n.hallOrders.Applied(n.machine.HallOrders(), wallUnixMS())
		head.HallOrders = n.hallOrders.RecentApplied()
	}
	return n.feed.Response(r, head)
}

// followConfig keeps the rows of the configuration current, so that the log has each version, and
// the orders for halls.
func (n *Node) followConfig(context.Context) {
	n.hallOrders.Applied(n.machine.HallOrders(), wallUnixMS())
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	s, err := n.updateConfigTable()
	if err != nil && s.Version != n.config.failed {
		n.config.failed = s.Version
		n.o.Log.Error(err, "Configuration cannot be passed on.")
	}
}

// updateConfigTable sets the rows of the configuration to those of one version after the other:
// hosts that hold any of them get only what changed since. It returns the state that the rows
// belong to. The lock is held.
func (n *Node) updateConfigTable() (wheelgauge.FleetState, error) {
	s, recent := n.machine.TakeRecent()
	for _, c := range recent {
		if c.Version == s.Version {
			break
		}
		// The state has a newer one, so this one is only needed to keep the steps small.
		if err := n.setConfigRows(c.Version, c.Body); err != nil {
			n.o.Log.Info("A version is left out of the feed of changes.", "cause", err.Error())
		}
	}
	if s.Version == n.config.version {
		return s, nil
	}
	return s, n.setConfigRows(s.Version, s.Body)
}

// setConfigRows sets the rows to those of a version; the lock is held.
func (n *Node) setConfigRows(version uint64, body []byte) error {
	set := n.routesOf(version, body)
	if set == nil {
		return fmt.Errorf("version %d: %w", version, errUndecodable)
	}
	rows, err := routetable.Rows(set)
	if err != nil {
		return fmt.Errorf("version %d: %w", version, err)
	}
	changed := make(map[string]wheelgauge.TableRow, len(rows))
	for _, row := range rows {
		changed[row.Key] = row
	}
	for _, row := range n.config.rows.Rows() {
		now, ok := changed[row.Key]
		switch {
		case !ok:
			changed[row.Key] = wheelgauge.TableRow{Key: row.Key}
		case bytes.Equal(now.Value, row.Value):
			delete(changed, row.Key)
		}
	}
	rows = slices.Collect(maps.Values(changed))
	table, err := n.config.table.With(version, rows)
	if err != nil {
		return fmt.Errorf("version %d: %w", version, err)
	}
	n.config.table = table
	n.config.history.Add(table)
	n.config.rows.Apply(rows)
	n.config.version = version
	return nil
}

// listFetches are the transfers of lists of servers from the stores that read them. It is safe
// for concurrent use.
type listFetches struct {
	mu sync.Mutex
	// fetchers hold what this store has of each list that another one reads, running are the
	// regions with a transfer in progress.
	fetchers map[string]*changefetch.Fetcher
	running  map[string]bool
}

// begin returns the fetcher of a region, made by create if needed; ok is false while a transfer
// is in progress.
func (l *listFetches) begin(region string, create func() *changefetch.Fetcher) (f *changefetch.Fetcher, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[region] {
		return nil, false
	}
	if l.fetchers == nil {
		l.fetchers, l.running = map[string]*changefetch.Fetcher{}, map[string]bool{}
	}
	if l.fetchers[region] == nil {
		l.fetchers[region] = create()
	}
	l.running[region] = true
	return l.fetchers[region], true
}

func (l *listFetches) end(region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, region)
}

// reset forgets what is held of a list, which has changed in another way.
func (l *listFetches) reset(region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.fetchers, region)
}

// followList compares a list with that of the store which reads it, and fetches what changed.
func (n *Node) followList(address string, s wheelgauge.ListStatus) {
	toldAt := n.now()
	if n.servers.Confirm(s) {
		n.offerList(s.Region)
		return
	}
	f, ok := n.lists.begin(s.Region, func() *changefetch.Fetcher {
		f := changefetch.New(n.client)
		f.Hold(wheelgauge.ServersTable(s.Region), n.servers.Changes(s.Region).Rows())
		return f
	})
	if !ok {
		return
	}
	n.updateCalls.Add(1)
	go func() {
		defer n.updateCalls.Done()
		defer n.lists.end(s.Region)
		if err := n.fetchList(f, address, s.Region); err != nil {
			n.meter.Count("list.fetch.failed")
			n.o.Log.Info("Server list could not be fetched from a store; its next update retries.", "region", s.Region, "store", address, "cause", err.Error())
			return
		}
		n.servers.Fetched(s, toldAt)
		n.offerList(s.Region)
	}()
}

// fetchList fetches what changed of a region's list until nothing differs.
func (n *Node) fetchList(f *changefetch.Fetcher, address, region string) error {
	for {
		batch, err := f.Fetch(n.ctx, address, wheelgauge.ChangesRequest{Only: wheelgauge.ServersTable(region)})
		for _, u := range batch.Updates {
			if receiveErr := n.servers.Receive(region, u.Rows); receiveErr != nil {
				n.lists.reset(region)
				return errors.Join(err, receiveErr)
			}
		}
		if err != nil || batch.Current {
			return err
		}
	}
}

// offerList adds a region's list, which is known, to the feed of changes.
func (n *Node) offerList(region string) {
	n.feed.Add(wheelgauge.ServersTable(region), n.servers.Changes(region), true)
}
