package routegate

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/meter"
	"wheelgauge/native"
	"wheelgauge/peerset"
	"wheelgauge/retrybudget"
	"wheelgauge/routetable"
	"wheelgauge/serverset"
)

// fleet is several hosts whose servers are all full, with a clock of its own.
type fleet struct {
	t         *testing.T
	mu        sync.Mutex
	current   time.Time
	servers   map[string][]*backend
	addresses []string
	budget    retrybudget.Options
}

func (f *fleet) now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *fleet) advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = f.current.Add(d)
}

// newFleet starts hosts spread over regions, with some full servers in each.
func newFleet(t *testing.T, hosts, regions, servers int, budget retrybudget.Options) *fleet {
	t.Helper()
	f := &fleet{t: t, current: time.Now(), servers: map[string][]*backend{}, budget: budget}
	var gates []*Gate
	var all []wheelgauge.FleetHost
	var uses []wheelgauge.RegionUsage
	for r := range regions {
		region := fmt.Sprint("region-", r)
		for range servers {
			b := newBackend(t)
			b.fallback = notRunAnswer
			f.servers[region] = append(f.servers[region], b)
		}
		uses = append(uses, wheelgauge.RegionUsage{Region: region, Services: []wheelgauge.ServiceUsage{{Service: "s", Servers: servers, Slots: 4 * servers}}})
	}
	for n := range hosts {
		region := fmt.Sprint("region-", n%regions)
		g := f.gate(fmt.Sprint("host-", n), region)
		gates = append(gates, g)
		f.addresses = append(f.addresses, f.listen(g, g.Serve))
		all = append(all, wheelgauge.FleetHost{Name: fmt.Sprint("host-", n), Region: region, PeerAddress: f.listen(g, g.ServePeer), Ready: true})
	}
	for _, g := range gates {
		g.options.Peers.UpdateHosts(all, nil)
		g.options.Peers.SetLoads(uses)
		g.options.Budget.SetHosts(hosts)
	}
	return f
}

func (f *fleet) gate(name, region string) *Gate {
	service := &wheelgauge.Service{Name: "s", MaxConns: 1000}
	servers := serverset.New(serverset.Place{Host: name, Hall: "h", Peers: []string{name}}, func(string) *wheelgauge.Service { return service }, f.now)
	var list []wheelgauge.Server
	for i, b := range f.servers[region] {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint(region, "-", i), Service: "s", Address: b.conn.Addr().String(), Hall: "h", Slots: 4})
	}
	servers.Update(list, nil, f.now())
	// The own region looks busier than the others, so that those are tried first.
	var uses []wheelgauge.ServerUsage
	for _, s := range list {
		uses = append(uses, wheelgauge.ServerUsage{Instance: s.Instance, Running: 400})
	}
	servers.SetUses(uses)
	g := New(Options{
		Region: region, Names: native.Headers(), Servers: servers, Peers: peerset.New(region, time.Second, f.now),
		Budget: retrybudget.New(f.budget, f.now), Meter: meter.New(), Log: logr.Discard(),
	})
	g.SetServersKnown()
	g.SetTable(routetable.New(&wheelgauge.RouteSet{Version: 1, Routes: routes(), Services: []wheelgauge.Service{*service}}))
	f.t.Cleanup(func() {
		g.options.Peers.Close()
		servers.Close()
	})
	return g
}

func (f *fleet) listen(g *Gate, serve func(context.Context, *callerhttp.Request)) string {
	f.t.Helper()
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: serve, MaxConns: 1000})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s.Address()
}

// request sends one request to a host and returns the status.
func (f *fleet) request(host int, path, id string) int {
	c, err := net.Dial("tcp", f.addresses[host])
	if err != nil {
		f.t.Error(err)
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testLimit))
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n\r\n", path, id); err != nil {
		f.t.Error(err)
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		f.t.Error(err)
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// arrivals returns how many requests servers received, retries included, and how many
// different ones.
func (f *fleet) arrivals() (all, requests int) {
	ids := map[string]bool{}
	for _, servers := range f.servers {
		for _, b := range servers {
			for _, h := range b.received() {
				all++
				ids[h.Get("X-Request-Id")] = true
			}
		}
	}
	return all, len(ids)
}

// Guards the bound on retries over all hosts while every server is full. A host that forwards
// a request and gets it back as not run has sent nothing itself; if it does not count the
// sends at the other host, a request reaches up to six servers and most of these sends are
// missing in the retry budget.
func TestRetryBudgetOverAllHosts(t *testing.T) {
	const (
		rounds        = 60                     // within one window
		roundInterval = 150 * time.Millisecond // time between rounds, after which full servers are tried again
		perHost       = 2                      // requests at each host in a round
		servers       = 3                      // full servers in each region
	)
	tests := []struct {
		name    string
		path    string
		hosts   int
		regions int
	}{
		{"one host", "/safe/", 1, 1},
		{"3 hosts, one region", "/safe/", 3, 1},
		{"3 hosts, regions", "/safe/", 3, 3},
		{"12 hosts, one region", "/safe/", 12, 1},
		{"12 hosts, two regions", "/safe/", 12, 2},
		{"12 hosts, two regions, once", "/once/", 12, 2},
		{"60 hosts, three regions", "/safe/", 60, 3},
		{"60 hosts, three regions, once", "/once/", 60, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			o := retrybudget.Options{Ratio: 0.2, Slack: 12, Window: 10 * time.Second}
			f := newFleet(t, tt.hosts, tt.regions, servers, o)
			sent := 0
			for round := range rounds {
				var group sync.WaitGroup
				for host := range tt.hosts {
					for n := range perHost {
						sent++
						group.Go(func() {
							if status := f.request(host, tt.path, fmt.Sprint("r", round, "-", host, "-", n)); status != http.StatusServiceUnavailable {
								t.Errorf("got %d, want 503", status)
							}
						})
					}
				}
				group.Wait()
				f.advance(roundInterval)
			}
			all, requests := f.arrivals()
			limit := o.Ratio*float64(sent) + o.Slack
			t.Logf("%d requests, %d arrivals of %d of them", sent, all, requests)
			if float64(all-requests) > limit {
				t.Errorf("%d arrivals beyond the first of each request, want %.0f at most", all-requests, limit)
			}
		})
	}
}
