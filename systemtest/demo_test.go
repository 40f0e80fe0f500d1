package systemtest

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wheelgauge/load"
)

var (
	demo         = flag.Bool("demo", false, "run TestDemo at full duration and rate")
	demoDuration = flag.Duration("demo-time", 20*time.Second, "duration of each request mix")
	demoRate     = flag.Float64("demo-rate", 40, "requests per second")
)

// TestDemo runs small deployments with the dispatch and the parkline mix, kills a
// store, a gateway and a backend server under load, and checks every answer.
func TestDemo(t *testing.T) {
	if !*demo {
		*demoDuration, *demoRate = 4*time.Second, 15
	}
	tests := []struct {
		mix string
		s   topology
	}{
		{load.MixDispatch, dispatchTopology()},
		{load.MixParkline, parklineTopology()},
	}
	for _, tt := range tests {
		t.Run(tt.mix, func(t *testing.T) { runDemo(t, tt.mix, tt.s) })
	}
}

func runDemo(t *testing.T, mix string, s topology) {
	s.regionBound = func(_ string, i int) bool { return i%4 == 3 }
	s.exclusive = true
	d := prepare(t, s)
	d.initStores()
	for _, n := range d.storeNodes() {
		d.startStore(n)
	}
	d.awaitVoters(3)
	for _, n := range d.nodes {
		d.startGateway(n)
	}
	d.runCtl("apply", "-f", d.resourceFile(), "--wait")
	d.awaitReady()
	t.Log("\n" + d.runCtl("status"))
	path := filepath.Join(d.dir, "report.json")
	generator := start(t, "load", "wheelgauge-load", "--config", d.loadINI(mix, *demoDuration, *demoRate, 1, path))
	d.restartUnderLoad(generator, *demoDuration)
	if err := <-generator.done; err != nil {
		t.Errorf("load: %v", err)
	}
	generator.exited = true
	t.Log("\n" + generator.log.String())
	d.checkAtMostOnce(readReport(t, path))
}

// restartUnderLoad kills a store, a gateway and an engine and restarts them.
func (d *deployment) restartUnderLoad(generator *process, length time.Duration) {
	time.Sleep(length / 4)
	regions := d.topology.regions
	store, gateway := d.node(regions[1]+"-1"), d.node(regions[0]+"-2")
	engine := d.server("engine-" + regions[2] + "-0")
	store.store.kill()
	gateway.gateway.kill()
	engine.process.kill()
	time.Sleep(length / 4)
	d.startStore(store)
	d.startGateway(gateway)
	d.startServer(engine)
	_ = generator
}

func (d *deployment) runCtl(args ...string) string {
	d.t.Helper()
	out, err := command("wheelgaugectl", append(args, "--stores", strings.Join(d.operatorAddresses(), ","), "--token", writeToken)...)
	if err != nil {
		d.t.Fatalf("wheelgaugectl %v: %v\n%s", args, err, out)
	}
	return out
}

func (d *deployment) resourceFile() string {
	data, err := json.MarshalIndent(d.resources(), "", "  ")
	if err != nil {
		d.t.Fatal(err)
	}
	return writeFile(d.t, d.dir, "resources.json", string(data))
}

func (d *deployment) loadINI(mix string, length time.Duration, rate float64, seed int, report string) string {
	var entries, prices []string
	for r, region := range d.topology.regions {
		entries = append(entries, fmt.Sprintf("%s:%d", d.node(region+"-1").ip, portCaller))
		prices = append(prices, fmt.Sprint(d.topology.prices[r]))
	}
	return writeFile(d.t, d.dir, "load.ini", fmt.Sprintf(`[load]
mix = %s
duration = %s
rate = %g
seed = %d
clients = %d
report = %s
[regions]
names = %s
entries = %s
prices = %s
`, mix, length, rate, seed, clientsPerRegion, report, strings.Join(d.topology.regions, ","), strings.Join(entries, ","), strings.Join(prices, ",")))
}

func readReport(t testing.TB, path string) load.Report {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var r load.Report
	if err := json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	return r
}

// checkAtMostOnce compares the outcomes that callers of non-repeatable calls got
// with what the services executed.
func (d *deployment) checkAtMostOnce(r load.Report) {
	d.t.Helper()
	ran := d.executions()
	for ref, n := range ran {
		if n > 1 {
			d.t.Errorf("%s ran %d times, want at most once", ref, n)
		}
	}
	for _, ref := range r.Once["answered"] {
		if ran[ref] != 1 {
			d.t.Errorf("%s was answered but ran %d times, want once", ref, ran[ref])
		}
	}
	for _, ref := range r.Once["not-run"] {
		if ran[ref] != 0 {
			d.t.Errorf("%s was reported as not run but ran %d times", ref, ran[ref])
		}
	}
	if len(r.Once["answered"]) == 0 {
		d.t.Error("no non-repeatable call was answered, want at least one")
	}
}
