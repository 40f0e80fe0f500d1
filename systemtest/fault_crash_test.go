package systemtest

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheelgauge"
)

// crashPrompt makes each engine that runs a prompt containing it exit.
const crashPrompt = "end of the engine"

// engineAnswers reports whether an engine responds.
func engineAnswers(s *server) bool {
	var report wheelgauge.LoadReport
	return getJSON("http://"+s.addr+"/v1/load", &report) == nil
}

// TestFaultRequestCrashesServers: a request crashes each engine that runs it. If each
// host retried it on other engines on its own, three hosts would lose nine of eleven
// engines when it arrives three times. After three crashes all hosts of all regions
// must refuse it and still serve all other requests.
func TestFaultRequestCrashesServers(t *testing.T) {
	s := smallTopology()
	s.hosts, s.engines = []int{2, 1, 1}, []int{5, 3, 3}
	s.engineArgs = []string{"--ends-on", crashPrompt}
	d := launch(t, s)
	hosts := []*node{d.node("karachi-1"), d.node("karachi-2"), d.node("lahore-1"), d.node("peshawar-1")}
	sendCrashing := func(n *node) reply { return d.send(n, chat(testClient("karachi"), crashPrompt, 4)) }
	crashed := func() int {
		n := 0
		for _, e := range d.servers {
			if e.pool == "engines" && !engineAnswers(e) {
				n++
			}
		}
		return n
	}
	first := sendCrashing(hosts[0])
	if first.status == http.StatusOK {
		t.Fatalf("the crashing request was served: %s", first)
	}
	for _, n := range hosts {
		eventually(t, 20*time.Second, n.name+" quarantines the request", func() error {
			if err := d.checkQuarantined(n, 1); err != nil {
				return fmt.Errorf("%w; the request got %s, and %d engines crashed", err, first, crashed())
			}
			return nil
		})
	}
	before := crashed()
	for _, n := range hosts {
		r := sendCrashing(n)
		if r.status != http.StatusServiceUnavailable || r.reason() != wheelgauge.ReasonQuarantined || r.outcome() != wheelgauge.OutcomeNotRun {
			t.Errorf("%s: quarantined request got %s", n.name, r)
		}
		for _, prompt := range []string{"beside it at " + n.name, crashPrompt[1:]} {
			if err := checkComplete(d.send(n, chat(testClient("karachi"), prompt, 4)), prompt, 4); err != nil {
				t.Errorf("%s: other request %v", n.name, err)
			}
		}
	}
	if before != 3 || crashed() != before {
		t.Errorf("%d engines crashed, %d of them when all hosts had quarantined the request; want 3", crashed(), before)
	}
}

// checkQuarantined checks how many requests a host has quarantined.
func (d *deployment) checkQuarantined(n *node, want int) error {
	var all map[string]struct {
		Value int `json:"value"`
	}
	if err := getJSON(fmt.Sprintf("http://%s:%d/metrics", n.ip, portOperator), &all); err != nil {
		return err
	}
	if held := all["requests.condemned"].Value; held != want {
		return fmt.Errorf("%d requests are quarantined, want %d", held, want)
	}
	return nil
}
