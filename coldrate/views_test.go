package coldrate

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge/fake/arrivalbound"
)

var (
	viewSeeds   = flag.Int("cold.seeds", 2, "seeded schedules to play")
	viewFigures = flag.Bool("cold.figures", false, "print the worst second of each kind of change")
)

const (
	tick = 50 * time.Millisecond
	// maxViewDelay bounds how much later than the first the last host learns of a change: two
	// heartbeats, and one between stores.
	maxViewDelay = 500 * time.Millisecond
	// coldRate is a server's cold rate, in requests a second.
	coldRate = 3.5
	runTime  = 9 * time.Second
	// maxSharers bounds the hosts that share a rate.
	maxSharers = 32
)

// viewHost is a host with its own view of the hosts that share.
type viewHost struct {
	name   string
	shares *Shares
	view   []string
	down   bool
	// pending is the view that it receives at viewAt.
	pending []string
	viewAt  time.Duration
}

// views simulates hosts whose views of each other differ for a while after each change.
type views struct {
	r     *rand.Rand
	at    time.Duration
	hosts []*viewHost
	sent  []time.Time
}

func newViews(seed uint64, hosts int) *views {
	v := &views{r: rand.New(rand.NewPCG(seed, 3))}
	for range hosts {
		v.join()
	}
	for _, h := range v.hosts {
		h.view = v.live()
	}
	return v
}

func (v *views) now() time.Time { return time.Unix(1000, 0).Add(v.at) }

func (v *views) join() {
	v.hosts = append(v.hosts, &viewHost{name: fmt.Sprint("host-", len(v.hosts)), shares: New(v.now)})
}

func (v *views) live() []string {
	var out []string
	for _, h := range v.hosts {
		if !h.down {
			out = append(out, h.name)
		}
	}
	slices.Sort(out)
	return out[:min(maxSharers, len(out))]
}

// spreadChange sends the present list of hosts to each host, with a random delay.
func (v *views) spreadChange() {
	for _, h := range v.hosts {
		h.pending, h.viewAt = v.live(), v.at+time.Duration(v.r.Int64N(int64(maxViewDelay)))
	}
}

func (v *views) step() {
	for _, h := range v.hosts {
		if h.pending != nil && v.at >= h.viewAt {
			h.view, h.pending = h.pending, nil
		}
		if !h.down && h.shares.Take("server", h.name, h.view, coldRate) {
			v.sent = append(v.sent, v.now())
		}
	}
	v.at += tick
}

// A cold server gets no more than its rate and the allowed excess while hosts join, leave or
// restart and other hosts learn of it at different times.
func TestDifferingViews(t *testing.T) {
	tests := []struct {
		name   string
		change func(v *views)
	}{
		{"none", func(*views) {}},
		{"a host joins", func(v *views) { v.join() }},
		{"a quarter joins", func(v *views) {
			for range max(1, len(v.hosts)/4) {
				v.join()
			}
		}},
		{"a host leaves", func(v *views) { v.hosts[v.r.IntN(len(v.hosts))].down = true }},
		{"half of them leave", func(v *views) {
			for _, h := range v.hosts[:len(v.hosts)/2] {
				h.down = true
			}
		}},
		{"all of them restart", func(v *views) {
			for _, h := range v.hosts {
				h.shares = New(v.now)
			}
		}},
	}
	for _, tt := range tests {
		most := 0
		for _, hosts := range []int{2, 6, 30, 300} {
			for seed := range uint64(*viewSeeds) {
				v := newViews(seed, hosts)
				next := 2 * time.Second
				for v.at < runTime {
					if v.at >= next {
						tt.change(v)
						v.spreadChange()
						next += 3 * time.Second
					}
					v.step()
				}
				got, _ := arrivalbound.ColdRate().MaxInWindow(v.sent)
				most = max(most, got)
				if err := arrivalbound.ColdRate().Check(coldRate, v.sent); err != nil {
					t.Errorf("%s, %d hosts, seed %d: %v", tt.name, hosts, seed, err)
				}
			}
		}
		if *viewFigures {
			t.Logf("%s: %d in the worst second, allowed %.2f", tt.name, most, arrivalbound.ColdRate().Allowed(coldRate))
		}
	}
}
