// Package httpfield finds header fields of messages that were parsed with the names as they
// were written: their case means nothing (RFC 9110, 5.1).
package httpfield

import (
	"bytes"
	"iter"
)

// Header is that of a request or an answer.
type Header interface {
	All() iter.Seq2[[]byte, []byte]
}

// Value returns the first value of a field; nil if there is none. It holds for as long as the
// header.
func Value(h Header, name string) []byte {
	for n, value := range h.All() {
		if is(n, name) {
			return value
		}
	}
	return nil
}

// Values returns all values of a field, in their order.
func Values(h Header, name string) (values [][]byte) {
	for n, value := range h.All() {
		if is(n, name) {
			values = append(values, value)
		}
	}
	return values
}

func is(written []byte, name string) bool {
	return len(written) == len(name) && bytes.EqualFold(written, []byte(name))
}
