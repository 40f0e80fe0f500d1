package votergroup

import "wheelgauge/raft"

// Health is a leader's view of how many failures its group survives. All fields are counts.
type Health struct {
	// Wanted is the configured number of voters, Voters how many there are.
	Wanted int `json:"wanted"`
	Voters int `json:"voters"`
	// Replying are the voters that replied within an election timeout, the leader included.
	Replying int `json:"replying"`
	Learners int `json:"learners"`
	// Tolerated is how many of the replying voters may fail at once.
	Tolerated int `json:"tolerated"`
}

// Short reports whether the group tolerates fewer failures than it is configured for.
func (h Health) Short() bool { return h.Tolerated < (h.Wanted-1)/2 }

// Health returns the health of the group whose leader is c.
func (p *Planner) Health(c *raft.Core) Health {
	members := c.Members()
	voters := countVoters(members)
	h := Health{Wanted: p.o.Voters, Voters: voters, Learners: len(members) - voters}
	if h.Wanted == 0 {
		h.Wanted = voters
	}
	for _, m := range members {
		if m.Voter && (m.ID == c.ID() || c.RecentlyReplied(m.ID)) {
			h.Replying++
		}
	}
	h.Tolerated = h.Replying - voters/2 - 1
	return h
}
