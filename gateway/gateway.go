// Package gateway implements the request path: residency, admission, routing, and
// the call to a backend server or to a gateway of another region.
package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/adapter/engine"
	"wheelgauge/adapter/service"
	"wheelgauge/admission"
	"wheelgauge/bootclock"
	"wheelgauge/catalog"
	"wheelgauge/circuitbreaker"
	"wheelgauge/confwatch"
	"wheelgauge/gate"
	"wheelgauge/httpserve"
	"wheelgauge/inflight"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/peerhttp"
	"wheelgauge/permitclient"
	"wheelgauge/quarantine"
	"wheelgauge/serverlimit"
	"wheelgauge/spillover"
	"wheelgauge/upstream"
)

// Options of a Gateway. Addresses are IP:port.
type Options struct {
	Host            string
	Region          string
	Hall            string
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// SourceIP is the local IP address of outgoing connections; may be empty.
	SourceIP       string
	StoreAddresses []string
	PeerAddresses  []string
	DataDir        string

	MaxHeaderBytes int
	MaxBodyBytes   int
	MaxConns       int
	ReadTimeout    time.Duration
	// MaxWait is the longest expected wait for a server at which work of the highest
	// priority is still accepted.
	MaxWait           time.Duration
	DefaultDeadline   time.Duration
	DrainNotice       time.Duration
	EntryTTL          time.Duration
	HeartbeatInterval time.Duration
	WatchWait         time.Duration
	StoreTimeout      time.Duration
	AffinityBytes     int

	Picker    wheelgauge.Picker
	Decider   *spillover.Decider
	Directory wheelgauge.ClientDirectory
	HostList  wheelgauge.HostList
	CallerTLS *tls.Config
	PeerTLS   *tls.Config
	// Secure secures connections to peers; nil on loopback.
	Secure peerhttp.TLSConfigFunc
	// Clock is used for ages and deadlines; when nil, a clock that counts suspended time.
	Clock wheelgauge.Clock
	Log   logr.Logger
}

// Gateway is a running gateway.
type Gateway struct {
	options Options
	boot    uint64
	meter   *meter.Meter
	// clock counts suspended time.
	clock    wheelgauge.Clock
	client   *peerhttp.Client
	servers  *upstream.Pool
	peers    *upstream.Pool
	engine   wheelgauge.BackendServer
	service  wheelgauge.BackendServer
	watcher  *confwatch.Watcher
	node     *membership.Node
	limiter  *admission.Limiter
	budget   *admission.RetryBudget
	breakers *circuitbreaker.Breakers
	// quarantine refuses requests that crash servers.
	quarantine *quarantine.Table
	// limits are those that servers have announced; permits enforces them over all hosts of the
	// region.
	limits      *serverlimit.Table
	permits     *permitclient.Client
	permitsDone chan error
	deferrals   deferrals
	pushbacks   pushbackTable
	inflight    inflight.Table
	hints       *hints

	sequence   atomic.Uint64
	serving    *gate.Gate
	background sync.WaitGroup
	// forwarded holds the requests from peers that have no answer yet, by ID.
	forwarded sync.Map
	draining  atomic.Bool

	ctx            context.Context
	cancel         context.CancelFunc
	callerServer   *httpserve.Server
	peerServer     *httpserve.Server
	operatorServer *httpserve.Server
}

// Open starts a gateway. It serves requests as soon as a configuration is in force.
func Open(ctx context.Context, o Options) (*Gateway, error) {
	ctx, cancel := context.WithCancel(ctx)
	plainDialer, peerDialer := peerhttp.NewDialer(o.SourceIP, nil), peerhttp.NewDialer(o.SourceIP, o.Secure)
	clock := o.Clock
	if clock == nil {
		clock = bootclock.NewOrMonotonic(o.Log)
	}
	g := &Gateway{
		options: o, boot: uint64(time.Now().UnixNano()), meter: meter.New(), clock: clock, client: peerhttp.NewClient(peerDialer, ""),
		servers: upstream.New(plainDialer), peers: upstream.New(peerDialer), limiter: admission.NewLimiter(),
		budget: admission.NewRetryBudget(), breakers: circuitbreaker.New(), quarantine: quarantine.New(clock.Now), serving: gate.New(), ctx: ctx, cancel: cancel,
	}
	g.openPermits()
	plain := peerhttp.NewClient(plainDialer, "")
	g.engine = engine.New(g.servers, plain)
	g.service = service.New(g.servers, plain)
	g.watcher = confwatch.Start(ctx, confwatch.Options{
		Host: o.Host, Region: o.Region, StoreAddresses: o.StoreAddresses, PeerAddresses: o.PeerAddresses, DataDir: o.DataDir, WatchWait: o.WatchWait, StoreTimeout: o.StoreTimeout,
		Client: g.client, Log: o.Log.WithName("config"), OnStoreChange: func() { g.meter.Count("config.store_moves") },
	})
	g.node = membership.Start(ctx, membership.Options{
		Host: o.Host, Region: o.Region, Hall: o.Hall, Boot: g.boot, Interval: o.HeartbeatInterval, Client: g.client,
		Catalog: g.watcher.Current, Poll: g.pollLoad, Forwardable: g.waitingByPool, Crashes: g.quarantine, Limits: g.limits, Clock: clock, Log: o.Log.WithName("members"),
	})
	g.hints = startHints(ctx, o.HostList, o.Log.WithName("hosts"))
	if err := g.listen(); err != nil {
		return nil, errors.Join(err, g.Close(ctx))
	}
	o.Log.Info("Gateway serves.", "caller", o.CallerAddress, "peer", o.PeerAddress)
	return g, nil
}

// listen starts the operators' listener last, because its handlers use the other two.
func (g *Gateway) listen() error {
	var err error
	g.callerServer, err = httpserve.Listen(g.options.CallerAddress, g.serveCaller, httpserve.Options{
		TLS: g.options.CallerTLS, MaxHeaderBytes: g.options.MaxHeaderBytes, MaxBodyBytes: g.options.MaxBodyBytes, MaxConns: g.options.MaxConns, ReadTimeout: g.options.ReadTimeout,
		StreamBodies: true, HeaderReceived: g.headerReceived, OnError: g.answerReadError,
	})
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	g.peerServer, err = httpserve.Listen(g.options.PeerAddress, g.servePeer, httpserve.Options{TLS: g.options.PeerTLS, MaxBodyBytes: g.options.MaxBodyBytes, HeaderReceived: g.peerHeaderReceived, OnError: g.answerReadError})
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	g.operatorServer, err = httpserve.Listen(g.options.OperatorAddress, g.serveOperator, httpserve.Options{})
	if err != nil {
		return fmt.Errorf("start gateway: %w", err)
	}
	return nil
}

// Drain removes the host from the entry lists, serves for DrainNotice longer, then
// refuses new requests and waits for those in flight.
func (g *Gateway) Drain(ctx context.Context) {
	g.options.Log.Info("Gateway drains.")
	g.node.Leave()
	g.draining.Store(true)
	timer := time.NewTimer(g.options.DrainNotice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	g.serving.Close()
	if err := g.serving.Wait(ctx); err != nil {
		g.options.Log.Info("Drain timed out; open requests are cut off.", "open", g.serving.Count())
	}
}

// Close stops the listeners, waits for the requests in flight until ctx ends,
// and then stops all background work.
func (g *Gateway) Close(ctx context.Context) error {
	g.serving.Close()
	var errs []error
	for _, s := range []*httpserve.Server{g.callerServer, g.peerServer, g.operatorServer} {
		if s != nil {
			errs = append(errs, s.Close(ctx))
		}
	}
	g.cancel()
	g.background.Wait()
	errs = append(errs, g.node.Close(), g.watcher.Close(), g.hints.close(), <-g.permitsDone)
	g.servers.CloseIdle()
	g.peers.CloseIdle()
	g.client.CloseIdle()
	return errors.Join(errs...)
}

// pollLoad asks a backend server for its load, in the dialect of its pool.
func (g *Gateway) pollLoad(ctx context.Context, s *catalog.Server) (wheelgauge.LoadReport, error) {
	if c := g.watcher.Current(); c != nil && c.PoolType(s.Pool) == wheelgauge.PoolService {
		return g.service.Load(ctx, s.Address)
	}
	return g.engine.Load(ctx, s.Address)
}

// waitingByPool returns the number of requests overdue for a first byte, by pool.
func (g *Gateway) waitingByPool() map[string]int {
	c := g.watcher.Current()
	if c == nil {
		return nil
	}
	out := map[string]int{}
	for _, pool := range c.Pools() {
		if n := g.inflight.Overdue(pool); n > 0 {
			out[pool] = n
		}
	}
	return out
}

func (g *Gateway) currentCatalog() (*catalog.Catalog, error) {
	c := g.watcher.Current()
	if c == nil {
		return nil, wheelgauge.NewError(wheelgauge.ReasonNoConfiguration, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable,
			"no configuration is in force here yet").WithRetryAfter(time.Second)
	}
	return c, nil
}

// usable reports whether a host takes new callers, as far as is known here. Within
// the region its own heartbeats decide; the host list is a hint everywhere.
func (g *Gateway) usable(h *catalog.Host) bool {
	if g.hints.leaving(h.Name) {
		return false
	}
	if h.Name == g.options.Host {
		return !g.draining.Load()
	}
	if h.Region != g.options.Region {
		return !g.node.RegionKnown(h.Region) || g.node.Region(h.Region).Hosts > 0 && !g.node.HostUnavailable(h.Region, h.Name)
	}
	return g.node.HostAvailable(h.Name)
}
