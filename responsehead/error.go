package responsehead

import "fmt"

// MalformedError names the part of a response that is not valid HTTP/1.1 or HTTP/1.0.
type MalformedError struct {
	part string
	text string
}

// maxQuotedBytes bounds the excerpt of a response in an error.
const maxQuotedBytes = 40

func malformed(what string, text []byte) *MalformedError {
	return &MalformedError{part: what, text: string(text[:min(len(text), maxQuotedBytes)])}
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("invalid HTTP/1.x response: %s %q", e.part, e.text)
}
