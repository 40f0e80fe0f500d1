// Package storeapi answers operators and gateways from a store.
package storeapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/acceptor"
	"wheelgauge/claims"
	"wheelgauge/confwatch"
	"wheelgauge/inforce"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/operators"
	"wheelgauge/peerhttp"
	"wheelgauge/permitclient"
	"wheelgauge/registry"
	"wheelgauge/replica"
)

// Paths of a store's API.
const (
	PathStatus = "/v1/status"
	PathClaims = "/v1/claims"
	PathStores = "/v1/stores/"
	PathReady  = "/ready"
)

const (
	resourcePath  = confwatch.PathList
	changeTimeout = 5 * time.Second
	longestWait   = 30 * time.Second
	mostEvents    = 512
	maxChangeID   = 128
)

// API answers the two listeners of a store.
type API struct {
	Registry *registry.Registry
	Replica  *replica.Replica
	Claims   *claims.Table
	InForce  *inforce.Table
	Acceptor *acceptor.Acceptor
	Hub      *membership.Hub
	Tokens   *operators.Tokens
	Meter    *meter.Meter
	// Stop ends waiting watches when the store stops.
	Stop context.Context
}

// Status answers GET /v1/status.
type Status struct {
	Replica    replica.Status         `json:"replica"`
	Generation uint64                 `json:"generation"`
	Stores     []acceptor.StoreReport `json:"stores"`
	Hosts      []wheelgauge.InForce   `json:"hosts"`
	Live       []wheelgauge.HostEntry `json:"live"`
	Pending    []Pending              `json:"pending,omitempty"`
	Claims     int                    `json:"claims"`
}

// Pending is a rule that waits for hosts.
type Pending struct {
	Rule       string   `json:"rule"`
	Generation uint64   `json:"generation"`
	Waiting    []string `json:"waiting"`
}

// Operator handles the operators' listener.
func (a *API) Operator(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathReady {
		a.ready(ctx)
		return
	}
	write := !ctx.IsGet()
	name, err := a.Tokens.Check(string(ctx.Request.Header.Peek("Authorization")), write)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	a.Meter.Count("operator.calls")
	switch {
	case path == PathStatus:
		a.status(ctx)
	case path == "/metrics":
		a.Meter.WriteJSON(ctx)
	case path == confwatch.PathWatch:
		a.watch(ctx)
	case strings.HasPrefix(path, resourcePath):
		a.resources(ctx, strings.Trim(strings.TrimPrefix(path, resourcePath), "/"), name)
	case strings.HasPrefix(path, PathStores) && ctx.IsDelete():
		a.removeStore(ctx, strings.TrimPrefix(path, PathStores))
	default:
		peerhttp.NotFound(ctx)
	}
}

// Peer handles the peers' listener.
func (a *API) Peer(ctx *fasthttp.RequestCtx) {
	if a.Replica.Handle(ctx) {
		return
	}
	switch string(ctx.Path()) {
	case confwatch.PathWatch:
		a.watch(ctx)
	case confwatch.PathList:
		peerhttp.Answer(ctx, a.Registry.List(""))
	case confwatch.PathGeneration:
		peerhttp.Answer(ctx, wheelgauge.WatchAnswer{Generation: a.Registry.Generation(), InTouch: a.Replica.LeaderAddress() != ""})
	case acceptor.PathInForce:
		peerhttp.Answer(ctx, a.Acceptor.Own())
	case PathClaims:
		a.claim(ctx)
	case membership.PathBeat:
		peerhttp.Serve(ctx, peerhttp.Infallible(a.Hub.Beat))
	case permitclient.Path:
		peerhttp.Serve(ctx, peerhttp.Infallible(a.Hub.Permit))
	case membership.PathSummary:
		peerhttp.Serve(ctx, peerhttp.Infallible(a.Hub.Exchange))
	default:
		peerhttp.NotFound(ctx)
	}
}

func (a *API) ready(ctx *fasthttp.RequestCtx) {
	if a.Replica.LeaderAddress() == "" {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no leader is known"))
		return
	}
	peerhttp.Answer(ctx, struct{}{})
}

func (a *API) claim(ctx *fasthttp.RequestCtx) {
	limit, cancel := context.WithTimeout(a.Stop, changeTimeout)
	defer cancel()
	peerhttp.Serve(ctx, func(c wheelgauge.Claim) (wheelgauge.Claim, error) {
		a.Meter.Count("claims." + string(c.State))
		return a.Claims.Take(limit, c)
	})
}

func (a *API) status(ctx *fasthttp.RequestCtx) {
	reports := a.Acceptor.Reports(a.Stop)
	s := Status{
		Replica: a.Replica.Status(), Generation: a.Registry.Generation(), Stores: reports,
		Hosts: acceptor.Hosts(reports), Live: a.Hub.Hosts(), Claims: a.Claims.Len(),
	}
	for i := range s.Stores {
		s.Stores[i].Hosts = nil
	}
	for _, r := range a.Registry.PendingList() {
		s.Pending = append(s.Pending, Pending{r.Name, r.PendingGen, a.Acceptor.Missing(r.PendingGen, reports)})
	}
	peerhttp.Answer(ctx, s)
}

func (a *API) removeStore(ctx *fasthttp.RequestCtx, name string) {
	limit, cancel := context.WithTimeout(a.Stop, changeTimeout)
	defer cancel()
	if err := a.Replica.Remove(limit, name); err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	peerhttp.Answer(ctx, struct{}{})
}

// resources answers list, get, put and delete of rest, which is empty, a kind,
// or a kind and a name.
func (a *API) resources(ctx *fasthttp.RequestCtx, rest, operator string) {
	kind, name, named := strings.Cut(rest, "/")
	switch {
	case ctx.IsGet():
		a.read(ctx, wheelgauge.Kind(kind), name, named)
	case named && ctx.IsPut():
		a.change(ctx, wheelgauge.Change{Op: wheelgauge.OpPut, Kind: wheelgauge.Kind(kind), Name: name, Operator: operator, Spec: append([]byte(nil), ctx.PostBody()...)})
	case named && ctx.IsDelete():
		a.change(ctx, wheelgauge.Change{Op: wheelgauge.OpDelete, Kind: wheelgauge.Kind(kind), Name: name, Operator: operator})
	default:
		peerhttp.NotFound(ctx)
	}
}

func (a *API) read(ctx *fasthttp.RequestCtx, kind wheelgauge.Kind, name string, named bool) {
	limit, cancel := context.WithTimeout(a.Stop, changeTimeout)
	defer cancel()
	if !ctx.QueryArgs().GetBool("stale") {
		if err := a.Replica.ReadBarrier(limit); err != nil {
			peerhttp.AnswerError(ctx, err)
			return
		}
	}
	if !named {
		peerhttp.Answer(ctx, a.Registry.List(kind))
		return
	}
	res, ok := a.Registry.Get(kind, name)
	if !ok {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, string(kind)+" "+name+" does not exist"))
		return
	}
	peerhttp.Answer(ctx, res)
}

func (a *API) change(ctx *fasthttp.RequestCtx, c wheelgauge.Change) {
	args := ctx.QueryArgs()
	c.ID = string(args.Peek("change"))
	if len(c.ID) > maxChangeID {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "change: expected 128 characters at most"))
		return
	}
	if text := string(args.Peek("expected")); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "expected: expected a generation"))
			return
		}
		c.Expected = &n
	}
	if c.Op == wheelgauge.OpPut && !json.Valid(c.Spec) {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "spec: expected a JSON object"))
		return
	}
	if args.GetBool("dry_run") {
		a.dryRun(ctx, c)
		return
	}
	a.propose(ctx, c)
}

func (a *API) dryRun(ctx *fasthttp.RequestCtx, c wheelgauge.Change) {
	if err := a.Registry.Check(c); err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	peerhttp.Answer(ctx, wheelgauge.ChangeResult{ID: c.ID, Generation: a.Registry.Generation()})
}

func (a *API) propose(ctx *fasthttp.RequestCtx, c wheelgauge.Change) {
	command, err := json.Marshal(c)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	limit, cancel := context.WithTimeout(a.Stop, changeTimeout)
	defer cancel()
	answer, err := a.Replica.Propose(limit, command)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	var result wheelgauge.ChangeResult
	if err := json.Unmarshal(answer, &result); err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	if result.Error != nil {
		peerhttp.AnswerError(ctx, result.Error)
		return
	}
	a.Meter.Count("changes")
	peerhttp.Answer(ctx, result)
}
