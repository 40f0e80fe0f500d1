// Package httpfield looks up header fields without regard to case (RFC 9110, section 5.1) in
// messages that were parsed without normalizing names.
package httpfield

import (
	"bytes"
	"iter"
)

// Header is the header of a request or a response.
type Header interface {
	All() iter.Seq2[[]byte, []byte]
}

// Value returns the first value of a field, nil if there is none. It is valid as long as the
// header.
func Value(h Header, name string) []byte {
	for n, value := range h.All() {
		if nameMatches(n, name) {
			return value
		}
	}
	return nil
}

// Values returns all values of a field in order.
func Values(h Header, name string) (values [][]byte) {
	for n, value := range h.All() {
		if nameMatches(n, name) {
			values = append(values, value)
		}
	}
	return values
}

func nameMatches(got []byte, name string) bool {
	return len(got) == len(name) && bytes.EqualFold(got, []byte(name))
}
