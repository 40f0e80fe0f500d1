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
	backoffSeeds = flag.Int("backoff.seeds", 200, "how many schedules of servers that back off are simulated")
	backoffFrom  = flag.Uint64("backoff.from", 1, "seed of the first schedule")
)

const (
	// scheduleLength is how long a schedule lasts, listInterval how often the host gets the list.
	scheduleLength = 40 * time.Second
	listInterval   = time.Second
	// maxTries bounds the servers that a request is sent to.
	maxTries = 3
)

// backoffEvent is a call at a moment of a schedule.
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

// backoffServer is a simulated server.
type backoffServer struct {
	spec wheelgauge.Server
	// overloadedUntil is until when it rejects requests, maxBackoff the longest backoff it asks
	// for.
	overloadedUntil time.Time
	maxBackoff      time.Duration
	// leaving is set once its answers announce its leaving, listed while it is on the list.
	leaving bool
	listed  bool
	// backoffUntil is the end of the longest backoff that the host was asked for, seenLeaving is
	// set once the host knows that the server leaves.
	backoffUntil time.Time
	seenLeaving  bool
	// lastRequestAt is when the last request came, probeDueSince since when it should get the
	// next one, placedSinceDue how many requests were placed since.
	lastRequestAt  time.Time
	probeDueSince  time.Time
	placedSinceDue int
}

// backoffSchedule simulates one host with servers that ask for backoffs and leave.
type backoffSchedule struct {
	t       *testing.T
	seed    uint64
	rnd     *rand.Rand
	table   *Table
	clock   *clock
	events  backoffEvents
	servers []*backoffServer
	service string
	// suspendedUntil is when the host's suspension ends.
	suspendedUntil time.Time
	// sent, rejected and refused count requests sent, rejected by a server, and refused because
	// all servers are backing off.
	sent, rejected, refused int
}

// Servers that back off or leave get no requests, and are used again after a backoff.
func TestBackoffSchedules(t *testing.T) {
	sent, rejected, refused := 0, 0, 0
	for i := range *backoffSeeds {
		s := newBackoffSchedule(t, *backoffFrom+uint64(i))
		s.run()
		sent, rejected, refused = sent+s.sent, rejected+s.rejected, refused+s.refused
	}
	t.Logf("%d requests were sent, %d rejected, %d refused because all servers were backing off", sent, rejected, refused)
	if rejected == 0 || refused == 0 {
		t.Error("no request was rejected or none was refused, want both")
	}
}

func newBackoffSchedule(t *testing.T, seed uint64) *backoffSchedule {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 44))
	s := &backoffSchedule{t: t, seed: seed, rnd: rnd, service: []string{plain, engines}[rnd.IntN(2)]}
	s.table, s.clock, _ = newTestTable(s.service, 0)
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

func (s *backoffSchedule) randBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *backoffSchedule) run() {
	end := s.clock.at.Add(scheduleLength)
	s.refreshList()
	gap := s.randBetween(5*time.Millisecond, 300*time.Millisecond)
	s.every(gap, s.arrive)
	s.every(4*time.Second, s.overload)
	if len(s.servers) > 1 {
		s.every(15*time.Second, s.announceLeaving)
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
		if e.at.Before(s.suspendedUntil) {
			heap.Push(&s.events, backoffEvent{s.suspendedUntil, e.do}) // the host runs it when it resumes
			continue
		}
		s.clock.at = e.at
		e.do()
	}
}

// every repeats a call at random times, with a mean interval.
func (s *backoffSchedule) every(mean time.Duration, do func()) {
	s.after(s.randBetween(0, 2*mean), func() {
		do()
		s.every(mean, do)
	})
}

func (s *backoffSchedule) refreshList() {
	var list []wheelgauge.Server
	for _, sv := range s.servers {
		if sv.listed {
			list = append(list, sv.spec)
		}
	}
	s.table.replaceList(list, s.clock.at)
	s.table.Prune()
	s.after(listInterval, s.refreshList)
}

// overload makes one server, or all, reject requests for a while.
func (s *backoffSchedule) overload() {
	targets := []*backoffServer{s.servers[s.rnd.IntN(len(s.servers))]}
	if s.rnd.IntN(4) == 0 {
		targets = s.servers
	}
	duration, maxBackoff := s.randBetween(50*time.Millisecond, 4*time.Second), s.randBetween(100*time.Millisecond, 6*time.Second)
	for _, sv := range targets {
		sv.overloadedUntil, sv.maxBackoff = s.clock.at.Add(duration), maxBackoff
	}
}

// announceLeaving makes a server announce that it leaves; it stays on the list as before.
func (s *backoffSchedule) announceLeaving() { s.servers[s.rnd.IntN(len(s.servers))].leaving = true }

// flap takes a server off the list for a while.
func (s *backoffSchedule) flap() {
	sv := s.servers[s.rnd.IntN(len(s.servers))]
	sv.listed, sv.probeDueSince = false, time.Time{}
	s.after(s.randBetween(0, 3*time.Second), func() { sv.listed = true })
}

func (s *backoffSchedule) suspend() {
	s.suspendedUntil = s.clock.at.Add(s.randBetween(100*time.Millisecond, 8*time.Second))
}

func (s *backoffSchedule) arrive() { s.try(nil) }

// try places a request that was sent to some servers before.
func (s *backoffSchedule) try(tried []string) {
	job := NewJob(s.service, prompt.Prompt{}, 0, tried)
	k := s.table.Choose(job)
	if k == nil {
		s.checkRefusal()
		return
	}
	for _, sv := range s.servers {
		if !sv.probeDueSince.IsZero() && s.table.servers[sv.spec.Instance] != nil {
			sv.placedSinceDue++
		}
	}
	sv := s.serverOf(k)
	if !k.Allowed() {
		s.t.Errorf("seed %d: %s was chosen, want a server that allows requests", s.seed, sv.spec.Instance)
	}
	wait := time.Duration(0)
	if s.rnd.IntN(4) == 0 {
		wait = s.randBetween(0, 400*time.Millisecond) // wait for a permit or a connection
	}
	s.after(wait, func() { s.send(k, sv, append(tried, sv.spec.Instance)) })
}

func (s *backoffSchedule) serverOf(k *Pick) *backoffServer {
	for _, sv := range s.servers {
		if sv.spec.Instance == k.Server().Instance() {
			return sv
		}
	}
	s.t.Fatalf("seed %d: an unknown server was chosen", s.seed)
	return nil
}

func (s *backoffSchedule) send(k *Pick, sv *backoffServer, tried []string) {
	now := s.clock.at
	if !k.Allowed() {
		k.Done(Abandoned)
		s.retry(tried)
		return
	}
	s.sent++
	if now.Before(sv.backoffUntil) {
		s.t.Errorf("seed %d: %s got a request %s before the end of its backoff", s.seed, sv.spec.Instance, sv.backoffUntil.Sub(now))
	}
	if sv.seenLeaving {
		s.t.Errorf("seed %d: %s got a request after it announced its leaving", s.seed, sv.spec.Instance)
	}
	sv.lastRequestAt, sv.probeDueSince, sv.placedSinceDue = now, time.Time{}, 0
	if now.Before(sv.overloadedUntil) {
		backoff := s.randBetween(sv.maxBackoff/5, sv.maxBackoff)
		s.after(s.randBetween(time.Millisecond, 5*time.Millisecond), func() { s.reject(k, sv, backoff, tried) })
		return
	}
	s.after(s.randBetween(5*time.Millisecond, 200*time.Millisecond), func() {
		if sv.leaving {
			sv.seenLeaving = true
			k.MarkLeaving()
		}
		k.Done(Served)
	})
}

func (s *backoffSchedule) reject(k *Pick, sv *backoffServer, backoff time.Duration, tried []string) {
	s.rejected++
	k.BackOff(backoff)
	k.Report(LoadReport{running: 1, slots: 4}, true)
	k.Done(BackedOff)
	if until := s.clock.at.Add(backoff); until.After(sv.backoffUntil) {
		sv.backoffUntil = until
	}
	until := sv.backoffUntil
	s.after(until.Sub(s.clock.at)+probeDelay, func() { s.expectRequest(sv, until) })
	s.retry(tried)
}

// expectRequest begins to expect a request to a server after its backoff.
func (s *backoffSchedule) expectRequest(sv *backoffServer, until time.Time) {
	if sv.backoffUntil != until || sv.lastRequestAt.After(until) || sv.seenLeaving || !sv.listed {
		return
	}
	sv.probeDueSince, sv.placedSinceDue = s.clock.at, 0
	s.after(2*time.Second, func() {
		if threshold := 2 * len(s.servers); sv.backoffUntil == until && !sv.probeDueSince.IsZero() && sv.listed && !sv.seenLeaving && sv.placedSinceDue > threshold {
			s.t.Errorf("seed %d: %s got none of %d requests though its backoff ended %s ago", s.seed, sv.spec.Instance, sv.placedSinceDue, s.clock.at.Sub(until))
		}
		sv.probeDueSince = time.Time{}
	})
}

func (s *backoffSchedule) retry(tried []string) {
	if len(tried) < maxTries {
		s.try(tried)
	}
}

// checkRefusal checks the wait reported to a caller if no server takes its request.
func (s *backoffSchedule) checkRefusal() {
	var first time.Time
	for _, sv := range s.servers {
		if s.table.servers[sv.spec.Instance] == nil || sv.seenLeaving {
			continue
		}
		if !s.clock.at.Before(sv.backoffUntil) {
			return // a server that is not backing off was tried
		}
		if first.IsZero() || sv.backoffUntil.Before(first) {
			first = sv.backoffUntil
		}
	}
	if first.IsZero() {
		return
	}
	s.refused++
	after, ok := s.table.BackoffEnds(NewJob(s.service, prompt.Prompt{}, 0, nil))
	if want := first.Sub(s.clock.at); !ok || after != want {
		s.t.Errorf("seed %d: all servers back off for %s, BackoffEnds returned %s, %t", s.seed, want, after, ok)
	}
}
