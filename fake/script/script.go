// Package script generates the fake engines' response to a prompt, so that a caller can
// distinguish a correct response from a mixed-up or truncated one.
package script

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// CharsPerToken is the number of prompt characters that the fake engines count as one token.
const CharsPerToken = 4

// Token returns token i of the response to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt) + uint64(i)*0x9e3779b97f4a7c15
	h ^= h >> 29
	return strconv.FormatUint(h%46656, 36) + " "
}

// Answer returns the first n tokens of the response to a prompt as one string.
func Answer(prompt string, n int) string {
	var out []byte
	for i := range n {
		out = append(out, Token(prompt, i)...)
	}
	return string(out)
}
