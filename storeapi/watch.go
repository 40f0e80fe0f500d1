package storeapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// watch responds with the events after a generation: at once if there are any, else when
// one occurs or the wait ends, then with the current generation only.
func (a *API) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	from, err := strconv.ParseUint(string(args.Peek("from")), 10, 64)
	if err != nil {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "from: expected a generation"))
		return
	}
	if host := string(args.Peek("host")); host != "" {
		a.AppliedGenerations.Record(host, string(args.Peek("region")), from)
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	response, ok := a.await(from, min(wait, maxWait))
	if !ok {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonTooOld, wheelgauge.OutcomeNotRun, http.StatusGone,
			"events after that generation are no longer stored: list, then watch from the generation of the list"))
		return
	}
	response.Connected = a.Replica.LeaderAddress() != ""
	a.Meter.Add("watch.events", int64(len(response.Events)))
	peerhttp.WriteJSON(ctx, response)
}

func (a *API) await(from uint64, wait time.Duration) (wheelgauge.WatchResponse, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		response, changed, ok := a.Registry.Since(from)
		if !ok || len(response.Events) > 0 {
			return trim(response), ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return response, true
		case <-a.Context.Done():
			return response, true
		}
	}
}

// trim bounds the events of a response. The generation of a trimmed response is that of its last event.
func trim(w wheelgauge.WatchResponse) wheelgauge.WatchResponse {
	if len(w.Events) > maxEvents {
		w.Events = w.Events[:maxEvents]
		w.Generation = w.Events[maxEvents-1].Generation
	}
	return w
}
