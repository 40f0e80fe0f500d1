package raft

import "encoding/json"

// Member is one replica of the group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// EntryType tells commands from the core's own entries.
type EntryType int

// Types of entries.
const (
	EntryCommand EntryType = iota
	// EntryEmpty opens a leader's term.
	EntryEmpty
	// EntryMembers carries the whole new list of members.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64          `json:"i"`
	Term  uint64          `json:"t"`
	Type  EntryType       `json:"y,omitempty"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// HardState must be on disk before any message that follows from it leaves.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   uint64 `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Snapshot stands for all entries up to Index.
type Snapshot struct {
	Index   uint64          `json:"index"`
	Term    uint64          `json:"term"`
	Members []Member        `json:"members"`
	Data    json.RawMessage `json:"data"`
}

// MessageType is the kind of a Message.
type MessageType int

// Types of messages.
const (
	MessagePreVote MessageType = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
)

// Message travels between replicas. Any of them may be lost, repeated, late or
// out of order.
type Message struct {
	Type    MessageType `json:"type"`
	From    uint64      `json:"from"`
	To      uint64      `json:"to"`
	Term    uint64      `json:"term"`
	Index   uint64      `json:"index,omitempty"`
	LogTerm uint64      `json:"log_term,omitempty"`
	Commit  uint64      `json:"commit,omitempty"`
	Reject  bool        `json:"reject,omitempty"`
	// Round numbers the leader's heartbeats; a reply gives it back.
	Round    uint64    `json:"round,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Size is the length of what a message carries, in bytes.
func (m *Message) Size() int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// Ready is what the driver must do, in this order: persist Snapshot, HardState
// and Entries and sync; send Messages; apply Committed; call Advance.
type Ready struct {
	Snapshot  *Snapshot
	HardState *HardState
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// Reads are the barriers that hold once Committed is applied.
	Reads []uint64
	// Dropped are barriers that were asked of a leader that is none any more.
	Dropped []uint64
}

// AsksForVote tells whether the message is of a campaign.
func (m *Message) AsksForVote() bool { return m.Type == MessagePreVote || m.Type == MessageVote }
