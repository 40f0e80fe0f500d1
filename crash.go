package wheelgauge

// Fingerprint identifies the content of a request, or one part of a prompt that requests of a
// service have in common: all attempts of it, at any host, have the same fingerprint.
type Fingerprint string

// Crash records that a backend server terminated while a request was in flight on it, or one that
// holds a part. It may have caused the crash, or it may have run beside the one that did.
type Crash struct {
	Fingerprint Fingerprint `json:"q"`
	// Depth is the position of a part in the prompt, from 1; 0 for a whole request.
	Depth int `json:"d,omitempty"`
	// BodyBytes is the length of the request body in bytes. Requests of another size can be told
	// apart without computing their fingerprints.
	BodyBytes int `json:"z,omitempty"`
	// Server identifies one start of the server.
	Server string `json:"i"`
	// Cleared is set once the request ran on a server that did not crash, which shows that
	// another request caused this crash. It is never unset.
	Cleared bool `json:"c,omitempty"`
	// AgoMS is how long ago the crash was recorded or cleared when it is reported, in ms.
	AgoMS int64 `json:"a,omitempty"`
	// Tried is set if the request was sent as a trial of whether it still crashes servers, for a
	// trial once it was.
	Tried bool `json:"y,omitempty"`
	// Trial is set for a trial, which is no crash: the host that may send the quarantined request
	// once. Server is then the name of the trial.
	Trial string `json:"t,omitempty"`
}

// IsPart reports whether the crash is recorded for a part of prompts.
func (c Crash) IsPart() bool { return c.Depth > 0 }

// Quarantined is a request, or a part of prompts, that no backend server gets.
type Quarantined struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Part is set for a part of prompts.
	Part bool `json:"part"`
	// Crashes is how many crashes it is blamed for or was in flight at.
	Crashes int `json:"crashes"`
}
