package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/circuitbreaker"
	"wheelgauge/confwatch"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/rendezvous"
	"wheelgauge/routing/affinity"
	"wheelgauge/spillover"
)

// newTestGateway returns a gateway in region r0 without listeners or stores.
func newTestGateway(t testing.TB) *Gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := &Gateway{
		options: Options{
			Host: "h0", Region: "r0", Picker: affinity.New(0), MaxWait: 10 * time.Second,
			Decider: spillover.New(spillover.PolicyCost, spillover.Weights{SecondValue: 1, ForwardCost: 0.05, ColdPrefill: 60 * time.Millisecond}),
		},
		watcher: &confwatch.Watcher{}, breakers: circuitbreaker.New(), meter: meter.New(), clock: wheelgauge.MonotonicClock{}, ctx: ctx, cancel: cancel,
	}
	g.node = membership.Start(ctx, membership.Options{
		Host: "h0", Region: "r0", Interval: time.Hour, Catalog: func() *catalog.Catalog { return nil }, Log: logr.Discard(),
	})
	g.hints = startHints(ctx, nil, logr.Discard())
	t.Cleanup(func() {
		cancel()
		_ = g.node.Close()
		_ = g.hints.close()
	})
	return g
}

// testCatalog builds a configuration of five regions with the given number of servers in r0.
func testCatalog(servers int) *catalog.Catalog { return testCatalogAt(servers, "127.0.0.1:1") }

// testCatalogAt is testCatalog with all servers at one address.
func testCatalogAt(servers int, address string) *catalog.Catalog {
	var list []wheelgauge.Resource
	add := func(kind wheelgauge.Kind, name, spec string, args ...any) {
		list = append(list, wheelgauge.Resource{Kind: kind, Name: name, Spec: json.RawMessage(fmt.Sprintf(spec, args...))})
	}
	for r := range 5 {
		add(wheelgauge.KindRegion, fmt.Sprint("r", r), `{"price":1,"links_ms":{"r0":55,"r1":55,"r2":55,"r3":55,"r4":55}}`)
		add(wheelgauge.KindHost, fmt.Sprint("h", r), `{"region":"r%d"}`, r)
	}
	add(wheelgauge.KindPool, "engines", `{"type":"engine"}`)
	add(wheelgauge.KindRoute, "m", `{"model":"m","pool":"engines"}`)
	for s := range servers {
		add(wheelgauge.KindBackendServer, fmt.Sprint("e", s), `{"pool":"engines","region":"r0","slots":8,"address":"%s"}`, address)
	}
	return catalog.Build(1, list)
}

func newTestRequest(c *catalog.Catalog, client int) *request {
	rq := &request{catalog: c, route: c.RouteForModel("m"), model: "m", tokens: 100, prefix: rendezvous.Score(uint64(client), 1)}
	rq.identity = wheelgauge.Identity{Client: fmt.Sprint("c", client), Class: "k"}
	rq.call.Deadline = time.Now().Add(time.Hour)
	rq.call.Priority = 5
	return rq
}

// TestDecideRefusals checks which requests are refused at once, and with which reason.
func TestDecideRefusals(t *testing.T) {
	startCalls := func(g *Gateway, calls int) {
		for range calls {
			g.inflight.Start("e0")
		}
	}
	tests := []struct {
		name    string
		servers int
		calls   int
		change  func(rq *request)
		reason  wheelgauge.Reason
	}{
		{"idle", 1, 0, nil, ""},
		{"no server", 0, 0, nil, wheelgauge.ReasonNoServer},
		{"a queue that priority allows", 1, 30, nil, ""},
		{"a queue that is too long", 1, 100, nil, wheelgauge.ReasonOverloaded},
		{"lowest priority first", 1, 30, func(rq *request) { rq.call.Priority = 0 }, wheelgauge.ReasonOverloaded},
		{"highest priority last", 1, 60, func(rq *request) { rq.call.Priority = 9 }, ""},
		{"too late", 1, 30, func(rq *request) { rq.call.Deadline = time.Now().Add(time.Second) }, wheelgauge.ReasonDeadline},
		{"forwarded to a full place", 1, 8, func(rq *request) { rq.forwarded = true }, wheelgauge.ReasonOverloaded},
		{"forwarded for want of any other", 1, 8, func(rq *request) { rq.forwarded, rq.mustAccept = true, true }, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newTestGateway(t)
			startCalls(g, tt.calls)
			rq := newTestRequest(testCatalog(tt.servers), 1)
			if tt.change != nil {
				tt.change(rq)
			}
			_, err := g.decide(rq)
			if tt.reason == "" {
				if err != nil {
					t.Fatalf("request refused: %v, want it accepted", err)
				}
				return
			}
			fault := wheelgauge.AsError(err)
			if err == nil || fault.Reason() != tt.reason || fault.Outcome() != wheelgauge.OutcomeNotRun || fault.RetryAfter() == 0 {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// BenchmarkDecision measures one whole routing decision: collecting the region's
// candidates, choosing the region and picking the server.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{12, 600} {
		b.Run(fmt.Sprint(servers, " servers, 890 clients"), func(b *testing.B) {
			g, c := newTestGateway(b), testCatalog(servers)
			requests := make([]*request, 890)
			for i := range requests {
				requests[i] = newTestRequest(c, i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				rq := requests[i%len(requests)]
				if _, err := g.decide(rq); err != nil {
					b.Fatal(err)
				}
				if _, ok := g.pickServer(rq, nil); !ok {
					b.Fatal("no server")
				}
			}
		})
	}
}
