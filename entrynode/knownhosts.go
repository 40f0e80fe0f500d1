package entrynode

import (
	"slices"

	"wheelgauge"
	"wheelgauge/announcedhosts"
)

// knownHosts are the live entry hosts. Updates come one at a time.
type knownHosts struct {
	all map[string]wheelgauge.FleetHost
	// region are the names of those of the host's region, sorted; eligible those of them that
	// accept callers and may be announced to them.
	region   []string
	eligible announcedhosts.Set
}

// set sets a host, or removes it if h is nil. own is the region of the host itself.
func (k *knownHosts) set(name string, h *wheelgauge.FleetHost, own string) {
	before, after := k.all[name], wheelgauge.FleetHost{}
	if k.all == nil {
		k.all = map[string]wheelgauge.FleetHost{}
	}
	delete(k.all, name)
	if h != nil {
		after, k.all[name] = *h, *h
	}
	before, after = in(before, own), in(after, own)
	k.eligible.Update(before, after)
	i, found := slices.BinarySearch(k.region, name)
	switch {
	case found && after.Name == "":
		k.region = slices.Delete(k.region, i, i+1)
	case !found && after.Name != "":
		k.region = slices.Insert(k.region, i, name)
	}
}

// in returns a host if it is in a region, the zero value otherwise.
func in(h wheelgauge.FleetHost, region string) wheelgauge.FleetHost {
	if h.Region != region {
		return wheelgauge.FleetHost{}
	}
	return h
}

// announced returns the names of the region's hosts that are announced to callers at any load, or
// all if there are none. Only these get shares of a cold server's rate: shares of hosts without
// callers would be unused.
func (k *knownHosts) announced() []string {
	if announced := k.eligible.Minimum(); len(announced) > 0 {
		return announced
	}
	return k.region
}
