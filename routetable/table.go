// Package routetable finds the route of a request by its host name and the longest
// matching path prefix.
package routetable

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"wheelgauge"
)

// Table is an immutable index of a complete configuration.
type Table struct {
	set      *wheelgauge.RouteSet
	hosts    map[string][]*wheelgauge.PathRoute
	services map[string]*wheelgauge.Service
	// Workspaces by key and by name.
	keys       map[string]*wheelgauge.Workspace
	workspaces map[string]*wheelgauge.Workspace
	ranks      rankOrder
}

// New builds the table of a validated configuration.
func New(set *wheelgauge.RouteSet) *Table {
	t := &Table{
		set: set, hosts: map[string][]*wheelgauge.PathRoute{}, services: map[string]*wheelgauge.Service{},
		keys: map[string]*wheelgauge.Workspace{}, workspaces: map[string]*wheelgauge.Workspace{}, ranks: newRankOrder(set),
	}
	for i := range set.Routes {
		r := &set.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *wheelgauge.PathRoute) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range set.Services {
		t.services[set.Services[i].Name] = &set.Services[i]
	}
	for i := range set.Workspaces {
		w := &set.Workspaces[i]
		t.workspaces[w.Name] = w
		for _, key := range w.Keys {
			t.keys[key] = w
		}
	}
	return t
}

// KeysRequired reports whether callers need a key, which is so if there are workspaces.
func (t *Table) KeysRequired() bool { return len(t.workspaces) > 0 }

// WorkspaceByKey returns the workspace that a key belongs to; nil if there is none.
func (t *Table) WorkspaceByKey(key []byte) *wheelgauge.Workspace { return t.keys[string(key)] }

// Workspace returns a workspace by name; nil if there is none.
func (t *Table) Workspace(name string) *wheelgauge.Workspace { return t.workspaces[name] }

// Workspaces returns all workspaces; the slice must not be modified.
func (t *Table) Workspaces() []wheelgauge.Workspace { return t.set.Workspaces }

// Version returns the operator's version number.
func (t *Table) Version() uint64 { return t.set.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() wheelgauge.CallerLimits { return t.set.Limits }

// Service returns a service by name; nil if there is none.
func (t *Table) Service(name string) *wheelgauge.Service { return t.services[name] }

// Match returns the route of a host name and path; nil if there is none. A port
// in the host name and a query in the path are ignored.
func (t *Table) Match(host, path string) *wheelgauge.PathRoute {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService chooses a service of a route at random, by weight.
func PickService(r *wheelgauge.PathRoute) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := rand.IntN(total)
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// HostAllowedIn reports whether all routes of a host name may run in a region.
func HostAllowedIn(set *wheelgauge.RouteSet, host, region string) bool {
	for i := range set.Routes {
		r := &set.Routes[i]
		if strings.EqualFold(r.Host, host) && !r.AllowedIn(region) {
			return false
		}
	}
	return true
}
