package wheelgauge

// CapUnit is what a workspace's cap counts.
type CapUnit string

// Units of caps.
const (
	// CapRequests counts each request as one.
	CapRequests CapUnit = "requests"
	// CapTokens counts the tokens of a request's prompt and the most that it may
	// generate.
	CapTokens CapUnit = "tokens"
)

// Cap bounds what a workspace may send to backend servers, over all hosts together.
type Cap struct {
	// Rate is in units a second; 0 means no bound.
	Rate float64 `json:"rate,omitempty"`
	// Burst comes on top of the rate, in units.
	Burst float64 `json:"burst,omitempty"`
	// Unit is what is counted; requests when empty.
	Unit CapUnit `json:"unit,omitempty"`
	// Plain is what a request counts, in tokens, that does not tell its own.
	Plain float64 `json:"plain,omitempty"`
}

// Bounds tells whether there is a bound at all.
func (c Cap) Bounds() bool { return c.Rate > 0 }

// Units returns what a request counts that tells its tokens, or, with told false,
// one that does not.
func (c Cap) Units(tokens int, told bool) float64 {
	switch {
	case c.Unit != CapTokens:
		return 1
	case told:
		return float64(tokens)
	}
	return c.Plain
}

// Workspace is a group of callers who share keys, a cap and rules on where their
// data may be processed.
type Workspace struct {
	Name string `json:"name"`
	// Keys are what callers prove with that they belong to the workspace. They stay at
	// the host that a caller came to.
	Keys []string `json:"keys,omitempty"`
	// Priority goes before that of routes, 0 the most urgent.
	Priority int `json:"priority,omitempty"`
	Cap      Cap `json:"cap,omitzero"`
	// Homes are the only regions that may run or relay a request; empty means all.
	Homes []string `json:"homes,omitempty"`
}

// AllowedIn tells whether requests of the workspace may run in a region. Without a
// workspace all may.
func (w *Workspace) AllowedIn(region string) bool { return w == nil || allowed(w.Homes, region) }
