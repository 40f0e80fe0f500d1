package confstore

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/originclient"
)

const (
	// maxStreams bounds the streams whose origin a store holds: 25 s of 5,000 a second.
	maxStreams = 1 << 17
	// streamUpdateInterval is how often expired origins are removed, and listed versions
	// recorded.
	streamUpdateInterval = 500 * time.Millisecond
	// maxVersionsListAge is the oldest list of a region from which a store concludes which
	// versions there are.
	maxVersionsListAge = 5 * time.Second
)

// serveStreams takes from entry hosts what began streams, and tells them; false means another
// path.
func (n *Node) serveStreams(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, originclient.Path, func(request wheelgauge.StreamOriginsRequest) (wheelgauge.StreamOriginsResponse, error) {
		return n.exchangeStreams(request), nil
	})
}

func (n *Node) exchangeStreams(request wheelgauge.StreamOriginsRequest) wheelgauge.StreamOriginsResponse {
	n.streams.Add(request.Origins...)
	resp := wheelgauge.StreamOriginsResponse{StoreBoot: n.boot}
	q := request.Query
	if q == nil {
		return resp
	}
	if o, ok := n.streams.Find(q.Key); ok {
		resp.Found = &o
		n.meter.Count("streams.found")
		return resp
	}
	n.judgeVersions(*q, &resp)
	n.meter.Count("streams.not_found")
	return resp
}

// judgeVersions sets the version that must have begun a stream, that of the only service of its
// route, if both have had no other one for as long as a stream may take; or that others may have
// begun it. It sets neither while this store has not known routes and lists for that long.
func (n *Node) judgeVersions(q wheelgauge.StreamQuery, resp *wheelgauge.StreamOriginsResponse) {
	if q.Service == "" || n.servers.Version() == 0 || n.config.history.Len() == 0 {
		return
	}
	if resp.Outdated = !n.listsAreRecent(); resp.Outdated {
		return
	}
	service, period, ok, complete := n.config.history.SoleService(q.Host, q.Path, q.ReturnTime())
	within := max(period, q.Within()) + maxVersionsListAge
	if resp.Several = !ok || service != q.Service || n.versions.Several(service, within); resp.Several || !complete {
		return
	}
	if version, ok := n.versions.Sole(service, within); ok {
		resp.Sole = &version
	}
}

// listsAreRecent reports whether the lists of all regions are recent.
func (n *Node) listsAreRecent() bool {
	for _, region := range n.regions() {
		if age, ok := n.servers.Age(region); !ok || age > maxVersionsListAge {
			return false
		}
	}
	return true
}

// updateStreams removes expired origins, and records the versions that are listed now.
func (n *Node) updateStreams(context.Context) {
	n.streams.Prune()
	n.meter.Gauge("streams.held", int64(n.streams.Len()))
	n.meter.Gauge("streams.dropped", int64(n.streams.Dropped()))
	if !n.listsAreRecent() {
		return
	}
	version := n.servers.Version()
	if version == n.versionsRecorded {
		n.versions.Confirm(n.now())
		return
	}
	var listed []wheelgauge.Server
	for g := range n.servers.Sums() {
		listed = append(listed, wheelgauge.Server{Service: g.Service, Version: g.Version})
	}
	n.versions.Update(listed)
	n.versionsRecorded = version
}
