package routetable

import (
	"maps"
	"slices"

	"wheelgauge"
)

// maxRanks is the number of ranks that engines distinguish, 0 being the most urgent.
const maxRanks = 10

// rankOrder ranks requests by the priority of their workspace first and by that of their
// route second.
type rankOrder struct {
	workspacePriorities []int
	routePriorities     []int
	// workspaceRanks is the number of distinct workspace priorities, plus one if callers
	// without a key are admitted.
	workspaceRanks int
}

func newRankOrder(t *Table) rankOrder {
	var k rankOrder
	for _, w := range t.workspaces {
		k.workspacePriorities = append(k.workspacePriorities, w.Priority)
	}
	slices.Sort(k.workspacePriorities)
	k.workspacePriorities = slices.Compact(k.workspacePriorities)
	k.routePriorities = slices.Sorted(maps.Keys(t.priorities))
	k.workspaceRanks = len(k.workspacePriorities)
	if t.anonymous > 0 {
		k.workspaceRanks++
	}
	return k
}

// Rank returns the rank of requests of a workspace and a route, 0 being the most urgent.
// If there are no workspaces, it is the route's priority. Otherwise requests without a
// workspace rank after all others.
func (t *Table) Rank(w *wheelgauge.Workspace, r *wheelgauge.PathRoute) int {
	if !t.KeysRequired() {
		return min(r.Priority, maxRanks-1)
	}
	workspaceRank := len(t.ranks.workspacePriorities)
	if w != nil {
		workspaceRank, _ = slices.BinarySearch(t.ranks.workspacePriorities, w.Priority)
	}
	route, _ := slices.BinarySearch(t.ranks.routePriorities, r.Priority)
	rank := workspaceRank*len(t.ranks.routePriorities) + route
	if total := t.ranks.workspaceRanks * len(t.ranks.routePriorities); total > maxRanks {
		// There are more than engines distinguish, so adjacent ones share a rank.
		return min(maxRanks-1, rank*maxRanks/total)
	}
	return rank
}
