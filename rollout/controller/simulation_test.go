package controller_test

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/rollout/controller"
	"wheelgauge/rollout/selector"
	"wheelgauge/rollout/sequential"
	"wheelgauge/rollout/tally"
	"wheelgauge/rollout/threshold"
)

// The simulation runs rollouts without a network: hosts dispatch requests by their selectors
// and count the answers, reports reach the stores with a delay, the leading store decides,
// and its decisions reach the hosts with a delay. The checks look at what servers received: a
// bad version gets no more than its share of all requests within the time limit and nothing
// long after its answers have shown that it is bad, and the replaced versions get nothing
// once the rollout is announced as complete.
var (
	simSeeds   = flag.Int("rollout.seeds", 1, "seeds of each combination of version and disturbance")
	simFigures = flag.Bool("rollout.figures", false, "print a summary of each combination")
)

const (
	simTick         = 10 * time.Millisecond
	simShare        = 0.1
	simSlack        = 50.0
	rollBackTimeout = 5 * time.Second
	// reconnectTime is how long after its return a host is taken to be connected.
	reconnectTime = 6 * time.Second
	// simAfterEnd is how long a simulation continues after its rollout ended.
	simAfterEnd = 12 * time.Second
	simSettle   = 30 * time.Second
	// warmUpTime is how long freshly started servers are slow.
	warmUpTime = 4 * time.Second
	service    = "s"
	oldVersion = "v1"
	newVersion = "v2"
	simServers = 6
	simStores  = 3
	simHosts   = 24
)

// simRoute is a kind of request.
type simRoute struct {
	name      string
	rate      float64 // requests per second over all hosts
	duration  time.Duration
	firstByte time.Duration
}

var simRoutes = []simRoute{
	{"long", 60, 3 * time.Second, 250 * time.Millisecond},
	{"short", 190, 300 * time.Millisecond, 150 * time.Millisecond},
	{"post", 40, 60 * time.Millisecond, 60 * time.Millisecond},
}

// deployment is the size and load of a simulated deployment.
type deployment struct {
	hosts, servers int
	routes         []simRoute
	// settle is how long past its time limit a rollout is simulated.
	settle time.Duration
}

var simDeployment = deployment{simHosts, simServers, simRoutes, simSettle}

// version is how the target version behaves.
type version struct {
	name string
	bad  bool
	// failRate and slowRate are the fractions of its answers that fail or are slow: after the
	// fraction "from" of the rollout's time, on one route if "route" is set, and only at
	// servers with more than minInFlight requests in flight.
	failRate, slowRate float64
	from               float64
	route              string
	minInFlight        int
	// slowFactor is how many times as long slow answers take; four times if 0.
	slowFactor float64
}

var versions = []version{
	{name: "good"},
	{name: "fails", bad: true, failRate: 0.3},
	{name: "slow", bad: true, slowRate: 0.6},
	{name: "later", bad: true, failRate: 0.4, from: 0.5},
	{name: "on one route", bad: true, failRate: 0.5, route: "post"},
	{name: "under load", bad: true, failRate: 0.5, minInFlight: 4},
}

// disturbance is what else happens during the rollout.
type disturbance struct {
	name string
	// oldServerFailRate and newServerFailRate are the fractions of requests that fail at a
	// single server of the version.
	oldServerFailRate, newServerFailRate float64
	coldCaches, burst                    bool
	leaderLoss                           bool
	disconnect, restart                  bool
	suspend                              bool
}

var disturbances = []disturbance{
	{name: "calm"},
	{name: "grey server of the old version", oldServerFailRate: 0.5},
	{name: "grey server of the new version", newServerFailRate: 0.4},
	{name: "cold caches", coldCaches: true},
	{name: "burst", burst: true},
	{name: "leader lost", leaderLoss: true},
	{name: "hosts cut off", disconnect: true},
	{name: "hosts restart", restart: true},
	{name: "hosts suspended", suspend: true},
}

// injectedFault is a fault of the implementation that the checks must detect.
type injectedFault struct {
	name string
	// ignoresShare: hosts send part of their requests to the target version regardless of the
	// selector. neverRollsBack: stores never roll back. skipsWaiting: stores complete the
	// rollout without waiting for hosts. missesRollback: hosts do not learn that the version
	// was rolled back. alwaysRollsBack: stores roll back any version.
	ignoresShare, neverRollsBack, skipsWaiting, missesRollback, alwaysRollsBack bool
	// version names the version that exposes the fault, want is part of the expected
	// violation.
	version string
	want    string
}

// simulation simulates one rollout.
type simulation struct {
	deployment  deployment
	rng         *rand.Rand
	version     version
	disturbance disturbance
	injected    injectedFault
	limit       time.Duration
	// elapsed is the time since the start of the rollout, negative before it.
	elapsed time.Duration
	// events holds the scheduled events by tick.
	events  map[int64][]func()
	hosts   []*simHost
	stores  []*controller.Controller
	rollout wheelgauge.Rollout
	pending bool
	// inFlight and answers are by server.
	inFlight map[string]int
	answers  map[string]int
	// The fields below record what servers received.
	sent, sentTarget int
	badAnswers       int
	evidentAt        time.Duration
	lateRequests     int
	refused          int
	oldInFlight      int
	oldAfterEnd      int
	inFlightAtEnd    int
	endedAt          time.Duration
	cause            string
}

type simHost struct {
	name              string
	boot              uint64
	selector          *selector.Selector
	tally             *tally.Tally
	disconnectedUntil time.Duration
	suspendedUntil    time.Duration
	// reportedChanges is the selector's change number at the last report.
	reportedChanges uint64
	// oldInFlight counts requests in flight at servers of the old version.
	oldInFlight int
}

func (s *simulation) now() time.Time { return time.Unix(1000, 0).Add(s.elapsed) }

// schedule runs an event after d, in the next tick at the earliest.
func (s *simulation) schedule(d time.Duration, event func()) {
	tick := int64((s.elapsed + max(d, simTick) + simTick - 1) / simTick)
	s.events[tick] = append(s.events[tick], event)
}

func newSimulation(seed uint64, v version, d disturbance, limit time.Duration, newEvaluator func() wheelgauge.VersionEvaluator) *simulation {
	return newSimulationOf(simDeployment, seed, v, d, limit, newEvaluator)
}

func newSimulationOf(d deployment, seed uint64, v version, dist disturbance, limit time.Duration, newEvaluator func() wheelgauge.VersionEvaluator) *simulation {
	s := &simulation{deployment: d, rng: rand.New(rand.NewPCG(seed, 1)), version: v, disturbance: dist, limit: limit, events: map[int64][]func(){}, inFlight: map[string]int{}, answers: map[string]int{}, evidentAt: -1}
	for n := range d.hosts {
		h := &simHost{name: fmt.Sprint("h", n)}
		s.startHost(h)
		s.hosts = append(s.hosts, h)
	}
	for range simStores {
		s.stores = append(s.stores, controller.New(newEvaluator, s.now))
	}
	return s
}

func (s *simulation) startHost(h *simHost) {
	h.boot++
	s.oldInFlight -= h.oldInFlight // ended with the process
	h.oldInFlight = 0
	h.selector = selector.New(selector.Options{Host: h.name, Share: simShare, Slack: simSlack, Now: s.now})
	h.selector.SetHosts(s.deployment.hosts)
	h.tally = tally.New()
	h.reportedChanges = 0
	if s.rollout.Number > 0 {
		h.selector.SetRollouts([]wheelgauge.Rollout{s.currentRollout()})
	}
}

// currentRollout returns the rollout as stores announce it now.
func (s *simulation) currentRollout() wheelgauge.Rollout {
	r := s.rollout
	r.ElapsedMS = s.elapsed.Milliseconds()
	return r
}

// run simulates from three seconds before the start of the rollout until simAfterEnd after
// its end, or until settle after its time limit.
func (s *simulation) run() {
	s.elapsed = -3 * time.Second
	for ; s.elapsed < s.limit+s.deployment.settle; s.elapsed += simTick {
		if s.elapsed == 0 {
			s.startRollout()
		}
		if s.elapsed > 0 && !s.rollout.Running() && !s.injected.missesRollback && s.elapsed > s.endedAt+simAfterEnd {
			return
		}
		s.runEvents()
		s.disturb()
		s.generateRequests()
		if s.elapsed%(50*time.Millisecond) == 0 {
			s.sendReports()
		}
		if s.elapsed >= 0 && s.elapsed%(100*time.Millisecond) == 0 {
			s.decide()
		}
	}
}

func (s *simulation) startRollout() {
	s.rollout = wheelgauge.Rollout{
		RolloutRequest: wheelgauge.RolloutRequest{Service: service, Version: newVersion, DurationMS: s.limit.Milliseconds()}, Number: 1, State: wheelgauge.RolloutRunning,
	}
	s.announceState()
}

// announceState delivers the state to every host; unreachable hosts get it once they are
// back.
func (s *simulation) announceState() {
	for _, h := range s.hosts {
		s.schedule(50*time.Millisecond+time.Duration(s.rng.IntN(250))*time.Millisecond, func() { s.receiveState(h) })
	}
}

func (s *simulation) receiveState(h *simHost) {
	if s.elapsed < h.disconnectedUntil || s.elapsed < h.suspendedUntil {
		s.schedule(100*time.Millisecond, func() { s.receiveState(h) })
		return
	}
	if !s.injected.missesRollback || s.rollout.Running() {
		h.selector.SetRollouts([]wheelgauge.Rollout{s.currentRollout()})
	}
}

func (s *simulation) runEvents() {
	tick := int64(s.elapsed / simTick)
	for _, event := range s.events[tick] {
		event()
	}
	delete(s.events, tick)
}

// disturb applies the disturbance to a random host once a second.
func (s *simulation) disturb() {
	if s.elapsed < 0 || s.elapsed%time.Second != 0 {
		return
	}
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	switch {
	case s.disturbance.disconnect:
		h.disconnectedUntil = s.elapsed + 5*time.Second
	case s.disturbance.suspend:
		h.suspendedUntil = s.elapsed + 3*time.Second
	case s.disturbance.restart:
		s.startHost(h)
	}
}

func (s *simulation) generateRequests() {
	factor := 1.0
	if s.disturbance.burst && s.elapsed > s.limit/3 && s.elapsed < s.limit/2 {
		factor = 2.3
	}
	for _, r := range s.deployment.routes {
		mean := r.rate * factor * simTick.Seconds()
		for range poisson(s.rng, mean) {
			h := s.hosts[s.rng.IntN(len(s.hosts))]
			if s.elapsed >= h.suspendedUntil {
				s.dispatch(h, r, false)
			}
		}
	}
}

func poisson(rng *rand.Rand, mean float64) int {
	n, left := 0, rng.ExpFloat64()
	for left < mean {
		n++
		left += rng.ExpFloat64()
	}
	return n
}

// dispatch sends one request to a server of a version that the selector allows.
func (s *simulation) dispatch(h *simHost, r simRoute, retry bool) {
	choice, release := h.selector.Choose(service, r.name, r.duration*5/2, retry)
	if !choice.Allows(oldVersion) && !choice.Allows(newVersion) {
		release()
		s.refused++
		return
	}
	v := oldVersion
	if s.injected.ignoresShare && s.elapsed > 0 && s.rng.Float64() < 0.3 {
		v = newVersion
	}
	if only, ok := choice.Only(); ok && s.elapsed > 300*time.Millisecond {
		v = only
	}
	server := fmt.Sprint(v, "-", s.rng.IntN(s.deployment.servers))
	h.selector.RecordSent(service, r.name, v)
	s.countRequest(v, h)
	s.inFlight[server]++
	s.answers[server]++
	failed, slow, versionFault := s.drawOutcome(r, v, server)
	noise := math.Exp(0.25 * s.rng.NormFloat64())
	firstByte, duration := time.Duration(noise*float64(r.firstByte)), time.Duration(noise*float64(r.duration))
	if slow {
		percent := time.Duration(cmp.Or(s.version.slowFactor, 4) * 100)
		firstByte, duration = percent*firstByte/100, duration+(percent-100)*firstByte/100
	}
	boot, number, fresh := h.boot, h.selector.RunningRollouts()[service], v == newVersion && s.elapsed < warmUpTime
	s.schedule(duration, func() {
		release()
		s.inFlight[server]--
		if v == oldVersion && h.boot == boot {
			s.oldInFlight--
			h.oldInFlight--
		}
		if versionFault {
			s.countBadAnswer()
		}
		if h.boot == boot {
			h.tally.Add(tally.Answer{Service: service, Route: r.name, Server: server, Target: v == newVersion, RolloutNumber: number, Failed: failed, Fresh: fresh, FirstByte: firstByte})
		}
		if failed && !retry && h.boot == boot {
			s.dispatch(h, r, true)
		}
	})
}

// drawOutcome draws how a request ends at a server. versionFault is set if the version is at
// fault, rather than the server, its cold cache, or chance, which affect any version.
func (s *simulation) drawOutcome(r simRoute, v, server string) (failed, slow, versionFault bool) {
	dist, ver := s.disturbance, s.version
	failed = s.rng.Float64() < 0.01
	slow = s.rng.Float64() < 0.01
	if strings.HasSuffix(server, "-0") {
		failed = failed || v == oldVersion && s.rng.Float64() < dist.oldServerFailRate || v == newVersion && s.rng.Float64() < dist.newServerFailRate
	}
	if v == oldVersion {
		return failed, slow, false
	}
	slow = slow || dist.coldCaches && (s.elapsed < warmUpTime && s.rng.Float64() < 0.5 || s.answers[server] < 20 && s.rng.Float64() < 0.1)
	if s.elapsed < time.Duration(ver.from*float64(s.limit)) || ver.route != "" && ver.route != r.name || s.inFlight[server] <= ver.minInFlight {
		return failed, slow, false
	}
	ownFailed, ownSlow := s.rng.Float64() < ver.failRate, s.rng.Float64() < ver.slowRate
	return failed || ownFailed, slow || ownSlow, ownFailed || ownSlow
}

// countRequest records a request that reaches a server.
func (s *simulation) countRequest(v string, h *simHost) {
	complete := s.rollout.State == wheelgauge.RolloutCompleted && s.endedAt >= 0 && s.elapsed > s.endedAt
	if v == oldVersion {
		s.oldInFlight++
		h.oldInFlight++
		if complete {
			s.oldAfterEnd++
		}
	}
	if s.elapsed < 0 {
		return
	}
	if s.elapsed <= s.limit {
		s.sent++
		if v == newVersion {
			s.sentTarget++
		}
	}
	inTouch := s.elapsed >= max(h.disconnectedUntil, h.suspendedUntil)+reconnectTime
	if v == newVersion && inTouch && s.evidentAt >= 0 && s.elapsed > s.evidentAt+rollBackTimeout {
		s.lateRequests++
	}
}

func (s *simulation) countBadAnswer() {
	s.badAnswers++
	if s.badAnswers == 50 {
		s.evidentAt = s.elapsed
	}
}

// sendReports sends the hosts' reports: often to the nearest store, once a second to the
// others, and at once to all on an urgent change.
func (s *simulation) sendReports() {
	for n, h := range s.hosts {
		if s.elapsed < h.disconnectedUntil || s.elapsed < h.suspendedUntil {
			continue
		}
		changes := h.selector.Changes()
		urgent := changes != h.reportedChanges
		h.reportedChanges = changes
		if s.elapsed%(150*time.Millisecond) == 0 {
			h.selector.ConfirmState()
		}
		for i, store := range s.stores {
			if urgent || i == n%simStores && s.elapsed%(150*time.Millisecond) == 0 || (s.elapsed+time.Duration(n)*50*time.Millisecond)%time.Second == 0 {
				s.sendReport(h, store)
			}
		}
	}
}

func (s *simulation) sendReport(h *simHost, store *controller.Controller) {
	reports := h.selector.Reports()
	for i, r := range reports {
		reports[i].Stats = h.tally.Counts(service, r.Number)
	}
	name, boot := h.name, h.boot
	s.schedule(time.Duration(20+s.rng.IntN(60))*time.Millisecond, func() { store.Take(name, boot, reports) })
}

// leader returns the index of the store that decides now, or -1 if there is no leader.
func (s *simulation) leader() int {
	if !s.disturbance.leaderLoss {
		return 0
	}
	switch phase := s.elapsed % (6 * time.Second); {
	case phase < 2*time.Second:
		return int(s.elapsed/(6*time.Second)) % simStores
	case phase < 4*time.Second:
		return -1
	default:
		return int(s.elapsed/(6*time.Second)+1) % simStores
	}
}

func (s *simulation) decide() {
	n := s.leader()
	if n < 0 || s.pending || !s.rollout.Running() {
		return
	}
	live := map[string]uint64{}
	for _, h := range s.hosts {
		if s.elapsed >= h.disconnectedUntil+time.Second && s.elapsed >= h.suspendedUntil+time.Second {
			live[h.name] = h.boot
		}
	}
	d := s.stores[n].Decide(s.rollout, controller.FleetView{Remaining: s.limit - s.elapsed, LiveHosts: live, TargetServers: s.deployment.servers})
	switch {
	case s.injected.neverRollsBack && d.Step == controller.RollBack:
		d.Step = controller.Wait
	case s.injected.skipsWaiting && s.rollout.Shifting:
		d.Step = controller.Complete
	case s.injected.alwaysRollsBack && d.Answers > 20:
		d.Step = controller.RollBack
	}
	if d.Step == controller.Wait {
		return
	}
	s.pending = true
	s.schedule(100*time.Millisecond, func() { s.commit(d) })
}

func (s *simulation) commit(d controller.Decision) {
	s.pending = false
	switch d.Step {
	case controller.Shift:
		s.rollout.Shifting = true
	case controller.Complete:
		s.rollout.State, s.endedAt, s.inFlightAtEnd = wheelgauge.RolloutCompleted, s.elapsed, s.oldInFlight
	case controller.RollBack:
		s.rollout.State, s.endedAt, s.cause = wheelgauge.RolloutRolledBack, s.elapsed, d.Cause
	}
	s.announceState()
}

// violations checks what servers received against the guarantees.
func (s *simulation) violations() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if allowed := simShare*float64(s.sent) + simSlack; s.version.bad && float64(s.sentTarget) > allowed {
		add("%d of %d requests went to a bad version, allowed %.0f", s.sentTarget, s.sent, allowed)
	}
	if s.lateRequests > 0 && !s.disturbance.leaderLoss {
		add("%d requests went to a bad version long after its answers showed the fault", s.lateRequests)
	}
	if s.rollout.State == wheelgauge.RolloutCompleted && (s.oldAfterEnd > 0 || s.inFlightAtEnd > 0) {
		add("complete with %d requests in flight at old servers and %d more sent later", s.inFlightAtEnd, s.oldAfterEnd)
	}
	if !s.version.bad && s.rollout.State == wheelgauge.RolloutRolledBack {
		add("a good version was rolled back: %s", s.cause)
	}
	if s.rollout.Running() {
		add("still running %s after its limit", s.deployment.settle)
	}
	return out
}

func evaluators() map[string]func() wheelgauge.VersionEvaluator {
	return map[string]func() wheelgauge.VersionEvaluator{
		"sequential": func() wheelgauge.VersionEvaluator { return sequential.New() },
		"fixed":      func() wheelgauge.VersionEvaluator { return threshold.New() },
	}
}

func TestRollouts(t *testing.T) {
	for n, v := range versions {
		for m, d := range disturbances {
			name := v.name + ", " + d.name
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				sum := summary{}
				for seed := range *simSeeds {
					limit := []time.Duration{12, 20, 30, 60}[(seed+n+m)%min(4, 2+*simSeeds)] * time.Second
					sim := newSimulation(uint64(seed), v, d, limit, evaluators()["sequential"])
					sim.run()
					for _, violation := range sim.violations() {
						t.Errorf("seed %d, %s: %s", seed, limit, violation)
					}
					sum.add(sim)
				}
				if *simFigures {
					t.Log(sum)
				}
			})
		}
	}
}

// Each check of the simulation detects the kind of fault that it is meant for.
func TestInjectedFaultsAreDetected(t *testing.T) {
	tests := []injectedFault{
		{name: "hosts exceed their share", ignoresShare: true, neverRollsBack: true, version: "fails", want: "allowed"},
		{name: "stores miss a bad version", neverRollsBack: true, version: "fails", want: "long after"},
		{name: "hosts miss the rollback", missesRollback: true, version: "fails", want: "long after"},
		{name: "stores do not wait for hosts", skipsWaiting: true, version: "good", want: "in flight at old servers"},
		{name: "stores roll back a good version", alwaysRollsBack: true, version: "good", want: "was rolled back"},
		{name: "none", version: "good"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			index := slices.IndexFunc(versions, func(v version) bool { return v.name == tt.version })
			sim := newSimulation(7, versions[index], disturbances[0], 30*time.Second, evaluators()["sequential"])
			sim.injected = tt
			sim.run()
			if got := strings.Join(sim.violations(), "; "); !strings.Contains(got, tt.want) || tt.want == "" && got != "" {
				t.Errorf("got violations %q, want %q", got, tt.want)
			}
		})
	}
}

// The sequential test makes no more wrong decisions than fixed thresholds.
func TestEvaluatorErrorRates(t *testing.T) {
	type errorCounts struct{ falseRollbacks, missedFaults, badAnswers int }
	results := map[string]*errorCounts{}
	for name, newEvaluator := range evaluators() {
		r := &errorCounts{}
		results[name] = r
		for n, v := range versions {
			for m, d := range disturbances {
				if *simSeeds == 1 && (n+m)%3 > 0 {
					continue
				}
				for seed := range max(1, *simSeeds/4) {
					sim := newSimulation(uint64(seed), v, d, 12*time.Second, newEvaluator)
					sim.run()
					switch rolledBack := sim.rollout.State == wheelgauge.RolloutRolledBack; {
					case rolledBack && !v.bad:
						r.falseRollbacks++
					case !rolledBack && v.bad:
						r.missedFaults++
					}
					if v.bad {
						r.badAnswers += sim.badAnswers
					}
				}
			}
		}
		t.Logf("%s: %d good versions rolled back, %d bad versions not rolled back, %d bad answers", name, r.falseRollbacks, r.missedFaults, r.badAnswers)
	}
	if seq, base := results["sequential"], results["fixed"]; seq.falseRollbacks+seq.missedFaults > base.falseRollbacks+base.missedFaults {
		t.Errorf("sequential test makes more wrong decisions than fixed thresholds: got %+v, want at most %+v", seq, base)
	}
}

// summary aggregates simulations.
type summary struct {
	runs, completed, inTime, rolledBack int
	refused                             int
	maxExposure                         float64
	totalDelay                          time.Duration
	delays                              []time.Duration
}

func (sm *summary) add(sim *simulation) {
	sm.runs++
	switch sim.rollout.State {
	case wheelgauge.RolloutCompleted:
		sm.completed++
		if sim.endedAt <= sim.limit {
			sm.inTime++
		}
	case wheelgauge.RolloutRolledBack:
		sm.rolledBack++
	}
	sm.refused += sim.refused
	sm.maxExposure = max(sm.maxExposure, float64(sim.sentTarget)/(simShare*float64(sim.sent)+simSlack))
	sm.totalDelay += sim.endedAt - sim.limit
	sm.delays = append(sm.delays, (sim.endedAt - sim.limit).Round(100*time.Millisecond))
}

func (sm summary) String() string {
	return fmt.Sprintf("%d simulations: %d completed, %d of them in time, %d rolled back; ended %s after the limit on average; at most %.2f of the share used; %d requests refused; %v",
		sm.runs, sm.completed, sm.inTime, sm.rolledBack, (sm.totalDelay / time.Duration(sm.runs)).Round(10*time.Millisecond), sm.maxExposure, sm.refused, sm.delays)
}
