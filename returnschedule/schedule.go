// Package returnschedule tells refused callers when to return, at the rate at which room comes
// free, and keeps that room for them.
package returnschedule

import (
	"math"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/meanrate"
	"wheelgauge/promises"
)

const (
	// rateWindow is the averaging window of the rates of a service.
	rateWindow = 2 * time.Second
	// slotWidth is the resolution of the schedule, slots how much of it is kept.
	slotWidth = 100 * time.Millisecond
	slots     = int(promises.MaxAhead/slotWidth) + 8
	// guaranteedShare of what is served may be promised even if new callers ask for all of it.
	// The rest is theirs: served at their first try, they are in time more often than callers
	// that return, and not fewer are served in all.
	guaranteedShare = 0.1
	// preferredShare is where in its time a caller gets its moment if there is room: who can wait
	// longer leaves the next moments to those who cannot. Later than the middle, as the overload
	// is more likely over then.
	preferredShare = 0.65
	// spreadShare is the last part of its time over which callers without a promise return.
	spreadShare = 0.3
	// countedPromises is over how many promises the rate is held: fewer would lose parts of a
	// promise in each slot, more would come in one burst.
	countedPromises = 4
	// dueWindow is how far ahead promises count as due: callers of that time are on their way.
	dueWindow = 500 * time.Millisecond
	// maxKeptShare bounds the room kept from new callers: each one refused for it has to return
	// in turn.
	maxKeptShare = 0.1
	// ranks is how many ranks are told apart; further ones count as the last.
	ranks = 8
	// maxServices bounds the services with a schedule.
	maxServices = 1024
)

// slot holds the promises of one part of the schedule, all of them and by rank.
type slot struct {
	index  int64
	total  int
	byRank [ranks]int
}

// service is the schedule of one service.
type service struct {
	served, arrived meanrate.Rate
	slots           [slots]slot
}

// Options configure a Schedule.
type Options struct {
	// Promises are those of the region.
	Promises *promises.Table
	// Random returns a number from 0 to 1.
	Random func() float64
	Now    func() time.Time
}

// Schedule is the part of a host in the schedules of its region: each host promises room at the
// rate at which it serves itself. It is safe for concurrent use.
type Schedule struct {
	options Options
	// start is when slot 0 begins.
	start    time.Time
	mu       sync.Mutex
	services map[string]*service
}

var _ wheelgauge.ReturnSchedule = (*Schedule)(nil)

// New returns a schedule without promises.
func New(o Options) *Schedule {
	return &Schedule{options: o, start: o.Now(), services: map[string]*service{}}
}

// service returns the schedule of a service; nil if there are too many. The lock is held.
func (s *Schedule) service(name string) *service {
	v := s.services[name]
	if v == nil && len(s.services) < maxServices {
		v = &service{served: meanrate.New(rateWindow), arrived: meanrate.New(rateWindow)}
		s.services[name] = v
	}
	return v
}

// Arrived implements wheelgauge.ReturnSchedule.
func (s *Schedule) Arrived(name string, returning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.service(name); v != nil && !returning {
		v.arrived.Add(1, s.options.Now())
	}
}

// Served implements wheelgauge.ReturnSchedule.
func (s *Schedule) Served(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.service(name); v != nil {
		v.served.Add(1, s.options.Now())
	}
}

// Returning implements wheelgauge.ReturnSchedule.
func (s *Schedule) Returning(bodyBytes int, fingerprint func() wheelgauge.Fingerprint) (returning, early bool) {
	return s.options.Promises.Take(bodyBytes, fingerprint)
}

// Next implements wheelgauge.ReturnSchedule.
func (s *Schedule) Next(r wheelgauge.RefusedRequest) wheelgauge.Return {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	latest := min(r.Latest, promises.MaxAhead)
	v := s.service(r.Service)
	if v == nil || latest < r.Earliest {
		return wheelgauge.Return{After: r.Earliest}
	}
	out := wheelgauge.Return{ServedRate: v.served.At(now), NewRate: v.arrived.At(now)}
	out.RoomRate = max(guaranteedShare*out.ServedRate, out.ServedRate-out.NewRate)
	if at, ok := s.options.Promises.Ahead(r.Fingerprint); ok && at.Sub(now) >= r.Earliest && at.Sub(now) <= latest {
		out.After, out.Promised = at.Sub(now), true
		return out
	}
	if !r.Returning {
		elapsed := now.Sub(s.start)
		if after, ok := v.reserve(elapsed, r.Earliest, latest, out.RoomRate, r.Rank, func(after time.Duration) bool {
			return s.options.Promises.Add(r.Fingerprint, r.BodyBytes, now.Add(after))
		}); ok {
			out.After, out.Promised = after, true
			return out
		}
	}
	// No room is left for it: what comes free unforeseen is shared by who comes late.
	out.After = latest - time.Duration(spreadShare*s.options.Random()*float64(latest-r.Earliest))
	return out
}

// reserve finds room at a rate, from the preferred moment to the latest and then back to the
// earliest, and reserves it if add takes the promise. elapsed is the time since slot 0.
func (v *service) reserve(elapsed, earliest, latest time.Duration, rate float64, rank int, add func(after time.Duration) bool) (time.Duration, bool) {
	span, most := counted(rate)
	first, last := indexOf(elapsed+earliest+slotWidth-1), indexOf(elapsed+latest)
	if most == 0 || first > last {
		return 0, false
	}
	preferred := first + int64(preferredShare*float64(last-first)+0.5)
	for i := range last - first + 1 {
		index := preferred + i
		if index > last {
			index = last - i // those from the preferred one on are full
		}
		if v.full(index, span, most) {
			continue
		}
		after := time.Duration(index)*slotWidth - elapsed
		if !add(after) {
			return 0, false
		}
		s := v.at(index)
		s.total++
		s.byRank[rankIndex(rank)]++
		return after, true
	}
	return 0, false
}

// counted returns over how many slots in a row a rate is held, and how many promises they hold at
// most.
func counted(rate float64) (span int64, most int) {
	perSlot := rate * slotWidth.Seconds()
	span = int64(min(float64(promises.MaxAhead/slotWidth), math.Ceil(countedPromises/max(perSlot, 1e-9))))
	return span, int(perSlot*float64(span) + 0.5)
}

func indexOf(elapsed time.Duration) int64 { return int64(elapsed / slotWidth) }

func rankIndex(rank int) int { return min(max(rank, 0), ranks-1) }

// at returns a slot, empty if it held an earlier one.
func (v *service) at(index int64) *slot {
	s := &v.slots[position(index)]
	if s.index != index {
		*s = slot{index: index}
	}
	return s
}

// position is where a slot is kept. The index is negative if the clock was set back.
func position(index int64) int64 { return (index%int64(slots) + int64(slots)) % int64(slots) }

// promised returns how many promises a slot holds.
func (v *service) promised(index int64) int {
	if s := &v.slots[position(index)]; s.index == index {
		return s.total
	}
	return 0
}

// full reports whether a span of slots that a slot is part of holds as many promises as it may.
func (v *service) full(index, span int64, most int) bool {
	n := 0
	for i := index - span + 1; i <= index; i++ {
		n += v.promised(i)
	}
	for i := index + 1; i < index+span && n < most; i++ {
		n += v.promised(i) - v.promised(i-span)
	}
	return n >= most
}

// countRank returns how many promises of a rank or of more urgent ones some slots hold.
func (v *service) countRank(from, to int64, rank int) int {
	n := 0
	for index := from; index <= to; index++ {
		s := &v.slots[position(index)]
		if s.index != index {
			continue
		}
		for _, count := range s.byRank[:rank+1] {
			n += count
		}
	}
	return n
}

// PromisedShare implements wheelgauge.ReturnSchedule. It is at most maxKeptShare.
func (s *Schedule) PromisedShare(name string, rank int) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		return 0
	}
	now := s.options.Now()
	elapsed := now.Sub(s.start)
	due := v.countRank(indexOf(elapsed), indexOf(elapsed+dueWindow), rankIndex(rank))
	if due == 0 {
		return 0
	}
	return min(maxKeptShare, float64(due)/max(1, v.served.At(now)*dueWindow.Seconds()))
}
