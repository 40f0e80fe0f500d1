package serverset

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// event is a call at a moment of virtual time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is many hosts in virtual time: each decides by its own table, and learns of
// the others' load by heartbeats.
type simulation struct {
	clock
	queue    events
	random   *rand.Rand
	hosts    []*Table
	reported [][]wheelgauge.ServerUsage
}

// poolSim simulates hosts with few servers of a plain service.
type poolSim struct {
	simulation
	servers []*simServer
	// outcomes of requests.
	arrived, inTime, late, refused, sheds int
}

// simServer runs some requests at once and queues some more.
type simServer struct {
	slots, capacity int
	running         int
	waiting         []func()
}

const (
	heartbeatInterval = 150 * time.Millisecond
	poolServiceTime   = 30 * time.Millisecond
	poolDeadline      = 400 * time.Millisecond
	poolSlots         = 6
	poolQueue         = 24
)

// start creates hosts that know the listed servers.
func (sim *simulation) start(seed uint64, hosts int, list []wheelgauge.Server) {
	*sim = simulation{clock: clock{at: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range hosts {
		tb := New(Place{Host: fmt.Sprint("a", i), Hall: list[i%len(list)].Hall}, testServiceConfig, sim.now)
		tb.replaceList(list, sim.at)
		sim.hosts = append(sim.hosts, tb)
		sim.reported = append(sim.reported, nil)
		sim.after(time.Duration(sim.random.Int64N(int64(heartbeatInterval))), func() { sim.heartbeat(i) })
	}
}

func (sim *simulation) after(d time.Duration, do func()) {
	heap.Push(&sim.queue, event{at: sim.at.Add(d), do: do})
}

// run advances the simulation by d.
func (sim *simulation) run(d time.Duration) {
	until := sim.at.Add(d)
	for len(sim.queue) > 0 && sim.queue[0].at.Before(until) {
		e := heap.Pop(&sim.queue).(event)
		sim.at = e.at
		e.do()
	}
	sim.at = until
}

// heartbeat reports what a host has in flight, and gives the host what all others reported last.
func (sim *simulation) heartbeat(host int) {
	sim.reported[host], _ = sim.hosts[host].Uses()
	sums := map[string]wheelgauge.ServerUsage{}
	for i, uses := range sim.reported {
		for _, u := range uses {
			if i != host {
				sums[u.Instance] = sums[u.Instance].Plus(u)
			}
		}
	}
	sim.hosts[host].SetUses(slices.Collect(maps.Values(sums)))
	sim.after(heartbeatInterval, func() { sim.heartbeat(host) })
}

// scheduleArrivals lets requests arrive at a rate per second.
func (sim *simulation) scheduleArrivals(rate float64, send func(host int)) {
	sim.after(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		send(sim.random.IntN(len(sim.hosts)))
		sim.scheduleArrivals(rate, send)
	})
}

func newPoolSim(seed uint64, hosts, servers int) *poolSim {
	sim := &poolSim{}
	var list []wheelgauge.Server
	for i := range servers {
		list = append(list, wheelgauge.Server{Instance: fmt.Sprint("i", i), Service: plain, Address: "127.0.0.1:1", Hall: "h", Slots: poolSlots})
		sim.servers = append(sim.servers, &simServer{slots: poolSlots, capacity: poolSlots + poolQueue})
	}
	sim.start(seed, hosts, list)
	return sim
}

// send dispatches a request that arrived at arrivedAt.
func (sim *poolSim) send(host int, arrivedAt time.Time, tried []string) {
	k := sim.hosts[host].Choose(NewJob(plain, prompt.Prompt{}, 2, tried))
	if k == nil || len(tried) > 1 {
		sim.refused++
		return
	}
	var at int
	fmt.Sscanf(k.Server().Instance(), "i%d", &at)
	s := sim.servers[at]
	if s.running+len(s.waiting) >= s.capacity {
		sim.sheds++
		k.Report(LoadReport{running: s.running, waiting: len(s.waiting), slots: s.slots}, true)
		k.Done(Shed)
		sim.send(host, arrivedAt, append(tried, k.Server().Instance()))
		return
	}
	start := func() { sim.work(s, k, arrivedAt) }
	if s.running < s.slots {
		start()
		return
	}
	s.waiting = append(s.waiting, start)
}

// work runs a request and then the next queued one.
func (sim *poolSim) work(s *simServer, k *Pick, arrivedAt time.Time) {
	s.running++
	sim.after(time.Duration(sim.random.ExpFloat64()*float64(poolServiceTime)), func() {
		s.running--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			next()
		}
		k.Report(LoadReport{running: s.running, waiting: len(s.waiting), slots: s.slots}, false)
		k.Done(Served)
		if sim.at.Sub(arrivedAt) <= poolDeadline {
			sim.inTime++
		} else {
			sim.late++
		}
	})
}

// With many hosts and few small servers, each host has a hundredth of the load, and what
// heartbeats report is older than the time to fill a queue. The servers' own reports in
// their answers are newer and show when a server is nearly full. With 2 servers, 64 hosts and
// 0.87 of the servers' capacity, 534 of 21,000 requests in three seeds met a full queue;
// without those reports 1,530 did.
func TestManyHostsOnSmallPool(t *testing.T) {
	const maxShedShare = 0.04
	arrived, sheds, inTime := 0, 0, 0
	for _, seed := range []uint64{1, 2, 3} {
		sim := newPoolSim(seed, 64, 2)
		sim.scheduleArrivals(350, func(host int) {
			sim.arrived++
			sim.send(host, sim.at, nil)
		})
		sim.run(20 * time.Second)
		arrived, sheds, inTime = arrived+sim.arrived, sheds+sim.sheds, inTime+sim.inTime
		t.Logf("seed %d: %d arrived, %d in time, %d late, %d refused, %d shed", seed, sim.arrived, sim.inTime, sim.late, sim.refused, sim.sheds)
	}
	if float64(sheds) > maxShedShare*float64(arrived) {
		t.Errorf("%d of %d requests met a full queue, want at most %.0f in 100", sheds, arrived, 100*maxShedShare)
	}
	if float64(inTime) < 0.98*float64(arrived) {
		t.Errorf("%d of %d requests were answered in time, want 98 in 100", inTime, arrived)
	}
}

func TestParseReported(t *testing.T) {
	tests := []struct {
		text string
		want LoadReport
		ok   bool
	}{
		{"3,0,8", LoadReport{3, 0, 8, 0}, true},
		{"6, 24, 6", LoadReport{6, 24, 6, 0}, true},
		{"3,0,8,100", LoadReport{3, 0, 8, 100}, true},
		{"3,0,8, 250", LoadReport{3, 0, 8, 250}, true},
		{"3,0,8,999999999", LoadReport{3, 0, 8, maxSlowdown}, true},
		{"3,0,8,0", LoadReport{}, false},
		{"3,0,8,-5", LoadReport{}, false},
		{"3,0,8,x", LoadReport{}, false},
		{"3,0,8,", LoadReport{}, false},
		{"3,0,8,100,7", LoadReport{}, false},
		{"", LoadReport{}, false},
		{"3,8", LoadReport{}, false},
		{"3,x,8", LoadReport{}, false},
		{"3,-1,8", LoadReport{}, false},
		{"3,0,8,1", LoadReport{3, 0, 8, minSlowdown}, true},
		{"5000000000000000000,5000000000000000000,9223372036854775807", LoadReport{maxReported, maxReported, maxReported, 0}, true},
	}
	for _, tt := range tests {
		if got, ok := ParseLoadReport(tt.text); got != tt.want || ok != tt.ok {
			t.Errorf("%q: %+v, %t, want %+v, %t", tt.text, got, ok, tt.want, tt.ok)
		}
	}
}

// FuzzReported checks that no load report makes a server look idler than one without a
// report, and that predictions stay waits. A server that reported 5 * 10^18 requests twice
// must not look idle because the sum overflows.
func FuzzReported(f *testing.F) {
	f.Add("3,0,8")
	f.Add("5000000000000000000,5000000000000000000,8")
	f.Add("0,9223372036854775807,9223372036854775807")
	f.Fuzz(func(t *testing.T, text string) {
		r, ok := ParseLoadReport(text)
		if !ok {
			return
		}
		tb, _, _ := newTestTable(plain, 2)
		job := NewJob(plain, prompt.Prompt{}, 0, nil)
		k := tb.Choose(job)
		k.Report(r, false)
		s := k.Server()
		if s.inFlight() < 1 || r.running > 1 && s.inFlight() < 2 {
			t.Errorf("%q: %d requests in flight, want at least those reported", text, s.inFlight())
		}
		k.Done(Served)
		if e, ok := tb.Predict(job); !ok || e.Wait() < 0 || e.Wait() > time.Minute {
			t.Errorf("%q: predicted wait at the other server is %v, want 0 to 1 minute", text, e.Wait())
		}
	})
}

// A server that refused a request at some load must cost more before it is full again.
func TestNearlyFullServerCostsMore(t *testing.T) {
	tests := []struct {
		inFlight int
		want     float64
	}{
		{0, 0}, {17, 0}, {23, shedCostMS / 2}, {29, shedCostMS}, {60, shedCostMS},
	}
	for _, tt := range tests {
		if got := shedRisk(float64(tt.inFlight), 30); got != tt.want {
			t.Errorf("%d of 30 in flight: refusal risk costs %.0f ms, want %.0f", tt.inFlight, got, tt.want)
		}
	}
	if got := shedRisk(1000, 0); got != 0 {
		t.Errorf("refusal risk at a server that never refused costs %.0f ms, want 0", got)
	}
}
