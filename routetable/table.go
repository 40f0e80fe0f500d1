// Package routetable finds the route of a request by its host name and the longest
// matching path prefix.
package routetable

import (
	"maps"
	"math/rand/v2"
	"strings"

	"wheelgauge"
)

// Table is an immutable index of a complete configuration. One made by With shares with the one
// before what has not changed.
type Table struct {
	version  uint64
	limits   wheelgauge.CallerLimits
	routes   *shards
	services map[string]*wheelgauge.Service
	// Workspaces by key and by name.
	keys       map[string]*wheelgauge.Workspace
	workspaces map[string]*wheelgauge.Workspace
	// priorities counts the routes of each priority, anonymous those that admit callers without a
	// key.
	priorities map[int]int
	anonymous  int
	// keysRequired is set if there are workspaces.
	keysRequired bool
	ranks        rankOrder
}

// New builds the table of a validated configuration.
func New(set *wheelgauge.RouteSet) *Table {
	c := newChanges()
	c.limits = &set.Limits
	for i := range set.Routes {
		c.setRoute(set.Routes[i].Host, set.Routes[i].Prefix, &set.Routes[i])
	}
	for i := range set.Services {
		c.services[set.Services[i].Name] = &set.Services[i]
	}
	for i := range set.Workspaces {
		c.workspaces[set.Workspaces[i].Name] = &set.Workspaces[i]
	}
	return (&Table{routes: &shards{}}).with(set.Version, c)
}

// With returns the table of a version that differs by rows, as Rows returns them.
func (t *Table) With(version uint64, rows []wheelgauge.TableRow) (*Table, error) {
	c, err := decodeRows(rows)
	if err != nil {
		return nil, err
	}
	return t.with(version, c), nil
}

// with returns a copy with changes, which costs as much as these and the workspaces are, if any
// of them changes.
func (t *Table) with(version uint64, c changes) *Table {
	out := *t
	out.version = version
	if c.limits != nil {
		out.limits = *c.limits
	}
	out.priorities = maps.Clone(t.priorities)
	if out.priorities == nil {
		out.priorities = map[int]int{}
	}
	for host, routes := range c.routes {
		for prefix, r := range routes {
			out.countRoute(t.route(host, prefix), -1)
			out.countRoute(r, 1)
		}
	}
	out.routes = t.routes.with(c.routes)
	out.services = withChanges(t.services, c.services)
	out.workspaces = withChanges(t.workspaces, c.workspaces)
	out.keysRequired = len(out.workspaces) > 0
	if len(c.workspaces) > 0 || out.keys == nil {
		out.keys = map[string]*wheelgauge.Workspace{}
		for _, w := range out.workspaces {
			for _, key := range w.Keys {
				out.keys[key] = w
			}
		}
	}
	out.ranks = newRankOrder(&out)
	return &out
}

// withChanges returns m with changes, of which nil removes an entry.
func withChanges[V any](m, changes map[string]*V) map[string]*V {
	if len(changes) == 0 && m != nil {
		return m
	}
	out := maps.Clone(m)
	if out == nil {
		out = map[string]*V{}
	}
	for name, v := range changes {
		if v == nil {
			delete(out, name)
			continue
		}
		out[name] = v
	}
	return out
}

// countRoute adds a route to the counts, or takes it off with sign -1; nil is none.
func (t *Table) countRoute(r *wheelgauge.PathRoute, sign int) {
	if r == nil {
		return
	}
	if t.priorities[r.Priority] += sign; t.priorities[r.Priority] == 0 {
		delete(t.priorities, r.Priority)
	}
	if r.AllowAnonymous {
		t.anonymous += sign
	}
}

// route returns the route of a host name in lower case and a whole prefix; nil if there is none.
func (t *Table) route(host, prefix string) *wheelgauge.PathRoute {
	for _, r := range t.routes.routes(host) {
		if r.Prefix == prefix {
			return r
		}
	}
	return nil
}

// KeysRequired reports whether callers need a key, which is so if there are workspaces.
func (t *Table) KeysRequired() bool { return t.keysRequired }

// WorkspaceByKey returns the workspace that a key belongs to; nil if there is none.
func (t *Table) WorkspaceByKey(key []byte) *wheelgauge.Workspace { return t.keys[string(key)] }

// Workspace returns a workspace by name; nil if there is none.
func (t *Table) Workspace(name string) *wheelgauge.Workspace { return t.workspaces[name] }

// Workspaces returns all workspaces by name; the map must not be modified.
func (t *Table) Workspaces() map[string]*wheelgauge.Workspace { return t.workspaces }

// Version returns the operator's version number.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() wheelgauge.CallerLimits { return t.limits }

// Service returns a service by name; nil if there is none.
func (t *Table) Service(name string) *wheelgauge.Service { return t.services[name] }

// HostName returns the host name of a Host header, in lower case and without a port.
func HostName(host string) string {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	return host
}

// Match returns the route of a host name and path; nil if there is none. A port
// in the host name and a query in the path are ignored.
func (t *Table) Match(host, path string) *wheelgauge.PathRoute {
	path, _, _ = strings.Cut(path, "?")
	for _, r := range t.routes.routes(HostName(host)) {
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
