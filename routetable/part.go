package routetable

import (
	"maps"
	"slices"

	"wheelgauge"
)

// Part returns what a lookup asks for, with all services and the limits, and the number of all
// workspaces.
func (t *Table) Part(r wheelgauge.LookupRequest) (set *wheelgauge.RouteSet, workspaces int) {
	set = &wheelgauge.RouteSet{Version: t.version, Limits: t.limits}
	for _, s := range t.services {
		set.Services = append(set.Services, *s)
	}
	for _, route := range t.routes.routes(HostName(r.HostName)) {
		set.Routes = append(set.Routes, *route)
	}
	for _, w := range []*wheelgauge.Workspace{t.keys[r.Key], t.workspaces[r.Workspace]} {
		if w != nil {
			set.Workspaces = append(set.Workspaces, *w)
		}
	}
	return set, len(t.workspaces)
}

// WithPart returns the table with the response to a lookup, which replaces all routes of the host
// name, and what is held of the key and the workspace. It serves requests like the one that the
// lookup was made for, and no others.
func (t *Table) WithPart(r wheelgauge.LookupRequest, resp wheelgauge.LookupResponse) (*Table, error) {
	c, err := decodeRows(resp.Rows)
	if err != nil {
		return nil, err
	}
	host := HostName(r.HostName)
	for _, route := range t.routes.routes(host) {
		if _, ok := c.routes[host][route.Prefix]; !ok {
			c.setRoute(host, route.Prefix, nil)
		}
	}
	if resp.Workspaces == nil {
		return t.with(resp.Version, c), nil
	}
	if r.Workspace != "" && c.workspaces[r.Workspace] == nil {
		c.workspaces[r.Workspace] = nil
	}
	out := t.with(resp.Version, c)
	out.keysRequired = *resp.Workspaces > 0
	out.keys = maps.Clone(out.keys) // may be shared with t
	delete(out.keys, r.Key)
	for _, w := range c.workspaces {
		if w != nil && slices.Contains(w.Keys, r.Key) {
			out.keys[r.Key] = w
		}
	}
	return out, nil
}
