package peerhttp

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

// WriteJSON responds with v as JSON; a Body is encoded already.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	if b, ok := v.(Body); ok {
		WriteBody(ctx, b)
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		WriteError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// WriteError responds with err as a wheelgauge.Error in JSON, with Retry-After in whole
// seconds, rounded up.
func WriteError(ctx *fasthttp.RequestCtx, err error) {
	apiErr := wheelgauge.AsError(err)
	body, encodeErr := json.Marshal(apiErr)
	if encodeErr != nil {
		body = []byte(`{"reason":"internal","outcome":"unknown","status":500}`)
	}
	ctx.Response.ResetBody()
	ctx.SetStatusCode(apiErr.Status())
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(wheelgauge.HeaderOutcome, string(apiErr.Outcome()))
	if retryAfter := apiErr.RetryAfter(); retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(body)
}

// Decode reads the body of a request as JSON.
func Decode[T any](ctx *fasthttp.RequestCtx) (T, error) {
	var v T
	if err := json.Unmarshal(ctx.PostBody(), &v); err != nil {
		return v, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, fasthttp.StatusBadRequest, "body is not the expected JSON: "+err.Error())
	}
	return v, nil
}

// Serve decodes a request, calls run, and responds with its result or its error.
func Serve[In, Out any](ctx *fasthttp.RequestCtx, run func(In) (Out, error)) {
	in, err := Decode[In](ctx)
	if err != nil {
		WriteError(ctx, err)
		return
	}
	out, err := run(in)
	if err != nil {
		WriteError(ctx, err)
		return
	}
	WriteJSON(ctx, out)
}

// NoError adapts a function without an error for Serve.
func NoError[In, Out any](f func(In) Out) func(In) (Out, error) {
	return func(in In) (Out, error) { return f(in), nil }
}

// NotFound responds to a path that does not exist.
func NotFound(ctx *fasthttp.RequestCtx) {
	WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, fasthttp.StatusNotFound, "no such path: "+string(ctx.Path())))
}
