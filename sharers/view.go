// Package sharers is a host's view of the hosts among which a rate is shared. Each host works out
// its own share, so the sum over all hosts holds only if no host has a larger one than it has in
// the view of any other: a host without a complete and recent view has none.
package sharers

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// settleTime is how long a host that has reached a connected store has no share: by then the
	// others know of it, and what it sent before a restart is longer ago than a second. A host
	// that has gone keeps its share for as long.
	settleTime = 2 * time.Second
	// maxAge is how long a view holds that no connected store confirms: hosts may have joined
	// since, or taken the place of this one.
	maxAge = 2 * time.Second
)

// member is a host of the view.
type member struct {
	listed bool
	// goneAt is when a complete view first lacked the host; zero while none has.
	goneAt time.Time
}

// View holds the hosts that may have a share. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	members map[string]member
	// names are those of the members, sorted. Callers hold the slice, so it is replaced, not
	// changed.
	names []string
	// reachedAt is when this host reached a connected store after it had not been confirmed for
	// maxAge; complete is set once a complete view was confirmed.
	reachedAt, confirmedAt time.Time
	complete               bool
	now                    func() time.Time
}

// New returns an empty view, in which this host has no share.
func New(now func() time.Time) *View { return &View{members: map[string]member{}, now: now} }

// SetHosts sets the names of the hosts that are listed now. Others stay members until a complete
// view has lacked them for settleTime.
func (v *View) SetHosts(names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		v.members[name] = member{listed: true}
	}
	for name, m := range v.members {
		if m.listed && !listed[name] {
			v.members[name] = member{}
		}
	}
	v.setNames()
}

// Confirm records that the hosts listed were at a time those of a store that was connected to the
// others: hosts of one that is cut off cannot know who has taken their place. complete is set if
// each live host had had time to reach the store.
func (v *View) Confirm(at time.Time, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	if now.Sub(v.confirmedAt) > maxAge {
		v.reachedAt = now
	}
	if at.After(v.confirmedAt) {
		v.confirmedAt = at
	}
	if !complete {
		return
	}
	v.complete = true
	gone := false
	for name, m := range v.members {
		switch {
		case m.listed:
		case m.goneAt.IsZero():
			v.members[name] = member{goneAt: now}
		case now.Sub(m.goneAt) >= settleTime:
			delete(v.members, name)
			gone = true
		}
	}
	if gone {
		v.setNames()
	}
}

// setNames recomputes the names; the lock is held.
func (v *View) setNames() { v.names = slices.Sorted(maps.Keys(v.members)) }

// Hosts returns the hosts among which a rate is shared; none while this host can't know that the
// view is complete and recent. The slice must not be changed.
func (v *View) Hosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.settled() || v.now().Sub(v.confirmedAt) > maxAge {
		return nil
	}
	return v.names
}

// LastHosts is Hosts for what a host does while no store answers: the view may be old.
func (v *View) LastHosts() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.settled() {
		return nil
	}
	return v.names
}

// Settled reports whether this host has had a complete view for long enough to have a share.
func (v *View) Settled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settled()
}

func (v *View) settled() bool {
	return v.complete && v.now().Sub(v.reachedAt) >= settleTime
}

// Age returns the time since a store confirmed the view; negative if none has.
func (v *View) Age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmedAt.IsZero() {
		return -1
	}
	return v.now().Sub(v.confirmedAt)
}
