package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// The connections to a server are split over the hosts of its region, by each host among
// those that it knows. If all know all, the total stays within the server's limit or the
// minimum of each host; hosts that know fewer open more.
func TestConnLimitOverAllHosts(t *testing.T) {
	tests := []struct {
		name string
		// known is how many of the hosts each one knows, itself included.
		known func(hosts int) int
		// factor is how many times the server's limit the total may be.
		factor int
	}{
		{"all hosts know all", func(hosts int) int { return hosts }, 1},
		{"each half knows itself only", func(hosts int) int { return hosts / 2 }, 2},
	}
	for _, tt := range tests {
		for _, hosts := range []int{2, 6, 30, 105, 300} {
			for _, capacity := range []int{110, 620} {
				sum := hosts * connLimitOf(capacity, tt.known(hosts))
				if most := tt.factor * max(capacity, minConns*hosts); sum > most {
					t.Errorf("%s, %d hosts: %d connections to a server that takes %d, want at most %d", tt.name, hosts, sum, capacity, most)
				}
				if least := min(capacity, minConns*hosts); sum < least/2 {
					t.Errorf("%s, %d hosts: %d connections to a server that takes %d, want at least %d", tt.name, hosts, sum, capacity, least/2)
				}
			}
		}
	}
	if got := connLimitOf(620, 1); got > 620/2 {
		t.Errorf("a host that knows no other may open %d connections of 620, want at most half", got)
	}
}

// connLimitOf is how many connections a host that knows so many hosts opens to a server
// with a limit.
func connLimitOf(capacity, known int) int {
	service := &wheelgauge.Service{Name: plain, MaxConns: capacity}
	t := New(Place{Host: "h0"}, func(string) *wheelgauge.Service { return service }, time.Now)
	t.replaceList([]wheelgauge.Server{{Instance: "i", Service: plain, Address: "127.0.0.1:1"}}, time.Now())
	var peers []string
	for n := range known {
		peers = append(peers, fmt.Sprint("h", n))
	}
	t.SetPeers(peers)
	defer t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connLimit(plain)
}
