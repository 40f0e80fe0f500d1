package coldrate

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	viewSeeds   = flag.Int("cold.seeds", 2, "seeded schedules to play")
	viewFigures = flag.Bool("cold.figures", false, "print the worst second of each kind of change")
)

const (
	viewTick = 50 * time.Millisecond
	// viewLate is how much later than the first the last host hears of a change: two
	// heartbeats, and one between stores.
	viewLate = 500 * time.Millisecond
	// viewRate is a server's cold rate; in any second it may get viewOver times that and
	// viewSlack.
	viewRate  = 3.5
	viewOver  = 1.5
	viewSlack = 3.0
	viewDay   = 9 * time.Second
	// viewNamed is the most hosts that share.
	viewNamed = 32
)

// viewHost is a host with its own view of who shares.
type viewHost struct {
	name   string
	shares *Shares
	view   []string
	down   bool
	// pending is a view that it hears of later.
	pending []string
	hears   time.Duration
}

// views plays hosts whose views of each other differ for a while after each change.
type views struct {
	r     *rand.Rand
	at    time.Duration
	hosts []*viewHost
	sent  []time.Duration
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
	return out[:min(viewNamed, len(out))]
}

// changed lets each host hear of the hosts that there are now, each at its own moment.
func (v *views) changed() {
	for _, h := range v.hosts {
		h.pending, h.hears = v.live(), v.at+time.Duration(v.r.Int64N(int64(viewLate)))
	}
}

func (v *views) step() {
	for _, h := range v.hosts {
		if h.pending != nil && v.at >= h.hears {
			h.view, h.pending = h.pending, nil
		}
		if !h.down && h.shares.Take("server", h.name, h.view, viewRate) {
			v.sent = append(v.sent, v.at)
		}
	}
	v.at += viewTick
}

// worst is the most that the server got in a second.
func (v *views) worst() int {
	first, most := 0, 0
	for i, at := range v.sent {
		for at-v.sent[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A cold server gets its rate, and what is allowed besides, while hosts join, leave, start
// again, and hear of it one after another.
func TestViewsThatDiffer(t *testing.T) {
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
		{"all start again", func(v *views) {
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
				for v.at < viewDay {
					if v.at >= next {
						tt.change(v)
						v.changed()
						next += 3 * time.Second
					}
					v.step()
				}
				got := v.worst()
				most = max(most, got)
				if allowed := viewOver*viewRate + viewSlack; float64(got) > allowed {
					t.Errorf("%s, %d hosts, seed %d: %d in a second, allowed %.2f", tt.name, hosts, seed, got, allowed)
				}
			}
		}
		if *viewFigures {
			t.Logf("%s: %d in the worst second, allowed %.2f", tt.name, most, viewOver*viewRate+viewSlack)
		}
	}
}
