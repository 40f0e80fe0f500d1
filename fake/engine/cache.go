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
	keptEvents = 1024
)

// cacheEvent tells that a block came or went.
type cacheEvent struct {
	Number uint64 `json:"number"`
	Block  uint64 `json:"block"`
	Gone   bool   `json:"gone,omitempty"`
	at     time.Time
}

// cache is a least-recently-used set of prefix blocks.
type cache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	number uint64
	events []cacheEvent
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// chain returns the hashes of a prompt's blocks; each stands for all before it.
func chain(prompt string) []uint64 {
	d := xxhash.New()
	var out []uint64
	for len(prompt) >= blockChars {
		_, _ = d.WriteString(prompt[:blockChars]) // a digest takes every write
		out = append(out, d.Sum64())
		prompt = prompt[blockChars:]
	}
	return out
}

// miss returns how many tokens of a prompt must be computed.
func (c *cache) miss(prompt string) int {
	total := len(prompt)/script.CharsPerToken + 1
	for _, b := range chain(prompt) {
		e, ok := c.blocks[b]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		total -= blockChars / script.CharsPerToken
	}
	return total
}

func (c *cache) keep(prompt string, loss float64, rnd *rand.Rand, now time.Time) {
	for _, b := range chain(prompt) {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.tell(b, false, loss, rnd, now)
	}
	for c.order.Len() > c.size {
		last := c.order.Back()
		b := last.Value.(uint64)
		c.order.Remove(last)
		delete(c.blocks, b)
		c.tell(b, true, loss, rnd, now)
	}
}

func (c *cache) tell(block uint64, gone bool, loss float64, rnd *rand.Rand, now time.Time) {
	c.number++
	if rnd.Float64() < loss {
		return
	}
	c.events = append(c.events, cacheEvent{c.number, block, gone, now})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}
