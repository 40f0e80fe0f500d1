package confstore

import (
	"context"
	"errors"
	"net/http"
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
		if address == n.o.PeerAddress {
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

// buildUpdate returns the update for a store, with the states of the server lists that this store
// has read since the last update to that store.
func (n *Node) buildUpdate(address string, known peerStore) wheelgauge.StoreUpdate {
	update := wheelgauge.StoreUpdate{StoreBoot: n.boot, Address: n.o.PeerAddress, Region: n.o.Region}
	for _, region := range n.regions() {
		if status, ok := n.servers.Own(region, known.sentAt[region]); ok {
			update.ServerLists = append(update.ServerLists, status)
		}
	}
	loads, uses := n.hosts.LocalLoad(n.o.Region)
	update.Loads = loads
	if known.region == n.o.Region {
		update.ServerUsage = uses
		update.Promises = n.promises.OfHosts(n.o.Region)
	}
	update.Caps = n.caps.Report(address)
	update.HallOrders = n.hallOrders.Given()
	return update
}

// sendUpdate sends an update to a store.
func (n *Node) sendUpdate(ctx context.Context, address string, update wheelgauge.StoreUpdate) {
	sentAt := n.now()
	err := n.postUpdate(ctx, address, update)
	if err != nil && !errors.Is(err, context.Canceled) {
		n.meter.Count("news.failed")
	}
	n.peers.endCall(address, sentAt, update.ServerLists, err)
}

func (n *Node) postUpdate(ctx context.Context, address string, update wheelgauge.StoreUpdate) error {
	var response wheelgauge.StoreUpdateResponse
	sentAt := n.now()
	err := n.client.Call(ctx, http.MethodPost, address, UpdatePath, update, &response)
	if err == nil && response.CapLease.Lessor != 0 {
		n.caps.ApplyLease(address, sentAt, response.CapLease)
	}
	return err
}

// serveUpdate handles the update of another store; false means another path.
func (n *Node) serveUpdate(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, UpdatePath, func(update wheelgauge.StoreUpdate) (wheelgauge.StoreUpdateResponse, error) {
		return n.applyUpdate(update), nil
	})
}

func (n *Node) applyUpdate(update wheelgauge.StoreUpdate) wheelgauge.StoreUpdateResponse {
	n.peers.recordUpdate(update.Address, update.Region, n.now())
	n.hosts.RecordStore(update)
	n.promises.Add(update.Region, "", update.Promises)
	n.hallOrders.Merge(update.HallOrders)
	response := wheelgauge.StoreUpdateResponse{CapLease: n.caps.GrantLease(update.Address, update.StoreBoot, update.Caps)}
	for _, status := range update.ServerLists {
		n.followList(update.Address, status)
	}
	return response
}
