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

// NewsPath is where stores take each other's news.
const NewsPath = "/v1/news"

const (
	// newsEvery is how often a store tells the others: what their hosts know of the
	// load of its own is older by half of that. By heartbeats of each host to each store the
	// same news would grow with hosts times stores.
	newsEvery = 200 * time.Millisecond
	// newsTimeout bounds one call: connect and answer over a long link.
	newsTimeout = time.Second
)

// pass tells all other stores the news.
func (n *Node) pass(ctx context.Context) {
	for _, address := range n.replica.MemberAddresses() {
		if address == n.o.Peer {
			continue
		}
		m, ok := n.members.begin(address)
		if !ok {
			continue // it is still being told
		}
		news := n.news(address, m)
		n.passing.Add(1)
		go func() {
			defer n.passing.Done()
			limit, cancel := context.WithTimeout(ctx, newsTimeout)
			defer cancel()
			n.tell(limit, address, news)
		}()
	}
}

// news renders what a store is told; of the lists that this store reads, those read
// anew since.
func (n *Node) news(address string, m member) wheelgauge.StoreNews {
	news := wheelgauge.StoreNews{Store: n.boot, Address: n.o.Peer, Region: n.o.Region}
	for _, region := range n.regions() {
		part, asked, ok := n.servers.Part(region, m.held[region])
		if ok && asked.After(m.told[region]) {
			news.Parts = append(news.Parts, part)
		}
	}
	loads, uses := n.hosts.Own(n.o.Region)
	news.Loads = loads
	if m.region == n.o.Region {
		news.Uses = uses
	}
	news.Caps = n.bank.News(address)
	return news
}

// tell sends news, and once more whole what the other store lacks.
func (n *Node) tell(ctx context.Context, address string, news wheelgauge.StoreNews) {
	asked := n.now()
	missing, err := n.send(ctx, address, news)
	if err == nil && len(missing) > 0 {
		news.Parts = n.whole(missing)
		missing, err = n.send(ctx, address, news)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		n.meter.Count("news.failed")
	}
	n.members.end(address, asked, news.Parts, missing, err)
}

// whole returns the parts of regions with their lists.
func (n *Node) whole(regions []string) []wheelgauge.ServerPart {
	var out []wheelgauge.ServerPart
	for _, region := range regions {
		if part, _, ok := n.servers.Part(region, 0); ok {
			out = append(out, part)
		}
	}
	return out
}

func (n *Node) send(ctx context.Context, address string, news wheelgauge.StoreNews) ([]string, error) {
	var answer wheelgauge.StoreNewsAnswer
	sent := n.now()
	err := n.client.Call(ctx, http.MethodPost, address, NewsPath, news, &answer)
	if err == nil && answer.Caps.Giver != 0 {
		n.bank.Borrow(address, sent, answer.Caps)
	}
	return answer.Missing, err
}

// serveNews takes what another store tells; false means another path.
func (n *Node) serveNews(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, NewsPath, func(news wheelgauge.StoreNews) (wheelgauge.StoreNewsAnswer, error) {
		return n.takeNews(news), nil
	})
}

func (n *Node) takeNews(news wheelgauge.StoreNews) wheelgauge.StoreNewsAnswer {
	n.members.heard(news.Address, news.Region, n.now())
	n.hosts.Relay(news)
	a := wheelgauge.StoreNewsAnswer{Caps: n.bank.Lend(news.Address, news.Store, news.Caps)}
	for _, part := range news.Parts {
		if !n.servers.Take(news.Store, part) && !slices.Contains(a.Missing, part.Region) {
			a.Missing = append(a.Missing, part.Region)
		}
	}
	return a
}
