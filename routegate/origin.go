package routegate

import (
	"wheelgauge"
	"wheelgauge/callerhttp"
	"wheelgauge/httpfield"
)

// streamOrigin is what began a stream.
type streamOrigin struct {
	// version is the software version of the server that sent the first event.
	version string
	// known is false if this host does not know the version.
	known bool
}

// version returns the software version of the server that answers; ok is false if it is not
// known, as another gateway does not report it.
func (x *exchange) version() (version string, ok bool) {
	if x.pick != nil {
		return x.pick.Version(), true
	}
	value := httpfield.Value(x.head, wheelgauge.HeaderStreamVersion)
	return string(value), value != nil
}

// recordOrigin records what began the stream, at its first event, and logs each exchange that
// continues one.
func (c *call) recordOrigin(x *exchange) {
	if x.delivering {
		return
	}
	x.delivering = true
	version, ok := x.version()
	if c.lastEventID == "" {
		c.origin = streamOrigin{version: version, known: ok}
		return
	}
	kind := "unknown"
	switch {
	case c.origin.known && ok && c.origin.version == version:
		kind = "same"
	case c.origin.known && ok:
		kind = "other"
	}
	o := c.gate.options
	o.Meter.Count("streams.continued." + kind)
	o.Log.Info("A stream goes on.", "id", c.id, "resumes", c.resumes, "after", c.lastEventID, "in_answer", c.request.Started(), "forwarded", c.forwarded,
		"version_began", c.origin.version, "began_known", c.origin.known, "version", version, "version_known", ok, "servers", c.triedServers, "peers", c.triedPeers)
}

// streamFields returns the headers of a stream's answer. The gateway that forwarded the request
// also gets the version of the server.
func (c *call) streamFields(x *exchange) []callerhttp.Field {
	fields := responseFields(x.head)
	if version, ok := x.version(); ok && c.forwarded {
		fields = append(fields, callerhttp.NewField(wheelgauge.HeaderStreamVersion, version))
	}
	return fields
}
