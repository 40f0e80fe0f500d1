package confstore

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/lookupclient"
	"wheelgauge/routetable"
)

// serveLookup answers hosts whose tables are too old to go by; false means another path.
func (n *Node) serveLookup(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, lookupclient.Path, func(r wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error) {
		n.meter.Count("lookups")
		if r.Server != "" {
			return n.lookUpServer(r.Server), nil
		}
		return n.lookUpRoutes(r)
	})
}

// lookUpServer tells of a server by the list that names it, or by the oldest if none does.
func (n *Node) lookUpServer(instanceKey string) wheelgauge.LookupResponse {
	resp := wheelgauge.LookupResponse{ListAgeMS: -1}
	s, found := n.servers.Find(instanceKey)
	resp.Listed = found && !s.Leaving
	for _, region := range n.regions() {
		age, ok := n.servers.Age(region)
		if !ok || found && region != s.Region {
			continue
		}
		resp.ListAgeMS = max(resp.ListAgeMS, age.Milliseconds())
	}
	return resp
}

func (n *Node) lookUpRoutes(r wheelgauge.LookupRequest) (wheelgauge.LookupResponse, error) {
	t := n.routeTable()
	if t == nil || t.Version() <= r.Version {
		return wheelgauge.LookupResponse{ListAgeMS: -1}, nil
	}
	set, workspaces := t.Part(r)
	rows, err := routetable.Rows(set)
	if err != nil {
		return wheelgauge.LookupResponse{}, fmt.Errorf("version %d: %w", t.Version(), err)
	}
	return wheelgauge.LookupResponse{Version: t.Version(), Rows: rows, Workspaces: &workspaces, ListAgeMS: -1}, nil
}

// routeTable returns the index of the current configuration, made once a version; nil without one.
func (n *Node) routeTable() *routetable.Table {
	set := n.routes()
	if set == nil {
		return nil
	}
	if t := n.routeIndex.Load(); t != nil && t.Version() == set.Version {
		return t
	}
	t := routetable.New(set)
	n.routeIndex.Store(t)
	return t
}
