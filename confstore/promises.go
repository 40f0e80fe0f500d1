package confstore

import "wheelgauge"

// addPromises adds what the region's other hosts promised to callers since the version that the
// host has. A host that names no version makes no promises and gets none.
func (n *Node) addPromises(a *wheelgauge.FleetHeartbeatResponse, hb wheelgauge.FleetHeartbeat) {
	if hb.PromisesVersion == 0 {
		return
	}
	since := hb.PromisesVersion
	if hb.StoreBoot != n.boot {
		since = 0 // the version counts from another start of a store
	}
	a.Promises, a.PromisesVersion = n.promises.Since(hb.Host.Region, hb.Host.Name, since)
}
