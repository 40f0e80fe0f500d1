package gateway

import (
	"net/http"

	"wheelgauge"
	"wheelgauge/catalog"
)

// keepVersion restricts a stream that is resumed to servers of the version that began it, by the
// newest configuration: a server may have got another version meanwhile.
func (g *Gateway) keepVersion(rq *request) error {
	if rq.began == nil {
		rq.began = rq.target.Load().version
	}
	if rq.began == nil {
		rq.began = soleVersion(rq.catalog, rq.route.Pool)
	}
	if rq.began == nil {
		return wheelgauge.NewError(wheelgauge.ReasonBrokenStream, wheelgauge.OutcomeRan, http.StatusBadGateway, "it is not known which version began the stream")
	}
	if c := g.watcher.Current(); c != nil {
		rq.catalog = c
	}
	return nil
}

// soleVersion returns the version of a pool's servers if they all have the same one, else nil.
func soleVersion(c *catalog.Catalog, pool string) *string {
	var version *string
	for _, region := range c.Regions() {
		for _, s := range c.Servers(pool, region, "") {
			if version != nil && *version != s.Version {
				return nil
			}
			version = &s.Version
		}
	}
	return version
}

// mayContinueAt reports whether a server may get the request, given what began its stream.
func (rq *request) mayContinueAt(s *catalog.Server) bool {
	return rq.began == nil || *rq.began == s.Version
}

// mayContinueAtOldPath is mayContinueAt for an old path.
func (rq *request) mayContinueAtOldPath(address string) bool {
	return rq.began == nil || *rq.began == *oldPathVersion(address)
}

// oldPathVersion tells an old path, whose version is not known, from all servers.
func oldPathVersion(address string) *string {
	version := oldPathServer + " " + address
	return &version
}
