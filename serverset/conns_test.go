package serverset

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// Connections to a server are parted by the hosts of its region, each by those that it hears
// of. Where all hear of all, the sum keeps to what the server takes, or to the least that
// each host needs; hosts that hear of less open more.
func TestConnsOverAllHosts(t *testing.T) {
	tests := []struct {
		name string
		// heard is how many of so many hosts each hears of, itself included.
		heard func(hosts int) int
		// times is how many times what the server takes the sum may be.
		times int
	}{
		{"all hear of all", func(hosts int) int { return hosts }, 1},
		{"each half hears of itself", func(hosts int) int { return hosts / 2 }, 2},
	}
	for _, tt := range tests {
		for _, hosts := range []int{2, 6, 30, 105, 300} {
			for _, most := range []int{110, 620} {
				sum := hosts * connsOf(most, tt.heard(hosts))
				if allowed := tt.times * max(most, spareConns*hosts); sum > allowed {
					t.Errorf("%s, %d hosts: %d connections to a server that takes %d, want %d at most", tt.name, hosts, sum, most, allowed)
				}
				if least := min(most, spareConns*hosts); sum < least/2 {
					t.Errorf("%s, %d hosts: %d connections to a server that takes %d, want %d at least", tt.name, hosts, sum, most, least/2)
				}
			}
		}
	}
	if got := connsOf(620, 1); got > 620/2 {
		t.Errorf("a host that hears of no other may open %d connections of 620", got)
	}
}

// connsOf is how many connections a host opens to a server that takes so many, and that
// hears of so many hosts.
func connsOf(most, heard int) int {
	service := &wheelgauge.Service{Name: plain, Conns: most}
	t := New(Place{Host: "h0"}, func(string) *wheelgauge.Service { return service }, time.Now)
	t.Update([]wheelgauge.Server{{Instance: "i", Service: plain, Address: "127.0.0.1:1"}}, time.Now())
	var peers []string
	for n := range heard {
		peers = append(peers, fmt.Sprint("h", n))
	}
	t.SetPeers(peers, peers)
	defer t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conns(plain)
}
