package storeapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

// watch answers with the events after a generation, at once if there are any,
// else after the wait with a bookmark.
func (a *API) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	from, err := strconv.ParseUint(string(args.Peek("from")), 10, 64)
	if err != nil {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "from: expected a generation"))
		return
	}
	if host := string(args.Peek("host")); host != "" {
		a.InForce.Report(host, string(args.Peek("region")), from)
	}
	wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
	answer, ok := a.await(from, min(wait, longestWait))
	if !ok {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonTooOld, wheelgauge.OutcomeNotRun, http.StatusGone,
			"events after that generation are not kept: list, then watch from the list's generation"))
		return
	}
	answer.InTouch = a.Replica.LeaderAddress() != ""
	a.Meter.Add("watch.events", int64(len(answer.Events)))
	peerhttp.Answer(ctx, answer)
}

func (a *API) await(from uint64, wait time.Duration) (wheelgauge.WatchAnswer, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		answer, changed, ok := a.Registry.Since(from)
		if !ok || len(answer.Events) > 0 {
			return trim(answer), ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer, true
		case <-a.Stop.Done():
			return answer, true
		}
	}
}

// trim bounds an answer; its generation is then that of the last event in it.
func trim(a wheelgauge.WatchAnswer) wheelgauge.WatchAnswer {
	if len(a.Events) > mostEvents {
		a.Events = a.Events[:mostEvents]
		a.Generation = a.Events[mostEvents-1].Generation
	}
	return a
}
