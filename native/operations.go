package native

import (
	"context"
	"strings"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// Paths of the API.
const (
	pathRoutes = "/v1/routes"
	pathHalls  = "/v1/halls/"
	pathEntry  = "/v1/entry"
	// PathRollouts is followed by the name of a service.
	PathRollouts = "/v1/rollouts/"
	// PathQuarantine lists what is quarantined; one entry is released by its fingerprint below it.
	PathQuarantine = "/v1/quarantine"
)

// PutResponse is the response to an accepted configuration, with the version that is
// current then.
type PutResponse struct {
	Version uint64 `json:"version"`
}

// OperatorHandler returns the handler of PUT and GET /v1/routes, of PUT and DELETE
// /v1/halls/HALL/drain, of PUT, GET and DELETE /v1/rollouts/SERVICE, and of GET /v1/quarantine and
// DELETE /v1/quarantine/FINGERPRINT.
func OperatorHandler(o wheelgauge.Operations) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		hall, isHall := strings.CutPrefix(path, pathHalls)
		hall, isDrain := strings.CutSuffix(hall, "/drain")
		switch {
		case path == pathRoutes && ctx.IsPut():
			putRoutes(ctx, o)
		case path == pathRoutes && ctx.IsGet():
			getRoutes(ctx, o)
		case strings.HasPrefix(path, PathRollouts):
			handleRollout(ctx, o, strings.TrimPrefix(path, PathRollouts))
		case path == PathQuarantine && ctx.IsGet():
			list, err := o.Quarantined(context.Background())
			respond(ctx, list, err)
		case strings.HasPrefix(path, PathQuarantine+"/") && ctx.IsDelete():
			respond(ctx, struct{}{}, o.ReleaseQuarantined(context.Background(), peerhttp.NewSender(ctx, 0), wheelgauge.Fingerprint(strings.TrimPrefix(path, PathQuarantine+"/"))))
		case isHall && isDrain && (ctx.IsPut() || ctx.IsDelete()):
			respond(ctx, struct{}{}, o.DrainHall(context.Background(), peerhttp.NewSender(ctx, 0), hall, ctx.IsPut()))
		default:
			peerhttp.NotFound(ctx)
		}
	}
}

func putRoutes(ctx *fasthttp.RequestCtx, o wheelgauge.Operations) {
	version, err := o.PutRoutes(context.Background(), append([]byte(nil), ctx.PostBody()...))
	respond(ctx, PutResponse{version}, err)
}

func getRoutes(ctx *fasthttp.RequestCtx, o wheelgauge.Operations) {
	body, err := o.Routes(context.Background())
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handleRollout starts a rollout of a service, returns its last one, or rolls it back.
func handleRollout(ctx *fasthttp.RequestCtx, o wheelgauge.Operations, service string) {
	switch {
	case ctx.IsPut():
		order, err := peerhttp.Decode[wheelgauge.RolloutRequest](ctx)
		if err == nil {
			order.Service = service
			err = o.StartRollout(context.Background(), peerhttp.NewSender(ctx, 0), order)
		}
		respond(ctx, struct{}{}, err)
	case ctx.IsGet():
		r, err := o.Rollout(context.Background(), service)
		respond(ctx, r, err)
	case ctx.IsDelete():
		respond(ctx, struct{}{}, o.AbortRollout(context.Background(), peerhttp.NewSender(ctx, 0), service))
	default:
		peerhttp.NotFound(ctx)
	}
}

func respond(ctx *fasthttp.RequestCtx, v any, err error) {
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteJSON(ctx, v)
}

// EntryHandler returns the handler of GET /v1/entry?name=HOST&region=R.
func EntryHandler(o wheelgauge.Operations) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != pathEntry {
			peerhttp.NotFound(ctx)
			return
		}
		args := ctx.QueryArgs()
		region := string(args.Peek("region"))
		addresses, ttl, err := o.EntryAddresses(string(args.Peek("name")), region)
		list := wheelgauge.EntryList{TTLMS: ttl.Milliseconds()}
		for _, a := range addresses {
			list.Entries = append(list.Entries, wheelgauge.EntryHost{Region: region, Address: a})
		}
		respond(ctx, list, err)
	}
}
