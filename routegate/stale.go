package routegate

import (
	"context"
	"strconv"
	"time"

	"wheelgauge/routetable"
	"wheelgauge/serverset"
)

const (
	// staleConfigAge is how long the configuration may not have been known to be the newest before
	// the routes of single requests are looked up: ten heartbeats, half of the shortest time in
	// which users expect a change to be in force.
	staleConfigAge = 1500 * time.Millisecond
	// staleListAge is the age of the list of servers from which single servers are looked up: the
	// list is read each second, and by another store after 2.5 s without a reading.
	staleListAge = 3 * time.Second
)

// routesFor returns the table to match a request by: the one held, or with the newer routes of a
// store for the host name if the one held may be outdated. toldBy is that store.
func (g *Gate) routesFor(ctx context.Context, t *routetable.Table, hostName string) (table *routetable.Table, toldBy string) {
	age := g.configAge()
	if g.options.Lookup == nil || age <= staleConfigAge {
		return t, ""
	}
	g.options.Meter.Count("lookups.routes")
	resp, ok := g.options.Lookup.Routes(ctx, hostName, t.Version())
	if !ok {
		return t, "" // no store knows better
	}
	newer, err := t.WithPart(hostName, resp.Version, resp.Rows)
	if err != nil {
		g.options.Log.Error(err, "Routes of a store cannot be decoded; the ones held are used.", "host", hostName, "version", resp.Version)
		return t, ""
	}
	g.options.Meter.Count("lookups.routes.newer")
	return newer, resp.Store
}

// parseVersion reads a version of the configuration; 0 if there is none.
func parseVersion(header []byte) uint64 {
	version, err := strconv.ParseUint(string(header), 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// atOtherVersion reports whether the request is judged by another version than the one held, or by
// another one than at the gateway that forwarded it.
func (c *call) atOtherVersion() bool {
	return c.toldBy != "" || c.admittedBy != 0 && c.admittedBy != c.version
}

// stillListed reports whether the chosen server is still listed. With an old list a store is asked.
func (c *call) stillListed(ctx context.Context, k *serverset.Pick) bool {
	o := c.gate.options
	age := o.Servers.ListAge()
	if o.Lookup == nil || age <= staleListAge {
		return true
	}
	o.Meter.Count("lookups.servers")
	if !o.Lookup.Gone(ctx, k.Server().InstanceKey(), age.Milliseconds()) {
		return true
	}
	k.MarkLeaving()
	o.Meter.Count("lookups.servers.gone")
	o.Log.V(1).Info("A server of an old list has left or is leaving.", "id", c.id, "server", k.Server().InstanceKey(), "list_age_ms", age.Milliseconds())
	return false
}
