package director_test

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
	"wheelgauge/rollout/director"
	"wheelgauge/rollout/fixed"
	"wheelgauge/rollout/ledger"
	"wheelgauge/rollout/sequential"
	"wheelgauge/rollout/tally"
)

// Rollouts are played without a network: hosts send requests by their ledgers and count the
// answers, stores hear of it late, the leader among them decides, and hosts hear of that late.
// What is judged is what servers got: a bad version no more than its share of all requests
// within the time limit, nothing long after its answers showed that it is bad, and the
// versions that are replaced nothing after the rollout was told to be complete.
var (
	playSeeds   = flag.Int("rollout.seeds", 1, "seeds of each kind of version and trouble")
	playFigures = flag.Bool("rollout.figures", false, "print how each kind ended")
)

const (
	playTick     = 10 * time.Millisecond
	playShare    = 0.1
	playSlack    = 50.0
	playRollBack = 5 * time.Second
	// playTouch is how long after its return a host is in touch.
	playTouch = 6 * time.Second
	// playAfter is how long a play goes on after its rollout ended.
	playAfter  = 12 * time.Second
	playSettle = 30 * time.Second
	// playFresh is how long servers that have just started are slow.
	playFresh   = 4 * time.Second
	service     = "s"
	oldVersion  = "v1"
	newVersion  = "v2"
	playServers = 6
	playStores  = 3
	playHosts   = 24
)

// playRoute is a kind of request.
type playRoute struct {
	name  string
	rate  float64 // requests a second of all hosts
	takes time.Duration
	first time.Duration
}

var playRoutes = []playRoute{
	{"long", 60, 3 * time.Second, 250 * time.Millisecond},
	{"short", 190, 300 * time.Millisecond, 150 * time.Millisecond},
	{"post", 40, 60 * time.Millisecond, 60 * time.Millisecond},
}

// size is that of a played deployment.
type size struct {
	hosts, servers int
	routes         []playRoute
	// settle is for how long after its limit a rollout is played.
	settle time.Duration
}

var playSize = size{playHosts, playServers, playRoutes, playSettle}

// version is how the target version behaves.
type version struct {
	name string
	bad  bool
	// fails and slow are the parts of its answers that are so, from a part of the rollout's
	// time on, on one route if it is named, and only with more in flight at a server than load.
	fails, slow float64
	from        float64
	route       string
	load        int
	// slowBy is how many times as long slow answers take; four times when 0.
	slowBy float64
}

var versions = []version{
	{name: "good"},
	{name: "fails", bad: true, fails: 0.3},
	{name: "slow", bad: true, slow: 0.6},
	{name: "later", bad: true, fails: 0.4, from: 0.5},
	{name: "on one route", bad: true, fails: 0.5, route: "post"},
	{name: "under load", bad: true, fails: 0.5, load: 4},
}

// trouble is what else happens.
type trouble struct {
	name string
	// greyOld and greyNew are parts of requests that fail at one server of the version.
	greyOld, greyNew float64
	cold, burst      bool
	leaderLost       bool
	cut, restart     bool
	suspend          bool
}

var troubles = []trouble{
	{name: "calm"},
	{name: "grey server of the old version", greyOld: 0.5},
	{name: "grey server of the new version", greyNew: 0.4},
	{name: "cold caches", cold: true},
	{name: "burst", burst: true},
	{name: "leader lost", leaderLost: true},
	{name: "hosts cut off", cut: true},
	{name: "hosts restart", restart: true},
	{name: "hosts suspended", suspend: true},
}

// planted is a fault of the code that the checks must see.
type planted struct {
	name string
	// ignoresShare: hosts send a part of their requests to the target version without asking.
	// neverBad: stores never take a version back. skipsWaiting: stores complete without waiting
	// for hosts. missesRollback: hosts do not hear that a version was taken back. alwaysBad:
	// stores take any version back.
	ignoresShare, neverBad, skipsWaiting, missesRollback, alwaysBad bool
	// version and want are the one that shows it and a part of what is seen.
	version string
	want    string
}

// play is one rollout.
type play struct {
	size    size
	rng     *rand.Rand
	version version
	trouble trouble
	planted planted
	limit   time.Duration
	at      time.Duration
	// events are what is to happen, by tick.
	events  map[int64][]func()
	hosts   []*playHost
	stores  []*director.Director
	rollout wheelgauge.Rollout
	pending bool
	// inFlight is by server.
	inFlight map[string]int
	answers  map[string]int
	// What servers saw.
	sent, sentNew int
	badAnswers    int
	fiftieth      time.Duration
	late          int
	refused       int
	oldInFlight   int
	oldAfter      int
	inFlightAtEnd int
	ended         time.Duration
	cause         string
}

type playHost struct {
	name    string
	boot    uint64
	ledger  *ledger.Ledger
	tally   *tally.Tally
	cutTo   time.Duration
	sleepTo time.Duration
	// slept is set while the host was suspended: no event reaches it.
	told uint64
	// old are requests in flight at old servers.
	old int
}

func (p *play) now() time.Time { return time.Unix(1000, 0).Add(p.at) }

// after has something happen later, in the next tick at the soonest.
func (p *play) after(d time.Duration, do func()) {
	tick := int64((p.at + max(d, playTick) + playTick - 1) / playTick)
	p.events[tick] = append(p.events[tick], do)
}

func newPlay(seed uint64, v version, tr trouble, limit time.Duration, judge func() wheelgauge.VersionJudge) *play {
	return newPlayOf(playSize, seed, v, tr, limit, judge)
}

func newPlayOf(of size, seed uint64, v version, tr trouble, limit time.Duration, judge func() wheelgauge.VersionJudge) *play {
	p := &play{size: of, rng: rand.New(rand.NewPCG(seed, 1)), version: v, trouble: tr, limit: limit, events: map[int64][]func(){}, inFlight: map[string]int{}, answers: map[string]int{}, fiftieth: -1}
	for n := range of.hosts {
		h := &playHost{name: fmt.Sprint("h", n)}
		p.start(h)
		p.hosts = append(p.hosts, h)
	}
	for range playStores {
		p.stores = append(p.stores, director.New(judge, p.now))
	}
	return p
}

func (p *play) start(h *playHost) {
	h.boot++
	p.oldInFlight -= h.old // ended with the process
	h.old = 0
	h.ledger = ledger.New(ledger.Options{Host: h.name, Share: playShare, Slack: playSlack, Now: p.now})
	h.ledger.SetHosts(p.size.hosts)
	h.tally = tally.New()
	h.told = 0
	if p.rollout.Number > 0 {
		h.ledger.Set([]wheelgauge.Rollout{p.seen()})
	}
}

// seen is the rollout as a store tells of it now.
func (p *play) seen() wheelgauge.Rollout {
	r := p.rollout
	r.ElapsedMS = p.at.Milliseconds()
	return r
}

// run plays from three seconds before the order until everything ended.
func (p *play) run() {
	p.at = -3 * time.Second
	for ; p.at < p.limit+p.size.settle; p.at += playTick {
		if p.at == 0 {
			p.order()
		}
		if p.at > 0 && !p.rollout.Running() && !p.planted.missesRollback && p.at > p.ended+playAfter {
			return
		}
		p.fire()
		p.stir()
		p.arrive()
		if p.at%(50*time.Millisecond) == 0 {
			p.report()
		}
		if p.at >= 0 && p.at%(100*time.Millisecond) == 0 {
			p.decide()
		}
	}
}

func (p *play) order() {
	p.rollout = wheelgauge.Rollout{
		RolloutOrder: wheelgauge.RolloutOrder{Service: service, Version: newVersion, DurationMS: p.limit.Milliseconds()}, Number: 1, State: wheelgauge.RolloutRunning,
	}
	p.tell()
}

// tell lets every host that is in touch hear of the state.
func (p *play) tell() {
	for _, h := range p.hosts {
		p.after(50*time.Millisecond+time.Duration(p.rng.IntN(250))*time.Millisecond, func() { p.hear(h) })
	}
}

func (p *play) hear(h *playHost) {
	if p.at < h.cutTo || p.at < h.sleepTo {
		p.after(100*time.Millisecond, func() { p.hear(h) })
		return
	}
	if !p.planted.missesRollback || p.rollout.Running() {
		h.ledger.Set([]wheelgauge.Rollout{p.seen()})
	}
}

func (p *play) fire() {
	tick := int64(p.at / playTick)
	for _, do := range p.events[tick] {
		do()
	}
	delete(p.events, tick)
}

// stir brings about what the trouble is.
func (p *play) stir() {
	if p.at < 0 || p.at%time.Second != 0 {
		return
	}
	h := p.hosts[p.rng.IntN(len(p.hosts))]
	switch {
	case p.trouble.cut:
		h.cutTo = p.at + 5*time.Second
	case p.trouble.suspend:
		h.sleepTo = p.at + 3*time.Second
	case p.trouble.restart:
		p.start(h)
	}
}

func (p *play) arrive() {
	factor := 1.0
	if p.trouble.burst && p.at > p.limit/3 && p.at < p.limit/2 {
		factor = 2.3
	}
	for _, r := range p.size.routes {
		mean := r.rate * factor * playTick.Seconds()
		for range poisson(p.rng, mean) {
			h := p.hosts[p.rng.IntN(len(p.hosts))]
			if p.at >= h.sleepTo {
				p.send(h, r, false)
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

// send dispatches one request.
func (p *play) send(h *playHost, r playRoute, repeat bool) {
	choice, release := h.ledger.Choose(service, r.name, r.takes*5/2, repeat)
	if !choice.Allows(oldVersion) && !choice.Allows(newVersion) {
		release()
		p.refused++
		return
	}
	v := oldVersion
	if p.planted.ignoresShare && p.at > 0 && p.rng.Float64() < 0.3 {
		v = newVersion
	}
	if only, ok := choice.Only(); ok && p.at > 300*time.Millisecond {
		v = only
	}
	server := fmt.Sprint(v, "-", p.rng.IntN(p.size.servers))
	h.ledger.Sent(service, r.name, v)
	p.note(v, h)
	p.inFlight[server]++
	p.answers[server]++
	failed, slow, own := p.outcome(r, v, server)
	noise := math.Exp(0.25 * p.rng.NormFloat64())
	first, takes := time.Duration(noise*float64(r.first)), time.Duration(noise*float64(r.takes))
	if slow {
		by := time.Duration(cmp.Or(p.version.slowBy, 4) * 100)
		first, takes = by*first/100, takes+(by-100)*first/100
	}
	boot, number, fresh := h.boot, h.ledger.Runs()[service], v == newVersion && p.at < playFresh
	p.after(takes, func() {
		release()
		p.inFlight[server]--
		if v == oldVersion && h.boot == boot {
			p.oldInFlight--
			h.old--
		}
		if own {
			p.noteBad()
		}
		if h.boot == boot {
			h.tally.Add(tally.Answer{Service: service, Route: r.name, Server: server, Target: v == newVersion, Number: number, Failed: failed, Fresh: fresh, First: first})
		}
		if failed && !repeat && h.boot == boot {
			p.send(h, r, true)
		}
	})
}

// outcome draws how a request ends at a server; own is set if that is the version's fault, and
// not that of the server, of its cache or of chance, which any version has.
func (p *play) outcome(r playRoute, v, server string) (failed, slow, own bool) {
	tr, ver := p.trouble, p.version
	failed = p.rng.Float64() < 0.01
	slow = p.rng.Float64() < 0.01
	if strings.HasSuffix(server, "-0") {
		failed = failed || v == oldVersion && p.rng.Float64() < tr.greyOld || v == newVersion && p.rng.Float64() < tr.greyNew
	}
	if v == oldVersion {
		return failed, slow, false
	}
	slow = slow || tr.cold && (p.at < playFresh && p.rng.Float64() < 0.5 || p.answers[server] < 20 && p.rng.Float64() < 0.1)
	if p.at < time.Duration(ver.from*float64(p.limit)) || ver.route != "" && ver.route != r.name || p.inFlight[server] <= ver.load {
		return failed, slow, false
	}
	ownFailed, ownSlow := p.rng.Float64() < ver.fails, p.rng.Float64() < ver.slow
	return failed || ownFailed, slow || ownSlow, ownFailed || ownSlow
}

// note counts what reaches servers.
func (p *play) note(v string, h *playHost) {
	over := p.rollout.State == wheelgauge.RolloutCompleted && p.ended >= 0 && p.at > p.ended
	if v == oldVersion {
		p.oldInFlight++
		h.old++
		if over {
			p.oldAfter++
		}
	}
	if p.at < 0 {
		return
	}
	if p.at <= p.limit {
		p.sent++
		if v == newVersion {
			p.sentNew++
		}
	}
	inTouch := p.at >= max(h.cutTo, h.sleepTo)+playTouch
	if v == newVersion && inTouch && p.fiftieth >= 0 && p.at > p.fiftieth+playRollBack {
		p.late++
	}
}

func (p *play) noteBad() {
	p.badAnswers++
	if p.badAnswers == 50 {
		p.fiftieth = p.at
	}
}

// report lets hosts tell stores: the nearest often, the others each second, all at once when
// something is to be known soon.
func (p *play) report() {
	for n, h := range p.hosts {
		if p.at < h.cutTo || p.at < h.sleepTo {
			continue
		}
		changes := h.ledger.Changes()
		urgent := changes != h.told
		h.told = changes
		if p.at%(150*time.Millisecond) == 0 {
			h.ledger.Confirm()
		}
		for i, s := range p.stores {
			if urgent || i == n%playStores && p.at%(150*time.Millisecond) == 0 || (p.at+time.Duration(n)*50*time.Millisecond)%time.Second == 0 {
				p.deliver(h, s)
			}
		}
	}
}

func (p *play) deliver(h *playHost, s *director.Director) {
	reports := h.ledger.Reports()
	for i, r := range reports {
		reports[i].Counts = h.tally.Counts(service, r.Number)
	}
	name, boot := h.name, h.boot
	p.after(time.Duration(20+p.rng.IntN(60))*time.Millisecond, func() { s.Take(name, boot, reports) })
}

// leader is the store that decides now; -1 while there is none.
func (p *play) leader() int {
	if !p.trouble.leaderLost {
		return 0
	}
	switch phase := p.at % (6 * time.Second); {
	case phase < 2*time.Second:
		return int(p.at/(6*time.Second)) % playStores
	case phase < 4*time.Second:
		return -1
	default:
		return int(p.at/(6*time.Second)+1) % playStores
	}
}

func (p *play) decide() {
	n := p.leader()
	if n < 0 || p.pending || !p.rollout.Running() {
		return
	}
	live := map[string]uint64{}
	for _, h := range p.hosts {
		if p.at >= h.cutTo+time.Second && p.at >= h.sleepTo+time.Second {
			live[h.name] = h.boot
		}
	}
	d := p.stores[n].Decide(p.rollout, director.View{Left: p.limit - p.at, Live: live, Servers: p.size.servers})
	switch {
	case p.planted.neverBad && d.Step == director.RollBack:
		d.Step = director.Wait
	case p.planted.skipsWaiting && p.rollout.Shifting:
		d.Step = director.Complete
	case p.planted.alwaysBad && d.Answers > 20:
		d.Step = director.RollBack
	}
	if d.Step == director.Wait {
		return
	}
	p.pending = true
	p.after(100*time.Millisecond, func() { p.commit(d) })
}

func (p *play) commit(d director.Decision) {
	p.pending = false
	switch d.Step {
	case director.Shift:
		p.rollout.Shifting = true
	case director.Complete:
		p.rollout.State, p.ended, p.inFlightAtEnd = wheelgauge.RolloutCompleted, p.at, p.oldInFlight
	case director.RollBack:
		p.rollout.State, p.ended, p.cause = wheelgauge.RolloutRolledBack, p.at, d.Cause
	}
	p.tell()
}

// faults holds what was seen against what must hold.
func (p *play) faults() []string {
	var out []string
	add := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	if allowed := playShare*float64(p.sent) + playSlack; p.version.bad && float64(p.sentNew) > allowed {
		add("%d of %d requests went to a bad version, allowed %.0f", p.sentNew, p.sent, allowed)
	}
	if p.late > 0 && !p.trouble.leaderLost {
		add("%d requests went to a bad version long after it had shown", p.late)
	}
	if p.rollout.State == wheelgauge.RolloutCompleted && (p.oldAfter > 0 || p.inFlightAtEnd > 0) {
		add("complete, while %d were in flight at old servers and %d more came", p.inFlightAtEnd, p.oldAfter)
	}
	if !p.version.bad && p.rollout.State == wheelgauge.RolloutRolledBack {
		add("a good version was rolled back: %s", p.cause)
	}
	if p.rollout.Running() {
		add("still running %s after its limit", p.size.settle)
	}
	return out
}

func judges() map[string]func() wheelgauge.VersionJudge {
	return map[string]func() wheelgauge.VersionJudge{
		"sequential": func() wheelgauge.VersionJudge { return sequential.New() },
		"fixed":      func() wheelgauge.VersionJudge { return fixed.New() },
	}
}

func TestRollouts(t *testing.T) {
	for n, v := range versions {
		for m, tr := range troubles {
			name := v.name + ", " + tr.name
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				f := figures{}
				for seed := range *playSeeds {
					limit := []time.Duration{12, 20, 30, 60}[(seed+n+m)%min(4, 2+*playSeeds)] * time.Second
					p := newPlay(uint64(seed), v, tr, limit, judges()["sequential"])
					p.run()
					for _, fault := range p.faults() {
						t.Errorf("seed %d, %s: %s", seed, limit, fault)
					}
					f.add(p)
				}
				if *playFigures {
					t.Log(f)
				}
			})
		}
	}
}

// Each check sees a fault of the code that it is there for.
func TestPlantedFaults(t *testing.T) {
	tests := []planted{
		{name: "hosts do not keep to the share", ignoresShare: true, neverBad: true, version: "fails", want: "allowed"},
		{name: "stores do not find it bad", neverBad: true, version: "fails", want: "long after"},
		{name: "hosts do not hear of it", missesRollback: true, version: "fails", want: "long after"},
		{name: "stores do not wait for hosts", skipsWaiting: true, version: "good", want: "in flight at old servers"},
		{name: "stores find a good version bad", alwaysBad: true, version: "good", want: "was rolled back"},
		{name: "none", version: "good"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := slices.IndexFunc(versions, func(v version) bool { return v.name == tt.version })
			p := newPlay(7, versions[at], troubles[0], 30*time.Second, judges()["sequential"])
			p.planted = tt
			p.run()
			if got := strings.Join(p.faults(), "; "); !strings.Contains(got, tt.want) || tt.want == "" && got != "" {
				t.Errorf("seen: %q, want %q", got, tt.want)
			}
		})
	}
}

// The sequential test is wrong no more often than fixed thresholds.
func TestWaysToJudge(t *testing.T) {
	type score struct{ wrong, missed, exposed int }
	scores := map[string]*score{}
	for name, judge := range judges() {
		s := &score{}
		scores[name] = s
		for n, v := range versions {
			for m, tr := range troubles {
				if *playSeeds == 1 && (n+m)%3 > 0 {
					continue
				}
				for seed := range max(1, *playSeeds/4) {
					p := newPlay(uint64(seed), v, tr, 12*time.Second, judge)
					p.run()
					switch back := p.rollout.State == wheelgauge.RolloutRolledBack; {
					case back && !v.bad:
						s.wrong++
					case !back && v.bad:
						s.missed++
					}
					if v.bad {
						s.exposed += p.badAnswers
					}
				}
			}
		}
		t.Logf("%s: %d good versions taken back, %d bad ones not, %d bad answers", name, s.wrong, s.missed, s.exposed)
	}
	if one, other := scores["sequential"], scores["fixed"]; one.wrong+one.missed > other.wrong+other.missed {
		t.Errorf("the sequential test is wrong more often: %+v, %+v", one, other)
	}
}

// figures sum plays up.
type figures struct {
	plays, completed, inTime, rolledBack int
	refused                              int
	exposed                              float64
	ended                                time.Duration
	late                                 []time.Duration
}

func (f *figures) add(p *play) {
	f.plays++
	switch p.rollout.State {
	case wheelgauge.RolloutCompleted:
		f.completed++
		if p.ended <= p.limit {
			f.inTime++
		}
	case wheelgauge.RolloutRolledBack:
		f.rolledBack++
	}
	f.refused += p.refused
	f.exposed = max(f.exposed, float64(p.sentNew)/(playShare*float64(p.sent)+playSlack))
	f.ended += p.ended - p.limit
	f.late = append(f.late, (p.ended - p.limit).Round(100*time.Millisecond))
}

func (f figures) String() string {
	return fmt.Sprintf("%d plays: %d completed, %d of them in time, %d rolled back; ended %s after the limit in the mean; %.2f of the share used at most; %d requests refused; %v",
		f.plays, f.completed, f.inTime, f.rolledBack, (f.ended / time.Duration(f.plays)).Round(10*time.Millisecond), f.exposed, f.refused, f.late)
}
