package entrynode

import (
	"testing"

	"wheelgauge"
)

// A store that has just started names few hosts; the others must not be taken
// for gone.
func TestPartialNewsKeepHosts(t *testing.T) {
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
		got := n.merge(s.hosts, s.partial)
		leaving := 0
		for _, h := range got {
			if h.Leaving {
				leaving++
			}
		}
		if len(got) != s.want || leaving != s.leaving {
			t.Errorf("%s: %d hosts, %d leaving, want %d, %d", s.name, len(got), leaving, s.want, s.leaving)
		}
	}
}
