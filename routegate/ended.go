package routegate

import (
	"context"
	"errors"
	"os"

	"wheelgauge/callerhttp"
)

// ender is who or what ended a request that a server or another gateway had got.
type ender string

const (
	endedByCaller ender = "caller"
	// endedByUnread: the caller has not read its answer in time.
	endedByUnread ender = "unread answer"
	endedByServer ender = "server"
	// endedByPeer: the gateway of another region broke off or failed.
	endedByPeer ender = "peer"
	// endedByTime: the caller's or the route's time is over.
	endedByTime ender = "time limit"
	// endedByStop: the grace period of this host is over.
	endedByStop ender = "stop"
	// endedBySilence: this host moved the request away from a silent server, and it failed elsewhere.
	endedBySilence ender = "silence"
)

// unrelatedToServer reports whether the end says nothing about the server.
func (e ender) unrelatedToServer() bool {
	return e == endedByCaller || e == endedByUnread || e == endedByStop
}

// ender returns what is to blame if the exchange fails.
func (x *exchange) ender() ender {
	switch {
	case x.moved.Load():
		return endedBySilence
	case x.pick == nil:
		return endedByPeer
	}
	return endedByServer
}

// endCancelled ends a request whose context is cancelled.
func (c *call) endCancelled(ctx context.Context) {
	if errors.Is(context.Cause(ctx), callerhttp.ErrStopped) {
		c.abort(endedByStop, "the grace period is over")
		return
	}
	c.abort(endedByCaller, "caller left")
}

// endWriteFailed ends a request whose caller does not accept the answer.
func (c *call) endWriteFailed(ctx context.Context, err error) result {
	switch {
	case errors.Is(context.Cause(ctx), callerhttp.ErrStopped):
		c.endCancelled(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.gate.options.Meter.Count("answers.unread")
		c.abort(endedByUnread, "caller does not read its answer: "+err.Error())
	default:
		c.abort(endedByCaller, err.Error())
	}
	return answered
}

// abort cuts the caller's connection.
func (c *call) abort(by ender, cause string) {
	c.endedBy, c.cause = by, cause
	c.request.Abort()
}
