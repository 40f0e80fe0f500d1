// Package script says what the stand-in engines answer to a prompt, so that
// whoever asked can tell a whole answer from a mixed or a cut one.
package script

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CharsPerToken is how the stand-ins count the tokens of a prompt.
const CharsPerToken = 4

// Token returns token number i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt) + uint64(i)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return strconv.FormatUint(h%46656, 36) + " "
}

// Answer returns the first n tokens of the answer to a prompt as one text.
func Answer(prompt string, n int) string {
	var out []byte
	for i := range n {
		out = append(out, Token(prompt, i)...)
	}
	return string(out)
}
