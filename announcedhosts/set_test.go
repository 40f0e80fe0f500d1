package announcedhosts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"wheelgauge"
)

// A set that changes host by host announces the same hosts as Choose does of all of them.
func TestSetChoosesAsChoose(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		hosts := map[string]wheelgauge.FleetHost{}
		var s Set
		for range 400 {
			name := fmt.Sprint("g", r.IntN(120))
			before := hosts[name]
			after := wheelgauge.FleetHost{Name: name, Hall: fmt.Sprint("h", r.IntN(3)), CallerAddress: fmt.Sprint(name, ":", r.IntN(2)), Ready: r.IntN(4) > 0, Leaving: r.IntN(4) == 0}
			if r.IntN(5) == 0 {
				after = wheelgauge.FleetHost{}
			}
			s.Update(before, after)
			delete(hosts, name)
			if after.Name != "" {
				hosts[name] = after
			}
			var all []wheelgauge.FleetHost
			for _, h := range hosts {
				all = append(all, h)
			}
			var want, addresses []string
			for _, h := range Choose(slices.DeleteFunc(all, func(h wheelgauge.FleetHost) bool { return !h.Ready || h.Leaving }), MinHosts) {
				want, addresses = append(want, h.Name), append(addresses, h.CallerAddress)
			}
			if got := s.Minimum(); !slices.Equal(got, want) {
				t.Fatalf("seed %d: got hosts %v, want %v", seed, got, want)
			}
			if got := s.Addresses(MinHosts); !slices.Equal(got, addresses) {
				t.Fatalf("seed %d: got addresses %v, want %v", seed, got, addresses)
			}
		}
	}
}
