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
	demo     = flag.Bool("demo", false, "run the demonstration of both users")
	demoTime = flag.Duration("demo-time", 20*time.Second, "how long each user's mix is sent")
	demoRate = flag.Float64("demo-rate", 40, "requests a second")
)

// TestDemo runs both users' deployments in small, kills a store, a gateway and
// a backend server in mid-run, and checks every answer.
func TestDemo(t *testing.T) {
	if !*demo {
		*demoTime, *demoRate = 4*time.Second, 15
	}
	tests := []struct {
		mix string
		s   shape
	}{
		{load.MixDispatch, dispatchShape()},
		{load.MixParkline, parklineShape()},
	}
	for _, tt := range tests {
		t.Run(tt.mix, func(t *testing.T) { runDemo(t, tt.mix, tt.s) })
	}
}

func runDemo(t *testing.T, mix string, s shape) {
	s.bound = func(_ string, i int) bool { return i%4 == 3 }
	s.alone = true
	d := prepare(t, s)
	d.found()
	for _, n := range d.storeNodes() {
		d.startStore(n)
	}
	d.awaitVoters(3)
	for _, n := range d.nodes {
		d.startGateway(n)
	}
	d.ctl("apply", "-f", d.resourceFile(), "--wait")
	d.awaitReady()
	t.Log("\n" + d.ctl("status"))
	path := filepath.Join(d.dir, "report.json")
	run := start(t, "load", "wheelgauge-load", "--config", d.loadINI(mix, *demoTime, *demoRate, 1, path))
	d.disturb(run, *demoTime)
	if err := <-run.done; err != nil {
		t.Errorf("load: %v", err)
	}
	run.gone = true
	t.Log("\n" + run.log.String())
	d.checkOnce(readReport(t, path))
}

// disturb kills a store, a gateway and an engine, and brings them back.
func (d *deployment) disturb(run *process, length time.Duration) {
	time.Sleep(length / 4)
	first := d.s.regions
	store, gateway := d.node(first[1]+"-1"), d.node(first[0]+"-2")
	engine := d.server("engine-" + first[2] + "-0")
	store.store.kill()
	gateway.gateway.kill()
	engine.run.kill()
	time.Sleep(length / 4)
	d.startStore(store)
	d.startGateway(gateway)
	d.startServer(engine)
	_ = run
}

func (d *deployment) ctl(args ...string) string {
	d.t.Helper()
	out, err := command("wheelgaugectl", append(args, "--stores", strings.Join(d.operators(), ","), "--token", writeToken)...)
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
	return write(d.t, d.dir, "resources.json", string(data))
}

func (d *deployment) loadINI(mix string, length time.Duration, rate float64, seed int, report string) string {
	var entries, prices []string
	for r, region := range d.s.regions {
		entries = append(entries, fmt.Sprintf("%s:%d", d.node(region+"-1").ip, portCaller))
		prices = append(prices, fmt.Sprint(d.s.prices[r]))
	}
	return write(d.t, d.dir, "load.ini", fmt.Sprintf(`[load]
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
`, mix, length, rate, seed, perRegion, report, strings.Join(d.s.regions, ","), strings.Join(entries, ","), strings.Join(prices, ",")))
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

// checkOnce compares what callers were told of calls that are not repeatable
// with what the services executed.
func (d *deployment) checkOnce(r load.Report) {
	d.t.Helper()
	ran := d.executions()
	for ref, n := range ran {
		if n > 1 {
			d.t.Errorf("%s ran %d times", ref, n)
		}
	}
	for _, ref := range r.Once["answered"] {
		if ran[ref] != 1 {
			d.t.Errorf("%s was answered and ran %d times", ref, ran[ref])
		}
	}
	for _, ref := range r.Once["not-run"] {
		if ran[ref] != 0 {
			d.t.Errorf("%s was called not run and ran %d times", ref, ran[ref])
		}
	}
	if len(r.Once["answered"]) == 0 {
		d.t.Error("no call that is not repeatable was answered")
	}
}
