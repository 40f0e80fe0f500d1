package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/catalog"
)

// poolCatalog returns a configuration in which the path a/ goes to a pool, of a generation.
func poolCatalog(generation uint64, pool string, notRepeatable bool) *catalog.Catalog {
	list := []wheelgauge.Resource{{Kind: wheelgauge.KindRegion, Name: "r0", Spec: json.RawMessage(`{}`)}}
	for _, name := range []string{"old", "new"} {
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindPool, Name: name, Spec: json.RawMessage(`{"type":"service"}`)})
	}
	if pool != "" {
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindRoute, Name: "a", Spec: json.RawMessage(fmt.Sprintf(`{"path":"a/","pool":%q,"not_repeatable":%t}`, pool, notRepeatable))})
	}
	return catalog.Build(generation, list)
}

// A forwarded request was sent to the pool that its route had moved away from, or had not moved to
// yet where it was admitted.
func TestForwardedRequestOfAnotherGenerationIsTurnedBack(t *testing.T) {
	tests := []struct {
		name        string
		first, here *catalog.Catalog
		reason      wheelgauge.Reason
	}{
		{"the same", poolCatalog(4, "old", false), poolCatalog(4, "old", false), ""},
		{"another generation with the same route", poolCatalog(5, "old", false), poolCatalog(4, "old", false), ""},
		{"an older pool here", poolCatalog(5, "new", false), poolCatalog(4, "old", false), wheelgauge.ReasonOtherVersion},
		{"a newer pool here", poolCatalog(4, "old", false), poolCatalog(5, "new", false), wheelgauge.ReasonOtherVersion},
		{"no route here yet", poolCatalog(5, "new", false), poolCatalog(4, "", false), wheelgauge.ReasonOtherVersion},
		{"it may no longer be repeated", poolCatalog(4, "old", false), poolCatalog(5, "old", true), wheelgauge.ReasonOtherVersion},
	}
	for _, tt := range tests {
		g := newTestGateway(t)
		rq := &request{catalog: tt.first}
		rq.call.Path = "/s/a/x"
		if err := g.findRoute(rq); err != nil {
			t.Fatal(err)
		}
		received := &request{catalog: tt.here, forwarded: true}
		received.call.Path = "/s/a/x"
		received.senderRoute = parseRouteDigest(headerOf(forwardHeaders(rq, "r1", 0)))
		err := g.findSenderRoute(received)
		got := wheelgauge.Reason("")
		if err != nil {
			got = wheelgauge.AsError(err).Reason()
			if e := wheelgauge.AsError(err); e.Outcome() != wheelgauge.OutcomeNotRun || e.Status() != http.StatusServiceUnavailable || e.RetryAfter() == 0 {
				t.Errorf("%s: refused with %v, want 503 as not run, with a time to return", tt.name, err)
			}
		}
		if got != tt.reason {
			t.Errorf("%s: got reason %q, want %q", tt.name, got, tt.reason)
		}
	}
	g := newTestGateway(t)
	older := &request{catalog: poolCatalog(4, "old", false), forwarded: true}
	older.call.Path = "/s/a/x"
	if err := g.findSenderRoute(older); err != nil {
		t.Errorf("a request of a gateway that does not tell its route is refused: %v", err)
	}
}

// headerOf returns the header of a request with fields.
func headerOf(fields [][2]string) *fasthttp.RequestHeader {
	h := &fasthttp.RequestHeader{}
	for _, f := range fields {
		h.Set(f[0], f[1])
	}
	return h
}
