package routegate

import (
	"context"
	"time"

	"wheelgauge/serverset"
)

// staleListAge is the age of the list of servers from which single servers are looked up: the
// list is read each second, and by another store after 2.5 s without a reading.
const staleListAge = 3 * time.Second

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
