package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheelgauge/fake/script"
)

const (
	blockChars = 64
	maxEvents  = 1024
)

// cacheEvent reports that a block was added or evicted.
type cacheEvent struct {
	Number  uint64 `json:"number"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"gone,omitempty"`
	at      time.Time
}

// cache is an LRU cache of prefix blocks.
type cache struct {
	size       int
	lru        *list.List
	blocks     map[uint64]*list.Element
	lastNumber uint64
	events     []cacheEvent
}

func newCache(size int) *cache {
	return &cache{size: size, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// blockHashes returns the hashes of a prompt's full blocks; each covers all blocks up to its
// own.
func blockHashes(prompt string) []uint64 {
	d := xxhash.New()
	var out []uint64
	for len(prompt) >= blockChars {
		_, _ = d.WriteString(prompt[:blockChars]) // a digest never returns an error
		out = append(out, d.Sum64())
		prompt = prompt[blockChars:]
	}
	return out
}

// missingTokens returns the number of a prompt's tokens that are not cached.
func (c *cache) missingTokens(prompt string) int {
	total := len(prompt)/script.CharsPerToken + 1
	for _, b := range blockHashes(prompt) {
		e, ok := c.blocks[b]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		total -= blockChars / script.CharsPerToken
	}
	return total
}

func (c *cache) insert(prompt string, loss float64, rng *rand.Rand, now time.Time) {
	for _, b := range blockHashes(prompt) {
		if e, ok := c.blocks[b]; ok {
			c.lru.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.lru.PushFront(b)
		c.emit(b, false, loss, rng, now)
	}
	for c.lru.Len() > c.size {
		oldest := c.lru.Back()
		b := oldest.Value.(uint64)
		c.lru.Remove(oldest)
		delete(c.blocks, b)
		c.emit(b, true, loss, rng, now)
	}
}

func (c *cache) emit(block uint64, evicted bool, loss float64, rng *rand.Rand, now time.Time) {
	c.lastNumber++
	if rng.Float64() < loss {
		return
	}
	c.events = append(c.events, cacheEvent{c.lastNumber, block, evicted, now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
