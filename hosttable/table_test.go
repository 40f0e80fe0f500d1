package hosttable

import (
	"reflect"
	"testing"
	"time"

	"wheelgauge"
)

const interval = time.Second

func beatOf(name, region string, primary bool) wheelgauge.Beat {
	return wheelgauge.Beat{
		Host: wheelgauge.FleetHost{Name: name, Region: region, Ready: true}, Primary: primary,
		Uses:   []wheelgauge.ServerUse{{Instance: "i", Running: 2, Tokens: 10}},
		Totals: []wheelgauge.ServiceUse{{Service: "s", Running: 3, Tokens: 7}},
	}
}

func TestSilentHostsAreForgotten(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	table.Take(beatOf("a", "north", true), interval)
	table.Take(beatOf("b", "south", false), interval)
	hosts, first := table.Hosts()
	if len(hosts) != 2 {
		t.Fatalf("%d hosts, want 2", len(hosts))
	}
	at = at.Add(2 * interval)
	table.Take(beatOf("a", "north", true), interval)
	if hosts, again := table.Hosts(); len(hosts) != 2 || again != first {
		t.Errorf("one lost beat: %d hosts at %d, want 2 at %d", len(hosts), again, first)
	}
	at = at.Add(interval)
	hosts, again := table.Hosts()
	if len(hosts) != 1 || hosts[0].Name != "a" || again == first {
		t.Errorf("after silence: %v at %d", hosts, again)
	}
	if regions := table.Primary(); len(regions) != 1 || regions[0] != "north" {
		t.Errorf("primary for %v", regions)
	}
}

func TestSums(t *testing.T) {
	at := time.Unix(0, 0)
	table := New(func() time.Time { return at })
	for _, name := range []string{"a", "b", "c"} {
		table.Take(beatOf(name, "north", true), interval)
	}
	table.Take(beatOf("d", "south", true), interval)
	uses := table.Uses("north", "a")
	if len(uses) != 1 || !reflect.DeepEqual(uses[0], wheelgauge.ServerUse{Instance: "i", Running: 4, Tokens: 20}) {
		t.Errorf("others of the region use %v", uses)
	}
	if got := table.Regions()["north"]["s"]; got.Running != 9 || got.Tokens != 21 {
		t.Errorf("the region uses %+v", got)
	}
}
