package entrynode

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/meter"
	"wheelgauge/serverset"
)

// The model is used only if the options ask for it; its figures are in the metrics then.
func TestLearnEngines(t *testing.T) {
	for _, on := range []bool{false, true} {
		clock := manualclock.New()
		service := &wheelgauge.Service{Name: "s", KVCacheTokens: 1000}
		servers := serverset.New(serverset.Place{Host: "a"}, func(string) *wheelgauge.Service { return service }, clock.Now)
		n := &Node{options: Options{LearnEngines: on, Clock: clock}, servers: servers, meter: meter.New()}
		n.learnEngines()
		if n.servers.HasModel("s") != on {
			t.Errorf("model is used: %t, want %t", !on, on)
		}
		if on {
			n.engines.Observe("s", wheelgauge.EngineRun{First: 100 * time.Millisecond}, 1)
		}
		n.gaugeEngines()
		var out bytes.Buffer
		n.meter.WriteJSON(&out)
		if got := strings.Contains(out.String(), `"engines.s.samples":{"value":1}`); got != on {
			t.Errorf("option %t: the metrics are %s", on, out.String())
		}
	}
}
