// Package storenode puts the parts of a store together: the replicated
// configuration, the region's claims and the region's hub.
package storenode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge/acceptor"
	"wheelgauge/adapter/engine"
	"wheelgauge/bootclock"
	"wheelgauge/catalog"
	"wheelgauge/claims"
	"wheelgauge/every"
	"wheelgauge/httpserve"
	"wheelgauge/inforce"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/operators"
	"wheelgauge/orders"
	"wheelgauge/peerhttp"
	"wheelgauge/registry"
	"wheelgauge/replica"
	"wheelgauge/storeapi"
	"wheelgauge/upstream"
)

// Folders below the data folder.
const (
	folderReplica = "replica"
	folderClaims  = "claims"
)

// Options of a Node.
type Options struct {
	Name     string
	Region   string
	Dir      string
	Operator string
	// Source is the IP address that connections leave from; may be empty.
	Source string
	// Peer is the address of the peers' listener; Advertised how others reach
	// it, the same when empty.
	Peer       string
	Advertised string
	Peers      []string
	Tick       time.Duration
	Heartbeat  time.Duration
	ClaimTTL   time.Duration
	Skew       time.Duration
	Tokens     *operators.Tokens
	// OrderInterval, LoadsAtOnce and LoadLimit are those of orders to engines.
	OrderInterval time.Duration
	LoadsAtOnce   int
	LoadLimit     time.Duration
	// PeerTLS and Secure are nil on loopback.
	PeerTLS     *tls.Config
	Secure      peerhttp.Secure
	OperatorTLS *tls.Config
	Log         logr.Logger
}

// Node is a running store.
type Node struct {
	o         Options
	registry  *registry.Registry
	replica   *replica.Replica
	claims    *claims.Table
	acceptor  *acceptor.Acceptor
	hub       *membership.Hub
	client    *peerhttp.Client
	stop      context.CancelFunc
	listeners []*httpserve.Server
	exchanged chan error
	giver     *orders.Giver

	mu      sync.Mutex
	catalog *catalog.Catalog
}

// Found sets dir up as the first store of a new system, or, with claimsOnly,
// only as the first claim disk of a region.
func Found(dir, name, address string, claimsOnly bool) error {
	if !claimsOnly {
		if err := replica.Found(filepath.Join(dir, folderReplica), name, address); err != nil {
			return fmt.Errorf("found: %w", err)
		}
	}
	if err := claims.Found(filepath.Join(dir, folderClaims)); err != nil {
		return fmt.Errorf("found: %w", err)
	}
	return nil
}

// Open starts a store.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	if o.Advertised == "" {
		o.Advertised = o.Peer
	}
	n := &Node{o: o, registry: registry.New(), client: peerhttp.NewClient(peerhttp.NewDialer(o.Source, o.Secure), ""), stop: stop, exchanged: make(chan error, 1)}
	if err := n.open(ctx); err != nil {
		stop()
		return nil, err
	}
	go func() { n.exchanged <- every.Interval(ctx, o.Heartbeat, n.exchange) }()
	o.Log.Info("Store serves.", "peer", o.Peer, "operator", o.Operator)
	return n, nil
}

func (n *Node) open(ctx context.Context) error {
	o := n.o
	clock := bootclock.OrSteady(o.Log)
	var err error
	n.claims, err = claims.Open(context.WithoutCancel(ctx), claims.Options{Dir: filepath.Join(o.Dir, folderClaims), TTL: o.ClaimTTL, Skew: o.Skew})
	if err != nil {
		return err
	}
	n.replica, err = replica.Open(context.WithoutCancel(ctx), replica.Options{
		Dir: filepath.Join(o.Dir, folderReplica), Name: o.Name, Address: o.Advertised, Peers: o.Peers, Tick: o.Tick,
		Client: n.client, Log: o.Log.WithName("replica"),
	}, n.registry)
	if err != nil {
		return errors.Join(err, n.claims.Close())
	}
	n.hub = membership.NewHub(o.Region, uint64(time.Now().UnixNano()), o.Heartbeat, n.current, clock.Now)
	table := inforce.New()
	n.acceptor = acceptor.Start(context.WithoutCancel(ctx), n.registry, n.replica, table, n.client, o.Log.WithName("acceptor"))
	plain := peerhttp.NewDialer(o.Source, nil)
	n.giver = orders.Start(context.WithoutCancel(ctx), orders.Options{
		Interval: o.OrderInterval, LoadsAtOnce: o.LoadsAtOnce, LoadLimit: o.LoadLimit, Leadership: n.replica, Catalog: n.current,
		Engines: engine.New(upstream.New(plain), peerhttp.NewClient(plain, "")), Clock: clock, Log: o.Log.WithName("orders"),
	})
	api := &storeapi.API{
		Registry: n.registry, Replica: n.replica, Claims: n.claims, InForce: table, Acceptor: n.acceptor,
		Hub: n.hub, Tokens: o.Tokens, Meter: meter.New(), Stop: ctx,
	}
	return n.listen(api)
}

func (n *Node) listen(api *storeapi.API) error {
	peer, err := httpserve.Listen(n.o.Peer, api.Peer, httpserve.Options{TLS: n.o.PeerTLS})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	n.listeners = append(n.listeners, peer)
	operator, err := httpserve.Listen(n.o.Operator, api.Operator, httpserve.Options{TLS: n.o.OperatorTLS})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	n.listeners = append(n.listeners, operator)
	return nil
}

// current returns the typed configuration of this store.
func (n *Node) current() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	if generation := n.registry.Generation(); n.catalog == nil || n.catalog.Generation() != generation {
		list := n.registry.List("")
		n.catalog = catalog.Build(list.Generation, list.Resources)
	}
	return n.catalog
}

// exchange tells the other regions' hubs of this region.
func (n *Node) exchange(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, n.o.Heartbeat)
	defer cancel()
	membership.Exchange(limit, n.hub, n.current(), n.client)
}

// Done gives the error that ended the replica by itself.
func (n *Node) Done() <-chan error { return n.replica.Done() }

// Close stops the store and waits.
func (n *Node) Close(ctx context.Context) error {
	n.stop()
	errs := []error{<-n.exchanged}
	cut, err := httpserve.CloseAll(ctx, n.listeners)
	if len(cut) > 0 {
		errs = append(errs, fmt.Errorf("end listeners %v: %w", cut, ctx.Err()))
	}
	errs = append(errs, err, n.giver.Close(), n.acceptor.Close(), n.replica.Close(), n.claims.Close())
	n.client.CloseIdle()
	return errors.Join(errs...)
}
