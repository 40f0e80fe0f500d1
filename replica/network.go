package replica

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const (
	sendersPerPeer = 4
	// sendTimeout bounds a call without entries, and sendRate adds to it by their
	// length, in bytes a second: 5 Mbit/s, as slow as the core waits for them. A
	// whole configuration would else never come over a link that is too busy.
	sendTimeout  = 2 * time.Second
	sendRate     = 640 << 10
	outboxLength = 512
	pathMessages = "/raft/messages"
)

// envelope carries messages and says how their sender is reached.
type envelope struct {
	From     raft.Member    `json:"from"`
	Messages []raft.Message `json:"messages"`
}

// network sends messages. What a peer does not take in time is dropped: the
// core repeats itself.
type network struct {
	ctx    context.Context
	client *peerhttp.Client
	self   raft.Member
	mu     sync.Mutex
	known  map[uint64]string
	outbox map[string]chan raft.Message
	group  sync.WaitGroup
	// replaced is set once a leader says that this replica is no member any more.
	replaced atomic.Bool
}

func newNetwork(ctx context.Context, client *peerhttp.Client, self raft.Member) *network {
	return &network{ctx: ctx, client: client, self: self, known: map[uint64]string{}, outbox: map[string]chan raft.Message{}}
}

// learn remembers where a member that is not in the list yet is reached.
func (n *network) learn(m raft.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known[m.ID] = m.Address
}

func (n *network) send(members []raft.Member, messages []raft.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		n.known[m.ID] = m.Address
	}
	for _, m := range messages {
		address, ok := n.known[m.To]
		if !ok {
			continue
		}
		select {
		case n.box(address) <- m:
		default:
		}
	}
}

func (n *network) box(address string) chan raft.Message {
	box, ok := n.outbox[address]
	if ok {
		return box
	}
	box = make(chan raft.Message, outboxLength)
	n.outbox[address] = box
	for range sendersPerPeer {
		n.group.Add(1)
		go n.pump(address, box)
	}
	return box
}

func (n *network) pump(address string, box chan raft.Message) {
	defer n.group.Done()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-box:
			n.post(address, batch(m, box))
		}
	}
}

func batch(first raft.Message, box chan raft.Message) []raft.Message {
	out := []raft.Message{first}
	for len(out) < batchLength {
		select {
		case m := <-box:
			out = append(out, m)
		default:
			return out
		}
	}
	return out
}

func (n *network) post(address string, messages []raft.Message) {
	ctx, cancel := context.WithTimeout(n.ctx, sendLimit(messages))
	defer cancel()
	err := n.client.Call(ctx, http.MethodPost, address, pathMessages, envelope{From: n.self, Messages: messages}, nil)
	// A lost message is repeated by the core; only this answer says something new.
	if fault, ok := errors.AsType[*wheelgauge.Error](err); ok && fault.Status() == http.StatusGone {
		n.replaced.Store(true)
	}
}

// sendLimit is how long a call with messages may take.
func sendLimit(messages []raft.Message) time.Duration {
	size := 0
	for _, m := range messages {
		size += m.Size()
	}
	return sendTimeout + time.Duration(size)*time.Second/sendRate
}

func (n *network) wait() { n.group.Wait() }
