package raft

const (
	// largeMessageBytes is the payload from which on a message counts as large:
	// smaller ones arrive as fast as the heartbeats sent after them.
	largeMessageBytes = 16 << 10
	// bytesPerHeartbeat is the assumed throughput of a large message per heartbeat
	// interval: 5 Mbit/s at heartbeats of 200 ms, a thirtieth of the narrowest
	// link between regions in users' deployments.
	bytesPerHeartbeat = 128 << 10
)

// transfer is a large message of entries in transit to a member. Heartbeats that
// overtake it refer to the entry before it: the member would reject an index
// after the transfer, and the leader would take that for a loss of all its
// entries.
type transfer struct {
	// prev is the index before the first entry, last the index of the last entry.
	prev uint64
	last uint64
	// ticksLeft is the number of ticks until the message is considered lost.
	ticksLeft int
}

// newTransfer returns the transfer of a message, or the zero value for a small
// message.
func (c *Core) newTransfer(m Message) transfer {
	size := m.PayloadBytes()
	if size < largeMessageBytes {
		return transfer{}
	}
	return transfer{prev: m.Index, last: m.Index + uint64(len(m.Entries)), ticksLeft: c.transferTicks(size)}
}

// transferTicks returns the number of ticks allowed for the transfer of a
// message of the given length.
func (c *Core) transferTicks(size int) int {
	return c.options.HeartbeatTicks * (1 + size/bytesPerHeartbeat)
}

// inTransfer reports whether a large message is in transit to a member.
func (c *Core) inTransfer(p *progress) bool {
	return p.transfer.last > p.match && p.transfer.prev >= c.base && p.next > p.transfer.last
}
