package raft

import "encoding/json"

// Member is one replica of the Raft group.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
}

// EntryType distinguishes commands from the entries that the core creates.
type EntryType int

// Types of entries.
const (
	EntryCommand EntryType = iota
	// EntryNoOp is the first entry of a leader's term.
	EntryNoOp
	// EntryMembers holds the complete new list of members.
	EntryMembers
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64          `json:"i"`
	Term  uint64          `json:"t"`
	Type  EntryType       `json:"y,omitempty"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// HardState must be on disk before any message that depends on it is sent.
type HardState struct {
	Term   uint64 `json:"term"`
	Vote   uint64 `json:"vote"`
	Commit uint64 `json:"commit"`
}

// Snapshot replaces all entries up to and including Index.
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

// Message is sent between replicas. Messages may be lost, duplicated, delayed or
// reordered.
type Message struct {
	Type    MessageType `json:"type"`
	From    uint64      `json:"from"`
	To      uint64      `json:"to"`
	Term    uint64      `json:"term"`
	Index   uint64      `json:"index,omitempty"`
	LogTerm uint64      `json:"log_term,omitempty"`
	Commit  uint64      `json:"commit,omitempty"`
	Reject  bool        `json:"reject,omitempty"`
	// Unverified is set if the sender's state may be an old copy.
	Unverified bool `json:"unverified,omitempty"`
	// Round is the number of the leader's heartbeat; a reply echoes it.
	Round    uint64    `json:"round,omitempty"`
	Entries  []Entry   `json:"entries,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// PayloadBytes returns the total length of the entries and the snapshot.
func (m *Message) PayloadBytes() int {
	size := 0
	for _, e := range m.Entries {
		size += len(e.Data)
	}
	if m.Snapshot != nil {
		size += len(m.Snapshot.Data)
	}
	return size
}

// Ready is the work for the driver, in this order: persist Snapshot, HardState
// and Entries and sync; send Messages; apply Committed; call Advance.
type Ready struct {
	Snapshot  *Snapshot
	HardState *HardState
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	// ConfirmedReads are the read barriers that are satisfied once Committed is
	// applied.
	ConfirmedReads []uint64
	// DroppedReads are the pending read barriers of a replica that lost the
	// leadership.
	DroppedReads []uint64
}

// IsVoteRequest reports whether the message requests a vote or pre-vote.
func (m *Message) IsVoteRequest() bool { return m.Type == MessagePreVote || m.Type == MessageVote }
