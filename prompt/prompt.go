// Package prompt parses what a request states of its prompt: the parts that
// engines may have in their KV cache, and the counts of input and output tokens.
package prompt

import (
	"errors"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxTokens bounds each stated count: more than any engine reads, and so few that the
// sums over all requests do not overflow.
const maxTokens = 100_000_000

// maxNameBytes bounds a part's name as kept for the log.
const maxNameBytes = 32

// Part is one part of a prompt; parts with the same ID have the same content.
type Part struct {
	id     uint64
	name   string
	tokens int
}

// Name returns the beginning of the part's name as the request states it.
func (p Part) Name() string { return p.name }

// ID returns the hash of the part's name.
func (p Part) ID() uint64 { return p.id }

// Tokens returns the length of the part.
func (p Part) Tokens() int { return p.tokens }

// Prompt is a prompt as a sequence of parts. The last part belongs to this request or
// its session alone.
type Prompt struct {
	parts  []Part
	tokens int
	output int
	// statedTokens are the stated input and output tokens together; stated is false without any.
	statedTokens int
	stated       bool
}

// Parse reads "ID:TOKENS,ID:TOKENS" and "prompt tokens,output tokens"; outputHint
// overrides the output tokens. What cannot be parsed is ignored: the engine reads the
// prompt itself.
func Parse(parts, tokens, outputHint string) Prompt {
	var p Prompt
	for part := range strings.SplitSeq(parts, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, valid := parseCount(count)
		if !ok || !valid {
			continue
		}
		p.parts = append(p.parts, Part{id: xxhash.Sum64String(id), name: id[:min(len(id), maxNameBytes)], tokens: n})
		p.tokens += n
	}
	in, out, _ := strings.Cut(tokens, ",")
	if n, ok := parseCount(in); ok {
		p.tokens = max(p.tokens, n)
		p.addStated(n)
	}
	if n, ok := parseCount(out); ok {
		p.output = n
		p.addStated(n)
	}
	if n, ok := parseCount(outputHint); ok && n > 0 {
		p.output = n
	}
	return p
}

// parseCount reads a count of tokens; ok is false for anything else. Larger counts than
// maxTokens are clamped to it: the sum of two that fill an int would be negative.
func parseCount(text string) (n int, ok bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	return min(n, maxTokens), n >= 0
}

// addStated adds to the tokens that the request states.
func (p *Prompt) addStated(tokens int) {
	p.statedTokens += tokens
	p.stated = true
}

// StatedTokens returns the stated tokens of the prompt and of the most output, together;
// stated is false without any.
func (p Prompt) StatedTokens() (tokens int, stated bool) { return p.statedTokens, p.stated }

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

// PrefixID returns the ID of the last shared part, which identifies the prefix and
// decides the server that should have it cached; 0 if nothing is shared.
func (p Prompt) PrefixID() uint64 {
	if shared := p.Shared(); len(shared) > 0 {
		return shared[len(shared)-1].id
	}
	return 0
}

// OwnPartID returns the ID of the last part, which no other request or session has; 0 if
// there is none.
func (p Prompt) OwnPartID() uint64 {
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
