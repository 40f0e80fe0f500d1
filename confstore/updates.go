package confstore

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

// UpdatePath is the path of updates between stores.
const UpdatePath = "/v1/news"

const (
	// updateInterval is the period of updates to other stores: the load of this region that
	// hosts of other regions see is on average half of it older. Heartbeats of each host to
	// each store would carry the same data at a cost of hosts times stores.
	updateInterval = 200 * time.Millisecond
	// updateTimeout bounds one call, including the connect over a long link.
	updateTimeout = time.Second
)

// sendUpdates sends an update to each other store.
func (n *Node) sendUpdates(ctx context.Context) {
	for _, address := range n.replica.MemberAddresses() {
		if address == n.o.Peer {
			continue
		}
		known, ok := n.peers.beginCall(address)
		if !ok {
			continue // the last call has not ended
		}
		update := n.buildUpdate(address, known)
		n.updateCalls.Add(1)
		go func() {
			defer n.updateCalls.Done()
			callCtx, cancel := context.WithTimeout(ctx, updateTimeout)
			defer cancel()
			n.sendUpdate(callCtx, address, update)
		}()
	}
}

// buildUpdate returns the update for a store. Of the server lists that this store reads, it
// includes those that were read since the last update to that store.
func (n *Node) buildUpdate(address string, known peerStore) wheelgauge.StoreNews {
	update := wheelgauge.StoreNews{Store: n.boot, Address: n.o.Peer, Region: n.o.Region}
	for _, region := range n.regions() {
		part, readAt, ok := n.servers.Part(region, known.acked[region])
		if ok && readAt.After(known.sentAt[region]) {
			update.Parts = append(update.Parts, part)
		}
	}
	loads, uses := n.hosts.Own(n.o.Region)
	update.Loads = loads
	if known.region == n.o.Region {
		update.Uses = uses
	}
	update.Caps = n.caps.News(address)
	return update
}

// sendUpdate sends an update, and then the full lists that the other store reports as missing.
func (n *Node) sendUpdate(ctx context.Context, address string, update wheelgauge.StoreNews) {
	sentAt := n.now()
	missing, err := n.postUpdate(ctx, address, update)
	if err == nil && len(missing) > 0 {
		update.Parts = n.fullLists(missing)
		missing, err = n.postUpdate(ctx, address, update)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		n.meter.Count("news.failed")
	}
	n.peers.endCall(address, sentAt, update.Parts, missing, err)
}

// fullLists returns the server lists of regions, even where they are unchanged.
func (n *Node) fullLists(regions []string) []wheelgauge.ServerPart {
	var out []wheelgauge.ServerPart
	for _, region := range regions {
		if part, _, ok := n.servers.Part(region, 0); ok {
			out = append(out, part)
		}
	}
	return out
}

func (n *Node) postUpdate(ctx context.Context, address string, update wheelgauge.StoreNews) ([]string, error) {
	var response wheelgauge.StoreNewsAnswer
	sentAt := n.now()
	err := n.client.Call(ctx, http.MethodPost, address, UpdatePath, update, &response)
	if err == nil && response.Caps.Giver != 0 {
		n.caps.Borrow(address, sentAt, response.Caps)
	}
	return response.Missing, err
}

// serveUpdate handles the update of another store; false means another path.
func (n *Node) serveUpdate(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, UpdatePath, func(update wheelgauge.StoreNews) (wheelgauge.StoreNewsAnswer, error) {
		return n.applyUpdate(update), nil
	})
}

func (n *Node) applyUpdate(update wheelgauge.StoreNews) wheelgauge.StoreNewsAnswer {
	n.peers.recordUpdate(update.Address, update.Region, n.now())
	n.hosts.Relay(update)
	response := wheelgauge.StoreNewsAnswer{Caps: n.caps.Lend(update.Address, update.Store, update.Caps)}
	for _, part := range update.Parts {
		if !n.servers.Take(update.Store, part) && !slices.Contains(response.Missing, part.Region) {
			response.Missing = append(response.Missing, part.Region)
		}
	}
	return response
}
