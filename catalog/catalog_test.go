package catalog

import (
	"encoding/json"
	"testing"

	"wheelgauge"
)

func resource(kind wheelgauge.Kind, name, spec, pending string) wheelgauge.Resource {
	r := wheelgauge.Resource{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
	if pending != "" {
		r.Pending = json.RawMessage(pending)
	}
	return r
}

func TestAllows(t *testing.T) {
	id := wheelgauge.Identity{Client: "desk", Class: "calls"}
	rule := func(client, regions string) string { return `{"client":"` + client + `","regions":[` + regions + `]}` }
	tests := []struct {
		name    string
		rules   []wheelgauge.Resource
		allowed []string
	}{
		{"no rule", nil, []string{"karachi", "lahore"}},
		{"own rule", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("desk", `"karachi"`), "")}, []string{"karachi"}},
		{"another's rule", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("other", `"karachi"`), "")}, []string{"karachi", "lahore"}},
		{"rule of the class", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("class:calls", `"lahore"`), "")}, []string{"lahore"}},
		{"both hold", []wheelgauge.Resource{
			resource(wheelgauge.KindResidencyRule, "a", rule("desk", `"karachi"`), ""),
			resource(wheelgauge.KindResidencyRule, "b", rule("class:calls", `"lahore"`), ""),
		}, nil},
		{"pending narrows", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("desk", `"karachi","lahore"`), rule("desk", `"lahore"`))}, []string{"lahore"}},
		{"pending first rule", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", "", rule("desk", `"lahore"`))}, []string{"lahore"}},
		{"pending for another client", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("desk", `"lahore"`), rule("other", `"karachi"`))}, nil},
		{"unreadable rule", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", `{"client":5}`, "")}, nil},
		{"unreadable pending", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", rule("desk", `"lahore"`), `[]`)}, nil},
		{"no region at all", []wheelgauge.Resource{resource(wheelgauge.KindResidencyRule, "a", `{"client":"desk","regions":[]}`, "")}, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := append([]wheelgauge.Resource{
				resource(wheelgauge.KindRegion, "karachi", `{"price":1}`, ""),
				resource(wheelgauge.KindRegion, "lahore", `{"price":1}`, ""),
			}, tt.rules...)
			got := Build(1, list).AllowedRegions(id)
			if len(got) != len(tt.allowed) {
				t.Fatalf("got %v, want %v", got, tt.allowed)
			}
			for i := range got {
				if got[i] != tt.allowed[i] {
					t.Fatalf("got %v, want %v", got, tt.allowed)
				}
			}
		})
	}
}

func TestRoutesAndServers(t *testing.T) {
	c := Build(1, []wheelgauge.Resource{
		resource(wheelgauge.KindPool, "engines", `{"type":"engine"}`, ""),
		resource(wheelgauge.KindPool, "orders", `{"type":"service"}`, ""),
		resource(wheelgauge.KindBackendServer, "e1", `{"pool":"engines","region":"karachi","slots":4}`, ""),
		resource(wheelgauge.KindBackendServer, "e2", `{"pool":"engines","region":"karachi","slots":4}`, ""),
		resource(wheelgauge.KindPlacement, "p", `{"model":"large","servers":["e2"]}`, ""),
		resource(wheelgauge.KindRoute, "large", `{"model":"large","pool":"engines"}`, ""),
		resource(wheelgauge.KindRoute, "all", `{"path":"orders/","pool":"orders"}`, ""),
		resource(wheelgauge.KindRoute, "stock", `{"path":"orders/stock/","pool":"orders"}`, ""),
		resource(wheelgauge.KindHost, "broken", `{"region":5}`, ""),
	})
	tests := []struct {
		name string
		got  string
		want string
	}{
		{"model", c.RouteForModel("large").Name, "large"},
		{"model with adapter", c.RouteForModel("large:urdu").Name, "large"},
		{"longest path", c.RouteForPath("orders/stock/7").Name, "stock"},
		{"shorter path", c.RouteForPath("orders/list").Name, "all"},
		{"placed", c.Servers("engines", "karachi", "large")[0].Name, "e2"},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, tt.got, tt.want)
		}
	}
	if c.RouteForModel("none") != nil || c.RouteForPath("none") != nil || len(c.Servers("engines", "karachi", "small")) != 2 || len(c.DecodeErrors()) != 1 {
		t.Error("expected no route for unknown names, two servers for a model without placements, and one fault")
	}
}
