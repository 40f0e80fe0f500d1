package entrynode

import (
	"math/rand/v2"

	"wheelgauge"
	"wheelgauge/heartbeat"
	"wheelgauge/promises"
	"wheelgauge/returnschedule"
)

// newReturns creates the schedule by which refused callers return and the table of what they
// were promised; both are nil if returns are not scheduled.
func (n *Node) newReturns() (wheelgauge.ReturnSchedule, heartbeat.PromiseTable) {
	if !n.options.ScheduleReturns {
		return nil, nil
	}
	now := n.options.Clock.Now
	n.promises = promises.New(now)
	return returnschedule.New(returnschedule.Options{Promises: n.promises, Random: rand.Float64, Now: now}), n.promises
}
