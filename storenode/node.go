// Package storenode assembles the store of the resources mode: the replicated
// configuration, the region's claims, the region's hub and the model orders.
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

	"wheelgauge/adapter/engine"
	"wheelgauge/appliedgen"
	"wheelgauge/bootclock"
	"wheelgauge/catalog"
	"wheelgauge/claims"
	"wheelgauge/httpserve"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/operatorauth"
	"wheelgauge/ordercheck"
	"wheelgauge/orders"
	"wheelgauge/peerhttp"
	"wheelgauge/pendingrules"
	"wheelgauge/periodic"
	"wheelgauge/registry"
	"wheelgauge/replica"
	"wheelgauge/storeapi"
	"wheelgauge/upstream"
)

// Folders in the data folder.
const (
	folderReplica = "replica"
	folderClaims  = "claims"
)

// Options configures a Node.
type Options struct {
	Name            string
	Region          string
	Dir             string
	OperatorAddress string
	// SourceIP is the source IP address of outgoing connections; may be empty.
	SourceIP string
	// PeerAddress is the address of the listener for other stores and hosts; Advertised is
	// the address at which they reach it, the same if empty.
	PeerAddress  string
	Advertised   string
	Peers        []string
	Tick         time.Duration
	Heartbeat    time.Duration
	ClaimTTL     time.Duration
	MaxClockSkew time.Duration
	Tokens       *operatorauth.Authenticator
	// The next three configure the model orders; see orders.Options.
	OrderInterval time.Duration
	MaxLoads      int
	LoadTimeout   time.Duration
	// PeerTLS and Secure are nil on loopback.
	PeerTLS     *tls.Config
	Secure      peerhttp.TLSConfigFunc
	OperatorTLS *tls.Config
	Log         logr.Logger
}

// Node is a running store.
type Node struct {
	o            Options
	registry     *registry.Registry
	replica      *replica.Replica
	claims       *claims.Table
	acceptor     *pendingrules.Acceptor
	hub          *membership.Hub
	client       *peerhttp.Client
	stop         context.CancelFunc
	listeners    []*httpserve.Server
	exchangeDone chan error
	reconciler   *orders.Reconciler

	mu      sync.Mutex
	catalog *catalog.Catalog
}

// Initialize initializes dir for the first store of a new system, or, with claimsOnly,
// only as the first claim disk of a region.
func Initialize(dir, name, address string, claimsOnly bool) error {
	if !claimsOnly {
		if err := replica.Bootstrap(filepath.Join(dir, folderReplica), name, address); err != nil {
			return fmt.Errorf("found: %w", err)
		}
	}
	if err := claims.Initialize(filepath.Join(dir, folderClaims)); err != nil {
		return fmt.Errorf("found: %w", err)
	}
	return nil
}

// Recover makes the configuration in the data folder, or in a file that holds a state that was set
// aside, that of a new group of which only this store is a member.
func Recover(dir, file, name, address string) error {
	return replica.Recover(filepath.Join(dir, folderReplica), file, name, address)
}

// Open starts a store.
func Open(ctx context.Context, o Options) (*Node, error) {
	ctx, stop := context.WithCancel(ctx)
	if o.Advertised == "" {
		o.Advertised = o.PeerAddress
	}
	n := &Node{o: o, registry: registry.New(), client: peerhttp.NewClient(peerhttp.NewDialer(o.SourceIP, o.Secure), ""), stop: stop, exchangeDone: make(chan error, 1)}
	if err := n.open(ctx); err != nil {
		stop()
		return nil, err
	}
	go func() { n.exchangeDone <- periodic.Run(ctx, o.Heartbeat, n.exchange) }()
	o.Log.Info("Store serves.", "peer", o.PeerAddress, "operator", o.OperatorAddress)
	return n, nil
}

func (n *Node) open(ctx context.Context) error {
	o := n.o
	clock := bootclock.NewOrMonotonic(o.Log)
	var err error
	n.claims, err = claims.Open(context.WithoutCancel(ctx), claims.Options{Dir: filepath.Join(o.Dir, folderClaims), TTL: o.ClaimTTL, MaxSkew: o.MaxClockSkew})
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
	n.hub = membership.NewHub(o.Region, uint64(time.Now().UnixNano()), o.Heartbeat, n.currentCatalog, clock.Now)
	table := appliedgen.New()
	n.acceptor = pendingrules.Start(context.WithoutCancel(ctx), n.registry, n.replica, table, n.client, o.Log.WithName("acceptor"))
	plain := peerhttp.NewDialer(o.SourceIP, nil)
	n.reconciler = orders.Start(context.WithoutCancel(ctx), orders.Options{
		Interval: o.OrderInterval, MaxLoads: o.MaxLoads, LoadTimeout: o.LoadTimeout, Leadership: n.replica, Catalog: n.currentCatalog,
		Engines: engine.New(upstream.New(plain), peerhttp.NewClient(plain, "")), Clock: clock, Log: o.Log.WithName("orders"),
	})
	api := &storeapi.API{
		Registry: n.registry, Replica: n.replica, Orders: ordercheck.New(n.replica, clock), Claims: n.claims, AppliedGenerations: table, Acceptor: n.acceptor,
		Hub: n.hub, Tokens: o.Tokens, Meter: meter.New(), Context: ctx,
	}
	return n.listen(api)
}

func (n *Node) listen(api *storeapi.API) error {
	peer, err := httpserve.Listen(n.o.PeerAddress, api.ServePeer, httpserve.Options{TLS: n.o.PeerTLS})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	n.listeners = append(n.listeners, peer)
	operator, err := httpserve.Listen(n.o.OperatorAddress, api.ServeOperator, httpserve.Options{TLS: n.o.OperatorTLS})
	if err != nil {
		return fmt.Errorf("start store: %w", err)
	}
	n.listeners = append(n.listeners, operator)
	return nil
}

// currentCatalog returns the catalog of this store's current configuration.
func (n *Node) currentCatalog() *catalog.Catalog {
	n.mu.Lock()
	defer n.mu.Unlock()
	if generation := n.registry.Generation(); n.catalog == nil || n.catalog.Generation() != generation {
		list := n.registry.List("")
		n.catalog = catalog.Build(list.Generation, list.Resources)
	}
	return n.catalog
}

// exchange sends this region's summary to the hubs of the other regions.
func (n *Node) exchange(ctx context.Context) {
	exchangeCtx, cancel := context.WithTimeout(ctx, n.o.Heartbeat)
	defer cancel()
	membership.Exchange(exchangeCtx, n.hub, n.currentCatalog(), n.client)
}

// Done receives the error if the replica ends by itself.
func (n *Node) Done() <-chan error { return n.replica.Done() }

// Close stops the store and waits until it has ended.
func (n *Node) Close(ctx context.Context) error {
	n.stop()
	errs := []error{<-n.exchangeDone}
	n.replica.Leave(ctx)
	unfinished, err := httpserve.CloseAll(ctx, n.listeners)
	if len(unfinished) > 0 {
		errs = append(errs, fmt.Errorf("close listeners %v: %w", unfinished, ctx.Err()))
	}
	errs = append(errs, err, n.reconciler.Close(), n.acceptor.Close(), n.replica.Close(), n.claims.Close())
	n.client.CloseIdle()
	return errors.Join(errs...)
}
