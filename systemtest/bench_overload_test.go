//go:build bench

package systemtest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/load"
)

const overloadDuration = 16 * time.Second

// overloadTopology returns the topology that TestCompare uses.
func overloadTopology(picker, policy string) topology {
	s := dispatchTopology()
	s.exclusive, s.productionIntervals = true, true
	s.engines, s.slots = []int{5, 4, 3}, 4
	s.engineArgs = []string{"--step", "10ms", "--prefill", "40", "--cache", "600", "--queue", "64"}
	s.gatewaySettings = fmt.Sprintf("[routing]\npicker = %s\naway = %s\n", picker, policy)
	return s
}

func (d *deployment) scenario(rate float64, seed uint64) load.Scenario {
	s := load.Scenario{Mix: load.MixDispatch, Duration: overloadDuration, Rate: rate, Peak: 0.5, Seed: seed, Clients: clientsPerRegion, LinkCost: compareLinkCost}
	for r, region := range d.topology.regions {
		s.Regions = append(s.Regions, load.Region{Name: region, Entry: fmt.Sprintf("%s:%d", d.node(region+"-1").ip, portCaller), Price: d.topology.prices[r]})
	}
	return s
}

// TestBenchOverload raises the load beyond the capacity of the engines and logs
// goodput and attempts per request: goodput should not fall, and attempts should not
// multiply.
func TestBenchOverload(t *testing.T) {
	for _, p := range []policy{comparedPolicies[0], comparedPolicies[3]} {
		for _, rate := range []float64{80, 160, 240, 320} {
			d := launch(t, overloadTopology(p.picker, p.away))
			s := d.scenario(rate, 1)
			r := load.Summarise(s, load.NewRunner(s).Run(context.Background()))
			attempts := 0
			for _, n := range d.nodes {
				attempts += d.counter(n, "attempts")
			}
			good := r.Answered - r.Late
			t.Logf("%s, %.0f requests/s sent: %.1f/s answered in time, %.0f tokens/s, refused or failed %v, first p99 %.0f ms, %.3f attempts per request sent, wrong %d",
				p.name, float64(r.Sent)/overloadDuration.Seconds(), float64(good)/overloadDuration.Seconds(), float64(r.Tokens)/overloadDuration.Seconds(), r.Refused, r.First.P99,
				float64(attempts)/float64(r.Sent), len(r.Wrong))
			d.stop()
		}
	}
}

// stop kills the programs of a deployment before its test ends.
func (d *deployment) stop() {
	for _, n := range d.nodes {
		n.gateway.kill()
		if n.store != nil {
			n.store.kill()
		}
	}
	for _, s := range d.servers {
		s.process.kill()
	}
}

// TestBenchFlood lets one client of each region send twelve times its share, with and
// without rate limits, and measures the effect on the other clients.
func TestBenchFlood(t *testing.T) {
	tests := []struct {
		name  string
		flood float64
		class wheelgauge.ClientClassSpec
		rate  float64
	}{
		{"calm, limits", 1, wheelgauge.ClientClassSpec{Priority: 5, Rate: 10, Burst: 20}, 60},
		{"flood, limits", 12, wheelgauge.ClientClassSpec{Priority: 5, Rate: 10, Burst: 20}, 170},
		{"flood, no limits", 12, wheelgauge.ClientClassSpec{Priority: 5}, 170},
	}
	for _, tt := range tests {
		d := launch(t, overloadTopology(comparedPolicies[0].picker, comparedPolicies[0].away))
		d.awaitInForce(d.apply([]wheelgauge.Resource{{Kind: wheelgauge.KindClientClass, Name: "standard", Spec: spec(tt.class)}}))
		s := d.scenario(tt.rate, 1)
		s.Flood = tt.flood
		results := load.NewRunner(s).Run(context.Background())
		var others, flooders []load.Result
		for _, r := range results {
			if r.Client == load.ClientName(r.Region, 0) {
				flooders = append(flooders, r)
				continue
			}
			others = append(others, r)
		}
		a, b := load.Summarise(s, others), load.Summarise(s, flooders)
		t.Logf("%s: other clients %d sent, %d answered, first p50 %.0f p99 %.0f ms, refused %v; flooding clients %d sent, %d answered", tt.name,
			a.Sent, a.Answered, a.First.P50, a.First.P99, a.Refused, b.Sent, b.Answered)
		d.stop()
	}
}
