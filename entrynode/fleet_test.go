package entrynode

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/confstore"
	"wheelgauge/fake/fakeclock"
	"wheelgauge/native"
	"wheelgauge/retrybudget"
)

const (
	// crashBody is the body that crashes each engine that runs it.
	crashBody = "ends what runs it"
	// runDuration is how long an engine runs a request, restartDelay how long it is down
	// after a crash.
	runDuration  = 20 * time.Millisecond
	restartDelay = 200 * time.Millisecond
)

// engines are backend servers that crash with all their connections when they run a request
// with crashBody, and restart under a new name at the same address.
type engines struct {
	hall  string
	mu    sync.Mutex
	list  []wheelgauge.Server
	conns map[string][]net.Conn
	// limits are the rate limits that engines send, arrivals the times of the requests to each.
	limits   map[string]float64
	arrivals map[string][]time.Time
	// versions are those of engines by address, failureRates the share of requests that each
	// version fails.
	versions     map[string]string
	failureRates map[string]float64
	// failEvery makes every n-th response of a version fail, responses counts them; slowdowns
	// is the factor by which a version is slower on route b.
	failEvery, responses, slowdowns map[string]int
	// crashedAt holds the times of crashes.
	crashedAt []time.Time
	// pushback decides on backoff and leaving headers, and records them.
	pushback *pushbackLog
	// limitSentAt is when each engine first sent its limit.
	limitSentAt map[string]time.Time
	crashes     atomic.Int64
	group       sync.WaitGroup
	stop        context.CancelFunc
	ctx         context.Context
}

func newEngines(t *testing.T, count int, hall string) *engines {
	t.Helper()
	e := &engines{hall: hall, pushback: newPushbackLog(), conns: map[string][]net.Conn{}, limits: map[string]float64{}, arrivals: map[string][]time.Time{}, versions: map[string]string{}, failureRates: map[string]float64{}, failEvery: map[string]int{}, responses: map[string]int{}, slowdowns: map[string]int{}, limitSentAt: map[string]time.Time{}}
	e.ctx, e.stop = context.WithCancel(context.Background())
	for n := range count {
		e.start(t, n, fmt.Sprintf("127.0.84.%d:9000", 100+n))
	}
	t.Cleanup(func() {
		e.stop()
		e.group.Wait()
	})
	return e
}

// start starts an engine under a new name, and again after each crash.
func (e *engines) start(t *testing.T, n int, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	name := fmt.Sprintf("i-%d-%d", n, e.crashes.Load())
	e.mu.Lock()
	s := wheelgauge.Server{Instance: name, Service: "s", Version: e.versions[address], Address: address, Hall: e.hall, Slots: 8}
	if n < len(e.list) {
		e.list[n] = s
	} else {
		e.list = append(e.list, s)
	}
	e.mu.Unlock()
	running, crash := context.WithCancel(e.ctx)
	e.group.Go(func() { e.accept(l, name, crash) })
	e.group.Go(func() {
		<-running.Done()
		e.closeAll(l, name)
		if e.ctx.Err() != nil {
			return
		}
		time.Sleep(restartDelay)
		e.start(t, n, address)
	})
}

func (e *engines) accept(l net.Listener, name string, crash context.CancelFunc) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[name] = append(e.conns[name], c)
		e.mu.Unlock()
		e.group.Go(func() { e.serve(c, name, crash) })
	}
}

// closeAll closes the listener and all connections of an engine.
func (e *engines) closeAll(l net.Listener, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = l.Close()
	for _, c := range e.conns[name] {
		_ = c.Close()
	}
	delete(e.conns, name)
}

func (e *engines) serve(c net.Conn, name string, crash context.CancelFunc) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Header.Get(native.Headers().Target) != name {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		limit := e.recordArrival(name)
		rejection, headers := e.pushback.respond(name, string(body))
		if rejection != "" {
			_, _ = io.WriteString(c, rejection)
			continue
		}
		time.Sleep(e.durationOf(name, req.URL.Path))
		if e.shouldFail(name) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nWheelgauge-Signature: s\r\nContent-Length: 3\r\n\r\nbad")
			continue
		}
		if string(body) == crashBody && req.URL.Path == "/a/deadly" {
			e.crashes.Add(1)
			e.recordCrash()
			crash()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nWheelgauge-Signature: s\r\n"+limit+headers+"Content-Length: 2\r\n\r\nok")
	}
}

func (e *engines) recordCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashedAt = append(e.crashedAt, time.Now())
}

// recordArrival records a request and returns the limit header of its response.
func (e *engines) recordArrival(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[name] = append(e.arrivals[name], time.Now())
	if rate, ok := e.limits[name]; ok {
		if e.limitSentAt[name].IsZero() {
			e.limitSentAt[name] = time.Now()
		}
		return fmt.Sprintf("%s: %g\r\n", native.Headers().Limit, rate)
	}
	return ""
}

// Servers implements wheelgauge.ServerList with the running engines.
func (e *engines) Servers(_ context.Context, halls []string) ([]wheelgauge.Server, wheelgauge.ForeignEntries, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(halls) > 0 && !slices.Contains(halls, e.hall) {
		return nil, nil, nil
	}
	return append([]wheelgauge.Server(nil), e.list...), nil, nil
}

// fleet is a small deployment of stores, hosts and engines.
type fleet struct {
	engines *engines
	// halls[n] is the hall of host n and of store n.
	halls  []string
	dirs   []string
	stores []*confstore.Node
	hosts  []*Node
	// storeClocks and hostClocks are the clocks that stores and hosts use.
	storeClocks, hostClocks [fleetSize]fakeclock.Clock
}

const fleetSize = 3

func (f *fleet) storeAddresses() []string {
	return []string{"127.0.84.1:7803", "127.0.84.2:7803", "127.0.84.3:7803"}
}

func (f *fleet) callerAddress(n int) string { return fmt.Sprintf("127.0.84.%d:7801", 11+n) }

func (f *fleet) openStore(t *testing.T, n int, first bool) {
	t.Helper()
	s, err := confstore.Open(context.Background(), confstore.Options{
		Name: fmt.Sprint("store-", n), Region: regionOf[f.halls[n]], Hall: f.halls[n], Halls: regionOf, Dir: f.dirs[n], Peer: f.storeAddresses()[n],
		Seeds: f.storeAddresses(), First: first, Tick: 20 * time.Millisecond, PollEvery: 50 * time.Millisecond, Decode: native.Decode, List: f.engines, Clock: &f.storeClocks[n], Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.stores[n] = s
}

func (f *fleet) openHost(t *testing.T, n int) {
	t.Helper()
	h, err := Open(context.Background(), Options{
		Name: fmt.Sprint("g-", n), Region: regionOf[f.halls[n]], Hall: f.halls[n], Caller: f.callerAddress(n), Peer: fmt.Sprintf("127.0.84.%d:7802", 11+n), Seeds: f.storeAddresses(),
		Interval: 100 * time.Millisecond, FarInterval: 200 * time.Millisecond, Grace: time.Second,
		Budget: retrybudget.Options{Ratio: 0.2, Slack: 200, Window: testTimeout}, RolloutShare: rolloutShare, RolloutSlack: rolloutSlack, Decode: native.Decode, Names: native.Headers(), Clock: &f.hostClocks[n], Log: logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	f.hosts[n] = h
}

func (f *fleet) closeHost(t *testing.T, n int) {
	if err := f.hosts[n].Close(context.Background()); err != nil {
		t.Error(err)
	}
}

func (f *fleet) closeStore(t *testing.T, n int) {
	if err := f.stores[n].Close(); err != nil {
		t.Error(err)
	}
}

// regionOf maps halls to regions.
var regionOf = map[string]string{"n": "north", "s": "south"}

// openFleet starts a fleet of one region.
func openFleet(t *testing.T) *fleet { return openFleetIn(t, "n", "n", "n", "n") }

// openFleetIn starts a fleet whose engines are in one hall, and whose stores and hosts are in
// the given halls.
func openFleetIn(t *testing.T, enginesIn string, halls ...string) *fleet {
	t.Helper()
	f := &fleet{engines: newEngines(t, 8, enginesIn), halls: halls, stores: make([]*confstore.Node, fleetSize), hosts: make([]*Node, fleetSize)}
	for n := range fleetSize {
		f.dirs = append(f.dirs, t.TempDir())
		f.openStore(t, n, true)
	}
	for n := range fleetSize {
		f.openHost(t, n)
	}
	t.Cleanup(func() {
		for n := range fleetSize {
			f.closeHost(t, n)
			f.closeStore(t, n)
		}
	})
	body := crashRoutes(t)
	waitFor(t, "the configuration is acknowledged", func() bool {
		_, err := f.stores[0].PutRoutes(context.Background(), body)
		return err == nil
	})
	f.awaitReady(t)
	return f
}

// crashRoutes returns an encoded configuration of two routes whose requests may be retried.
func crashRoutes(t *testing.T) []byte {
	t.Helper()
	body, err := json.Marshal(wheelgauge.RouteSet{
		Version: 1, Services: []wheelgauge.Service{{Name: "s", Conns: 600}},
		Routes: []wheelgauge.PathRoute{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: wheelgauge.RouteRepeatable, Timeout: testTimeout, Objective: testTimeout, Attempts: 2,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}},
		}, {
			Name: "b", Host: "h", Prefix: "/b/", Kind: wheelgauge.RouteRepeatable, Timeout: testTimeout, Objective: testTimeout, Attempts: 2,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// awaitReady waits until every host serves requests.
func (f *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for n := range fleetSize {
		f.awaitServing(t, n)
	}
}

// awaitServing waits until a host serves requests: crashed engines are down for a while.
func (f *fleet) awaitServing(t *testing.T, n int) {
	t.Helper()
	waitFor(t, fmt.Sprint("host ", n, " serves"), func() bool { return f.send(n, "/a/plain", "plain") == http.StatusOK })
}

// send sends a request to a host and returns the status, or 0 without a response.
func (f *fleet) send(n int, path, body string) int {
	status, err := post(f.callerAddress(n), path, body)
	if err != nil {
		return 0
	}
	return status
}

func post(address, path, body string) (int, error) {
	status, _, err := postFor(address, path, body)
	return status, err
}

// startBackground keeps other requests in flight, each with a distinct body, until it is
// stopped; stop returns the bodies of failed requests.
func (f *fleet) startBackground(workers int) (stop func() (failed []string)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	for w := range workers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("beside %d %d", w, n)
				if f.send(w%fleetSize, "/a/beside", body) != http.StatusOK {
					mu.Lock()
					failed = append(failed, body)
					mu.Unlock()
				}
			}
		})
	}
	return func() []string {
		cancel()
		group.Wait()
		return failed
	}
}
