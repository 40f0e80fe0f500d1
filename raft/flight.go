package raft

const (
	// largeBytes is the length from which on entries are large: smaller ones are
	// as fast as the heartbeats behind them.
	largeBytes = 16 << 10
	// bytesPerBeat is how much of a large message is taken to travel from one
	// heartbeat to the next: 5 Mbit/s at heartbeats of 200 ms, a thirtieth of the
	// narrowest link between regions that users have named.
	bytesPerBeat = 128 << 10
)

// flight is a large message of entries on its way to a member. Heartbeats that
// overtake it go by the entry before it: the member would reject what follows
// the flight, and that would be taken for a loss of all its entries.
type flight struct {
	// prev is the index before its first entry, last that of its last one.
	prev uint64
	last uint64
	// ticks is how many ticks are left until it is taken for lost.
	ticks int
}

// newFlight returns the flight that a message begins; none for a small one.
func (c *Core) newFlight(m Message) flight {
	size := m.Size()
	if size < largeBytes {
		return flight{}
	}
	return flight{prev: m.Index, last: m.Index + uint64(len(m.Entries)), ticks: c.travelTicks(size)}
}

// travelTicks is how many ticks a message of a length may travel.
func (c *Core) travelTicks(size int) int { return c.options.HeartbeatTicks * (1 + size/bytesPerBeat) }

// inFlight tells whether a large message is on its way to a member.
func (c *Core) inFlight(p *progress) bool {
	return p.flight.last > p.match && p.flight.prev >= c.base && p.next > p.flight.last
}
