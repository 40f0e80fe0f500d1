package confstore

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/quarantine"
	"wheelgauge/statefeed"
)

// After a restart of all hosts and stores a host must not send a quarantined request to a
// server. A host serves once it has fetched the state from any store and has the server list.
// If quarantined requests came only with the next heartbeat response of its primary store, up
// to 0.1 s after the state, the host would answer 502 and two more servers would crash.
func TestFirstStatePartCarriesCrashes(t *testing.T) {
	three := []wheelgauge.Crash{{Fingerprint: "p", Server: "a"}, {Fingerprint: "p", Server: "b"}, {Fingerprint: "p", Server: "c"}}
	n := &Node{o: Options{Clock: wheelgauge.MonotonicClock{}}, machine: configstate.New(), crashes: quarantine.New(time.Now)}
	n.feed = statefeed.New(n.machine.State)
	for _, c := range []configstate.Command{
		{Op: configstate.OpPut, Version: 1, Body: json.RawMessage(`{}`)}, {Op: configstate.OpCrashes, Crashes: three},
	} {
		data, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		n.machine.Apply(1, data)
	}
	tests := []struct {
		name    string
		request wheelgauge.StateRequest
		want    bool
	}{
		{"a host that holds nothing", wheelgauge.StateRequest{MaxBytes: 1 << 10}, true},
		{"a host that holds a state", wheelgauge.StateRequest{Generation: 1, Version: 1, MaxBytes: 1 << 10}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			part, err := n.statePart(tt.request)
			if err != nil {
				t.Fatal(err)
			}
			if slices.Equal(part.Crashes, three) != tt.want {
				t.Errorf("got crashes %v, want all three or none as in the table", part.Crashes)
			}
		})
	}
}
