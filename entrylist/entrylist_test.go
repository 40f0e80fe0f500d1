package entrylist

import (
	"encoding/json"
	"fmt"
	"testing"

	"wheelgauge"
	"wheelgauge/catalog"
)

func build(hosts int, rules ...string) *catalog.Catalog {
	var list []wheelgauge.Resource
	for _, region := range []string{"karachi", "lahore"} {
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindRegion, Name: region, Spec: json.RawMessage(`{}`)})
		for i := range hosts {
			spec := fmt.Sprintf(`{"region":%q,"caller":"%s-%d","weight":%d}`, region, region, i, 1+i%2)
			list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindHost, Name: fmt.Sprintf("%s-%d", region, i), Spec: json.RawMessage(spec)})
		}
	}
	for i, r := range rules {
		list = append(list, wheelgauge.Resource{Kind: wheelgauge.KindResidencyRule, Name: fmt.Sprint("r", i), Spec: json.RawMessage(r)})
	}
	return catalog.Build(1, list)
}

func all(*catalog.Host) bool { return true }

func TestList(t *testing.T) {
	only := func(names ...string) Usable {
		return func(h *catalog.Host) bool {
			for _, n := range names {
				if n == h.Name {
					return true
				}
			}
			return false
		}
	}
	tests := []struct {
		name    string
		id      wheelgauge.Identity
		usable  Usable
		rules   []string
		regions []string
	}{
		{"home first", wheelgauge.Identity{Client: "c", Home: "lahore"}, all, nil, []string{"lahore", "lahore", "lahore", "karachi", "karachi", "karachi"}},
		{"near first without a home", wheelgauge.Identity{Client: "c"}, all, nil, []string{"karachi", "karachi", "karachi", "lahore", "lahore", "lahore"}},
		{"only where allowed", wheelgauge.Identity{Client: "c", Home: "karachi"}, all, []string{`{"client":"c","regions":["lahore"]}`}, []string{"lahore", "lahore", "lahore"}},
		{"dead hosts are left out", wheelgauge.Identity{Client: "c"}, only("karachi-1", "lahore-0"), nil, []string{"karachi", "lahore"}},
		{"no host is left", wheelgauge.Identity{Client: "c"}, only(), nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := List(build(4, tt.rules...), tt.id, "karachi", tt.usable)
			if len(got) != len(tt.regions) {
				t.Fatalf("got list %v of another length than wanted", got)
			}
			for i := range got {
				if got[i].Region != tt.regions[i] {
					t.Fatalf("got list %v, want other regions", got)
				}
			}
		})
	}
}

// Hosts get clients in proportion to their weight, and only the clients of a host that leaves
// are moved.
func TestSpread(t *testing.T) {
	const clients = 890
	c := build(4)
	first := func(usable Usable) map[string]string {
		out := map[string]string{}
		for i := range clients {
			id := wheelgauge.Identity{Client: fmt.Sprint("client-", i)}
			out[id.Client] = List(c, id, "karachi", usable)[0].Host
		}
		return out
	}
	before := first(all)
	after := first(func(h *catalog.Host) bool { return h.Name != "karachi-1" })
	count, moved := map[string]int{}, 0
	for client, host := range before {
		count[host]++
		if host != after[client] && host != "karachi-1" {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d clients of remaining hosts were moved", moved)
	}
	for host, want := range map[string]int{"karachi-0": clients / 6, "karachi-1": clients / 3, "karachi-2": clients / 6, "karachi-3": clients / 3} {
		if got := count[host]; got < want*3/4 || got > want*5/4 {
			t.Errorf("%s is first for %d clients, want about %d", host, got, want)
		}
	}
}

func TestShare(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 8} {
		c := build(hosts)
		sum := 0.0
		for i := range hosts {
			sum += Share(c, wheelgauge.Identity{Client: "c"}, "karachi", fmt.Sprint("karachi-", i), all)
		}
		if sum < 0.99 || sum > 1.3 {
			t.Errorf("%d hosts together give a client %.2f of its limit", hosts, sum)
		}
	}
}
