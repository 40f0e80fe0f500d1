package entrynode

import (
	"wheelgauge/callerhttp"
)

// FloodOptions are for a host under more requests and connections than it can hold.
type FloodOptions struct {
	// RefuseEarly refuses requests from their headers, where these decide, before their bodies
	// are read.
	RefuseEarly bool
	// ShareConns divides callers' connections among workspaces while places are short.
	ShareConns bool
}

// turnedAwayLog is how many connections had been turned away, and evicted, when it was
// last logged. Only prune uses it.
type turnedAwayLog struct {
	callers, peers, evicted int64
}

func (n *Node) callerOptions() callerhttp.Options {
	o := callerhttp.Options{
		Limits: n.gate.Limits, Serve: n.gate.Serve, ShareConns: n.options.Flood.ShareConns,
		MaxConns: connLimit(n.options.MemoryLimit, maxCallerConns), Bodies: n.bodies,
	}
	if n.options.Flood.RefuseEarly {
		o.Admit = n.gate.Admit
	}
	return o
}

// peerOptions are without ShareConns: a connection of a gateway carries all workspaces.
func (n *Node) peerOptions() callerhttp.Options {
	o := callerhttp.Options{Limits: n.peerLimits, Serve: n.gate.ServePeer, MaxConns: connLimit(n.options.MemoryLimit, maxPeerConns), Bodies: n.bodies}
	if n.options.Flood.RefuseEarly {
		o.Admit = n.gate.AdmitPeer
	}
	return o
}

// logTurnedAway logs connections that were turned away or evicted since the last call.
func (n *Node) logTurnedAway() {
	callers, peers := n.callerServer.Counts(), n.peerServer.Counts()
	now := turnedAwayLog{callers: callers.TurnedAway, peers: peers.TurnedAway, evicted: callers.Evicted}
	if now == n.turnedAway {
		return
	}
	last := n.turnedAway
	n.turnedAway = now
	n.options.Log.Info("Connections are turned away.", "callers", now.callers-last.callers, "peers", now.peers-last.peers,
		"evicted", now.evicted-last.evicted, "places", n.callerOptions().MaxConns, "serving", n.callerServer.InFlight())
}

// gaugeConns sets the metrics of both listeners.
func (n *Node) gaugeConns() {
	for name, s := range map[string]*callerhttp.Server{"callers.": n.callerServer, "peers.": n.peerServer} {
		c := s.Counts()
		n.meter.Gauge(name+"turned_away", c.TurnedAway)
		n.meter.Gauge(name+"evicted", c.Evicted)
		n.meter.Gauge(name+"refused_early", c.RefusedEarly)
		n.meter.Gauge(name+"body_bytes", c.BodyBytes)
		n.meter.Gauge(name+"dropped_bytes", c.DroppedBytes)
	}
	held, refused := n.bodies.Held()
	n.meter.Gauge("bodies.held_bytes", held)
	n.meter.Gauge("bodies.refused", refused)
}
