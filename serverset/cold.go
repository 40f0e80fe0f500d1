package serverset

import (
	"strings"
	"time"
)

const (
	// coldMargin extends the cold period beyond what the list says: the rate applies to
	// every second that begins while the server is cold, and requests are in transit.
	coldMargin = 1200 * time.Millisecond
	// maxListLag is how far the list of servers may lag behind: for that long after an order for
	// a hall, the list is not trusted to know its cold servers.
	maxListLag = 1500 * time.Millisecond
	// coldAfterOrder bounds how long the servers of a hall stay at the cold rate after an order
	// if no newer list arrives.
	coldAfterOrder = 10 * time.Second
)

// ColdSource is what says that a server is cold.
type ColdSource string

// Sources of a server's cold time.
const (
	// ColdByList: the list of servers gives the time that is left.
	ColdByList ColdSource = "list"
	// ColdByOrder: an order for the server's hall, such as the end of its drain, is newer than the
	// list.
	ColdByOrder ColdSource = "order"
	// ColdByServer: the server said so itself.
	ColdByServer ColdSource = "server"
)

// ColdChoice is what the choice of a cold server went by.
type ColdChoice struct {
	left     time.Duration
	source   ColdSource
	hosts    int
	hostsAge time.Duration
}

// Left returns how much longer the server was held for cold.
func (c ColdChoice) Left() time.Duration { return c.left }

// Source returns what said that the server was cold.
func (c ColdChoice) Source() ColdSource { return c.source }

// Hosts returns among how many hosts the server's rate was shared.
func (c ColdChoice) Hosts() int { return c.hosts }

// HostsAge returns how old the view of these hosts was.
func (c ColdChoice) HostsAge() time.Duration { return c.hostsAge }

// Cold returns how the choice of a cold server was made; ok is false for a warm one.
func (k *Pick) Cold() (c ColdChoice, ok bool) {
	if k.cold == nil {
		return c, false
	}
	return *k.cold, true
}

// coldChoice returns what the choice of a server goes by; nil if it is warm. The lock is held.
func (t *Table) coldChoice(s *Server, now time.Time) *ColdChoice {
	until, source := t.coldUntil(s)
	if !now.Before(until) {
		return nil
	}
	hosts, age := t.sharers()
	return &ColdChoice{left: until.Sub(now), source: source, hosts: len(hosts), hostsAge: age}
}

// isCold reports whether a server is held for cold. The lock is held.
func (t *Table) isCold(s *Server, now time.Time) bool {
	until, _ := t.coldUntil(s)
	return now.Before(until)
}

// coldUntil returns until when a server is held for cold, and by which source. The lock is held.
func (t *Table) coldUntil(s *Server) (until time.Time, source ColdSource) {
	until, source = s.coldUntil, ColdByList
	if s.saidColdUntil.After(until) {
		until, source = s.saidColdUntil, ColdByServer
	}
	if at, ok := t.orderedAt[s.spec.Hall]; ok && t.turnsCold(s) && at.Add(coldAfterOrder).After(until) {
		until, source = at.Add(coldAfterOrder), ColdByOrder
	}
	return until, source
}

// SetCold records that the server with an instance key said itself how much longer it stays cold.
func (t *Table) SetCold(instanceKey string, left time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, _, _ := strings.Cut(instanceKey, "@")
	for _, s := range []*Server{t.servers[instanceKey], t.servers[name]} {
		if s != nil && s.instanceKey == instanceKey {
			s.saidColdUntil = t.now().Add(left + coldMargin)
		}
	}
}

// turnsCold reports whether a server's service has a cold rate. The lock is held.
func (t *Table) turnsCold(s *Server) bool {
	config := t.serviceConfig(s.spec.Service)
	return config != nil && config.ColdRate > 0
}

// SetOrdered records that an operator gave an order for a hall at a time. Its servers may turn cold
// before a drain ends, also if no store could acknowledge the orders.
func (t *Table) SetOrdered(hall string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setOrdered(hall, at)
}

func (t *Table) setOrdered(hall string, at time.Time) {
	if at.After(t.orderedAt[hall]) && t.listRequestedAt.Before(at.Add(maxListLag)) {
		t.orderedAt[hall] = at
	}
}

// confirmOrdered forgets the orders that are older than a list: from then on it knows the servers
// that turned cold. The lock is held.
func (t *Table) confirmOrdered(requestedAt time.Time) {
	for hall, at := range t.orderedAt {
		if requestedAt.Before(at.Add(maxListLag)) {
			continue
		}
		delete(t.orderedAt, hall)
		for _, s := range t.servers {
			if until := requestedAt.Add(coldMargin); s.spec.Hall == hall && t.turnsCold(s) && s.coldUntil.Before(until) {
				s.coldUntil = until
				t.cold[s] = true
			}
		}
	}
}
