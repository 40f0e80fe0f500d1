package raft

// Ballot is a voter's answer to a replica's campaign.
type Ballot string

// Ballots.
const (
	BallotNone    Ballot = "none"
	BallotGranted Ballot = "granted"
	BallotRefused Ballot = "refused"
)

// Contact is what a replica has heard from another member, for logs and status.
type Contact struct {
	Member Member `json:"member"`
	// SilentTicks is the number of ticks since the member's last message, or since this replica
	// started if there was none.
	SilentTicks int  `json:"silent_ticks"`
	Heard       bool `json:"heard"`
	// Ballot is the member's answer to the last campaign that it answered or should have answered.
	Ballot     Ballot `json:"ballot"`
	Unverified bool   `json:"unverified,omitempty"`
	// Term is the term of a refusal; LastIndex and LastTerm are those of the refusing member's log,
	// 0 if the refusal was not due to its log.
	Term      uint64 `json:"term,omitempty"`
	LastIndex uint64 `json:"last_index,omitempty"`
	LastTerm  uint64 `json:"last_term,omitempty"`
}

// contacts records when members were heard and how they voted.
type contacts struct {
	ticks   int
	heard   map[uint64]int
	replies map[uint64]Message
	// earlier are the replies to the campaign before the current one.
	earlier map[uint64]Message
}

func newContacts() contacts {
	return contacts{heard: map[uint64]int{}, replies: map[uint64]Message{}, earlier: map[uint64]Message{}}
}

// record records a received message.
func (k *contacts) record(m Message) {
	k.heard[m.From] = k.ticks
	if m.Type == MessagePreVoteReply || m.Type == MessageVoteReply {
		k.replies[m.From] = m
	}
}

// beginCampaign moves the replies to the campaign before.
func (k *contacts) beginCampaign() { k.earlier, k.replies = k.replies, map[uint64]Message{} }

// silentTicks returns the number of ticks since a member's last message, or since the start.
func (k *contacts) silentTicks(id uint64) int { return k.ticks - k.heard[id] }

func (k *contacts) contact(m Member) Contact {
	_, heard := k.heard[m.ID]
	out := Contact{Member: m, SilentTicks: k.silentTicks(m.ID), Heard: heard, Ballot: BallotNone}
	reply, ok := k.replies[m.ID]
	if !ok {
		reply, ok = k.earlier[m.ID]
	}
	out.Unverified = reply.Unverified
	switch {
	case !ok:
	case reply.Reject:
		out.Ballot, out.Term, out.LastIndex, out.LastTerm = BallotRefused, reply.Term, reply.Index, reply.LogTerm
	default:
		out.Ballot = BallotGranted
	}
	return out
}

// Contacts returns what this replica has heard from each other member.
func (c *Core) Contacts() []Contact {
	var out []Contact
	for _, m := range c.members {
		if m.ID != c.options.ID {
			out = append(out, c.contacts.contact(m))
		}
	}
	return out
}

// LastEntry returns the index and the term of the last entry of the log.
func (c *Core) LastEntry() (index, term uint64) { return c.lastIndex(), c.termAt(c.lastIndex()) }

// IsVoter reports whether this replica votes by its own list of members.
func (c *Core) IsVoter() bool { return c.isVoter(c.options.ID) }
