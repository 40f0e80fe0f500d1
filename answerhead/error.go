package answerhead

import "fmt"

// ForeignError says why an answer is none of HTTP/1.1 or HTTP/1.0.
type ForeignError struct {
	what string
	text string
}

// mostQuoted is how much of an answer an error shows.
const mostQuoted = 40

func foreign(what string, text []byte) *ForeignError {
	return &ForeignError{what: what, text: string(text[:min(len(text), mostQuoted)])}
}

// Error implements error.
func (e *ForeignError) Error() string {
	return fmt.Sprintf("the answer is no HTTP/1.1: %s %q", e.what, e.text)
}
