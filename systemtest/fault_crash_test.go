package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
)

// endsEngines is what a prompt holds that ends each engine which runs it.
const endsEngines = "end of the engine"

// engineAlive tells whether an engine answers.
func engineAlive(s *server) bool {
	var report wheelgauge.LoadReport
	return getJSON("http://"+s.addr+"/v1/load", &report) == nil
}

// TestFaultRequestEndsServers: a request ends each engine that runs it. A host sent it to
// one after another, within its repeats, and every other host did the same when it came
// there: with three hosts nine of eleven engines were gone after it had come three times.
// Now all hosts of all regions refuse it after three ends, and go on with all else.
func TestFaultRequestEndsServers(t *testing.T) {
	s := smallShape()
	s.hosts, s.engines = []int{2, 1, 1}, []int{5, 3, 3}
	s.engine = []string{"--ends-on", endsEngines}
	d := launch(t, s)
	hosts := []*node{d.node("karachi-1"), d.node("karachi-2"), d.node("lahore-1"), d.node("peshawar-1")}
	deadly := func(n *node) reply { return d.do(n, chat(standby("karachi"), endsEngines, 4)) }
	ended := func() int {
		n := 0
		for _, e := range d.servers {
			if e.pool == "engines" && !engineAlive(e) {
				n++
			}
		}
		return n
	}
	first := deadly(hosts[0])
	if first.status == http.StatusOK {
		t.Fatalf("it was served: %s", first)
	}
	for _, n := range hosts {
		eventually(t, 20*time.Second, n.name+" knows of it", func() error {
			if err := d.heldBack(n, 1); err != nil {
				return fmt.Errorf("%w; it was answered %s, and %d engines ended", err, first, ended())
			}
			return nil
		})
	}
	before := ended()
	for _, n := range hosts {
		r := deadly(n)
		if r.status != http.StatusServiceUnavailable || r.reason() != wheelgauge.ReasonQuarantined || r.outcome() != wheelgauge.OutcomeNotRun {
			t.Errorf("%s answers %s", n.name, r)
		}
		for _, prompt := range []string{"beside it at " + n.name, endsEngines[1:]} {
			if err := whole(d.do(n, chat(standby("karachi"), prompt, 4)), prompt, 4); err != nil {
				t.Errorf("%s, what resembles it: %v", n.name, err)
			}
		}
	}
	if before != 3 || ended() != before {
		t.Errorf("%d engines ended, %d after all hosts knew; want 3", ended(), before)
	}
}

// heldBack checks how many requests a host holds back.
func (d *deployment) heldBack(n *node, want int) error {
	var all map[string]struct {
		Value int `json:"value"`
	}
	if err := getJSON(fmt.Sprintf("http://%s:%d/metrics", n.ip, portOperator), &all); err != nil {
		return err
	}
	if held := all["requests.condemned"].Value; held != want {
		return fmt.Errorf("%d requests are held back, want %d", held, want)
	}
	return nil
}
