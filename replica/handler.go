package replica

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const requestTimeout = 5 * time.Second

// errReplaced is the response to a store that was replaced by another member of
// the same name.
var errReplaced = wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusGone, "this store was replaced by another member")

// Handle serves the replica's paths; it returns false for any other path.
func (r *Replica) Handle(ctx *fasthttp.RequestCtx) bool {
	callCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case pathMessages:
		r.handleMessages(callCtx, ctx)
	case pathPropose:
		p, err := r.proposeLocal(callCtx, append([]byte(nil), ctx.PostBody()...))
		reply(ctx, p, err)
	case pathBarrier:
		p, err := r.barrierLocal(callCtx)
		reply(ctx, p, err)
	case pathJoin:
		r.handleJoin(callCtx, ctx)
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
	replaced := make(chan bool, 1)
	err = r.submit(callCtx, func() {
		replaced <- r.senderReplaced(e)
		for _, m := range e.Messages {
			r.core.Step(m)
		}
	})
	if err == nil {
		err = awaitReplaced(callCtx, replaced)
	}
	reply(ctx, struct{}{}, err)
}

// awaitReplaced waits for the run loop to report whether the sender was replaced.
// The timeout covers a run loop that has just ended.
func awaitReplaced(callCtx context.Context, result chan bool) error {
	select {
	case replaced := <-result:
		if replaced {
			return errReplaced
		}
		return nil
	case <-callCtx.Done():
		return noLeaderError("the store is shutting down")
	}
}

// senderReplaced reports whether the sender campaigns although it is no longer a
// member. Only a leader that has applied an entry of its own term can tell, as it
// knows every committed membership change.
func (r *Replica) senderReplaced(e envelope) bool {
	isMember := slices.ContainsFunc(r.core.Members(), func(m raft.Member) bool { return m.ID == e.From.ID })
	campaigns := slices.ContainsFunc(e.Messages, func(m raft.Message) bool { return m.IsVoteRequest() })
	return r.core.AppliedOwnTerm() && campaigns && !isMember
}

func (r *Replica) handleJoin(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		reply(ctx, struct{}{}, r.Remove(callCtx, string(ctx.QueryArgs().Peek("name"))))
		return
	}
	m, err := peerhttp.Decode[raft.Member](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	r.net.learn(m)
	reply(ctx, struct{}{}, r.Join(callCtx, m))
}
