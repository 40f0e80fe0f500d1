package permitclient

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/arrivalbound"
	"wheelgauge/permitissuer"
	"wheelgauge/serverlimit"
)

var (
	seeds   = flag.Int("permit.seeds", 24, "seeded schedules to play")
	figures = flag.Bool("permit.figures", false, "print the worst window and what was used, by schedule")
)

const (
	tick              = 10 * time.Millisecond
	heartbeatInterval = 150 * time.Millisecond
	// responseTime is how long a server takes to answer.
	responseTime = 60 * time.Millisecond
	runTime      = 40 * time.Second
	// limitFrom is when servers first announce a limit; the bound is checked from boundDelay
	// later.
	limitFrom  = 2 * time.Second
	boundDelay = 5 * time.Second
	// lowerLimitDelay is how much later a lower limit binds: its first answer, and half a
	// second.
	lowerLimitDelay = time.Second
	maxWait         = 2500 * time.Millisecond
	maxStores       = 3
)

// phase is a limit that a server announces from a given time on; negative for no limit.
type phase struct {
	from time.Duration
	rate float64
}

// modelServer is a server with limits.
type modelServer struct {
	name   string
	phases []phase
	// demand is the rate of callers' requests for it, in requests a second.
	demand   float64
	arrivals []time.Duration
}

func (s *modelServer) rate(at time.Duration) float64 {
	rate := -1.0
	for _, p := range s.phases {
		if p.from <= at {
			rate = p.rate
		}
	}
	return rate
}

// maxRate returns the highest limit within a span, and whether there was one throughout.
func (s *modelServer) maxRate(from, to time.Duration) (rate float64, limited bool) {
	for at := from; at <= to; at += tick {
		r := s.rate(at)
		if r < 0 {
			return 0, false
		}
		rate = max(rate, r)
	}
	return rate, true
}

type modelStore struct {
	address string
	boot    uint64
	limits  *serverlimit.Table
	issuer  *permitissuer.Issuer
	// unreachableUntil is until when it answers no host; frozen stores keep their state.
	unreachableUntil time.Duration
}

type modelHost struct {
	name   string
	boot   uint64
	limits *serverlimit.Table
	client *Client
	// downUntil is until when the host is down.
	downUntil time.Duration
	// cutUntil is until when the host does not reach each store.
	cutUntil [maxStores]time.Duration
	// ready is set once a store has answered: a host serves nothing before.
	ready bool
	// sentUpTo and receivedUpTo are the last changes exchanged with each store process.
	sentUpTo, receivedUpTo map[uint64]uint64
}

// event is an action at a later time.
type event struct {
	at time.Duration
	do func()
}

// model simulates hosts, stores and servers with limits over virtual time.
type model struct {
	t       *testing.T
	r       *rand.Rand
	at      time.Duration
	until   time.Duration
	stores  []*modelStore
	hosts   []*modelHost
	servers []*modelServer
	events  []event
	// take decides in place of the hosts' clients, if it is set.
	take func(h *modelHost, s *modelServer) bool
	// lost is the part of the calls to stores that are lost, half of them on the way back.
	lost float64
	// onTick is called every tick, if it is set.
	onTick func()
}

func newModel(t *testing.T, seed uint64, hosts, stores int, servers ...*modelServer) *model {
	m := &model{t: t, r: rand.New(rand.NewPCG(seed, 7)), until: runTime, servers: servers}
	for i := range stores {
		s := &modelStore{address: fmt.Sprint("store-", i)}
		m.startStore(s)
		m.stores = append(m.stores, s)
	}
	for i := range hosts {
		h := &modelHost{name: fmt.Sprint("host-", i)}
		m.hosts = append(m.hosts, h)
		m.startHost(h)
	}
	return m
}

func (m *model) now() time.Time { return time.Unix(1000, 0).Add(m.at) }

func (m *model) startStore(s *modelStore) {
	s.boot++
	s.limits = serverlimit.New(m.now)
	s.issuer = permitissuer.New(s.limits, m.now)
}

func (m *model) startHost(h *modelHost) {
	h.ready = false
	h.boot++
	h.limits, h.sentUpTo, h.receivedUpTo = serverlimit.New(m.now), map[uint64]uint64{}, map[uint64]uint64{}
	h.client = New(Options{
		Host: h.name, Boot: h.boot, Limits: h.limits, Now: m.now,
		Stores:  func() []wheelgauge.RegionStore { return m.storesOf(h) },
		Sharers: m.hostNames,
		Request: func(_ context.Context, address string, req wheelgauge.PermitRequest) (wheelgauge.PermitResponse, error) {
			return m.answer(h, address, req)
		},
	})
}

// storesOf returns a host's view of the stores.
func (m *model) storesOf(h *modelHost) []wheelgauge.RegionStore {
	var out []wheelgauge.RegionStore
	for i, s := range m.stores {
		out = append(out, wheelgauge.RegionStore{Address: s.address, Reachable: m.reaches(h, i)})
	}
	return out
}

func (m *model) hostNames() []string {
	var out []string
	for _, h := range m.hosts {
		if m.at >= h.downUntil {
			out = append(out, h.name)
		}
	}
	return out[:min(32, len(out))]
}

func (m *model) reaches(h *modelHost, store int) bool {
	return m.at >= m.stores[store].unreachableUntil && m.at >= h.cutUntil[store]
}

// answer answers a permit request as a store does.
func (m *model) answer(h *modelHost, address string, req wheelgauge.PermitRequest) (a wheelgauge.PermitResponse, err error) {
	for i, s := range m.stores {
		if s.address != address {
			continue
		}
		if !m.reaches(h, i) || m.loses() {
			return a, errUnreachable
		}
		if a = s.issuer.Answer(req); m.loses() {
			return a, errUnreachable
		}
		return a, nil
	}
	return a, nil
}

func (m *model) loses() bool { return m.lost > 0 && m.r.Float64() < m.lost/2 }

// heartbeat sends the limits observed by the host to stores, and merges the answer of the
// first.
func (m *model) heartbeat(h *modelHost) {
	first := true
	for i, s := range m.stores {
		if !m.reaches(h, i) {
			continue
		}
		key := uint64(i)<<32 | s.boot
		limits, last := h.limits.LocalSince(h.sentUpTo[key])
		s.limits.Merge(limits)
		h.sentUpTo[key] = last
		if first {
			limits, h.receivedUpTo[key] = s.limits.Since(h.receivedUpTo[key])
			h.limits.Merge(limits)
		}
		first = false
		h.ready = true
	}
}

func (m *model) schedule(after time.Duration, do func()) {
	m.events = append(m.events, event{m.at + after, do})
}

// request is a caller's request for a server at a random host.
func (m *model) request(s *modelServer) {
	m.requestAt(s, m.r.IntN(len(m.hosts)), maxWait)
}

func (m *model) requestAt(s *modelServer, n int, left time.Duration) {
	h := m.hosts[n]
	if m.at < h.downUntil || !h.ready {
		return
	}
	after, ok := m.permit(h, s, left)
	if !ok {
		return
	}
	client := h.client
	before, _ := h.limits.Rate(s.name)
	m.schedule(after, func() {
		rate, _ := h.limits.Rate(s.name)
		switch {
		case h.client != client || m.at < h.downUntil: // the host's process has ended
		case rate != before && after > 0:
			m.requestAt(s, n, left-after) // permits granted ahead are void after a change
		default:
			m.send(s, n)
		}
	})
}

func (m *model) permit(h *modelHost, s *modelServer, left time.Duration) (time.Duration, bool) {
	if m.take != nil {
		return 0, m.take(h, s)
	}
	return h.client.Acquire(context.Background(), s.name, max(0, left))
}

func (m *model) send(s *modelServer, host int) {
	h, sent := m.hosts[host], m.now()
	s.arrivals = append(s.arrivals, m.at)
	client := h.client
	m.schedule(responseTime, func() {
		rate := s.rate(m.at)
		switch {
		case h.client != client:
		case rate < 0:
			h.limits.ObserveNoLimit(s.name, sent)
		default:
			h.limits.ObserveLimit(s.name, rate)
		}
	})
}

func (m *model) run() {
	slices.SortStableFunc(m.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	for ; m.at < m.until; m.at += tick {
		due := m.events
		m.events = nil
		for _, e := range due {
			if e.at > m.at {
				m.events = append(m.events, e)
			} else {
				e.do()
			}
		}
		for i, h := range m.hosts {
			// Heartbeats of hosts are spread over the interval.
			if m.at >= h.downUntil && (m.at/tick+time.Duration(i))%(heartbeatInterval/tick) == 0 {
				m.heartbeat(h)
			}
		}
		if m.onTick != nil {
			m.onTick()
		}
		for _, s := range m.servers {
			want := s.demand * tick.Seconds()
			for want > 0 {
				if m.r.Float64() < want {
					m.request(s)
				}
				want--
			}
		}
	}
}

// worstWindow is the largest fraction of the bound that a server got in a window. Requests of
// hosts that have not received a limit yet, or are affected by faults, count too.
func (m *model) worstWindow(s *modelServer) float64 {
	var got []time.Time
	for _, at := range s.arrivalsSince(limitFrom + boundDelay) {
		got = append(got, time.Unix(0, 0).Add(at))
	}
	bound, most := arrivalbound.ServerLimit(), 0.0
	bound.EachWindow(got, func(from, to time.Time, count int) {
		first, last := from.Sub(time.Unix(0, 0)), to.Sub(time.Unix(0, 0))
		if rate, limited := s.maxRate(max(limitFrom, first-lowerLimitDelay), last); limited {
			most = max(most, float64(count)/bound.Allowed(rate))
		}
	})
	return most
}

// usedFraction is the fraction of the permitted requests that a server got once the bound
// holds.
func (m *model) usedFraction(s *modelServer) float64 {
	offered, got := 0.0, 0
	for at := limitFrom + boundDelay; at < runTime; at += tick {
		if r := s.rate(at); r > 0 {
			offered += r * tick.Seconds()
		}
	}
	for _, at := range s.arrivalsSince(limitFrom + boundDelay) {
		if s.rate(at) >= 0 {
			got++
		}
	}
	return float64(got) / offered
}

// arrivalsSince returns the requests that the server got from a given time on.
func (s *modelServer) arrivalsSince(from time.Duration) []time.Duration {
	for i, at := range s.arrivals {
		if at >= from {
			return s.arrivals[i:]
		}
	}
	return nil
}

// check compares what servers got with the bound, and the used fraction with a minimum.
func (m *model) check(name string, least float64) {
	m.t.Helper()
	for _, s := range m.servers {
		worst, used := m.worstWindow(s), m.usedFraction(s)
		if *figures {
			m.t.Logf("%s: %s: %.2f of the bound in the worst window, %.2f of the limit was used", name, s.name, worst, used)
		}
		if worst > 1 {
			m.t.Errorf("%s: %s got %.2f of the bound in the worst window, want at most 1", name, s.name, worst)
		}
		if used < least {
			m.t.Errorf("%s: %s got %.2f of its limit, want at least %.2f", name, s.name, used, least)
		}
	}
}
