package serverset

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/prompt"
)

var (
	backoffSeeds = flag.Int("backoff.seeds", 200, "how many schedules of backingOff servers are played")
	backoffFrom  = flag.Uint64("backoff.from", 1, "the first of them")
)

const (
	// backoffPlay is how long a schedule lasts, backoffListEvery how often the host gets the list.
	backoffPlay      = 40 * time.Second
	backoffListEvery = time.Second
	// backoffTries bounds the servers that a request is sent to.
	backoffTries = 3
)

// backoffEvent is something that happens at a moment of a schedule.
type backoffEvent struct {
	at time.Time
	do func()
}

type backoffEvents []backoffEvent

func (e backoffEvents) Len() int           { return len(e) }
func (e backoffEvents) Less(i, k int) bool { return e[i].at.Before(e[k].at) }
func (e backoffEvents) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *backoffEvents) Push(x any)        { *e = append(*e, x.(backoffEvent)) }
func (e *backoffEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// backoffServer is a server of a schedule.
type backoffServer struct {
	spec wheelgauge.Server
	// sick is until when it turns requests away, rest the most that it asks for then.
	sick time.Time
	rest time.Duration
	// leaving is set once its answers say so, listed while it is on the list.
	leaving bool
	listed  bool
	// until is the end of the longest rest that the host has heard of, left is set once it
	// heard that the server leaves.
	until time.Time
	left  bool
	// usedAt is when the last request came, dueFrom since when it is to be used again and
	// chances how many requests were placed since.
	usedAt  time.Time
	dueFrom time.Time
	chances int
}

// backoffSchedule plays one host before servers that ask for rests and leave.
type backoffSchedule struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	table   *Table
	clock   *clock
	events  backoffEvents
	servers []*backoffServer
	service string
	// awake is when the host's suspension ends.
	awake time.Time
	// sent, turned and refused count requests sent, turned away, and refused as all rest.
	sent, turned, refused int
}

// Servers that back off or leave get nothing by any way, and are used again after a backoff.
func TestPlayedBackoffs(t *testing.T) {
	sent, turned, refused := 0, 0, 0
	for i := range *backoffSeeds {
		s := newBackoffSchedule(t, *backoffFrom+uint64(i))
		s.play()
		sent, turned, refused = sent+s.sent, turned+s.turned, refused+s.refused
	}
	t.Logf("%d requests were sent, %d turned away, %d refused as all rest", sent, turned, refused)
	if turned == 0 || refused == 0 {
		t.Error("the schedules do not ask for rests")
	}
}

func newBackoffSchedule(t *testing.T, seed uint64) *backoffSchedule {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 44))
	s := &backoffSchedule{t: t, seed: seed, rnd: rnd, service: []string{plain, engines}[rnd.IntN(2)]}
	s.table, s.clock, _ = table(s.service, 0)
	for n := range []int{1, 2, 3, 6, 20}[rnd.IntN(5)] {
		s.servers = append(s.servers, &backoffServer{listed: true, spec: wheelgauge.Server{
			Instance: fmt.Sprint("i", n), Service: s.service, Address: "127.0.0.1:1", Hall: []string{"h", "k"}[rnd.IntN(2)], Slots: 4,
		}})
	}
	return s
}

func (s *backoffSchedule) after(d time.Duration, do func()) {
	heap.Push(&s.events, backoffEvent{s.clock.at.Add(d), do})
}

func (s *backoffSchedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *backoffSchedule) play() {
	end := s.clock.at.Add(backoffPlay)
	s.list()
	gap := s.between(5*time.Millisecond, 300*time.Millisecond)
	s.every(gap, s.arrive)
	s.every(4*time.Second, s.fallSick)
	if len(s.servers) > 1 {
		s.every(15*time.Second, s.leave)
	}
	s.every(6*time.Second, s.flap)
	if s.rnd.IntN(3) == 0 {
		s.every(9*time.Second, s.suspend)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(backoffEvent)
		if e.at.After(end) {
			return
		}
		if e.at.Before(s.awake) {
			heap.Push(&s.events, backoffEvent{s.awake, e.do}) // the host notices when it wakes
			continue
		}
		s.clock.at = e.at
		e.do()
	}
}

// every repeats something at random times, after a mean time.
func (s *backoffSchedule) every(mean time.Duration, do func()) {
	s.after(s.between(0, 2*mean), func() {
		do()
		s.every(mean, do)
	})
}

func (s *backoffSchedule) list() {
	var list []wheelgauge.Server
	for _, one := range s.servers {
		if one.listed {
			list = append(list, one.spec)
		}
	}
	s.table.Update(list, s.clock.at)
	s.table.Prune()
	s.after(backoffListEvery, s.list)
}

// fallSick lets one server, or all, turn requests away for a while.
func (s *backoffSchedule) fallSick() {
	sick := []*backoffServer{s.servers[s.rnd.IntN(len(s.servers))]}
	if s.rnd.IntN(4) == 0 {
		sick = s.servers
	}
	last, rest := s.between(50*time.Millisecond, 4*time.Second), s.between(100*time.Millisecond, 6*time.Second)
	for _, one := range sick {
		one.sick, one.rest = s.clock.at.Add(last), rest
	}
}

// leave lets a server say that it leaves; it stays listed as before.
func (s *backoffSchedule) leave() { s.servers[s.rnd.IntN(len(s.servers))].leaving = true }

// flap takes a server off the list for a while.
func (s *backoffSchedule) flap() {
	one := s.servers[s.rnd.IntN(len(s.servers))]
	one.listed, one.dueFrom = false, time.Time{}
	s.after(s.between(0, 3*time.Second), func() { one.listed = true })
}

func (s *backoffSchedule) suspend() {
	s.awake = s.clock.at.Add(s.between(100*time.Millisecond, 8*time.Second))
}

func (s *backoffSchedule) arrive() { s.try(nil) }

// try places a request that went to some servers before.
func (s *backoffSchedule) try(tried []string) {
	job := NewJob(s.service, prompt.Prompt{}, 0, tried)
	k := s.table.Choose(job)
	if k == nil {
		s.refuse()
		return
	}
	for _, one := range s.servers {
		if !one.dueFrom.IsZero() && s.table.servers[one.spec.Instance] != nil {
			one.chances++
		}
	}
	one := s.of(k)
	if !k.Allowed() {
		s.t.Errorf("seed %d: %s was chosen, which asked for no requests", s.seed, one.spec.Instance)
	}
	wait := time.Duration(0)
	if s.rnd.IntN(4) == 0 {
		wait = s.between(0, 400*time.Millisecond) // a permit, or a connection
	}
	s.after(wait, func() { s.send(k, one, append(tried, one.spec.Instance)) })
}

func (s *backoffSchedule) of(k *Pick) *backoffServer {
	for _, one := range s.servers {
		if one.spec.Instance == k.Server().Instance() {
			return one
		}
	}
	s.t.Fatalf("seed %d: an unknown server was chosen", s.seed)
	return nil
}

func (s *backoffSchedule) send(k *Pick, one *backoffServer, tried []string) {
	now := s.clock.at
	if !k.Allowed() {
		k.Done(Left)
		s.again(tried)
		return
	}
	s.sent++
	if now.Before(one.until) {
		s.t.Errorf("seed %d: %s got a request %s before the end of its backoff", s.seed, one.spec.Instance, one.until.Sub(now))
	}
	if one.left {
		s.t.Errorf("seed %d: %s got a request though it leaves", s.seed, one.spec.Instance)
	}
	one.usedAt, one.dueFrom, one.chances = now, time.Time{}, 0
	if now.Before(one.sick) {
		rest := s.between(one.rest/5, one.rest)
		s.after(s.between(time.Millisecond, 5*time.Millisecond), func() { s.turnAway(k, one, rest, tried) })
		return
	}
	s.after(s.between(5*time.Millisecond, 200*time.Millisecond), func() {
		if one.leaving {
			one.left = true
			k.Leave()
		}
		k.Done(Served)
	})
}

func (s *backoffSchedule) turnAway(k *Pick, one *backoffServer, rest time.Duration, tried []string) {
	s.turned++
	k.BackOff(rest)
	k.Report(Reported{running: 1, slots: 4}, true)
	k.Done(BackedOff)
	if until := s.clock.at.Add(rest); until.After(one.until) {
		one.until = until
	}
	until := one.until
	s.after(until.Sub(s.clock.at)+overdue, func() { s.due(one, until) })
	s.again(tried)
}

// due begins to wait for a request to a server after its backoff.
func (s *backoffSchedule) due(one *backoffServer, until time.Time) {
	if one.until != until || one.usedAt.After(until) || one.left || !one.listed {
		return
	}
	one.dueFrom, one.chances = s.clock.at, 0
	s.after(2*time.Second, func() {
		if enough := 2 * len(s.servers); one.until == until && !one.dueFrom.IsZero() && one.listed && !one.left && one.chances > enough {
			s.t.Errorf("seed %d: %s got none of %d requests since its backoff was over for %s", s.seed, one.spec.Instance, one.chances, s.clock.at.Sub(until))
		}
		one.dueFrom = time.Time{}
	})
}

func (s *backoffSchedule) again(tried []string) {
	if len(tried) < backoffTries {
		s.try(tried)
	}
}

// refuse checks what a caller is told whom no server takes.
func (s *backoffSchedule) refuse() {
	var first time.Time
	for _, one := range s.servers {
		if s.table.servers[one.spec.Instance] == nil || one.left {
			continue
		}
		if !s.clock.at.Before(one.until) {
			return // a server that does not rest was tried
		}
		if first.IsZero() || one.until.Before(first) {
			first = one.until
		}
	}
	if first.IsZero() {
		return
	}
	s.refused++
	after, ok := s.table.BackoffEnds(NewJob(s.service, prompt.Prompt{}, 0, nil))
	if want := first.Sub(s.clock.at); !ok || after != want {
		s.t.Errorf("seed %d: with all servers at rest for %s a caller is told %s, %t", s.seed, want, after, ok)
	}
}
