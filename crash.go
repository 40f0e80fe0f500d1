package wheelgauge

// Fingerprint names what a request asks: its tries, at any host, have the same one.
type Fingerprint string

// Crash says that a backend server ended while a request was in flight at it. The
// request may have ended it, or have stood beside the one that did.
type Crash struct {
	Request Fingerprint `json:"q"`
	// Size is that of the request's body, in bytes: requests of other sizes need no
	// fingerprint to be told from it.
	Size int `json:"z,omitempty"`
	// Server names one start of the server.
	Server string `json:"i"`
	// Cleared is set once the request ran somewhere and the server there did not end:
	// another one ended this server. It is never taken back.
	Cleared bool `json:"c,omitempty"`
}
