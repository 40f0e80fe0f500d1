package serverset

import "time"

// ColdSource is what says that a server is cold.
type ColdSource string

// Sources of a server's cold time.
const (
	// ColdByList: the list of servers gives the time that is left.
	ColdByList ColdSource = "list"
	// ColdByResume: the drain of the server's hall has ended, and the list is older than that.
	ColdByResume ColdSource = "resume"
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
	if !now.Before(s.coldUntil) {
		return nil
	}
	return &ColdChoice{left: s.coldUntil.Sub(now), source: s.coldSource, hosts: len(t.place.Announced), hostsAge: now.Sub(t.peersAt)}
}
