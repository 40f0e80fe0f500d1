package replica

import (
	"fmt"
	"strings"
	"time"

	"wheelgauge/raft"
)

const (
	// leaderlessLogTicks is how long a replica has no leader before it logs why: longer than an
	// election. It logs it again every leaderlessRepeatTicks.
	leaderlessLogTicks    = 3 * electionTicks
	leaderlessRepeatTicks = 10 * electionTicks
)

// Leaderless tells why a replica has no leader. It is published while it has none.
type Leaderless struct {
	// ForMS is how long, in milliseconds.
	ForMS     int64  `json:"for_ms"`
	LastIndex uint64 `json:"last_index"`
	LastTerm  uint64 `json:"last_term"`
	// Voter is whether the replica votes by its own list of members, Writable whether its disk
	// takes writes: both are needed to campaign.
	Voter    bool           `json:"voter"`
	Writable bool           `json:"writable"`
	Contacts []raft.Contact `json:"contacts"`
}

// tickLeaderless logs why the replica has had no leader for some time.
func (r *Replica) tickLeaderless() {
	if r.core.Leader() != 0 {
		if r.leaderlessTicks >= leaderlessLogTicks {
			r.options.Log.Info("A leader is known again.", "leader", r.core.Leader(), "term", r.core.Term(), "after_ms", r.tickDuration(r.leaderlessTicks).Milliseconds())
		}
		r.leaderlessTicks = 0
		return
	}
	r.leaderlessTicks++
	if r.leaderlessTicks == leaderlessLogTicks || r.leaderlessTicks > leaderlessLogTicks && (r.leaderlessTicks-leaderlessLogTicks)%leaderlessRepeatTicks == 0 {
		r.logLeaderless()
	}
}

func (r *Replica) tickDuration(ticks int) time.Duration { return time.Duration(ticks) * r.options.Tick }

// leaderlessState returns why the replica has no leader, nil if it has one.
func (r *Replica) leaderlessState() *Leaderless {
	if r.core.Leader() != 0 {
		return nil
	}
	index, term := r.core.LastEntry()
	return &Leaderless{
		ForMS: r.tickDuration(r.leaderlessTicks).Milliseconds(), LastIndex: index, LastTerm: term,
		Voter: r.core.IsVoter(), Writable: !r.disk.unwritable.Load(), Contacts: r.core.Contacts(),
	}
}

func (r *Replica) logLeaderless() {
	l := r.leaderlessState()
	r.options.Log.Info("No leader is known.", "for_ms", l.ForMS, "id", r.storage.self.ID, "role", roleNames[r.core.Role()], "term", r.core.Term(),
		"vote", r.core.Vote(), "commit", r.core.Commit(), "last_index", l.LastIndex, "last_term", l.LastTerm,
		"voter", l.Voter, "unverified", r.core.Unverified(), "writable", l.Writable, "contacts", r.describeContacts(l.Contacts))
}

// describeContacts returns one entry for each other member: its name, ID, vote, the time since its
// last message and its answer to the last campaign.
func (r *Replica) describeContacts(contacts []raft.Contact) string {
	parts := make([]string, 0, len(contacts))
	for _, k := range contacts {
		kind := "learner"
		if k.Member.Voter {
			kind = "voter"
		}
		heard := "never"
		if k.Heard {
			heard = r.tickDuration(k.SilentTicks).String()
		}
		part := fmt.Sprintf("%s %d %s heard=%s ballot=%s", k.Member.Name, k.Member.ID, kind, heard, k.Ballot)
		if k.Ballot == raft.BallotRefused {
			part += refusal(k)
		}
		if k.Unverified {
			part += " unverified"
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}

// logStart logs what was found on the disk.
func (r *Replica) logStart(blank bool, state raft.State) {
	index, term := r.core.LastEntry()
	found, disk := r.storage.found, r.storage.disk
	r.options.Log.Info("Replica started.", "id", r.storage.self.ID, "blank", blank, "unverified", r.storage.unverified, "found_id", found.ID,
		"found_disk", found.Inode, "found_disk_created", found.Created, "disk", disk.Inode, "disk_created", disk.Created,
		"term", state.HardState.Term, "vote", state.HardState.Vote, "commit", state.HardState.Commit,
		"last_index", index, "last_term", term, "applied", r.core.Applied(), "members", len(r.core.Members()), "voter", r.core.IsVoter())
}

// SilentVoters returns the number of other voters that sent nothing for longer than an election.
func (l *Leaderless) SilentVoters() int {
	n := 0
	for _, k := range l.Contacts {
		if k.Member.Voter && k.SilentTicks > 2*electionTicks {
			n++
		}
	}
	return n
}

// refusal describes why a member refused its vote: the end of its log if that was the reason, else its
// term, in which it has voted already or which is a later one.
func refusal(k raft.Contact) string {
	if k.LastIndex == 0 {
		return fmt.Sprintf("(term %d)", k.Term)
	}
	return fmt.Sprintf("(term %d, its log ends at %d of term %d)", k.Term, k.LastIndex, k.LastTerm)
}
