//go:build bench

package systemtest

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"wheelgauge/away"
	"wheelgauge/load"
	"wheelgauge/routing/baseline"
)

var (
	compareSeeds     = flag.Int("compare-seeds", 2, "number of seeds per scenario")
	compareDuration  = flag.Duration("compare-time", 16*time.Second, "duration of each run")
	compareRate      = flag.Float64("compare-rate", 80, "requests per second")
	compareOnly      = flag.String("compare-only", "", "run only scenarios whose name contains this text")
	compareOut       = flag.String("compare-out", "", "write the results to this CSV file")
	compareLinkCost  = 0.05
	comparedPolicies = []policy{
		{"ours", "affinity", away.PolicyCost},
		{"random", baseline.Random, away.PolicyLocal},
		{"round robin", baseline.RoundRobin, away.PolicyLocal},
		{"least in flight", baseline.LeastInFlight, away.PolicyLocal},
		{"sticky prefix", baseline.StickyPrefix, away.PolicyLocal},
		{"cheapest", baseline.LeastInFlight, away.PolicyCheapest},
	}
)

// policy is a routing policy: how a server is picked and when a request is
// forwarded to another region.
type policy struct {
	name   string
	picker string
	away   string
}

// faultScenario is what goes wrong during a run.
type faultScenario struct {
	name   string
	flood  float64
	engine []string
	inject func(d *deployment, length time.Duration)
}

func faultScenarios() []faultScenario {
	return []faultScenario{
		{name: "shifted peaks"},
		{name: "half of a region's engines lost", inject: func(d *deployment, length time.Duration) {
			time.Sleep(length / 4)
			lost := d.enginesOf(d.topology.regions[0])
			for _, s := range lost[:len(lost)/2] {
				s.process.kill()
			}
		}},
		{name: "region's engines lost and back cold", inject: func(d *deployment, length time.Duration) {
			time.Sleep(length / 4)
			for _, s := range d.enginesOf(d.topology.regions[1]) {
				s.process.kill()
			}
			time.Sleep(length / 4)
			for _, s := range d.enginesOf(d.topology.regions[1]) {
				d.startServer(s)
			}
		}},
		{name: "region cut off", inject: func(d *deployment, length time.Duration) {
			time.Sleep(length / 4)
			d.isolateRegion(d.topology.regions[2])
			time.Sleep(length / 4)
			d.network.heal()
		}},
		{name: "one slow engine", inject: func(d *deployment, length time.Duration) {
			time.Sleep(length / 8)
			_ = getJSON("http://"+d.enginesOf(d.topology.regions[0])[0].addr+"/v1/slow?factor=5", nil) // the response has no body
		}},
		{name: "one client floods", flood: 12},
		{name: "load reports 10 s late", engine: []string{"--lag", "10s"}},
	}
}

func (d *deployment) enginesOf(region string) []*server {
	var out []*server
	for _, s := range d.servers {
		if s.pool == "engines" && s.region == region {
			out = append(out, s)
		}
	}
	return out
}

// TestCompare runs every policy with the same seeds and faults. All policies of a
// scenario run at the same time on the same machine.
func TestCompare(t *testing.T) {
	var rows [][]string
	for _, mix := range []string{load.MixDispatch, load.MixParkline} {
		for _, tr := range faultScenarios() {
			if !strings.Contains(mix+" "+tr.name, *compareOnly) {
				continue
			}
			for seed := 1; seed <= *compareSeeds; seed++ {
				t.Run(fmt.Sprintf("%s, %s, seed %d", mix, tr.name, seed), func(t *testing.T) {
					rows = append(rows, comparePolicies(t, mix, tr, seed)...)
				})
			}
		}
	}
	saveRows(t, rows)
}

func comparePolicies(t *testing.T, mix string, tr faultScenario, seed int) [][]string {
	var mu sync.Mutex
	reports := map[string]load.Report{}
	t.Run("policies", func(t *testing.T) {
		for _, p := range comparedPolicies {
			t.Run(p.name, func(t *testing.T) {
				r := measurePolicy(t, mix, tr, seed, p)
				mu.Lock()
				defer mu.Unlock()
				reports[p.name] = r
			})
		}
	})
	var rows [][]string
	text := "policy            first p50   p99   gap p99  total p95    cost  away%  refused  late  answered\n"
	for _, p := range comparedPolicies {
		r := reports[p.name]
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		worst := worstTotalP95(r)
		text += fmt.Sprintf("%-16s %8.0f %6.0f %8.1f %10.0f %8.3f %6.1f %8d %5d %9d\n", p.name, r.First.P50, r.First.P99, r.Gap.P99, worst, r.CostPerTokens, 100*r.ShareAway, refused, r.Late, r.Answered)
		rows = append(rows, []string{
			mix, tr.name, strconv.Itoa(seed), p.name, formatNumber(r.First.P50), formatNumber(r.First.P99), formatNumber(r.Gap.P99), formatNumber(worst),
			formatNumber(r.CostPerTokens), formatNumber(r.ShareAway), strconv.Itoa(refused), strconv.Itoa(r.Late), strconv.Itoa(r.Answered), strconv.Itoa(r.Sent), formatNumber(r.Tries),
		})
	}
	t.Log("\n" + text)
	return rows
}

// worstTotalP95 returns the largest p95 of the total time among the request kinds.
// Some kinds have too few requests in a run for a p99.
func worstTotalP95(r load.Report) float64 {
	worst := 0.0
	for _, k := range r.Kinds {
		worst = max(worst, k.Total.P95)
	}
	return worst
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', 4, 64) }

func measurePolicy(t *testing.T, mix string, tr faultScenario, seed int, p policy) load.Report {
	s := dispatchTopology()
	value := "second_value = 1\naway_cost = 0.05\n"
	if mix == load.MixParkline {
		s = parklineTopology()
		value = "second_value = 0.3\naway_cost = 0.05\n"
	}
	s.productionIntervals = true
	s.engines, s.slots = []int{5, 4, 3}, 4
	s.engineArgs = append([]string{"--step", "10ms", "--prefill", "40", "--cache", "600", "--queue", "64"}, tr.engine...)
	s.regionBound = func(_ string, i int) bool { return i%4 == 3 }
	s.gatewaySettings = fmt.Sprintf("[routing]\npicker = %s\naway = %s\n%s", p.picker, p.away, value)
	d := launch(t, s)
	scenario := load.Scenario{Mix: mix, Duration: *compareDuration, Rate: *compareRate, Peak: 0.5, Seed: uint64(seed), Clients: clientsPerRegion, Flood: tr.flood, LinkCost: compareLinkCost}
	for r, region := range s.regions {
		scenario.Regions = append(scenario.Regions, load.Region{Name: region, Entry: fmt.Sprintf("%s:%d", d.node(region+"-1").ip, portCaller), Price: s.prices[r]})
	}
	var injection sync.WaitGroup
	if tr.inject != nil {
		injection.Go(func() { tr.inject(d, *compareDuration) })
	}
	report := load.Summarise(scenario, load.NewRunner(scenario).Run(context.Background()))
	injection.Wait()
	for _, wrong := range report.Wrong {
		t.Errorf("wrong: %s", wrong)
	}
	d.checkAtMostOnce(report)
	return report
}

func saveRows(t *testing.T, rows [][]string) {
	if *compareOut == "" {
		return
	}
	f, err := os.Create(*compareOut)
	if err != nil {
		t.Fatal(err)
	}
	w := csv.NewWriter(f)
	err = w.Write([]string{"mix", "scenario", "seed", "policy", "first_p50_ms", "first_p99_ms", "gap_p99_ms", "worst_total_p95_ms", "cost_per_1000_tokens", "share_away", "refused", "late", "answered", "sent", "tries"})
	if err == nil {
		err = w.WriteAll(rows)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
}
