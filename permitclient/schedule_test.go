package permitclient

import (
	"fmt"
	"testing"
	"time"
)

// overloadedServers returns servers that always announce limits, with three times as much
// demand.
func overloadedServers(rates ...float64) []*modelServer {
	var out []*modelServer
	for i, rate := range rates {
		out = append(out, &modelServer{name: fmt.Sprintf("server-%d of %g", i, rate), phases: []phase{{limitFrom, rate}}, demand: max(5, 3*rate)})
	}
	return out
}

// Without faults a limited server gets its limit and no more, whatever the number of hosts and
// stores.
func TestCalm(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 6, 30, 300} {
		for _, stores := range []int{1, 2, 3} {
			m := newModel(t, 1, hosts, stores, overloadedServers(0.4, 1.3, 2.1, 20, 120)...)
			m.run()
			m.check(fmt.Sprintf("%d hosts, %d stores", hosts, stores), 0.85)
		}
	}
}

// A limit rises, falls, ends and comes again.
func TestChanges(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{2, 30, 300} {
		s := &modelServer{name: "server", demand: 60, phases: []phase{
			{limitFrom, 2}, {12 * time.Second, 20}, {18 * time.Second, 0.5}, {26 * time.Second, -1}, {30 * time.Second, 3},
		}}
		m := newModel(t, 2, hosts, 2, s)
		m.run()
		m.check(fmt.Sprint(hosts, " hosts"), 0.8)
		if free := len(s.arrivalsSince(28*time.Second)) - len(s.arrivalsSince(30*time.Second)); free < 100 {
			t.Errorf("%d hosts: %d of about 120 requests passed after the limit had ended, want at least 100", hosts, free)
		}
	}
}

// fault is a kind of fault.
type fault struct {
	name string
	play func(m *model)
}

func (m *model) randomHost() *modelHost { return m.hosts[m.r.IntN(len(m.hosts))] }

func (m *model) randomDuration(least, most float64) time.Duration {
	return time.Duration((least + (most-least)*m.r.Float64()) * float64(time.Second))
}

func faults() []fault {
	return []fault{
		{"a host starts again", func(m *model) {
			h := m.randomHost()
			h.downUntil = m.at + m.randomDuration(0.3, 3)
			m.startHost(h)
		}},
		{"hosts join", func(m *model) {
			for range max(1, len(m.hosts)/4) {
				h := &modelHost{name: fmt.Sprint("host-", len(m.hosts))}
				m.hosts = append(m.hosts, h)
				m.startHost(h)
			}
		}},
		{"half of the hosts start again", func(m *model) {
			for _, h := range m.hosts[:len(m.hosts)/2] {
				h.downUntil = m.at + m.randomDuration(0.3, 2)
				m.startHost(h)
			}
		}},
		{"a store starts again", func(m *model) {
			s := m.stores[m.r.IntN(len(m.stores))]
			s.unreachableUntil = m.at + m.randomDuration(0.3, 6)
			m.startStore(s)
		}},
		{"all stores start again", func(m *model) {
			for _, s := range m.stores {
				s.unreachableUntil = m.at + m.randomDuration(0.3, 6)
				m.startStore(s)
			}
		}},
		{"a store is frozen", func(m *model) {
			m.stores[m.r.IntN(len(m.stores))].unreachableUntil = m.at + m.randomDuration(1, 8)
		}},
		{"a host is cut off from all stores", func(m *model) {
			h, until := m.randomHost(), m.at+m.randomDuration(1, 8)
			for i := range h.cutUntil {
				h.cutUntil[i] = until
			}
		}},
		{"half of the hosts are cut off from a store", func(m *model) {
			store, until := m.r.IntN(len(m.stores)), m.at+m.randomDuration(1, 8)
			for _, h := range m.hosts[:len(m.hosts)/2] {
				h.cutUntil[store] = until
			}
		}},
		{"a limit falls to a quarter", func(m *model) {
			s := m.servers[m.r.IntN(len(m.servers))]
			s.phases = append(s.phases, phase{m.at, s.rate(m.at) / 4})
		}},
	}
}

// Each fault by itself.
func TestEachFault(t *testing.T) {
	t.Parallel()
	for _, f := range faults() {
		for _, hosts := range []int{2, 30, 300} {
			for _, stores := range []int{1, 2} {
				m := newModel(t, 3, hosts, stores, overloadedServers(0.4, 1.3, 2.1, 20)...)
				m.schedule(14*time.Second, func() { f.play(m) })
				m.run()
				m.check(fmt.Sprintf("%s, %d hosts, %d stores", f.name, hosts, stores), 0.6)
			}
		}
	}
}

// Overlapping faults, by seed.
func TestSchedules(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*seeds) {
		m := newModel(t, 100+seed, []int{2, 6, 30, 300}[seed%4], 1+int(seed/4%3), overloadedServers(0.4, 1.3, 2.1, 8, 40)...)
		var played []string
		for range 2 + m.r.IntN(4) {
			all := faults()
			f := all[m.r.IntN(len(all))]
			played = append(played, f.name)
			m.schedule(m.randomDuration(5, 30), func() { f.play(m) })
		}
		m.run()
		m.check(fmt.Sprintf("seed %d, %d hosts, %v", 100+seed, len(m.hosts), played), 0.3)
	}
}

// Alternatives to permits. Each breaks the bound, so the check can fail: a limit applied by
// each host on its own from two hosts on, equal shares by the bursts saved up in them, and
// with a limit below one a second.
func TestAlternatives(t *testing.T) {
	t.Parallel()
	type key struct{ host, server string }
	perHost := func(share func(m *model) float64) func(m *model) func(h *modelHost, s *modelServer) bool {
		return func(m *model) func(h *modelHost, s *modelServer) bool {
			level, last := map[key]float64{}, map[key]time.Duration{}
			return func(h *modelHost, s *modelServer) bool {
				rate, limited := h.limits.Rate(s.name)
				if !limited {
					return true
				}
				k := key{h.name, s.name}
				if _, known := last[k]; !known {
					level[k] = 1
				}
				level[k] = min(max(1, rate*share(m)), level[k]+rate*share(m)*(m.at-last[k]).Seconds())
				last[k] = m.at
				if level[k] < 1 {
					return false
				}
				level[k]--
				return true
			}
		}
	}
	tests := []struct {
		name  string
		hosts int
		take  func(m *model) func(h *modelHost, s *modelServer) bool
	}{
		{"the limit is ignored", 6, func(*model) func(*modelHost, *modelServer) bool {
			return func(*modelHost, *modelServer) bool { return true }
		}},
		{"each host on its own", 6, perHost(func(*model) float64 { return 1 })},
		{"equal shares", 300, perHost(func(m *model) float64 { return 1 / float64(len(m.hosts)) })},
	}
	for _, tt := range tests {
		m := newModel(t, 1, tt.hosts, 2, overloadedServers(0.4, 2.1)...)
		m.take = tt.take(m)
		m.run()
		over := 0.0
		for _, s := range m.servers {
			over = max(over, m.worstWindow(s))
		}
		if *figures {
			t.Logf("%s: %.2f of the bound in the worst window", tt.name, over)
		}
		if over <= 1 {
			t.Errorf("%s: %.2f of the bound in the worst window, want more than 1", tt.name, over)
		}
	}
}
