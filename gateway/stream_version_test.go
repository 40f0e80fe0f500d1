package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
)

// versionedCatalog returns a configuration of a pool with one server of each version given, in
// region r0, which answers with its version.
func versionedCatalog(t *testing.T, versions ...string) *catalog.Catalog {
	t.Helper()
	list := []wheelgauge.Resource{
		{Kind: wheelgauge.KindRegion, Name: "r0", Spec: json.RawMessage(`{}`)},
		{Kind: wheelgauge.KindPool, Name: "engines", Spec: json.RawMessage(`{"type":"engine"}`)},
		{Kind: wheelgauge.KindRoute, Name: "m", Spec: json.RawMessage(`{"model":"m","pool":"engines"}`)},
	}
	for i, version := range versions {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, version) })}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
		spec := fmt.Sprintf(`{"pool":"engines","region":"r0","slots":8,"address":%q,"version":%q}`, l.Addr(), version)
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindBackendServer, Name: fmt.Sprint("e", i), Spec: json.RawMessage(spec)})
	}
	return catalog.Build(1, list)
}

func TestStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		tokens   int             // relayed before the break
		began    *target         // what answered before; the first answer if nil
		header   string          // version named by the forwarding gateway
		peer     bool            // the request was forwarded
		want     map[string]bool // versions that may go on; none if empty
	}{
		{"its version", []string{"v1", "v2", "v2", "v2", "v1"}, 3, &target{region: "r0", version: version("v1")}, "", false, map[string]bool{"v1": true}},
		{"no server of its version", []string{"v2", "v3"}, 3, &target{region: "r0", version: version("v1")}, "", false, nil},
		{"nothing relayed yet", []string{"v2"}, 0, &target{region: "r0", version: version("v1")}, "", false, map[string]bool{"v2": true}},
		{"not known which", []string{"v1", "v2"}, 3, &target{region: "r0"}, "", false, nil},
		{"not known which, of one version", []string{"v1", "v1"}, 3, &target{region: "r0"}, "", false, map[string]bool{"v1": true}},
		{"began at an old path", []string{"v1"}, 3, &target{region: "r0", version: oldPathVersion("127.0.0.1:1")}, "", false, nil},
		{"forwarded here", []string{"v1", "v2", "v2"}, 3, nil, "v1", true, map[string]bool{"v1": true}},
		{"forwarded here by a gateway that does not say", []string{"v1", "v2"}, 3, nil, "", true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g, _ := newSendingGateway(t)
			c := versionedCatalog(t, tt.versions...)
			for i := range 8 {
				rq := newTestRequest(c, i+1)
				rq.suspendedAtStart, rq.call.Method, rq.call.Path = g.suspended(), http.MethodGet, "/"
				open := func() (*wheelgauge.Response, error) { return g.resumeFunc(rq)(context.Background(), tt.tokens) }
				if tt.peer {
					rq.began, rq.forwarded, rq.mustAccept = &tt.header, true, true
					open = func() (*wheelgauge.Response, error) { return g.open(context.Background(), rq) }
				}
				rq.target.Store(tt.began)
				answer, err := open()
				if err != nil {
					if len(tt.want) > 0 {
						t.Fatal(err)
					}
					continue
				}
				body, _ := io.ReadAll(answer.Body)
				_ = answer.Body.Close()
				if !tt.want[string(body)] {
					t.Fatalf("resumed at version %s, want %v", body, tt.want)
				}
			}
		})
	}
}

func version(v string) *string { return &v }
