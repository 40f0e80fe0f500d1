package permitissuer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
)

const (
	// hostTTL is how long what a host has in flight counts after its last report. Hosts renew
	// their reports several times in that time.
	hostTTL = 2 * time.Second
	// expireInterval is how often hosts that have not reported are looked for.
	expireInterval = 100 * time.Millisecond
	// loadTTL is how long a server's report of its load counts.
	loadTTL = time.Second
	// loadReports is how many reports have to show requests of hosts that do not report here: a
	// single one may be from before others were sent or ended.
	loadReports = 3
	// doubtTime is how long a server is taken to get requests of others after the last sign of it.
	doubtTime = 5 * time.Second
	// settleTime is how long a store that does not know a server's load waits for the reports of
	// hosts.
	settleTime = time.Second
	// rejectionWindow is the time in which a server bears its number of rejections.
	rejectionWindow = time.Second
	// riskedFraction of the rejections that a server bears is risked where its room is not known.
	riskedFraction = 0.4
	// haltFraction of the rejections that a server bears stops all requests to it until enough of
	// them are past: those on their way may be rejected, too.
	haltFraction = 0.5
	// minBears is the least number of rejections a second that is assumed for the risk: without
	// any request no host would learn of a change.
	minBears = 0.1
	// fallbackSpare is the fraction of a server's places that is not granted in place of the
	// store that usually grants them.
	fallbackSpare = 0.25
	// endRateTime is the averaging time of the rate at which requests end.
	endRateTime = time.Second
)

// hostUse is what a host has in flight at a server.
type hostUse struct {
	boot, seq uint64
	sent      int
	rejected  int
	// granted are the numbers of the places that the host has not reported as sent or ended.
	granted map[uint64]bool
	heardAt time.Time
}

func (h *hostUse) held() int { return h.sent + len(h.granted) }

// endedUse is what a process that was replaced by another one of its host had in flight, which
// the server may run until a time.
type endedUse struct {
	count int
	until time.Time
}

// unknownUse is how many requests a server reported beyond those of the hosts that report here.
type unknownUse struct {
	count int
	at    time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	host     string
	number   uint64
	rank     int
	fallback bool
	// done is called once, with the lock held, when it is known whether the request gets a place.
	done func(granted bool)
}

// places grants the places of one server that bears few rejections. A request gets one only if the
// server surely has room: a queue may shrink at any moment and is not counted.
type places struct {
	slots int
	bears float64
	since time.Time
	hosts map[string]*hostUse
	// held is how many requests these hosts have at the server, or may send to it; expiredAt is
	// when hosts that do not report any more were last dropped.
	held      int
	expiredAt time.Time
	// ended is what processes had in flight that have ended; endedReports are the latest reports of
	// the server since the last of them: how many requests beyond those that hosts have sent.
	ended        []endedUse
	endedReports []int
	// unknown are the latest reports, waiting is how many requests waited by the last one.
	unknown   []unknownUse
	waiting   int
	loadKnown bool
	// ceiling is how many requests the server ran when it last rejected one, which may be fewer
	// than its slots, or half of what was granted if it did not say; -1 if it has rejected none.
	ceiling   int
	ceilingAt time.Time
	rejected  []time.Time
	ends      meanrate.Rate
	riskedAt  time.Time
	// doubtedAt is when something last showed that the server has requests of others.
	doubtedAt time.Time
	waiters   []*waiter
	usedAt    time.Time
}

func newPlaces(now time.Time) *places {
	return &places{since: now, hosts: map[string]*hostUse{}, ceiling: -1, ends: meanrate.New(endRateTime)}
}

// apply takes over what a host reports.
func (p *places) apply(from *wheelgauge.HostUses, u wheelgauge.PlaceUse, now time.Time) {
	p.usedAt, p.bears = now, u.Bears
	if u.Slots > 0 {
		p.slots = u.Slots
	}
	h := p.hosts[from.Host]
	if h != nil && h.boot != from.Boot && h.held() > 0 {
		p.ended = append(p.ended, endedUse{h.held(), h.heardAt.Add(hostTTL)})
		p.endedReports = nil
	}
	if h == nil || h.boot != from.Boot {
		p.drop(from.Host)
		h = &hostUse{boot: from.Boot, rejected: u.Rejected, granted: map[uint64]bool{}}
		p.hosts[from.Host] = h
		p.identify(u.Sent)
	}
	if from.Seq <= h.seq {
		return // overtaken by a later one
	}
	before := h.held()
	h.seq, h.sent, h.heardAt = from.Seq, u.Sent, now
	for number := range h.granted {
		if number < from.Next && !slices.Contains(u.Pending, number) {
			delete(h.granted, number)
		}
	}
	p.held += h.held() - before
	if ended := before - h.held(); ended > 0 {
		p.ends.Add(float64(ended), now)
	}
	p.recordRejections(u, u.Rejected-h.rejected, now)
	h.rejected = u.Rejected
	if u.LoadKnown {
		p.recordLoad(u, now)
	}
}

// identify takes requests of a host that has reported for the first time from those that were
// not known.
func (p *places) identify(sent int) {
	for n := range p.unknown {
		p.unknown[n].count = max(0, p.unknown[n].count-sent)
	}
}

func (p *places) recordRejections(u wheelgauge.PlaceUse, count int, now time.Time) {
	if count <= 0 {
		return
	}
	p.doubtedAt = now
	for range min(count, maxRejections) {
		p.rejected = append(p.rejected, now)
	}
	p.rejected = p.rejected[max(0, len(p.rejected)-maxRejections):]
	ceiling := u.Full
	if ceiling < 0 {
		ceiling = max(1, p.usable(false, now)/2)
	}
	p.ceiling, p.ceilingAt = ceiling, now
}

// maxRejections bounds the rejections that are remembered.
const maxRejections = 64

func (p *places) recordLoad(u wheelgauge.PlaceUse, now time.Time) {
	p.loadKnown, p.waiting = true, u.Waiting
	sent := 0
	for _, h := range p.hosts {
		sent += h.sent
	}
	p.endedReports = append(p.endedReports, max(0, u.Load-sent))
	p.endedReports = p.endedReports[max(0, len(p.endedReports)-loadReports):]
	p.unknown = append(p.unknown, unknownUse{max(0, u.Load-p.held), now})
	p.unknown = p.unknown[max(0, len(p.unknown)-loadReports):]
	if least, _ := p.unknownCount(now); least > 0 && len(p.unknown) == loadReports {
		p.doubtedAt = now
	}
}

// drop forgets what a host has in flight.
func (p *places) drop(host string) {
	if h := p.hosts[host]; h != nil {
		p.held -= h.held()
		delete(p.hosts, host)
	}
}

// mayRun is how many requests of processes that have ended the server may still run: as many as
// they had, or as its latest reports show at most.
func (p *places) mayRun(now time.Time) int {
	p.ended = slices.DeleteFunc(p.ended, func(e endedUse) bool { return !now.Before(e.until) })
	n := 0
	for _, e := range p.ended {
		n += e.count
	}
	if len(p.endedReports) == loadReports {
		n = min(n, slices.Max(p.endedReports))
	}
	return n
}

// unknownCount is how many requests of hosts that do not report here the server has: by the lowest
// report, or by the highest if others may grant places at the same time. fresh is false without a
// recent report.
func (p *places) unknownCount(now time.Time) (count int, fresh bool) {
	least, most := -1, 0
	for _, u := range p.unknown {
		if now.Sub(u.at) > loadTTL {
			continue
		}
		most = max(most, u.count)
		if least < 0 || u.count < least {
			least = u.count
		}
	}
	if p.isDoubtful(now) {
		return most, least >= 0
	}
	return max(0, least), least >= 0
}

// isDoubtful reports whether the server may get requests that are not granted here.
func (p *places) isDoubtful(now time.Time) bool {
	return !p.doubtedAt.IsZero() && now.Sub(p.doubtedAt) <= doubtTime
}

// expire drops hosts that have not reported for long, and old rejections.
func (p *places) expire(now time.Time) {
	if now.Sub(p.expiredAt) >= expireInterval {
		p.expiredAt = now
		for name, h := range p.hosts {
			if now.Sub(h.heardAt) > hostTTL {
				p.drop(name)
			}
		}
	}
	p.rejected = slices.DeleteFunc(p.rejected, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
}

// riskInterval is the time between two requests that may be rejected.
func (p *places) riskInterval() time.Duration {
	return time.Duration(float64(rejectionWindow) / (riskedFraction * max(p.bears, minBears)))
}

// usable is how many requests the server may have.
func (p *places) usable(fallback bool, now time.Time) int {
	n := p.slots
	if fallback {
		n -= int(fallbackSpare * float64(n))
	}
	if p.ceiling >= 0 {
		n = min(n, p.ceiling+int(now.Sub(p.ceilingAt)/p.riskInterval()))
	}
	return n
}

// halted reports whether the server has rejected so many requests lately that none is sent there,
// and for how long.
func (p *places) halted(now time.Time) (left time.Duration, halted bool) {
	most := max(1, int(math.Ceil(haltFraction*p.bears)))
	if len(p.rejected) < most {
		return 0, false
	}
	return p.rejected[len(p.rejected)-most].Add(rejectionWindow).Sub(now), true
}

// mayGrant reports whether the server has room for another request.
func (p *places) mayGrant(fallback bool, now time.Time) bool {
	if _, halted := p.halted(now); halted {
		return false
	}
	unknown, fresh := p.unknownCount(now)
	if fresh && p.waiting > 0 || p.held+max(unknown, p.mayRun(now)) >= p.usable(fallback, now) {
		return false
	}
	known := fresh || p.loadKnown && !p.isDoubtful(now) || !p.loadKnown && !fallback && now.Sub(p.since) >= settleTime
	return known || now.Sub(p.riskedAt) >= p.riskInterval()
}

func (p *places) grant(w *waiter, now time.Time) {
	p.riskedAt = now
	p.hosts[w.host].granted[w.number] = true
	p.held++
	w.done(true)
}

// enter grants a place or lets the request wait; false if neither.
func (p *places) enter(w *waiter, maxWait time.Duration, now time.Time) bool {
	if w.fallback {
		p.doubtedAt = now
	}
	first := len(p.waiters) == 0 || w.rank < p.waiters[0].rank
	if first && p.mayGrant(w.fallback, now) {
		p.grant(w, now)
		return true
	}
	ahead := p.waitersAhead(w.rank)
	if maxWait <= 0 || p.expectedWait(ahead, now) > maxWait {
		return false
	}
	p.waiters = slices.Insert(p.waiters, ahead, w)
	return true
}

// waitersAhead is how many of those that wait go before a request of a rank.
func (p *places) waitersAhead(rank int) int {
	n, _ := slices.BinarySearchFunc(p.waiters, rank, func(w *waiter, rank int) int {
		return cmp.Compare(2*w.rank, 2*rank+1) // behind those of the same rank
	})
	return n
}

// expectedWait is how long a request is expected to wait behind others.
func (p *places) expectedWait(ahead int, now time.Time) time.Duration {
	if left, halted := p.halted(now); halted {
		return left
	}
	if ahead >= max(1, p.slots) {
		return wheelgauge.MaxPermitLead + 1
	}
	rate := p.ends.At(now)
	if rate*wheelgauge.MaxPermitLead.Seconds() < 1 {
		return 0 // too few ends for a forecast
	}
	return time.Duration(float64(ahead+1) / rate * float64(time.Second))
}

// serve grants places to those that wait.
func (p *places) serve(now time.Time) {
	for len(p.waiters) > 0 {
		w := p.waiters[0]
		if p.hosts[w.host] == nil {
			p.waiters = p.waiters[1:]
			w.done(false) // its host is gone
			continue
		}
		if !p.mayGrant(w.fallback, now) {
			return
		}
		p.waiters = p.waiters[1:]
		p.grant(w, now)
	}
}

// withdraw removes a request that waits; false if it has got a place.
func (p *places) withdraw(w *waiter) bool {
	at := slices.Index(p.waiters, w)
	if at < 0 {
		return false
	}
	p.waiters = slices.Delete(p.waiters, at, at+1)
	return true
}
