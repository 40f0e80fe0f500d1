package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const requestTimeout = 5 * time.Second

// Handle serves the replica's paths; it returns false for any other path.
func (r *Replica) Handle(ctx *fasthttp.RequestCtx) bool {
	callCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case pathMessages:
		r.handleMessages(callCtx, ctx)
	case pathPropose:
		propose := r.proposeLocal
		if ctx.QueryArgs().Has(onceArg) {
			propose = r.proposeOnceLocal
		}
		p, err := propose(callCtx, append([]byte(nil), ctx.PostBody()...))
		reply(ctx, p, err)
	case pathBarrier:
		p, err := r.barrierLocal(callCtx)
		reply(ctx, p, err)
	case pathJoin:
		r.handleJoin(callCtx, ctx)
	case pathFounding:
		r.handleFounding(callCtx, ctx)
	case pathLeave:
		r.handleLeave(callCtx, ctx)
	default:
		return false
	}
	return true
}

func reply(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteJSON(ctx, v)
}

func (r *Replica) handleMessages(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	e, err := peerhttp.Decode[envelope](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	r.net.learn(e.From)
	processed := make(chan struct{})
	err = r.submit(callCtx, func() {
		defer close(processed)
		r.noticeGroup(e.From, e.Messages)
		for _, m := range e.Messages {
			r.core.Step(m)
		}
	})
	if err == nil {
		err = awaitProcessed(callCtx, processed)
	}
	reply(ctx, struct{}{}, err)
}

// awaitProcessed waits until the run loop has taken the messages of a call: a sender must not fill
// the queue of a store that is slower. The timeout covers a run loop that has just ended.
func awaitProcessed(callCtx context.Context, processed chan struct{}) error {
	select {
	case <-processed:
		return nil
	case <-callCtx.Done():
		return noLeaderError("the store is shutting down")
	}
}

// handleJoin adds a store, or removes one by its name.
func (r *Replica) handleJoin(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if ctx.IsDelete() {
		since, err := args.GetUint(argSince)
		if err != nil {
			peerhttp.WriteError(ctx, fmt.Errorf("remove a store: %w", err))
			return
		}
		res, err := r.removeLocal(callCtx, string(args.Peek(argName)), uint64(since))
		reply(ctx, res, err)
		return
	}
	m, err := peerhttp.Decode[raft.Member](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	r.net.learn(m)
	join := r.Join
	if args.GetBool(argForwarded) {
		join = r.joinLocal
	}
	reply(ctx, struct{}{}, join(callCtx, m))
}

// handleFounding answers another initial voter.
func (r *Replica) handleFounding(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var state foundingReply
	processed := make(chan struct{})
	err := r.submit(callCtx, func() {
		defer close(processed)
		state = r.foundingState()
	})
	if err == nil {
		err = awaitProcessed(callCtx, processed)
	}
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteJSON(ctx, state)
}

func (r *Replica) handleLeave(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	m, err := peerhttp.Decode[raft.Member](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	res, err := r.leaveLocal(callCtx, m.ID)
	reply(ctx, res, err)
}
