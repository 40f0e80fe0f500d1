package entrynode

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/announcedhosts"
	"wheelgauge/heartbeat"
	"wheelgauge/meter"
	"wheelgauge/peerset"
	"wheelgauge/prompt"
	"wheelgauge/retrybudget"
	"wheelgauge/rollout/selector"
	"wheelgauge/serverset"
	"wheelgauge/sharers"
)

// hostRow returns the row of a host.
func hostRow(t *testing.T, h wheelgauge.FleetHost) wheelgauge.TableRow {
	t.Helper()
	value, err := json.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	return wheelgauge.TableRow{Key: h.Name, Value: value}
}

// Hosts come and go one by one; what is known of the others stays.
func TestHostsAreUpdatedByRows(t *testing.T) {
	host := func(name, region string, ready, leaving bool) wheelgauge.TableRow {
		return hostRow(t, wheelgauge.FleetHost{Name: name, Region: region, Ready: ready, Leaving: leaving, PeerAddress: "127.0.0.1:1"})
	}
	steps := []struct {
		name                   string
		rows                   []wheelgauge.TableRow
		all, region, accepting int
		peers                  []string
	}{
		{"three hosts", []wheelgauge.TableRow{host("a", "here", true, false), host("b", "here", false, false), host("f", "there", true, false)}, 3, 2, 1, []string{"there"}},
		{"one gets ready", []wheelgauge.TableRow{host("b", "here", true, false)}, 3, 2, 2, []string{"there"}},
		{"one leaves", []wheelgauge.TableRow{host("a", "here", true, true)}, 3, 2, 1, []string{"there"}},
		{"one cannot be decoded", []wheelgauge.TableRow{{Key: "b", Value: []byte(`[]`)}}, 3, 2, 1, []string{"there"}},
		{"two are gone", []wheelgauge.TableRow{{Key: "a"}, {Key: "f"}}, 1, 1, 1, nil},
		{"one is gone again", []wheelgauge.TableRow{{Key: "a"}}, 1, 1, 1, nil},
	}
	n := newUpdateNode("here")
	for _, s := range steps {
		n.HostRows(s.rows)
		if len(n.hosts.all) != s.all || len(n.hosts.region) != s.region || n.hosts.eligible.Len() != s.accepting || !slices.Equal(n.peers.Regions("s"), s.peers) {
			t.Errorf("%s: got %d hosts, %d of the region, %d accepting, gateways of %v, want %d, %d, %d, %v",
				s.name, len(n.hosts.all), len(n.hosts.region), n.hosts.eligible.Len(), n.peers.Regions("s"), s.all, s.region, s.accepting, s.peers)
		}
	}
}

// newUpdateNode returns a host that only takes updates.
func newUpdateNode(region string) *Node {
	now := time.Now
	return &Node{
		options: Options{Region: region, Clock: wheelgauge.MonotonicClock{}, Log: logr.Discard()}, meter: meter.New(), peers: peerset.New(region, time.Second, now),
		servers:  serverset.New(serverset.Place{}, func(string) *wheelgauge.Service { return nil }, now),
		sharers:  sharers.New(now),
		budget:   retrybudget.New(retrybudget.Options{Ratio: 0.2, Slack: 1, Window: time.Second}, now),
		versions: selector.New(selector.Options{Now: now}),
	}
}

// Only announced hosts get shares of a cold server's rate.
func TestSharesGoToAnnouncedHosts(t *testing.T) {
	var hosts []wheelgauge.FleetHost
	for i := range 100 {
		hosts = append(hosts, wheelgauge.FleetHost{Name: fmt.Sprint("g", i), Region: "here", Hall: fmt.Sprint("h", i%2), Ready: i > 0, Leaving: i == 1})
	}
	hosts = append(hosts, wheelgauge.FleetHost{Name: "far", Region: "there", Ready: true})
	var known knownHosts
	for i := range hosts {
		known.set(hosts[i].Name, &hosts[i], "here")
	}
	all, announced := known.region, known.announced()
	if len(all) != 100 || len(announced) != announcedhosts.MinHosts {
		t.Errorf("got %d hosts, %d announced, want 100 and %d", len(all), len(announced), announcedhosts.MinHosts)
	}
	for _, name := range []string{"g0", "g1", "far"} {
		if slices.Contains(announced, name) {
			t.Errorf("%s is returned as announced, but it is not", name)
		}
	}
	for i := range hosts {
		hosts[i].Leaving = true
		known.set(hosts[i].Name, &hosts[i], "here")
	}
	if announced := known.announced(); len(announced) != 100 {
		t.Errorf("all hosts are leaving: got %d announced, want all", len(announced))
	}
}

// A cold server whose end is given by the clock of another store's list is not taken for warm.
func TestColdServerOfAnotherClockIsCold(t *testing.T) {
	const service = "s"
	tests := []struct {
		name  string
		clock uint64 // of the list's state
		at    int64  // its time in ms
		want  bool
	}{
		{"cold by the same clock", 7, 1000, true},
		{"warm by the same clock", 7, 3500, false},
		{"by another clock, which is ahead", 8, 100_000, true},
		{"no clock is known", 0, 0, true},
	}
	for _, tt := range tests {
		n := newUpdateNode("here")
		config := &wheelgauge.Service{Name: service, ColdRate: 3, MaxConns: 10}
		n.servers = serverset.New(serverset.Place{Host: "a"}, func(string) *wheelgauge.Service { return config }, time.Now)
		n.servers.SetSharers(func() ([]string, time.Duration) { return []string{"a"}, 0 })
		n.origins = n.newOrigins()
		defer n.origins.Close()
		row, err := wheelgauge.EncodeRow("i", wheelgauge.Server{Instance: "i", Service: service, Address: "127.0.0.1:1", ColdUntilMS: 3000, ColdClock: 7})
		if err != nil {
			t.Fatal(err)
		}
		requestedAt := time.Now().Add(-1500 * time.Millisecond) // longer ago than requests are in transit
		n.ServerRows("here", []wheelgauge.TableRow{row}, heartbeat.ListTime{RequestedAt: requestedAt, ClockMS: tt.at, Clock: tt.clock})
		n.servers.ConfirmList(requestedAt)
		k := n.servers.Choose(serverset.NewJob(service, prompt.Prompt{}, 0, nil))
		if k == nil {
			t.Fatalf("%s: no server is chosen", tt.name)
		}
		if _, cold := k.Cold(); cold != tt.want {
			t.Errorf("%s: got cold %v, want %v", tt.name, cold, tt.want)
		}
	}
}

// usageRecorder records what credits are told.
type usageRecorder struct {
	wheelgauge.ForwardCredits
	regions, hosts int
}

func (r *usageRecorder) SetUsage(regions []wheelgauge.RegionUsage, hosts int) {
	r.regions, r.hosts = len(regions), hosts
}

// Credits are shared by the hosts of the region that accept callers, and partial totals do not
// replace complete ones.
func TestCreditsAreToldTheUsage(t *testing.T) {
	r := &usageRecorder{}
	n := newUpdateNode("here")
	n.credits = r
	for _, h := range []wheelgauge.FleetHost{
		{Name: "a", Region: "here", Ready: true},
		{Name: "b", Region: "here", Ready: true},
		{Name: "leaving", Region: "here", Ready: true, Leaving: true},
		{Name: "starting", Region: "here"},
		{Name: "far", Region: "there", Ready: true},
	} {
		n.HostRows([]wheelgauge.TableRow{hostRow(t, h)})
	}
	tests := []struct {
		name    string
		regions int
		partial bool
		want    int
	}{
		{"partial ones at first", 1, true, 0},
		{"complete ones", 2, false, 2},
		{"partial ones later", 1, true, 2},
	}
	for _, tt := range tests {
		n.RegionUsage(make([]wheelgauge.RegionUsage, tt.regions), tt.partial)
		if told := r.regions > 0; r.regions != tt.want || told && r.hosts != 2 {
			t.Errorf("%s: the credits know %d regions and %d hosts, want %d and 2", tt.name, r.regions, r.hosts, tt.want)
		}
	}
}
