package peerhttp

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

// Answer writes v as JSON.
func Answer(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		AnswerError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// AnswerError writes err as a typed error answer with Retry-After in whole
// seconds, rounded up.
func AnswerError(ctx *fasthttp.RequestCtx, err error) {
	fault := wheelgauge.AsError(err)
	body, encodeErr := json.Marshal(fault)
	if encodeErr != nil {
		body = []byte(`{"reason":"internal","outcome":"unknown","status":500}`)
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(fault.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wheelgauge.HeaderOutcome, string(fault.Outcome()))
	if wait := fault.RetryAfter(); wait > 0 {
		seconds := int64((wait + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(body)
}

// Decode reads the body of a request as JSON.
func Decode[T any](ctx *fasthttp.RequestCtx) (T, error) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		return v, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, fasthttp.StatusBadRequest, "body is not the JSON expected: "+err.Error())
	}
	return v, nil
}

// Serve decodes a call, runs it, and writes its answer or its error.
func Serve[In, Out any](ctx *fasthttp.RequestCtx, run func(In) (Out, error)) {
	in, err := Decode[In](ctx)
	if err != nil {
		AnswerError(ctx, err)
		return
	}
	out, err := run(in)
	if err != nil {
		AnswerError(ctx, err)
		return
	}
	Answer(ctx, out)
}

// Infallible makes a call of a function that has no error.
func Infallible[In, Out any](f func(In) Out) func(In) (Out, error) {
	return func(in In) (Out, error) { return f(in), nil }
}

// NotFound answers a path that does not exist.
func NotFound(ctx *fasthttp.RequestCtx) {
	AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, fasthttp.StatusNotFound, "no such path: "+string(ctx.Path())))
}
