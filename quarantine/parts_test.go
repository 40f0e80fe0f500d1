package quarantine

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"wheelgauge"
)

var (
	partsSeeds   = flag.Uint64("parts.seeds", 6, "number of seeds for the schedules of parts that crash servers")
	partsFigures = flag.Bool("parts.figures", false, "print the figures of each schedule")
)

const (
	tick         = 50 * time.Millisecond
	ticksASecond = int(time.Second / tick)
	// partsRunTicks is the length of a schedule, serverDownTicks how long a server is down after a
	// crash, roundTicks the time between two exchanges of hosts and stores.
	partsRunTicks   = 30 * ticksASecond
	serverDownTicks = 2 * ticksASecond
	roundTicks      = 8
	// arrivalsPerTick are sound requests, badEvery the ticks between two bad ones of a part.
	arrivalsPerTick = 6
	badEvery        = 3
)

// partsAt returns crashes of servers, each named by a letter, with a part in flight.
func partsAt(part wheelgauge.Fingerprint, depth int, names string) []wheelgauge.Crash {
	out := crashesAt(part, names)
	for n := range out {
		out[n].Depth = depth
	}
	return out
}

func TestAttributeParts(t *testing.T) {
	tests := []struct {
		name    string
		crashes [][]wheelgauge.Crash
		want    []wheelgauge.Fingerprint
	}{
		{"three crashes", [][]wheelgauge.Crash{partsAt("p", 2, "abc")}, []wheelgauge.Fingerprint{"p"}},
		{"two crashes", [][]wheelgauge.Crash{partsAt("p", 2, "ab")}, nil},
		{"beside a part that more requests hold", [][]wheelgauge.Crash{partsAt("p", 2, "abcd"), partsAt("first", 1, "abcd")}, []wheelgauge.Fingerprint{"p"}},
		{"beside a part that was at one crash more", [][]wheelgauge.Crash{partsAt("p", 2, "abcd"), partsAt("first", 1, "abcde")}, []wheelgauge.Fingerprint{"p"}},
		{"a part at half of the crashes is not to blame", [][]wheelgauge.Crash{partsAt("p", 2, "abc"), partsAt("first", 1, "abcdef")}, []wheelgauge.Fingerprint{"first"}},
		{"one request alone, with its part", [][]wheelgauge.Crash{crashesAt("r", "abc"), partsAt("p", 2, "abc")}, []wheelgauge.Fingerprint{"r"}},
		{"several requests with a part", [][]wheelgauge.Crash{crashesAt("r", "abc"), crashesAt("q", "def"), partsAt("p", 2, "abcdef")}, []wheelgauge.Fingerprint{"p"}},
		{"two parts", [][]wheelgauge.Crash{partsAt("p", 2, "abcd"), partsAt("q", 2, "defg")}, []wheelgauge.Fingerprint{"p", "q"}},
		{"a bystander with one crash of its own", [][]wheelgauge.Crash{partsAt("p", 2, "abcde"), partsAt("b", 2, "bcdx")}, []wheelgauge.Fingerprint{"p"}},
		{"a part together with a bad request", [][]wheelgauge.Crash{partsAt("p", 2, "abcd"), crashesAt("r", "dxyz")}, []wheelgauge.Fingerprint{"p", "r"}},
		{"cleared by output", [][]wheelgauge.Crash{markCleared(partsAt("p", 2, "abc"))}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := slices.Sorted(maps.Keys(attribute(slices.Concat(tt.crashes...))))
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestServersThatCrashTogetherCondemnNoPart(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	table := New(c.now)
	for n := range 20 {
		table.RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("r", n)), Server: fmt.Sprint(n)}, "first")
		c.at = c.at.Add(minPartExtent / 30)
	}
	if quarantined := table.Quarantined(); len(quarantined) > 0 {
		t.Errorf("%v in quarantine after crashes at one moment, want none", quarantined)
	}
}

func TestOutputReleasesAPart(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	table := New(c.now)
	crash := func(from, to int) {
		for n := from; n < to; n++ {
			c.at = c.at.Add(minPartExtent)
			table.RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("r", n)), Server: fmt.Sprint(n)}, "p")
		}
	}
	held := func() bool {
		return table.HoldsQuarantinedPart(func() []wheelgauge.Fingerprint { return []wheelgauge.Fingerprint{"x", "p"} })
	}
	crash(0, 3)
	if !held() {
		t.Error("a part with three crashes is not quarantined")
	}
	table.RecordOutput([]wheelgauge.Fingerprint{"p"})
	if held() {
		t.Error("a part that servers bear is quarantined")
	}
	if crash(3, 6); held() {
		t.Error("crashes right after output condemn a part")
	}
	c.at = c.at.Add(partProofTTL)
	if crash(6, 9); !held() {
		t.Error("a part that servers do not bear any more is not quarantined")
	}
}

func TestHostLearnsThatWhatItHoldsIsCleared(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	r := newClusterAt(1, 2, 3, c.now)
	parts := []wheelgauge.Fingerprint{"p"}
	held := func(h int) bool {
		return r.hosts[h].HoldsQuarantinedPart(func() []wheelgauge.Fingerprint { return parts })
	}
	for n := range 4 {
		c.at = c.at.Add(minPartExtent)
		r.hosts[0].RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("r", n)), Server: fmt.Sprint(n)}, parts...)
	}
	r.round(1, true)
	if !held(0) || !held(1) {
		t.Fatal("a part with four crashes is not quarantined")
	}
	r.hosts[1].RecordOutput(parts)
	for range 3 {
		r.round(1, true)
	}
	if held(0) || held(1) {
		t.Error("a part that a server bears is quarantined at the host that recorded its crashes")
	}
	c.at = c.at.Add(2 * recentWindow)
	r.stores[0].Prune()
	r.round(1, true)
	if held(0) {
		t.Error("a part is quarantined again once nobody reports it as cleared")
	}
}

func TestNewPartsWithEachRequestAreBounded(t *testing.T) {
	table := New(time.Now)
	for n := range 3 * maxEntries {
		part := wheelgauge.Fingerprint(fmt.Sprint("part ", n))
		table.RecordOutput([]wheelgauge.Fingerprint{part})
		table.put(wheelgauge.Crash{Fingerprint: part, Depth: 1, Server: fmt.Sprint(n / 100)})
	}
	remembered := len(table.provenParts.current) + len(table.provenParts.previous)
	if len(table.entries) > maxEntries || len(table.order) > 2*maxEntries || remembered > 2*maxGoodPerGeneration {
		t.Errorf("%d entries, %d changes, %d parts remembered", len(table.entries), len(table.order), remembered)
	}
}

// partsRun simulates hosts that send requests with parts to servers that crash on some.
type partsRun struct {
	*cluster
	clock   *clock
	tick    int
	servers []simServer
	bad     map[wheelgauge.Fingerprint]bool
	// crashedAt are the ticks at which requests with each bad part, of hosts that are not cut off,
	// crashed servers; refused and sent count sound requests by kind.
	crashedAt     map[wheelgauge.Fingerprint][]int
	refused, sent map[string]int
	nextServer    int
	nextRequest   int
}

type simServer struct {
	name     string
	downTill int
	running  []simRequest
}

type simRequest struct {
	host    int
	name    wheelgauge.Fingerprint
	parts   []wheelgauge.Fingerprint
	beganAt int
	ticks   int
}

func (r *simRequest) partList() []wheelgauge.Fingerprint { return r.parts }

func newPartsRun(seed uint64, bad ...wheelgauge.Fingerprint) *partsRun {
	c := &clock{at: time.Unix(1000, 0)}
	r := &partsRun{
		cluster: newClusterAt(seed, 8, 5, c.now), clock: c, bad: map[wheelgauge.Fingerprint]bool{},
		crashedAt: map[wheelgauge.Fingerprint][]int{}, refused: map[string]int{}, sent: map[string]int{},
	}
	for _, part := range bad {
		r.bad[part] = true
	}
	r.servers = make([]simServer, 12)
	for n := range r.servers {
		r.restartServer(n)
	}
	return r
}

func (r *partsRun) restartServer(n int) {
	r.nextServer++
	r.servers[n] = simServer{name: fmt.Sprint("server ", r.nextServer)}
}

// arrive sends a request from a host to a server; kind is empty for a bad one.
func (r *partsRun) arrive(kind string, parts ...wheelgauge.Fingerprint) {
	r.nextRequest++
	q := simRequest{host: r.rng.IntN(len(r.hosts)), name: wheelgauge.Fingerprint(fmt.Sprint("request ", r.nextRequest)), parts: parts, beganAt: r.tick, ticks: 1 + r.rng.IntN(8)}
	if kind != "" {
		r.sent[kind]++
	}
	if r.hosts[q.host].HoldsQuarantinedPart(q.partList) {
		if kind != "" {
			r.refused[kind]++
		}
		return
	}
	for range 3 {
		n := r.rng.IntN(len(r.servers))
		if r.servers[n].downTill <= r.tick {
			r.servers[n].running = append(r.servers[n].running, q)
			return
		}
	}
}

// crash ends a server with all that it runs.
func (r *partsRun) crash(n int) {
	s := &r.servers[n]
	if s.downTill > r.tick {
		return
	}
	for _, q := range s.running {
		r.hosts[q.host].RecordCrash(wheelgauge.Crash{Fingerprint: q.name, Server: s.name}, q.parts...)
	}
	r.restartServer(n)
	r.servers[n].downTill = r.tick + serverDownTicks
}

// step lets servers run for a tick.
func (r *partsRun) step() {
	r.tick++
	r.clock.at = r.clock.at.Add(tick)
	for n := range r.servers {
		s := &r.servers[n]
		for _, q := range s.running {
			for _, part := range q.parts {
				if r.bad[part] && q.beganAt == r.tick-1 {
					if !r.cut[q.host] {
						r.crashedAt[part] = append(r.crashedAt[part], r.tick)
					}
					r.crash(n)
				}
			}
		}
		s.running = slices.DeleteFunc(s.running, func(q simRequest) bool {
			done := r.tick >= q.beganAt+q.ticks
			if done || (r.tick-q.beganAt)%4 == 0 {
				r.hosts[q.host].RecordOutput(q.parts)
			}
			return done
		})
	}
	if r.tick%roundTicks == 0 {
		r.round(0.7, true)
	}
}

func TestPartIsBlamedAndNothingBesideIt(t *testing.T) {
	const maxAfterFifth, maxRefused = 3, 0.02
	tests := []struct {
		name string
		bad  []wheelgauge.Fingerprint
		// badFrom is the tick of the first bad request.
		badFrom int
		event   func(r *partsRun)
	}{
		{"one part", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, nil},
		{"from the first moment", []wheelgauge.Fingerprint{"bad"}, 0, nil},
		{"two parts", []wheelgauge.Fingerprint{"bad", "worse"}, 2 * ticksASecond, nil},
		{"hosts start again", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.tick%40 == 0 {
				r.restartHost(r.rng.IntN(len(r.hosts)))
			}
		}},
		{"stores start again", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.tick%40 == 0 {
				r.restartStore(r.rng.IntN(len(r.stores)))
			}
		}},
		{"servers crash for other reasons", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.rng.IntN(ticksASecond/2) == 0 {
				r.crash(r.rng.IntN(len(r.servers)))
			}
		}},
		{"half of the servers crash together", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.tick%100 == 45 {
				for n := range len(r.servers) / 2 {
					r.crash(n)
				}
			}
		}},
		{"all servers crash together", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.tick == 30 || r.tick == 250 {
				for n := range r.servers {
					r.crash(n)
				}
			}
		}},
		{"hosts are cut off from the stores", []wheelgauge.Fingerprint{"bad"}, 2 * ticksASecond, func(r *partsRun) {
			if r.cut == nil {
				r.cut = map[int]bool{0: true, 1: true, 2: true}
			}
			if r.tick == 300 {
				clear(r.cut)
			}
		}},
		{"a part that servers bore before", []wheelgauge.Fingerprint{"bad"}, 0, func(r *partsRun) { r.bad["bad"] = r.tick > 5*ticksASecond }},
		{"no part", nil, 0, func(r *partsRun) {
			if r.rng.IntN(ticksASecond/3) == 0 {
				r.crash(r.rng.IntN(len(r.servers)))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range *partsSeeds {
				r := newPartsRun(seed, tt.bad...)
				for r.tick < partsRunTicks {
					for n := range arrivalsPerTick {
						subject := wheelgauge.Fingerprint(fmt.Sprint("subject ", r.rng.IntN(60)))
						switch n % 3 {
						case 0, 1:
							r.arrive("same first part", "first", subject)
						default:
							r.arrive("other parts", "other", subject)
						}
					}
					if r.tick >= tt.badFrom && r.tick%badEvery == 0 && len(tt.bad) > 0 {
						r.arrive("", "first", tt.bad[r.rng.IntN(len(tt.bad))])
					}
					if tt.event != nil {
						tt.event(r)
					}
					r.step()
				}
				r.check(t, seed, maxAfterFifth, maxRefused)
			}
		})
	}
}

// check fails if a bad part reached servers late, or if sound requests were refused.
func (r *partsRun) check(t *testing.T, seed uint64, maxAfterFifth int, maxRefused float64) {
	t.Helper()
	if *partsFigures {
		t.Logf("seed %d: crashes at ticks %v, refused %v of %v", seed, r.crashedAt, r.refused, r.sent)
	}
	for part, at := range r.crashedAt {
		if len(at) < 5 {
			continue
		}
		late := 0
		for _, when := range at {
			if when > at[4]+5*ticksASecond {
				late++
			}
		}
		if late > maxAfterFifth {
			t.Errorf("seed %d: %s crashed %d servers later than 5 s after the fifth, want %d at most", seed, part, late, maxAfterFifth)
		}
	}
	for kind, refused := range r.refused {
		if float64(refused) > maxRefused*float64(r.sent[kind]) {
			t.Errorf("seed %d: %d of %d sound requests (%s) are refused, want %v of them at most", seed, refused, r.sent[kind], kind, maxRefused)
		}
	}
}

func BenchmarkRecordOutput(b *testing.B) {
	table := New(time.Now)
	parts := []wheelgauge.Fingerprint{"first", "subject"}
	for b.Loop() {
		table.RecordOutput(parts)
	}
}

func BenchmarkRecordCrashInAFullTable(b *testing.B) {
	table, n := New(time.Now), 0
	crash := func() {
		n++
		subject := wheelgauge.Fingerprint(fmt.Sprint("subject ", n%500))
		table.RecordCrash(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("request ", n)), Server: fmt.Sprint(n / 30)}, "first", subject)
	}
	for range maxEntries {
		table.put(wheelgauge.Crash{Fingerprint: wheelgauge.Fingerprint(fmt.Sprint("before ", n)), Server: fmt.Sprint("before ", n)})
		n++
	}
	for b.Loop() {
		crash()
	}
}
