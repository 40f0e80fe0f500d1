package serverset

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

// restServer is a server with four slots and a queue.
type restServer struct {
	spec             wheelgauge.Server
	rest             time.Duration
	running, counted int
	queue            []func()
}

// restRun simulates the hosts of a region before servers one of which asks for rests.
type restRun struct {
	rnd      *rand.Rand
	clock    *clock
	hosts    []*Table
	servers  []*restServer
	events   backoffEvents
	counting bool
}

const (
	restSlots = 4
	restWork  = 200 * time.Millisecond
)

func newRestRun(seed uint64, hosts, servers int) *restRun {
	r := &restRun{rnd: rand.New(rand.NewPCG(seed, 55))}
	var list []wheelgauge.Server
	for n := range servers {
		spec := wheelgauge.Server{Instance: fmt.Sprint("i", n), Service: plain, Address: "127.0.0.1:1", Hall: "h", Slots: restSlots}
		r.servers = append(r.servers, &restServer{spec: spec})
		list = append(list, spec)
	}
	for range hosts {
		table, c, _ := newTestTable(plain, 0)
		if r.clock == nil {
			r.clock = c
		}
		table.now = func() time.Time { return r.clock.at }
		table.replaceList(list, r.clock.at)
		r.hosts = append(r.hosts, table)
	}
	return r
}

func (r *restRun) after(d time.Duration, do func()) {
	heap.Push(&r.events, backoffEvent{r.clock.at.Add(d), do})
}

// play sends requests at a load, a part of what all servers can run.
func (r *restRun) play(load float64, length time.Duration) {
	end := r.clock.at.Add(length)
	gap := time.Duration(float64(restWork) / (load * float64(len(r.servers)*restSlots)))
	var arrive func()
	arrive = func() {
		if r.clock.at.Before(end) {
			r.send(r.hosts[r.rnd.IntN(len(r.hosts))], nil)
			r.after(time.Duration(r.rnd.ExpFloat64()*float64(gap)), arrive)
		}
	}
	arrive()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(backoffEvent)
		if e.at.After(end) {
			heap.Push(&r.events, e)
			break
		}
		r.clock.at = e.at
		e.do()
	}
	r.clock.at = end
}

func (r *restRun) send(host *Table, tried []string) {
	k := host.Choose(NewJob(plain, prompt.Prompt{}, 0, tried))
	if k == nil {
		return
	}
	for _, s := range r.servers {
		if s.spec.Instance == k.Server().Instance() {
			r.arriveAt(s, host, k, tried)
		}
	}
}

func (r *restRun) arriveAt(s *restServer, host *Table, k *Pick, tried []string) {
	if s.rest > 0 {
		r.after(time.Millisecond, func() {
			k.BackOff(s.rest)
			k.Done(BackedOff)
			if len(tried) == 0 {
				r.send(host, []string{s.spec.Instance})
			}
		})
		return
	}
	if r.counting {
		s.counted++
	}
	run := func() {
		s.running++
		// Work varies as in practice: half to one and a half times the mean.
		r.after(restWork/2+time.Duration(r.rnd.Int64N(int64(restWork))), func() {
			s.running--
			k.Report(LoadReport{running: s.running, slots: restSlots}, true)
			k.Done(Served)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.running < restSlots {
		run()
		return
	}
	s.queue = append(s.queue, run)
}

// A server that asked for rests gets its part of the work again, and not that of the others.
func TestRestedServerGetsItsPart(t *testing.T) {
	const least, most = 0.5, 2.0
	for _, load := range []float64{0.2, 0.4, 0.6, 0.85} {
		for _, hosts := range []int{1, 2, 3} {
			worst, best := 1.0, 1.0
			for seed := range uint64(30) {
				r := newRestRun(seed, hosts, 4)
				r.play(load, 5*time.Second)
				rested := r.servers[seed%4]
				rested.rest = []time.Duration{3 * time.Second, 1500 * time.Millisecond, 6 * time.Second}[seed%3]
				r.play(load*0.75, 10*time.Second)
				rest := rested.rest
				rested.rest = 0
				r.play(load*0.75, rest+3*time.Second)
				r.play(load, 6*time.Second)
				r.counting = true
				r.play(load, 3*time.Second)
				others := 0.0
				for _, s := range r.servers {
					if s != rested {
						others += float64(s.counted) / 3
					}
				}
				share := float64(rested.counted) / others
				worst, best = min(worst, share), max(best, share)
				if share < least || share > most {
					t.Errorf("load %.2f, %d hosts, seed %d: the rested server ran %.2f of the others' mean, want %.1f to %.1f", load, hosts, seed, share, least, most)
				}
			}
			t.Logf("load %.2f, %d hosts: %.2f to %.2f of the others' mean", load, hosts, worst, best)
		}
	}
}
