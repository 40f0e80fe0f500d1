package routegate

import (
	"context"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/httpfield"
)

// streamReturnTime is how long after its end a broken stream may be taken up: callers return
// within a fraction of their time, at the latest after the longest Retry-After.
const streamReturnTime = 10 * time.Second

// streamOrigin is the service and the software version of the server that sent a stream's first
// event. What two versions write does not fit together, and servers do not check it.
type streamOrigin struct {
	service string
	version string
}

// text renders the origin for the log.
func (o *streamOrigin) text() string {
	if o == nil {
		return ""
	}
	return o.service + " " + o.version
}

// continues reports whether the request continues a stream, within its answer or as taken up by
// its caller.
func (c *call) continues() bool {
	return c.route.Kind == wheelgauge.RouteStream && (c.lastEventID != "" || c.request.Started())
}

// mayContinue reports whether the request may be sent again: a stream that has begun only if it is
// known what began it.
func (c *call) mayContinue() bool { return !c.continues() || c.origin != nil }

// mayContinueIn reports whether a region has a server that may continue the stream.
func (c *call) mayContinueIn(region string) bool {
	return !c.continues() || c.gate.options.Servers.RegionHasVersion(region, c.service, wheelgauge.OnlyVersion(c.origin.version))
}

// findOrigin finds out what began a stream that its caller takes up again, or returns why the
// request is refused.
func (c *call) findOrigin(ctx context.Context) *wheelgauge.Error {
	if c.forwarded || !c.continues() {
		return nil
	}
	began := time.Now()
	source := "record"
	origin, several := c.recordedOrigin(ctx)
	if origin == nil && !several {
		source, origin = "sole version", c.soleOrigin()
	}
	o := c.gate.options
	log := func(outcome string) {
		o.Meter.Count("streams.taken_up." + outcome)
		o.Log.Info("A stream is taken up.", "id", c.id, "resumes", c.resumes, "after", c.lastEventID, "outcome", outcome, "source", source,
			"version_began", origin.text(), "list_age_ms", o.Servers.ListAge().Milliseconds(), "ms", time.Since(began).Milliseconds())
	}
	switch {
	case origin == nil:
		log("unknown")
		return c.unknownStream("it is not known which version began the stream; it cannot be taken up")
	case !c.servedBy(origin.service):
		log("moved")
		return c.unknownStream("the route has moved away from the service that began the stream")
	}
	log("known")
	c.setOrigin(origin)
	return nil
}

func (c *call) unknownStream(detail string) *wheelgauge.Error {
	return refusal(wheelgauge.ReasonUnknownStream, http.StatusServiceUnavailable, detail).WithRetryAfter(minOverloadRetryAfter)
}

// recordedOrigin looks up what began the stream that the caller names; nil if that is not known.
// several is set if a store knows of several versions that may have begun it.
func (c *call) recordedOrigin(ctx context.Context) (origin *streamOrigin, several bool) {
	if c.gate.options.Origins == nil {
		return nil, false
	}
	service, period, _ := c.soleService()
	h := c.request.Header()
	q := wheelgauge.StreamQuery{Service: service, WithinMS: period.Milliseconds(), Host: string(h.Host()), Path: string(h.RequestURI()), ReturnMS: streamReturnTime.Milliseconds()}
	if c.resumes != "" {
		q.Key = wheelgauge.NewStreamKey(c.resumes)
	}
	o, ok, several := c.gate.options.Origins.Find(ctx, q)
	if !ok {
		return nil, several
	}
	return &streamOrigin{service: o.Service, version: o.Version}, false
}

// streamPeriod is how long ago a stream that is taken up may have begun.
func (c *call) streamPeriod() time.Duration { return c.route.Timeout + streamReturnTime }

// soleService returns the only service that can have begun a stream of the request's host name and
// path, as far as this host knows, and how long ago it may have begun; no service if there were
// several. complete reports whether this host has known the routes for that long.
func (c *call) soleService() (service string, period time.Duration, complete bool) {
	h := c.request.Header()
	service, period, ok, complete := c.gate.routes.SoleService(string(h.Host()), string(h.RequestURI()), streamReturnTime)
	// Routes that a store was asked for are newer than those of the history.
	if !ok || len(c.route.Shares) != 1 || c.route.Shares[0].Service != service {
		return "", c.streamPeriod(), false
	}
	age := c.gate.configAge()
	return service, max(period, c.streamPeriod()), complete && age >= 0 && age <= staleConfigAge
}

// soleOrigin returns what must have begun the stream: the only service of the route, if both have
// had no other service or version for as long as a stream may take; nil otherwise.
func (c *call) soleOrigin() *streamOrigin {
	service, period, complete := c.soleService()
	if !complete {
		return nil
	}
	version, ok := c.gate.options.Servers.SoleVersion(service, period)
	if !ok {
		return nil
	}
	return &streamOrigin{service: service, version: version}
}

// servedBy reports whether the route sends requests to a service.
func (c *call) servedBy(service string) bool {
	for _, share := range c.route.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// setOrigin restricts the request to servers that may continue the stream.
func (c *call) setOrigin(origin *streamOrigin) {
	c.origin, c.service = origin, origin.service
	c.versionFilter = wheelgauge.OnlyVersion(origin.version)
}

// adoptOrigin takes over from the forwarding gateway what began the stream, or returns why the
// request is refused: a gateway of an earlier release does not say.
func (c *call) adoptOrigin() *wheelgauge.Error {
	origin := originOf(c.request.Header())
	if origin == nil {
		origin = c.soleOrigin()
	}
	if origin == nil || !c.servedBy(origin.service) {
		return c.unknownStream("the forwarding gateway does not say which version began the stream")
	}
	c.setOrigin(origin)
	return nil
}

// originOf reads the headers by which gateways tell one another of an origin; nil without them.
func originOf(h httpfield.Header) *streamOrigin {
	service := httpfield.Value(h, wheelgauge.HeaderStreamService)
	if len(service) == 0 {
		return nil
	}
	return &streamOrigin{service: string(service), version: string(httpfield.Value(h, wheelgauge.HeaderStreamVersion))}
}

// origin returns the service and version of the server that answers; nil if another gateway does
// not say.
func (x *exchange) origin() *streamOrigin {
	if x.pick != nil {
		return &streamOrigin{service: x.call.service, version: x.pick.Version()}
	}
	return originOf(x.head)
}

// mayDeliver reports whether the answer of an exchange may be passed on: one that continues a
// stream only if the same version gives it.
func (c *call) mayDeliver(x *exchange) bool {
	if !c.continues() {
		return true
	}
	from := x.origin()
	if from == nil {
		from = c.soleOrigin()
	}
	return from != nil && *from == *c.origin
}

// recordOrigin records at its first event what began the stream, and logs each exchange that
// continues one.
func (c *call) recordOrigin(x *exchange) {
	if x.delivering {
		return
	}
	x.delivering = true
	continues := c.continues()
	if !continues {
		c.origin = x.origin()
		if c.origin == nil {
			c.origin = c.soleOrigin()
		}
	}
	if !c.request.Started() {
		c.shareOrigin()
	}
	if !continues {
		return
	}
	o := c.gate.options
	o.Meter.Count("streams.continued")
	o.Log.Info("A stream goes on.", "id", c.id, "resumes", c.resumes, "after", c.lastEventID, "in_answer", c.request.Started(), "forwarded", c.forwarded,
		"version_began", c.origin.text(), "version", x.origin().text(), "servers", c.triedServers, "peers", c.triedPeers)
}

// shareOrigin lets other hosts know what began the stream, for callers that take it up there. The
// gateway that the caller is connected to does so: only it knows which events the caller got.
func (c *call) shareOrigin() {
	origins := c.gate.options.Origins
	if origins == nil || c.origin == nil || c.forwarded || c.route.Kind != wheelgauge.RouteStream || !c.route.Resumable {
		return
	}
	service, _, complete := c.soleService()
	for _, id := range []string{c.resumes, c.id} {
		if id == "" {
			continue
		}
		origins.Record(wheelgauge.StreamOrigin{
			Key: wheelgauge.NewStreamKey(id), Service: c.origin.service, Version: c.origin.version, TTLMS: c.streamPeriod().Milliseconds(),
		}, complete && service == c.origin.service)
	}
}

// streamFields returns the headers of a stream's answer. The gateway that forwarded the request
// also gets what its server is.
func (c *call) streamFields(x *exchange) []callerhttp.Field {
	fields := responseFields(x.head)
	if origin := x.origin(); origin != nil && c.forwarded {
		fields = append(fields, callerhttp.NewField(wheelgauge.HeaderStreamService, origin.service), callerhttp.NewField(wheelgauge.HeaderStreamVersion, origin.version))
	}
	return fields
}
