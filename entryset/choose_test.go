package entryset

import (
	"fmt"
	"testing"

	"wheelgauge"
)

// fleet returns the given number of hosts for each hall.
func fleet(halls map[string]int) []wheelgauge.FleetHost {
	var out []wheelgauge.FleetHost
	for hall, n := range halls {
		for i := range n {
			out = append(out, wheelgauge.FleetHost{Name: fmt.Sprintf("%s-%d", hall, i), Hall: hall})
		}
	}
	return out
}

func perHall(hosts []wheelgauge.FleetHost) map[string]int {
	out := map[string]int{}
	for _, h := range hosts {
		out[h.Hall]++
	}
	return out
}

func names(hosts []wheelgauge.FleetHost) map[string]bool {
	out := map[string]bool{}
	for _, h := range hosts {
		out[h.Name] = true
	}
	return out
}

func TestHallsAreRepresentedEvenly(t *testing.T) {
	tests := []struct {
		name  string
		halls map[string]int
		want  map[string]int
	}{
		{"few hosts: all of them", map[string]int{"a": 3, "b": 1}, map[string]int{"a": 3, "b": 1}},
		{"two large halls", map[string]int{"a": 51, "b": 53}, map[string]int{"a": 32, "b": 32}},
		{"a small hall beside a large one", map[string]int{"a": 90, "b": 10}, map[string]int{"a": 54, "b": 10}},
		{"six halls", map[string]int{"a": 40, "b": 40, "c": 40, "d": 40, "e": 40, "f": 40}, map[string]int{"a": 11, "b": 11, "c": 11, "d": 11, "e": 10, "f": 10}},
		{"nobody", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := perHall(Choose(fleet(tt.halls), Most))
			if fmt.Sprint(got) != fmt.Sprint(tt.want) && len(got)+len(tt.want) > 0 {
				t.Errorf("got hosts per hall %v, want %v", got, tt.want)
			}
		})
	}
}

// A removed host is replaced by at most one, and all others stay.
func TestFewHostsChange(t *testing.T) {
	all := fleet(map[string]int{"a": 51, "b": 53})
	before := names(Choose(all, Most))
	for i, removed := range all {
		without := append(append([]wheelgauge.FleetHost(nil), all[:i]...), all[i+1:]...)
		moved := 0
		for name := range names(Choose(without, Most)) {
			if !before[name] {
				moved++
			}
		}
		if moved > 1 || moved == 1 && !before[removed.Name] {
			t.Errorf("after removing %s: %d new hosts are chosen", removed.Name, moved)
		}
	}
}

// The number of announced hosts follows the load, not the number of hosts.
func TestWanted(t *testing.T) {
	tests := []struct{ inFlight, want int }{
		{0, Least}, {Least * requestsPerHost, Least}, {Least*requestsPerHost + 1, Least + 1}, {48 * requestsPerHost, 48}, {1 << 20, Most},
	}
	for _, tt := range tests {
		if got := Wanted(tt.inFlight); got != tt.want {
			t.Errorf("%d in flight: %d hosts, want %d", tt.inFlight, got, tt.want)
		}
	}
	all := fleet(map[string]int{"a": 51, "b": 53})
	more := names(Choose(all, Least+1))
	for name := range names(Choose(all, Least)) {
		if !more[name] {
			t.Errorf("%s is no longer chosen when one more host is wanted", name)
		}
	}
}
