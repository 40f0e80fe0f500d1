package membership

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
)

// Hosts of three regions each record the crash of a server. The hubs exchange them, and
// every host gets all three, once.
func TestCrashesOfAllRegions(t *testing.T) {
	noCatalog := func() *catalog.Catalog { return nil }
	regions := []string{"a", "b", "c"}
	var hubs []*Hub
	for n, region := range regions {
		h := NewHub(region, uint64(n+1), time.Second, noCatalog, time.Now)
		h.Beat(wheelgauge.Heartbeat{Host: region + "-1", Boot: 1, Crashes: []wheelgauge.Crash{{Request: "p", Server: region}}})
		hubs = append(hubs, h)
	}
	for _, from := range hubs {
		for _, to := range hubs {
			if from != to {
				from.TakeRegion(to.Exchange(from.Summary()))
			}
		}
	}
	for n, h := range hubs {
		beat := wheelgauge.Heartbeat{Host: regions[n] + "-2", Boot: 1}
		v := h.Beat(beat)
		var servers []string
		for _, c := range v.Crashes {
			servers = append(servers, c.Server)
		}
		if !slices.Equal(servers, regions) {
			t.Errorf("region %s: hosts got crashes of servers %v, want those of all regions", regions[n], servers)
		}
		beat.Hub, beat.Since, beat.CrashesAt = v.Hub, v.Version, v.CrashesAt
		if v = h.Beat(beat); v.Crashes != nil {
			t.Errorf("region %s: crashes were sent again: %v", regions[n], v.Crashes)
		}
		for _, r := range v.Regions {
			if r.Crashes != nil {
				t.Errorf("region %s: the summary of region %s still lists its crashes", regions[n], r.Region)
			}
		}
	}
}
