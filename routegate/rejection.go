package routegate

import (
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/serverset"
)

// rejectionLogInterval is the shortest time between two lines about rejections of one server.
const rejectionLogInterval = time.Second

// rejectionLog counts the rejections of each server instance between the lines about them.
type rejectionLog struct {
	mu   sync.Mutex
	rows map[string]*rejectionRow
}

type rejectionRow struct {
	loggedAt time.Time
	count    int
}

// add counts a rejection and returns how many there were since the last line; due is set if it is
// time for another one.
func (l *rejectionLog) add(server string, now time.Time) (count int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row := l.rows[server]
	if row == nil {
		row = l.newRow(server, now)
	}
	row.count++
	if now.Sub(row.loggedAt) < rejectionLogInterval {
		return row.count, false
	}
	count, row.count, row.loggedAt = row.count, 0, now
	return count, true
}

// newRow drops the rows of servers that have rejected nothing lately and adds one. The lock is held.
func (l *rejectionLog) newRow(server string, now time.Time) *rejectionRow {
	if l.rows == nil {
		l.rows = map[string]*rejectionRow{}
	}
	for name, row := range l.rows {
		if now.Sub(row.loggedAt) > time.Minute {
			delete(l.rows, name)
		}
	}
	l.rows[server] = &rejectionRow{loggedAt: now.Add(-rejectionLogInterval)}
	return l.rows[server]
}

// recordRejection counts and logs that a server rejected the request for lack of room.
func (c *call) recordRejection(k *serverset.Pick) {
	o := c.gate.options
	o.Meter.Count("servers.rejections")
	server := k.Server().InstanceKey()
	count, due := c.gate.rejections.add(server, o.Clock.Now())
	if !due {
		return
	}
	bears, brittle := o.Limits.RateOf(wheelgauge.LimitRejections, server)
	l := k.LoadBefore()
	o.Log.Info("A server rejects for lack of room.", "id", c.id, "server", server, "rejections", count, "brittle", brittle, "bears", bears,
		"sends", c.sends, "forwarded", c.forwarded, "running_here", l.Own(), "running", l.Running(), "age_ms", l.Age().Milliseconds())
}
