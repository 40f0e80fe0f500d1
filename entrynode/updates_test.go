package entrynode

import (
	"fmt"
	"slices"
	"testing"

	"wheelgauge"
	"wheelgauge/entryset"
)

// A store that has just started knows few hosts; the others must not be removed.
func TestPartialUpdateKeepsHosts(t *testing.T) {
	host := func(name string, leaving bool) wheelgauge.FleetHost {
		return wheelgauge.FleetHost{Name: name, Leaving: leaving}
	}
	steps := []struct {
		name    string
		hosts   []wheelgauge.FleetHost
		partial bool
		want    int
		leaving int
	}{
		{"whole", []wheelgauge.FleetHost{host("a", false), host("b", false), host("c", false)}, false, 3, 0},
		{"partial", []wheelgauge.FleetHost{host("a", true)}, true, 3, 1},
		{"nothing yet", nil, true, 3, 1},
		{"whole again", []wheelgauge.FleetHost{host("a", true), host("b", false)}, false, 2, 1},
	}
	n := &Node{}
	for _, s := range steps {
		got := n.mergeHosts(s.hosts, s.partial)
		leaving := 0
		for _, h := range got {
			if h.Leaving {
				leaving++
			}
		}
		if len(got) != s.want || leaving != s.leaving {
			t.Errorf("%s: got %d hosts, %d leaving, want %d, %d", s.name, len(got), leaving, s.want, s.leaving)
		}
	}
}

// Only announced hosts get shares of a cold server's rate.
func TestSharesGoToAnnouncedHosts(t *testing.T) {
	var hosts []wheelgauge.FleetHost
	for i := range 100 {
		hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("g", i), Region: "here", Hall: fmt.Sprint("h", i%2), Ready: i > 0, Leaving: i == 1})
	}
	hosts = append(hosts, wheelgauge.FleetHost{Name: "far", Region: "there", Ready: true})
	all, announced := hostsOf(hosts, "here")
	if len(all) != 100 || len(announced) != entryset.Least {
		t.Errorf("got %d hosts, %d announced, want 100 and %d", len(all), len(announced), entryset.Least)
	}
	for _, name := range []string{"g0", "g1", "far"} {
		if slices.Contains(announced, name) {
			t.Errorf("%s is returned as announced, but it is not", name)
		}
	}
	for i := range hosts {
		hosts[i].Leaving = true
	}
	if _, announced := hostsOf(hosts, "here"); len(announced) != 100 {
		t.Errorf("all hosts are leaving: got %d announced, want all", len(announced))
	}
}
