package replica

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge/peerhttp"
	"wheelgauge/raft"
)

const requestTimeout = 5 * time.Second

// Handle answers the paths of the replica; false means the path is not its own.
func (r *Replica) Handle(ctx *fasthttp.RequestCtx) bool {
	limit, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case pathMessages:
		r.takeMessages(limit, ctx)
	case pathPropose:
		p, err := r.proposeHere(limit, append([]byte(nil), ctx.PostBody()...))
		reply(ctx, p, err)
	case pathBarrier:
		p, err := r.barrierHere(limit)
		reply(ctx, p, err)
	case pathJoin:
		r.takeJoin(limit, ctx)
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

func (r *Replica) takeMessages(limit context.Context, ctx *fasthttp.RequestCtx) {
	e, err := peerhttp.Decode[envelope](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	r.net.learn(e.From)
	err = r.submit(limit, func() {
		for _, m := range e.Messages {
			r.core.Step(m)
		}
	})
	reply(ctx, struct{}{}, err)
}

func (r *Replica) takeJoin(limit context.Context, ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		reply(ctx, struct{}{}, r.Remove(limit, string(ctx.QueryArgs().Peek("name"))))
		return
	}
	m, err := peerhttp.Decode[raft.Member](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	r.net.learn(m)
	reply(ctx, struct{}{}, r.Join(limit, m))
}
