package replica

import (
	"context"
	"slices"
	"sync"

	"wheelgauge/raft"
	"wheelgauge/votergroup"
)

// appliedIndex lets callers wait until an index is applied.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	changed chan struct{}
}

func newAppliedIndex() *appliedIndex { return &appliedIndex{changed: make(chan struct{})} }

func (a *appliedIndex) set(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = max(a.index, index)
	close(a.changed)
	a.changed = make(chan struct{})
}

// reset forgets the index: the replica starts again without a state.
func (a *appliedIndex) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = 0
}

func (a *appliedIndex) get() (uint64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index, a.changed
}

func (a *appliedIndex) wait(ctx context.Context, index uint64) error {
	for {
		applied, changed := a.get()
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Status is a replica's view of itself and its group.
type Status struct {
	Self     raft.Member   `json:"self"`
	Role     string        `json:"role"`
	Term     uint64        `json:"term"`
	Leader   uint64        `json:"leader"`
	Commit   uint64        `json:"commit"`
	Applied  uint64        `json:"applied"`
	LogBytes int64         `json:"log_bytes"`
	Members  []raft.Member `json:"members"`
	// Unverified is set while the state on the disk may be an old copy: it was written on another
	// one. SetAside is the path of such a state that is not used any more.
	Unverified bool   `json:"unverified,omitempty"`
	SetAside   string `json:"set_aside,omitempty"`
	// Health is known to the leader only.
	Health *votergroup.Health `json:"health,omitempty"`
	// Leaderless is set while no leader is known.
	Leaderless *Leaderless `json:"leaderless,omitempty"`
}

// statusView holds the last published status, for readers outside the run loop.
type statusView struct {
	mu     sync.RWMutex
	status Status
}

func (v *statusView) get() Status {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.status
}

var roleNames = map[raft.Role]string{
	raft.Follower: "follower", raft.PreCandidate: "candidate", raft.Candidate: "candidate", raft.Leader: "leader",
}

func (r *Replica) publish() {
	s := Status{
		Self: r.self(), Role: roleNames[r.core.Role()], Term: r.core.Term(), Leader: r.core.Leader(),
		Commit: r.core.Commit(), Applied: r.core.Applied(), LogBytes: r.storage.log.Size(), Members: r.core.Members(),
	}
	s.Unverified, s.SetAside = r.core.Unverified(), r.aside
	if s.Unverified {
		s.Applied = 0 // the state machine has nothing yet
	}
	i := slices.IndexFunc(s.Members, func(m raft.Member) bool { return m.ID == s.Self.ID })
	s.Self.Voter = i >= 0 && s.Members[i].Voter && !s.Unverified
	if s.Role == "follower" && !s.Self.Voter {
		s.Role = "learner"
	}
	if r.core.Role() == raft.Leader {
		health := r.planner.Health(r.core)
		s.Health = &health
	}
	s.Leaderless = r.leaderlessState()
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.logHealth(s.Health)
	if previous := r.view.status; previous.Role != s.Role || previous.Leader != s.Leader {
		r.options.Log.Info("Replica changes role.", "role", s.Role, "term", s.Term, "leader", s.Leader)
	}
	r.view.status = s
}

// logHealth logs a change of the group's health. The lock of the view is held.
func (r *Replica) logHealth(next *votergroup.Health) {
	if last := r.view.status.Health; next == nil || last != nil && *last == *next {
		return
	}
	r.options.Log.Info("Group changes.", "wanted", next.Wanted, "voters", next.Voters, "replying", next.Replying,
		"learners", next.Learners, "tolerated", next.Tolerated, "short", next.Short())
}

// Status returns the last published status.
func (r *Replica) Status() Status { return r.view.get() }

// IsLeader reports whether this replica is the leader.
func (r *Replica) IsLeader() bool {
	s := r.view.get()
	return s.Leader == s.Self.ID
}

// Term returns the term of the last published status.
func (r *Replica) Term() uint64 { return r.view.get().Term }

// LeaderAddress returns the leader's address, or an empty string if none is known.
func (r *Replica) LeaderAddress() string {
	s := r.view.get()
	for _, m := range s.Members {
		if m.ID == s.Leader {
			return m.Address
		}
	}
	return ""
}

// MemberAddresses returns the addresses of all members, this replica included.
func (r *Replica) MemberAddresses() []string {
	members := r.view.get().Members
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Address)
	}
	return out
}
