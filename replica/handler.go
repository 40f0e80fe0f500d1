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

// errReplaced answers a store whose place another member of its name has taken.
var errReplaced = wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusGone, "this store was replaced by another member")

// Handle answers the paths of the replica; false means the path is not its own.
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
		peerhttp.AnswerError(ctx, err)
		return
	}
	peerhttp.Answer(ctx, v)
}

func (r *Replica) handleMessages(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	e, err := peerhttp.Decode[envelope](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
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

// awaitReplaced waits for what the run loop found, which a replica that has just
// ended never tells.
func awaitReplaced(callCtx context.Context, result chan bool) error {
	select {
	case replaced := <-result:
		if replaced {
			return errReplaced
		}
		return nil
	case <-callCtx.Done():
		return noLeaderError("the store stops")
	}
}

// senderReplaced tells whether the sender campaigns though it is no member any more:
// a settled leader knows every change of members.
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
		peerhttp.AnswerError(ctx, err)
		return
	}
	r.net.learn(m)
	reply(ctx, struct{}{}, r.Join(callCtx, m))
}
