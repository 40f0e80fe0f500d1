package confstore

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/beat"
	"wheelgauge/peerhttp"
	"wheelgauge/statefeed"
)

// serveBeat answers an entry host's heartbeat; false means another path.
func (n *Node) serveBeat(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, beat.Path, func(b wheelgauge.Beat) (wheelgauge.BeatAnswer, error) {
		n.meter.Count("beats")
		n.hosts.Take(b, time.Duration(b.IntervalMS)*time.Millisecond)
		n.bank.Seen(b.Host.Name, b.Host.Boot)
		n.crashes.Merge(b.Crashes)
		n.limits.Merge(b.Limits)
		n.director.Take(b.Host.Name, b.Host.Boot, b.Rollouts)
		return n.answer(b), nil
	})
}

// serveState answers an entry host that fetches the state; false means another path.
func (n *Node) serveState(ctx *fasthttp.RequestCtx) bool {
	return serve(ctx, statefeed.Path, func(r wheelgauge.StateRequest) (wheelgauge.StatePart, error) {
		n.meter.Count("state.parts")
		return n.statePart(r)
	})
}

// statePart gives a part of the state, and to a host that holds none which requests are held
// back: it serves as soon as it has the state, from whichever store.
func (n *Node) statePart(r wheelgauge.StateRequest) (wheelgauge.StatePart, error) {
	part, err := n.feed.Part(r)
	if err == nil && r.Generation == 0 && part.Offset == 0 {
		n.crashes.Keep(n.machine.State().Crashes)
		part.Crashes, _ = n.crashes.Serious()
	}
	return part, err
}

// serve answers calls to one path by f; false means another path.
func serve[Q, A any](ctx *fasthttp.RequestCtx, path string, f func(Q) (A, error)) bool {
	if string(ctx.Path()) != path {
		return false
	}
	peerhttp.Serve(ctx, f)
	return true
}

func (n *Node) answer(b wheelgauge.Beat) wheelgauge.BeatAnswer {
	a := n.withoutReplica(b)
	a.InTouch, a.Stores = n.replica.LeaderAddress() != "", n.replica.MemberAddresses()
	if b.Primary {
		n.addCrashes(&a, b)
	}
	return a
}

// withoutReplica is the answer but for what the replica says of its group.
func (n *Node) withoutReplica(b wheelgauge.Beat) wheelgauge.BeatAnswer {
	a := wheelgauge.BeatAnswer{Store: n.boot, Generation: n.machine.State().Generation, Region: n.o.Region, Hall: n.o.Hall}
	if !b.Primary {
		return a
	}
	same := b.Store == n.boot
	hosts, at := n.hosts.Hosts()
	a.Partial = n.now().Sub(n.started) < warmUp
	// The table is told once more when it has become whole.
	a.HostsAt = 2 * at
	if a.Partial {
		a.HostsAt++
	}
	if !same || b.Hosts != a.HostsAt {
		a.Hosts = hosts
	}
	n.addServers(&a, b, same)
	n.addLimits(&a, b)
	a.Uses = n.hosts.Uses(b.Host.Region, b.Host.Name)
	a.Regions = n.regionUses()
	return a
}
