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
	// deadly is what a body holds that ends each engine which begins to run it.
	deadly = "ends what runs it"
	// runTime is how long an engine runs a request, restTime how long it is away after
	// its end.
	runTime  = 20 * time.Millisecond
	restTime = 200 * time.Millisecond
)

// engines are backend servers that end together with all their connections when they
// run a deadly request, and come back under a new name at the old address.
type engines struct {
	hall  string
	mu    sync.Mutex
	list  []wheelgauge.Server
	conns map[string][]net.Conn
	// limits are those that engines name, arrivals when requests came to each.
	limits   map[string]float64
	arrivals map[string][]time.Time
	// versions are those of engines, failing the part of their requests that a version fails.
	versions map[string]string
	failing  map[string]float64
	// failEvery lets each so many'th answer of a version fail, answered counts them; slowBy is
	// how many times as long a version takes on the route b.
	failEvery, answered, slowBy map[string]int
	// endedAt is when engines ended.
	endedAt []time.Time
	// book says what engines ask of hosts.
	book *pushbackBook
	// told is when each engine first named its limit.
	told  map[string]time.Time
	ended atomic.Int64
	group sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
}

func newEngines(t *testing.T, count int, hall string) *engines {
	t.Helper()
	e := &engines{hall: hall, book: newPushbackBook(), conns: map[string][]net.Conn{}, limits: map[string]float64{}, arrivals: map[string][]time.Time{}, versions: map[string]string{}, failing: map[string]float64{}, failEvery: map[string]int{}, answered: map[string]int{}, slowBy: map[string]int{}, told: map[string]time.Time{}}
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

// start begins a life of an engine, under a name of its own.
func (e *engines) start(t *testing.T, n int, address string) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	name := fmt.Sprintf("i-%d-%d", n, e.ended.Load())
	e.mu.Lock()
	s := wheelgauge.Server{Instance: name, Service: "s", Version: e.versions[address], Address: address, Hall: e.hall, Slots: 8}
	if n < len(e.list) {
		e.list[n] = s
	} else {
		e.list = append(e.list, s)
	}
	e.mu.Unlock()
	life, end := context.WithCancel(e.ctx)
	e.group.Go(func() { e.accept(l, name, end) })
	e.group.Go(func() {
		<-life.Done()
		e.die(l, name)
		if e.ctx.Err() != nil {
			return
		}
		time.Sleep(restTime)
		e.start(t, n, address)
	})
}

func (e *engines) accept(l net.Listener, name string, end context.CancelFunc) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[name] = append(e.conns[name], c)
		e.mu.Unlock()
		e.group.Go(func() { e.serve(c, name, end) })
	}
}

// die closes everything that the engine has, at once.
func (e *engines) die(l net.Listener, name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = l.Close()
	for _, c := range e.conns[name] {
		_ = c.Close()
	}
	delete(e.conns, name)
}

func (e *engines) serve(c net.Conn, name string, end context.CancelFunc) {
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
		limit := e.arrived(name)
		instead, more := e.book.answer(name, string(body))
		if instead != "" {
			_, _ = io.WriteString(c, instead)
			continue
		}
		time.Sleep(e.takes(name, req.URL.Path))
		if e.fails(name) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nWheelgauge-Signature: s\r\nContent-Length: 3\r\n\r\nbad")
			continue
		}
		if string(body) == deadly && req.URL.Path == "/a/deadly" {
			e.ended.Add(1)
			e.noteEnd()
			end()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nWheelgauge-Signature: s\r\n"+limit+more+"Content-Length: 2\r\n\r\nok")
	}
}

func (e *engines) noteEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedAt = append(e.endedAt, time.Now())
}

// arrived notes that a request came, and renders the limit that its answer names.
func (e *engines) arrived(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[name] = append(e.arrivals[name], time.Now())
	if rate, ok := e.limits[name]; ok {
		if e.told[name].IsZero() {
			e.told[name] = time.Now()
		}
		return fmt.Sprintf("%s: %g\r\n", native.Headers().Limit, rate)
	}
	return ""
}

// Servers implements wheelgauge.ServerList.
func (e *engines) Servers(_ context.Context, halls []string) ([]wheelgauge.Server, wheelgauge.ForeignEntries, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(halls) > 0 && !slices.Contains(halls, e.hall) {
		return nil, nil, nil
	}
	return append([]wheelgauge.Server(nil), e.list...), nil, nil
}

// fleet is a small deployment of stores and hosts before engines.
type fleet struct {
	engines *engines
	// halls are those of the hosts and the stores.
	halls  []string
	dirs   []string
	stores []*confstore.Node
	hosts  []*Node
	// storeClocks and hostClocks are those by which each judges ages.
	storeClocks, hostClocks [fleetSize]fakeclock.Clock
}

const fleetSize = 3

func (f *fleet) storeAddresses() []string {
	return []string{"127.0.84.1:7803", "127.0.84.2:7803", "127.0.84.3:7803"}
}

func (f *fleet) caller(n int) string { return fmt.Sprintf("127.0.84.%d:7801", 11+n) }

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
		Name: fmt.Sprint("g-", n), Region: regionOf[f.halls[n]], Hall: f.halls[n], Caller: f.caller(n), Peer: fmt.Sprintf("127.0.84.%d:7802", 11+n), Seeds: f.storeAddresses(),
		Interval: 100 * time.Millisecond, FarInterval: 200 * time.Millisecond, Grace: time.Second,
		Budget: retrybudget.Options{Ratio: 0.2, Slack: 200, Window: testLimit}, RolloutShare: rolloutShare, RolloutSlack: rolloutSlack, Decode: native.Decode, Names: native.Headers(), Clock: &f.hostClocks[n], Log: logr.Discard(),
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

// regionOf gives the region of each hall.
var regionOf = map[string]string{"n": "north", "s": "south"}

// openFleet starts a fleet of one region.
func openFleet(t *testing.T) *fleet { return openFleetIn(t, "n", "n", "n", "n") }

// openFleetIn starts a fleet whose engines stand in one hall, and its stores and hosts each
// in another one perhaps.
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
	until(t, "the configuration is acknowledged", func() bool {
		_, err := f.stores[0].PutRoutes(context.Background(), body)
		return err == nil
	})
	f.ready(t)
	return f
}

// crashRoutes is a configuration of two routes whose requests may be repeated.
func crashRoutes(t *testing.T) []byte {
	t.Helper()
	body, err := json.Marshal(wheelgauge.RouteSet{
		Version: 1, Services: []wheelgauge.Service{{Name: "s", Conns: 600}},
		Routes: []wheelgauge.PathRoute{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, Objective: testLimit, Attempts: 2,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}},
		}, {
			Name: "b", Host: "h", Prefix: "/b/", Kind: wheelgauge.RouteRepeatable, Timeout: testLimit, Objective: testLimit, Attempts: 2,
			Shares: []wheelgauge.Share{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// ready waits until every host serves.
func (f *fleet) ready(t *testing.T) {
	t.Helper()
	for n := range fleetSize {
		f.serves(t, n)
	}
}

// serves waits until a host serves: engines that ended are away for a while.
func (f *fleet) serves(t *testing.T, n int) {
	t.Helper()
	until(t, fmt.Sprint("host ", n, " serves"), func() bool { return f.ask(n, "/a/plain", "plain") == http.StatusOK })
}

// ask sends a request to a host and returns the status; 0 without an answer.
func (f *fleet) ask(n int, path, body string) int {
	status, err := post(f.caller(n), path, body)
	if err != nil {
		return 0
	}
	return status
}

func post(address, path, body string) (int, error) {
	status, _, err := postFor(address, path, body)
	return status, err
}

// beside keeps other requests in flight, each with a body of its own, until it is
// stopped; it gives those that failed.
func (f *fleet) beside(workers int) (stop func() (failed []string)) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	for w := range workers {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("beside %d %d", w, n)
				if f.ask(w%fleetSize, "/a/beside", body) != http.StatusOK {
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
