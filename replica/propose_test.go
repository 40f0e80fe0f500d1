package replica

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"wheelgauge/peerhttp"
)

// A command that was sent again while it was in the log entered it a second time.
func TestRepeatedCommandIsNotProposedTwice(t *testing.T) {
	tests := []struct {
		name          string
		path          string
		first, second string
		want          bool
	}{
		{"the same once", pathPropose + "?once=1", `"a"`, `"a"`, true},
		{"another one", pathPropose + "?once=1", `"a"`, `"b"`, false},
		{"the same, each time it is sent", pathPropose, `"a"`, `"a"`, false},
	}
	g := &group{t: t, seeds: []string{"127.0.98.1:7801"}, nodes: map[string]*node{}}
	n := g.start(g.seeds[0], t.TempDir(), true)
	t.Cleanup(g.stopAll)
	g.waitFor("a leader", n.replica.IsLeader)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			held, release := make(chan struct{}), make(chan struct{})
			n.replica.tasks <- func() {
				close(held)
				<-release
			}
			<-held
			results := make(chan leaderResult, 2)
			for _, command := range []string{tt.first, tt.second} {
				go func() {
					var p leaderResult
					if err := peerhttp.NewClient(nil, "").Call(context.Background(), http.MethodPost, n.address, tt.path, json.RawMessage(command), &p); err != nil {
						t.Error(err)
					}
					results <- p
				}()
			}
			g.waitFor("both are sent", func() bool { return len(n.replica.tasks) == 2 })
			close(release)
			first, second := <-results, <-results
			if first.Index == 0 || second.Index == 0 || string(first.Response) != `{}` || string(second.Response) != `{}` {
				t.Fatalf("got %+v and %+v, want an index and the machine's result each", first, second)
			}
			if got := first.Index == second.Index; got != tt.want {
				t.Errorf("the entries are %d and %d, the same: %v, want %v", first.Index, second.Index, got, tt.want)
			}
		})
	}
}
