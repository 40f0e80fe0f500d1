package membership

import (
	"slices"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/catalog"
)

// One server each ended under a request before hosts of three regions: the hubs tell one
// another, and every host is told of all three, once.
func TestCrashesOfAllRegions(t *testing.T) {
	none := func() *catalog.Catalog { return nil }
	regions := []string{"a", "b", "c"}
	var hubs []*Hub
	for n, region := range regions {
		h := NewHub(region, uint64(n+1), time.Second, none, time.Now)
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
		var under []string
		for _, c := range v.Crashes {
			under = append(under, c.Server)
		}
		if !slices.Equal(under, regions) {
			t.Errorf("region %s: hosts are told of ends at %v", regions[n], under)
		}
		beat.Hub, beat.Since, beat.CrashesAt = v.Hub, v.Version, v.CrashesAt
		if v = h.Beat(beat); v.Crashes != nil {
			t.Errorf("region %s: told again: %v", regions[n], v.Crashes)
		}
		for _, r := range v.Regions {
			if r.Crashes != nil {
				t.Errorf("region %s: hosts are told of those of %s apart", regions[n], r.Region)
			}
		}
	}
}
