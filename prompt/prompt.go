// Package prompt reads what a request says of its prompt: the parts that
// engines may hold in their KV cache, and how many tokens go in and come out.
package prompt

import (
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// mostTokens bounds each count that a request tells: more than any engine reads, and so
// few that the sums of all requests stay counts.
const mostTokens = 100_000_000

// Part is one part of a prompt; parts with the same ID have the same content.
type Part struct {
	id     uint64
	tokens int
}

// ID returns the hash of the part's name.
func (p Part) ID() uint64 { return p.id }

// Tokens returns the length of the part.
func (p Part) Tokens() int { return p.tokens }

// Prompt is a prompt by its parts, in order. The last part belongs to the
// request or its session alone.
type Prompt struct {
	parts  []Part
	tokens int
	output int
	// counted are the tokens told of prompt and output together, told is false without.
	counted int
	told    bool
}

// Parse reads "ID:TOKENS,ID:TOKENS" and "prompt tokens,output tokens". What
// cannot be read counts as nothing: the engine reads the prompt itself.
func Parse(parts, tokens, hint string) Prompt {
	var p Prompt
	for part := range strings.SplitSeq(parts, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, readable := countOf(count)
		if !ok || !readable {
			continue
		}
		p.parts = append(p.parts, Part{id: xxhash.Sum64String(id), tokens: n})
		p.tokens += n
	}
	in, out, _ := strings.Cut(tokens, ",")
	if n, ok := countOf(in); ok {
		p.tokens = max(p.tokens, n)
		p.count(n)
	}
	if n, ok := countOf(out); ok {
		p.output = n
		p.count(n)
	}
	if n, ok := countOf(hint); ok && n > 0 {
		p.output = n
	}
	return p
}

// countOf reads a count of tokens; ok is false for anything else. What is larger than
// mostTokens counts as that many: two that fill an int would add up to less than nothing.
func countOf(text string) (n int, ok bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return min(n, mostTokens), n >= 0
}

// count adds to what the request says of its tokens.
func (p *Prompt) count(tokens int) {
	p.counted += tokens
	p.told = true
}

// Counted returns the tokens of the prompt and the most to be generated, together, as
// the request tells them; told is false when it does not.
func (p Prompt) Counted() (tokens int, told bool) { return p.counted, p.told }

// Tokens returns the length of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// Output returns how many tokens are expected to come out.
func (p Prompt) Output() int { return p.output }

// Shared returns the parts that other requests may have in common.
func (p Prompt) Shared() []Part {
	if len(p.parts) == 0 {
		return nil
	}
	return p.parts[:len(p.parts)-1]
}

// Subject returns the ID of the last shared part, which decides the server
// that should hold it; 0 if nothing is shared.
func (p Prompt) Subject() uint64 {
	if shared := p.Shared(); len(shared) > 0 {
		return shared[len(shared)-1].id
	}
	return 0
}

// Own returns the ID of the last part, which no other request or session has; 0 if
// there is none.
func (p Prompt) Own() uint64 {
	if len(p.parts) == 0 {
		return 0
	}
	return p.parts[len(p.parts)-1].id
}

// SharedTokens returns the tokens of the shared parts.
func (p Prompt) SharedTokens() int {
	n := 0
	for _, part := range p.Shared() {
		n += part.tokens
	}
	return n
}
