package wheelgauge

// CapUnit is the unit in which a workspace's cap is counted.
type CapUnit string

// Units of caps.
const (
	// CapRequests counts each request as one.
	CapRequests CapUnit = "requests"
	// CapTokens counts the tokens of a request's prompt plus the maximum number that it may
	// generate.
	CapTokens CapUnit = "tokens"
)

// Cap limits what a workspace may send to backend servers, over all hosts together.
type Cap struct {
	// Rate is in units per second; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Burst is allowed on top of the rate, in units.
	Burst float64 `json:"burst,omitempty"`
	// Unit is what is counted; empty means requests.
	Unit CapUnit `json:"unit,omitempty"`
	// DefaultTokens is the number of tokens counted for a request that does not state its own.
	DefaultTokens float64 `json:"plain,omitempty"`
}

// HasLimit reports whether there is a limit.
func (c Cap) HasLimit() bool { return c.Rate > 0 }

// Units returns the units that a request counts for. tokens is used only if stated is set,
// that is, if the request states its tokens.
func (c Cap) Units(tokens int, stated bool) float64 {
	switch {
	case c.Unit != CapTokens:
		return 1
	case stated:
		return float64(tokens)
	}
	return c.DefaultTokens
}

// Workspace is a group of callers that share keys, a cap and the regions in which their
// data may be processed.
type Workspace struct {
	Name string `json:"name"`
	// Keys prove that a caller belongs to the workspace. A key is not passed on by the host
	// that received it.
	Keys []string `json:"keys,omitempty"`
	// Priority takes precedence over that of routes; 0 is the most urgent.
	Priority int `json:"priority,omitempty"`
	Cap      Cap `json:"cap,omitzero"`
	// HomeRegions lists the only regions that may run or relay a request; empty means all.
	HomeRegions []string `json:"homes,omitempty"`
}

// AllowedIn reports whether requests of the workspace may run in a region. A nil workspace
// allows all regions.
func (w *Workspace) AllowedIn(region string) bool { return w == nil || allowed(w.HomeRegions, region) }
