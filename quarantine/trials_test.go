package quarantine

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"wheelgauge"
)

var trialsSeeds = flag.Uint64("trials.seeds", 6, "number of seeds for the schedules of trials")

// grantTrial lets a host ask for the next trial of a request and the stores grant it.
func grantTrial(c *cluster, at *clock, host int, request wheelgauge.Fingerprint, after time.Duration) bool {
	c.hosts[host].TakeTrial(request) // the time counts from here
	at.at = at.at.Add(after)
	if c.hosts[host].TakeTrial(request) {
		return true
	}
	c.round(1, true)
	c.round(1, true)
	return c.hosts[host].TakeTrial(request)
}

// quarantinedCluster returns two hosts and three stores that hold a request in quarantine.
func quarantinedCluster(t *testing.T, at *clock) (*cluster, wheelgauge.Crash) {
	t.Helper()
	c := newClusterAt(1, 2, 3, at.now)
	request := wheelgauge.Crash{Fingerprint: "p", BodyBytes: 4 << 10}
	for n := range 3 {
		crash := request
		crash.Server = fmt.Sprint("server ", n)
		c.hosts[0].RecordCrash(crash)
	}
	for h, host := range c.hosts {
		host.SetTrialHost(fmt.Sprint("host ", h))
	}
	c.round(1, true)
	c.round(1, true)
	for h, host := range c.hosts {
		if !host.quarantines(request) {
			t.Fatalf("host %d does not quarantine the request", h)
		}
	}
	return c, request
}

func TestTrialIsGrantedToOneHost(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	c, p := quarantinedCluster(t, at)
	for h, host := range c.hosts {
		if host.TakeTrial(p.Fingerprint) {
			t.Errorf("host %d begins a trial at once", h)
		}
	}
	at.at = at.at.Add(firstTrialDelay)
	taken := 0
	for range 4 {
		for _, host := range c.hosts {
			for range 3 {
				if host.TakeTrial(p.Fingerprint) {
					taken++
				}
			}
		}
		c.round(1, true)
	}
	if taken != 1 {
		t.Errorf("%d trials begin, want one", taken)
	}
}

func TestFirstHostOfATrialIsPersisted(t *testing.T) {
	trialOf := func(host string, tried, cleared bool) []wheelgauge.Crash {
		return []wheelgauge.Crash{{Fingerprint: "p", Server: trialName(1), Trial: host, Tried: tried, Cleared: cleared}}
	}
	var full []wheelgauge.Crash
	for n := range maxCrashesPerRequest {
		full = append(full, wheelgauge.Crash{Fingerprint: "p", Server: fmt.Sprint(n)})
	}
	underTrial := []wheelgauge.Crash{{Fingerprint: "p", Server: "s", Tried: true}}
	tests := []struct {
		name                     string
		persisted, updates, want []wheelgauge.Crash
	}{
		{"the first", nil, trialOf("a", false, false), trialOf("a", false, false)},
		{"another host", trialOf("a", false, false), trialOf("b", false, false), trialOf("a", false, false)},
		{"it is sent", trialOf("a", false, false), trialOf("a", true, false), trialOf("a", true, false)},
		{"another host says that it is sent", trialOf("a", false, false), trialOf("b", true, false), trialOf("a", false, false)},
		{"an old report", trialOf("a", true, false), trialOf("a", false, false), trialOf("a", true, false)},
		{"a good run", trialOf("a", true, false), trialOf("a", true, true), trialOf("a", true, true)},
		{"sent after a good run", trialOf("a", false, true), trialOf("a", true, false), trialOf("a", false, true)},
		{"beside as many crashes as are persisted", full, trialOf("a", false, false), append(slices.Clone(full), trialOf("a", false, false)...)},
		{"a crash under it beside as many", full, underTrial, append(slices.Clone(full), underTrial...)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, changed := MergePersisted(tt.persisted, tt.updates)
			if !slices.Equal(got, tt.want) || changed == slices.Equal(tt.persisted, tt.want) {
				t.Errorf("got %+v, changed %v, want %+v", got, changed, tt.want)
			}
		})
	}
}

func TestReturnedTrialIsTakenAgain(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	c, p := quarantinedCluster(t, at)
	if !grantTrial(c, at, 0, p.Fingerprint, firstTrialDelay) {
		t.Fatal("no trial")
	}
	c.hosts[0].ReturnTrial(p.Fingerprint)
	if !c.hosts[0].TakeTrial(p.Fingerprint) || c.hosts[0].TakeTrial(p.Fingerprint) {
		t.Error("a trial that reached no server is not taken exactly once more")
	}
}

func TestUnsentTrialDoesNotDelayTheNext(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	c, p := quarantinedCluster(t, at)
	for n := range 3 {
		if !grantTrial(c, at, 0, p.Fingerprint, firstTrialDelay) {
			t.Fatalf("no trial %d", n+1)
		}
		c.restartHost(0)
		c.hosts[0].SetTrialHost(fmt.Sprint("host 0, start ", n+1))
	}
	if !grantTrial(c, at, 1, p.Fingerprint, firstTrialDelay) {
		t.Fatal("no trial at the other host")
	}
	c.hosts[1].RecordTried(p.Fingerprint)
	c.round(1, true)
	c.round(1, true)
	if grantTrial(c, at, 0, p.Fingerprint, trialDelay(1)-time.Second) {
		t.Error("a trial comes as soon after one that was sent")
	}
}

func TestGoodTrialEndsTheQuarantine(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	c, p := quarantinedCluster(t, at)
	if !grantTrial(c, at, 1, p.Fingerprint, firstTrialDelay) {
		t.Fatal("no trial")
	}
	c.hosts[1].recordRun(p)
	for range 3 {
		c.round(1, true)
	}
	c.restartStore(0)
	c.restartHost(0)
	c.round(1, true)
	for h, host := range c.hosts {
		if host.quarantines(p) {
			t.Errorf("host %d quarantines a request that ran well", h)
		}
	}
	for n := range 3 {
		crash := p
		crash.Server = fmt.Sprint("later server ", n)
		at.at = at.at.Add(2 * largeTTL)
		c.hosts[1].RecordCrash(crash)
	}
	c.round(1, true)
	c.round(1, true)
	if !c.hosts[1].quarantines(p) {
		t.Fatal("three crashes after a good run do not quarantine a request")
	}
	if !grantTrial(c, at, 1, p.Fingerprint, firstTrialDelay) {
		t.Error("trials before a good run delay those after it")
	}
}

func TestCrashedTrialsAreBounded(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	c, p := quarantinedCluster(t, at)
	for n := range maxTrialCrashes {
		if n > 0 && grantTrial(c, at, n%2, p.Fingerprint, firstTrialDelay) {
			t.Errorf("trial %d comes as soon as the first", n+1)
		}
		if !grantTrial(c, at, n%2, p.Fingerprint, trialDelay(n)) {
			t.Fatalf("trial %d is not granted", n+1)
		}
		c.hosts[n%2].RecordTried(p.Fingerprint)
		crash := p
		crash.Server, crash.Tried = fmt.Sprint("tried server ", n), true
		c.hosts[n%2].RecordCrash(crash)
		c.round(1, true)
		c.round(1, true)
	}
	for range 3 {
		c.restartStore(c.rng.IntN(len(c.stores)))
		if grantTrial(c, at, 0, p.Fingerprint, maxTrialDelay) {
			t.Error("a trial is granted after all of them crashed servers")
		}
	}
}

func TestLargeRequestThatBeginsToCrashIsQuarantined(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	table := New(at.now)
	p := wheelgauge.Crash{Fingerprint: "p", BodyBytes: 4 << 10}
	table.recordRun(p)
	at.at = at.at.Add(largeTTL + time.Millisecond)
	for n := range 3 {
		p.Server = fmt.Sprint(n)
		table.RecordCrash(p)
	}
	if !table.quarantines(p) {
		t.Error("a good run of long ago keeps a request out of quarantine")
	}
}

func TestHashingOfLargeBodiesIsBounded(t *testing.T) {
	at := &clock{at: time.Unix(1000, 0)}
	table := New(at.now)
	const size = 12 << 10
	for _, c := range crashesAt("p", "abc") {
		c.BodyBytes = size
		table.RecordCrash(c)
	}
	for second := range 3 {
		computed := 0
		for range 4 * hashedPerSecond / size {
			table.RecordSuccess(size-1, func() wheelgauge.Fingerprint {
				computed++
				return "q"
			})
		}
		if most := hashedPerSecond/(size-1) + 1; computed > most || computed < most-1 {
			t.Errorf("second %d: %d fingerprints computed, want %d", second, computed, most)
		}
		at.at = at.at.Add(time.Second)
	}
}

// trialRun simulates callers that repeat one request at all hosts, at servers that crash on it or
// for other reasons.
type trialRun struct {
	*cluster
	clock  *clock
	tick   int
	guilty bool
	size   int
	// ticks is how long the request runs, down how long a server is down after a crash.
	ticks, down int
	servers     []simServer
	running     [][]simRequest
	crashedAt   []int
	// sent and served count requests by second.
	sent, served []int
	nextServer   int
	boots        int
}

func (r *trialRun) restart(host int) {
	r.restartHost(host)
	r.boots++
	r.hosts[host].SetTrialHost(fmt.Sprint("host ", host, " boot ", r.boots))
}

func (r *trialRun) crash(n int) {
	s := &r.servers[n]
	if s.downTill > r.tick {
		return
	}
	for _, q := range s.running {
		r.hosts[q.host].RecordCrash(wheelgauge.Crash{Fingerprint: q.name, BodyBytes: r.size, Server: s.name, Tried: q.ticks < 0})
	}
	r.nextServer++
	*s = simServer{name: fmt.Sprint("server ", r.nextServer), downTill: r.tick + r.down}
}

// send sends the request from a host to a server; one on trial has negative ticks.
func (r *trialRun) send(second int) {
	q := simRequest{host: r.rng.IntN(len(r.hosts)), name: "repeated", beganAt: r.tick, ticks: r.ticks}
	host := r.hosts[q.host]
	r.sent[second]++
	if host.quarantines(wheelgauge.Crash{Fingerprint: q.name, BodyBytes: r.size}) {
		if !host.TakeTrial(q.name) {
			return
		}
		q.ticks = -r.ticks
	}
	for range 3 {
		n := r.rng.IntN(len(r.servers))
		if r.servers[n].downTill <= r.tick {
			r.servers[n].running = append(r.servers[n].running, q)
			if q.ticks < 0 {
				host.RecordTried(q.name)
			}
			return
		}
	}
	if q.ticks < 0 {
		host.ReturnTrial(q.name)
	}
}

func (r *trialRun) step() {
	r.tick++
	r.clock.at = r.clock.at.Add(tick)
	second := r.tick / ticksASecond
	for n := range r.servers {
		s := &r.servers[n]
		if r.guilty && slices.ContainsFunc(s.running, func(q simRequest) bool { return q.beganAt == r.tick-1 }) {
			r.crashedAt = append(r.crashedAt, r.tick)
			r.crash(n)
		}
		s.running = slices.DeleteFunc(s.running, func(q simRequest) bool {
			if r.tick < q.beganAt+max(q.ticks, -q.ticks) {
				return false
			}
			r.hosts[q.host].recordRun(wheelgauge.Crash{Fingerprint: q.name, BodyBytes: r.size})
			r.served[second]++
			return true
		})
	}
	if r.tick%3 == 0 {
		r.send(second)
	}
	if r.tick%roundTicks == 0 {
		r.round(0.7, true)
	}
}

// share returns the share of requests served in the last seconds.
func (r *trialRun) share(seconds int) float64 {
	sent, served := 0, 0
	for _, n := range r.sent[len(r.sent)-seconds:] {
		sent += n
	}
	for _, n := range r.served[len(r.served)-seconds:] {
		served += n
	}
	return float64(served) / float64(sent)
}

func TestTrialSchedules(t *testing.T) {
	const seconds, minShare, maxLate = 95, 0.9, 3
	crashAt := func(r *trialRun, from, apart int) {
		for n := range r.servers {
			if r.tick == from+n*apart {
				r.crash(n)
			}
		}
	}
	restarts := func(r *trialRun) {
		if r.tick%100 == 0 {
			r.restart(r.rng.IntN(len(r.hosts)))
		}
		if r.tick%100 == 50 {
			r.restartStore(r.rng.IntN(len(r.stores)))
		}
	}
	tests := []struct {
		name                string
		guilty              bool
		size, servers, work int
		event               func(r *trialRun)
	}{
		{"servers crash in a row", false, 2400, 3, 4, func(r *trialRun) { crashAt(r, 100, 24) }},
		{"in a row, long work", false, 2400, 3, 60, func(r *trialRun) { crashAt(r, 100, 24) }},
		{"together", false, 2400, 3, 4, func(r *trialRun) { crashAt(r, 100, 0) }},
		{"together, long work", false, 2400, 3, 60, func(r *trialRun) { crashAt(r, 100, 0) }},
		{"together before any good run", false, 2400, 3, 60, func(r *trialRun) { crashAt(r, 40, 0) }},
		{"without a body", false, 0, 3, 60, func(r *trialRun) { crashAt(r, 40, 0) }},
		{"a large body", false, 4 << 20, 3, 60, func(r *trialRun) { crashAt(r, 40, 0) }},
		{"hosts and stores start again", false, 2400, 3, 60, func(r *trialRun) {
			crashAt(r, 40, 0)
			restarts(r)
		}},
		{"servers crash again and again", false, 2400, 6, 10, func(r *trialRun) {
			if r.tick%100 == 0 {
				r.crash(r.rng.IntN(len(r.servers)))
			}
		}},
		{"guilty", true, 2400, 12, 4, nil},
		{"guilty, without a body", true, 0, 12, 4, nil},
		{"guilty, hosts and stores start again", true, 2400, 12, 4, restarts},
		{"guilty, servers crash for other reasons", true, 2400, 12, 4, func(r *trialRun) {
			if r.tick%60 == 0 {
				r.crash(r.rng.IntN(len(r.servers)))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for seed := range *trialsSeeds {
				c := &clock{at: time.Unix(1000, 0)}
				r := &trialRun{cluster: newClusterAt(seed, 6, 5, c.now), clock: c, guilty: tt.guilty, size: tt.size, ticks: tt.work, down: 90, sent: make([]int, seconds+1), served: make([]int, seconds+1)}
				for h := range r.hosts {
					r.restart(h)
				}
				r.servers = make([]simServer, tt.servers)
				for n := range r.servers {
					r.servers[n].name = fmt.Sprint("first server ", n)
				}
				held := 0
				for r.tick < seconds*ticksASecond {
					if tt.event != nil {
						tt.event(r)
					}
					r.step()
					if r.hosts[0].quarantines(wheelgauge.Crash{Fingerprint: "repeated", BodyBytes: tt.size}) {
						held++
					}
				}
				late := 0
				for n, at := range r.crashedAt {
					if n >= 5 && at > r.crashedAt[4]+5*ticksASecond {
						late++
					}
				}
				t.Logf("seed %d: held for %.1f s, share served at the end %.3f, in all %.3f; %d crashes by it, %d of them late", seed, float64(held)/float64(ticksASecond), r.share(seconds/3), r.share(seconds), len(r.crashedAt), late)
				if !tt.guilty && r.share(seconds/3) < minShare {
					t.Errorf("seed %d: %.3f of an innocent request is served, want %g", seed, r.share(seconds/3), minShare)
				}
				if tt.guilty && (late > maxLate || held == 0) {
					t.Errorf("seed %d: %d late crashes, want at most %d", seed, late, maxLate)
				}
			}
		})
	}
}
