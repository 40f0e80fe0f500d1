package waitroom

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheelgauge"
)

const (
	// patientRun is how many objectives a request must usually run to be worth holding past its
	// objective. Its caller waits for the whole answer, and a wait of an objective lengthens
	// that by half at most. Callers of shorter requests want the answer within the objective.
	patientRun = 2
	// shortWaitShare is the share of the objective that other requests may wait: a caller that
	// is refused then still has most of its objective to try elsewhere.
	shortWaitShare = 0.25
	// firstRate is the assumed rate of releases, in requests a second, while none is known.
	firstRate = 4.0
	// rateSpan is the time over which the rate of releases is averaged, and after which it is
	// forgotten while nobody waits: less than the length of a peak.
	rateSpan = 2 * time.Second
	// entryMargin is how many times its predicted wait the time of an entering request must be,
	// holdMargin the same for one that waits already: one that entered with a good chance is not
	// refused for a small change of the rate.
	entryMargin = 1.25
	holdMargin  = 0.75
	// releaseInterval is the interval of releases. The other hosts see the same room, and see
	// what this one takes only some 150 ms later.
	releaseInterval = 100 * time.Millisecond
	// releasePart is the part of those waiting, one in so many, that may go in an interval.
	releasePart = 8
	// lateObjectives is how many objectives pass before a late request is let go, after another
	// one was or one in time found no room. Room that is free by this host's view may be what
	// those in time at other hosts need.
	lateObjectives = 2
	// againPause is the time without releases after one that found no room.
	againPause = 150 * time.Millisecond
	// longestEvery is how many releases are by order before one is by time waited.
	longestEvery = 8
	// maxTries bounds the placements that are predicted in a tick.
	maxTries = 4
)

// refusal is why a request leaves the queue without being sent.
type refusal string

const (
	refusedEnded    refusal = "ended"
	refusedShort    refusal = "no time"
	refusedTurn     refusal = "turn too late"
	refusedFull     refusal = "full"
	refusedExpired  refusal = "time over"
	refusedDoomed   refusal = "rate fell"
	refusedReplaced refusal = "replaced"
	refusedClosed   refusal = "closed"
	refusedLeft     refusal = "left"
)

// entry is a request in the queue.
type entry struct {
	request wheelgauge.QueuedRequest
	// startBy is the last moment at which the entry is let go.
	startBy time.Time
	// above is set while its workspace is above its share.
	above     bool
	enteredAt time.Time
	// verdict is set, and done closed, when the entry leaves the queue.
	released bool
	refused  refusal
	done     chan struct{}
}

func newEntry(q wheelgauge.QueuedRequest, now time.Time) *entry {
	e := &entry{request: q, startBy: q.StartBy, enteredAt: now, done: make(chan struct{})}
	e.updateAbove()
	objective := q.ObjectiveAt.Sub(q.ArrivedAt)
	if float64(q.Run) < patientRun*float64(objective) {
		if latest := q.ArrivedAt.Add(time.Duration(shortWaitShare * float64(objective))); latest.Before(e.startBy) {
			e.startBy = latest
		}
	}
	return e
}

func (e *entry) updateAbove() { e.above = e.request.AboveShare != nil && e.request.AboveShare() }

// before reports whether an entry goes before another.
func (e *entry) before(other *entry, now time.Time) bool { return compare(e, other, now) < 0 }

// compare orders entries: those of workspaces above their share last, returning callers first,
// then by rank, then those that can still make their objective, then by time left.
func compare(a, b *entry, now time.Time) int {
	if c := falseFirst(a.above, b.above); c != 0 {
		return c
	}
	if c := falseFirst(!a.request.Returning, !b.request.Returning); c != 0 {
		return c
	}
	if c := cmp.Compare(a.request.Rank, b.request.Rank); c != 0 {
		return c
	}
	lateA, lateB := !now.Before(a.request.ObjectiveAt), !now.Before(b.request.ObjectiveAt)
	if c := falseFirst(lateA, lateB); c != 0 {
		return c
	}
	if lateA {
		return a.startBy.Compare(b.startBy)
	}
	return a.request.ObjectiveAt.Compare(b.request.ObjectiveAt)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// queue decides who waits for a service and who is let go. It is not safe for concurrent use.
type queue struct {
	entries []*entry
	// rates are the mean rates of releases while somebody waited, by rank, in requests a second:
	// releases of requests with a longer objective say nothing of the room for urgent ones.
	rates   map[int]float64
	ratedAt time.Time
	// contendedAt is when a request in time last found no room, or a late one was let go.
	contendedAt time.Time
	// nextRelease is when the next release is allowed.
	nextRelease time.Time
	// sinceLongest counts releases since the last by time waited.
	sinceLongest int
	// withoutRoom is how many entries, in order, found no room in the last ticks. The next tick
	// goes on behind them: their room may be that of other regions or versions.
	withoutRoom int
}

func newQueue(now time.Time) *queue { return &queue{rates: map[int]float64{}, ratedAt: now} }

// updateRates lets the rate of a rank fall while somebody of it waits, and return to firstRate
// while nobody does.
func (k *queue) updateRates(now time.Time) {
	d := now.Sub(k.ratedAt)
	if d <= 0 {
		return
	}
	k.ratedAt = now
	left := math.Exp(-d.Seconds() / rateSpan.Seconds())
	for _, e := range k.entries {
		if _, ok := k.rates[e.request.Rank]; !ok {
			k.rates[e.request.Rank] = firstRate
		}
	}
	for rank, rate := range k.rates {
		rest := firstRate
		if slices.ContainsFunc(k.entries, func(e *entry) bool { return e.request.Rank == rank }) {
			rest = 0
		}
		k.rates[rank] = rest + (rate-rest)*left
	}
}

// rate returns the rate of releases of a rank.
func (k *queue) rate(rank int) float64 {
	if rate, ok := k.rates[rank]; ok {
		return rate
	}
	return firstRate
}

// addReleases corrects the rate of a rank by a number of releases.
func (k *queue) addReleases(rank, n int) {
	k.rates[rank] = max(0, k.rate(rank)+float64(n)/rateSpan.Seconds())
}

// turn predicts how long an entry of a rank waits behind others of it. Those of other ranks
// have slowed the releases already from which the rate is known.
func (k *queue) turn(rank, ahead int) time.Duration {
	const longest = 1e6 // seconds, so that it can be converted
	return time.Duration(min(longest, (float64(ahead)+0.5)/max(k.rate(rank), 1/longest)) * float64(time.Second))
}

// enter adds an entry, or returns why it is refused.
func (k *queue) enter(e *entry, now time.Time) refusal {
	k.updateRates(now)
	if e.request.Again {
		k.addReleases(e.request.Rank, -1)
		k.nextRelease = now.Add(againPause)
	}
	if e.request.Ended != nil && e.request.Ended() {
		return refusedEnded
	}
	left := e.startBy.Sub(now)
	if left <= 0 {
		return refusedShort
	}
	ahead := 0
	for _, other := range k.entries {
		if other.request.Rank == e.request.Rank && !e.before(other, now) {
			ahead++
		}
	}
	if time.Duration(entryMargin*float64(k.turn(e.request.Rank, ahead))) > left {
		return refusedTurn
	}
	k.entries = append(k.entries, e)
	return ""
}

func (k *queue) remove(e *entry) {
	if i := slices.Index(k.entries, e); i >= 0 {
		k.entries = slices.Delete(k.entries, i, i+1)
	}
}

// end takes an entry out of the queue with its result.
func (k *queue) end(e *entry, released bool, why refusal) {
	k.remove(e)
	e.released, e.refused = released, why
	close(e.done)
}

// last returns the entry that would go last; nil if the queue is empty.
func (k *queue) last(now time.Time) *entry {
	if len(k.entries) == 0 {
		return nil
	}
	return slices.MaxFunc(k.entries, func(a, b *entry) int { return compare(a, b, now) })
}

// holds reports whether an entry as urgent as rank or more waits that is not above its share.
func (k *queue) holds(rank int) bool {
	return slices.ContainsFunc(k.entries, func(e *entry) bool { return !e.above && e.request.Rank <= rank })
}

// tick refuses those that cannot be served any more, lets go those that may, and returns both.
func (k *queue) tick(now time.Time) []*entry {
	k.updateRates(now)
	for _, e := range k.entries {
		e.updateAbove()
	}
	slices.SortStableFunc(k.entries, func(a, b *entry) int { return compare(a, b, now) })
	ended := k.release(now)
	return append(ended, k.refuseHopeless(now)...)
}

// refuseHopeless refuses those whose turn comes too late.
func (k *queue) refuseHopeless(now time.Time) []*entry {
	var ended []*entry
	ahead := map[int]int{}
	for _, e := range slices.Clone(k.entries) {
		left := e.startBy.Sub(now)
		why := refusal("")
		switch {
		case e.request.Ended != nil && e.request.Ended():
			why = refusedEnded
		case left <= 0:
			why = refusedExpired
		case time.Duration(holdMargin*float64(k.turn(e.request.Rank, ahead[e.request.Rank]))) > left:
			why = refusedDoomed
		default:
			ahead[e.request.Rank]++
			continue
		}
		k.end(e, false, why)
		ended = append(ended, e)
	}
	return ended
}

// release lets go a part of those that wait, if there is room for them now.
func (k *queue) release(now time.Time) []*entry {
	if len(k.entries) == 0 || now.Before(k.nextRelease) {
		return nil
	}
	var ended []*entry
	most := 1 + len(k.entries)/releasePart
	for _, e := range k.nextEntries(now) {
		if len(ended) >= most {
			break
		}
		objective := e.request.ObjectiveAt.Sub(e.request.ArrivedAt)
		late := !now.Before(e.request.ObjectiveAt)
		if late && now.Sub(k.contendedAt) < lateObjectives*objective {
			continue
		}
		hasRoom := e.request.HasRoom()
		if late == hasRoom {
			k.contendedAt = now
		}
		if !hasRoom {
			continue
		}
		k.addReleases(e.request.Rank, 1)
		k.sinceLongest = (k.sinceLongest + 1) % longestEvery
		k.end(e, true, "")
		ended = append(ended, e)
	}
	if len(ended) > 0 {
		k.nextRelease = now.Add(releaseInterval)
		k.withoutRoom = 0
	} else {
		k.withoutRoom += maxTries
	}
	return ended
}

// nextEntries returns the entries to be tried, in order. Each longestEvery releases, the one
// that has waited longest comes first, of those not above their share if there are any.
func (k *queue) nextEntries(now time.Time) []*entry {
	var next []*entry
	for _, e := range k.entries {
		if now.Before(e.startBy) && (e.request.Ended == nil || !e.request.Ended()) {
			next = append(next, e)
		}
	}
	if k.sinceLongest == longestEvery-1 && len(next) > 0 {
		longest := slices.MinFunc(next, func(a, b *entry) int {
			return cmp.Or(falseFirst(a.above, b.above), a.request.ArrivedAt.Compare(b.request.ArrivedAt))
		})
		i := slices.Index(next, longest)
		next = slices.Insert(slices.Delete(next, i, i+1), 0, longest)
	}
	if k.withoutRoom >= len(next) {
		k.withoutRoom = 0
	}
	next = next[k.withoutRoom:]
	return next[:min(len(next), maxTries)]
}
