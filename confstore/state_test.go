package confstore

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configlog"
	"wheelgauge/quarantine"
	"wheelgauge/statefeed"
)

// After all hosts and stores had started again a host answered 502 to a request that was held
// back, and two more servers ended: in one of six runs of TestRequestThatEndsItsServers beside
// other work. A host serves once it has fetched the state from any store and has the list of
// servers; which requests are held back came with the next heartbeat of its primary, and that
// knew of them up to 0.1 s after the state.
func TestStateTellsOfCrashes(t *testing.T) {
	three := []wheelgauge.Crash{{Request: "p", Server: "a"}, {Request: "p", Server: "b"}, {Request: "p", Server: "c"}}
	n := &Node{o: Options{Clock: wheelgauge.SteadyClock{}}, machine: configlog.New(), crashes: quarantine.New(time.Now)}
	n.feed = statefeed.New(n.machine.State)
	for _, c := range []configlog.Command{
		{Op: configlog.OpPut, Version: 1, Body: json.RawMessage(`{}`)}, {Op: configlog.OpCrashes, Crashes: three},
	} {
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		n.machine.Apply(1, data)
	}
	tests := []struct {
		name string
		held wheelgauge.StateRequest
		told bool
	}{
		{"a host that holds nothing", wheelgauge.StateRequest{Most: 1 << 10}, true},
		{"a host that holds a state", wheelgauge.StateRequest{Generation: 1, Version: 1, Most: 1 << 10}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			part, err := n.statePart(tt.held)
			if err != nil {
				t.Fatal(err)
			}
			if slices.Equal(part.Crashes, three) != tt.told {
				t.Errorf("told of %v", part.Crashes)
			}
		})
	}
}
