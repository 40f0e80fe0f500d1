package routetable

import (
	"slices"

	"wheelgauge"
)

// levels are how many ranks engines tell apart, 0 the most urgent.
const levels = 10

// ranks order requests by the priority of their workspace first, then by that of their
// route.
type ranks struct {
	workspaces []int
	routes     []int
	// groups are the workspaces' priorities, and one more where callers without a key
	// are let in.
	groups int
}

func newRanks(set *wheelgauge.RouteSet) ranks {
	var k ranks
	for i := range set.Workspaces {
		k.workspaces = append(k.workspaces, set.Workspaces[i].Priority)
	}
	for i := range set.Routes {
		k.routes = append(k.routes, set.Routes[i].Priority)
	}
	k.workspaces, k.routes = distinct(k.workspaces), distinct(k.routes)
	k.groups = len(k.workspaces)
	if slices.ContainsFunc(set.Routes, func(r wheelgauge.PathRoute) bool { return r.Open }) {
		k.groups++
	}
	return k
}

func distinct(list []int) []int {
	slices.Sort(list)
	return slices.Compact(list)
}

// Rank orders requests of a workspace and a route, 0 first. Without workspaces it is
// the route's priority; where there are some, requests without one come after all
// others.
func (t *Table) Rank(w *wheelgauge.Workspace, r *wheelgauge.PathRoute) int {
	if !t.KeysNeeded() {
		return min(r.Priority, levels-1)
	}
	of := len(t.ranks.workspaces)
	if w != nil {
		of, _ = slices.BinarySearch(t.ranks.workspaces, w.Priority)
	}
	route, _ := slices.BinarySearch(t.ranks.routes, r.Priority)
	rank := of*len(t.ranks.routes) + route
	if all := t.ranks.groups * len(t.ranks.routes); all > levels {
		// More than engines tell apart: neighbours share a rank.
		return min(levels-1, rank*levels/all)
	}
	return rank
}
