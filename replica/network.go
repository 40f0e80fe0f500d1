package replica

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const (
	sendersPerPeer = 4
	// baseSendTimeout bounds a call without entries. sendBytesPerSecond extends it
	// by the payload: 5 Mbit/s, the lowest throughput that the core allows for. With
	// a fixed timeout a whole configuration would never get through a congested link.
	baseSendTimeout    = 2 * time.Second
	sendBytesPerSecond = 640 << 10
	peerQueueLength    = 512
	pathMessages       = "/raft/messages"
)

// envelope carries messages and the ID and address of their sender.
type envelope struct {
	From     raft.Member    `json:"from"`
	Messages []raft.Message `json:"messages"`
}

// network sends messages to peers. Messages that a peer does not accept in time
// are dropped: the core sends them again.
type network struct {
	ctx       context.Context
	client    *peerhttp.Client
	self      raft.Member
	mu        sync.Mutex
	addresses map[uint64]string
	queues    map[string]chan raft.Message
	senders   sync.WaitGroup
}

func newNetwork(ctx context.Context, client *peerhttp.Client, self raft.Member) *network {
	return &network{ctx: ctx, client: client, self: self, addresses: map[uint64]string{}, queues: map[string]chan raft.Message{}}
}

// setSelf sets the sender of later messages.
func (n *network) setSelf(m raft.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self = m
}

func (n *network) sender() raft.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

// learn records the address of a replica that may not be in the member list yet.
func (n *network) learn(m raft.Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses[m.ID] = m.Address
}

// knownAddresses returns the addresses of all replicas that are known.
func (n *network) knownAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Values(n.addresses))
}

func (n *network) send(members []raft.Member, messages []raft.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range members {
		n.addresses[m.ID] = m.Address
	}
	for _, m := range messages {
		address, ok := n.addresses[m.To]
		if !ok {
			continue
		}
		select {
		case n.queue(address) <- m:
		default:
		}
	}
}

func (n *network) queue(address string) chan raft.Message {
	queue, ok := n.queues[address]
	if ok {
		return queue
	}
	queue = make(chan raft.Message, peerQueueLength)
	n.queues[address] = queue
	for range sendersPerPeer {
		n.senders.Add(1)
		go n.sendLoop(address, queue)
	}
	return queue
}

func (n *network) sendLoop(address string, queue chan raft.Message) {
	defer n.senders.Done()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-queue:
			n.sendBatch(address, collectBatch(m, queue))
		}
	}
}

func collectBatch(first raft.Message, queue chan raft.Message) []raft.Message {
	messages := []raft.Message{first}
	for len(messages) < maxBatchLength {
		select {
		case m := <-queue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (n *network) sendBatch(address string, messages []raft.Message) {
	ctx, cancel := context.WithTimeout(n.ctx, sendTimeoutFor(messages))
	defer cancel()
	// The core sends lost messages again, so errors are ignored.
	_ = n.client.Call(ctx, http.MethodPost, address, pathMessages, envelope{From: n.sender(), Messages: messages}, nil)
}

// sendTimeoutFor returns the timeout of a call that carries the messages.
func sendTimeoutFor(messages []raft.Message) time.Duration {
	size := 0
	for _, m := range messages {
		size += m.PayloadBytes()
	}
	return baseSendTimeout + time.Duration(size)*time.Second/sendBytesPerSecond
}

func (n *network) wait() { n.senders.Wait() }
