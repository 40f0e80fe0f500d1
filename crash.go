package wheelgauge

// Fingerprint identifies the content of a request: all attempts of it, at any host, have
// the same fingerprint.
type Fingerprint string

// Crash records that a backend server terminated while a request was in flight on it. The
// request may have caused the crash, or it may have run beside the one that did.
type Crash struct {
	Fingerprint Fingerprint `json:"q"`
	// BodyBytes is the length of the request body in bytes. Requests of another size can be told
	// apart without computing their fingerprints.
	BodyBytes int `json:"z,omitempty"`
	// Server identifies one start of the server.
	Server string `json:"i"`
	// Cleared is set once the request ran on a server that did not crash, which shows that
	// another request caused this crash. It is never unset.
	Cleared bool `json:"c,omitempty"`
}
