// Package storeapi implements the HTTP API of a store for operators, gateways and other stores.
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
	"wheelgauge/appliedgen"
	"wheelgauge/claims"
	"wheelgauge/confwatch"
	"wheelgauge/membership"
	"wheelgauge/meter"
	"wheelgauge/operatorauth"
	"wheelgauge/ordercheck"
	"wheelgauge/peerhttp"
	"wheelgauge/pendingrules"
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
	maxWait       = 30 * time.Second
	maxEvents     = 512
	maxChangeID   = 128
)

// API serves the two listeners of a store.
type API struct {
	Registry *registry.Registry
	Replica  *replica.Replica
	// Orders carries out orders about stores.
	Orders             *ordercheck.Runner
	Claims             *claims.Table
	AppliedGenerations *appliedgen.Table
	Acceptor           *pendingrules.Acceptor
	Hub                *membership.Hub
	Tokens             *operatorauth.Authenticator
	Meter              *meter.Meter
	// Context ends when the store stops. It bounds calls that wait, watches among them.
	Context context.Context
}

// Status is the response to GET /v1/status.
type Status struct {
	Replica         replica.Status                 `json:"replica"`
	Generation      uint64                         `json:"generation"`
	Stores          []pendingrules.StoreReport     `json:"stores"`
	HostGenerations []wheelgauge.AppliedGeneration `json:"hosts"`
	LiveHosts       []wheelgauge.HostStatus        `json:"live"`
	Pending         []Pending                      `json:"pending,omitempty"`
	Claims          int                            `json:"claims"`
}

// Pending is a residency rule that is accepted once the waiting hosts and stores have it.
type Pending struct {
	Rule       string   `json:"rule"`
	Generation uint64   `json:"generation"`
	Waiting    []string `json:"waiting"`
}

// ServeOperator handles requests on the operators' listener.
func (a *API) ServeOperator(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathReady {
		a.ready(ctx)
		return
	}
	write := !ctx.IsGet()
	operator, err := a.Tokens.Authorize(string(ctx.Request.Header.Peek("Authorization")), write)
	if err != nil {
		peerhttp.WriteError(ctx, err)
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
		a.resources(ctx, strings.Trim(strings.TrimPrefix(path, resourcePath), "/"), operator)
	case strings.HasPrefix(path, PathStores) && ctx.IsDelete():
		a.removeStore(ctx, strings.TrimPrefix(path, PathStores))
	default:
		peerhttp.NotFound(ctx)
	}
}

// ServePeer handles requests of hosts and other stores.
func (a *API) ServePeer(ctx *fasthttp.RequestCtx) {
	if a.Replica.Handle(ctx) {
		return
	}
	switch string(ctx.Path()) {
	case confwatch.PathWatch:
		a.watch(ctx)
	case confwatch.PathList:
		peerhttp.WriteJSON(ctx, a.Registry.List(""))
	case confwatch.PathGeneration:
		peerhttp.WriteJSON(ctx, wheelgauge.WatchResponse{Generation: a.Registry.Generation(), Connected: a.Replica.LeaderAddress() != ""})
	case pendingrules.PathReport:
		peerhttp.WriteJSON(ctx, a.Acceptor.OwnReport())
	case PathClaims:
		a.claim(ctx)
	case membership.PathHeartbeat:
		peerhttp.Serve(ctx, peerhttp.NoError(a.Hub.Heartbeat))
	case permitclient.Path:
		peerhttp.Serve(ctx, peerhttp.NoError(a.Hub.Permit))
	case membership.PathSummary:
		peerhttp.Serve(ctx, peerhttp.NoError(a.Hub.Exchange))
	default:
		peerhttp.NotFound(ctx)
	}
}

func (a *API) ready(ctx *fasthttp.RequestCtx) {
	if a.Replica.LeaderAddress() == "" {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonNoLeader, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no leader is known"))
		return
	}
	peerhttp.WriteJSON(ctx, struct{}{})
}

func (a *API) claim(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(a.Context, changeTimeout)
	defer cancel()
	peerhttp.Serve(ctx, func(c wheelgauge.Claim) (wheelgauge.Claim, error) {
		a.Meter.Count("claims." + string(c.State))
		return a.Claims.Take(callCtx, c)
	})
}

func (a *API) status(ctx *fasthttp.RequestCtx) {
	reports := a.Acceptor.Reports(a.Context)
	generation := a.Registry.Generation() // first, so that the members are not older
	s := Status{
		Replica: a.Replica.Status(), Generation: generation, Stores: reports,
		HostGenerations: pendingrules.MergeHosts(reports), LiveHosts: a.Hub.Hosts(), Claims: a.Claims.Len(),
	}
	for i := range s.Stores {
		s.Stores[i].Hosts = nil
	}
	for _, r := range a.Registry.PendingRules() {
		s.Pending = append(s.Pending, Pending{r.Name, r.PendingGeneration, a.Acceptor.Lagging(r.PendingGeneration, reports)})
	}
	peerhttp.WriteJSON(ctx, s)
}

func (a *API) removeStore(ctx *fasthttp.RequestCtx, name string) {
	callCtx, cancel := context.WithTimeout(a.Context, changeTimeout)
	defer cancel()
	err := a.Orders.Run(callCtx, peerhttp.NewSender(ctx, 0), func(_ context.Context, since uint64) (ordercheck.Propose, error) {
		return func(ctx context.Context) (bool, error) { return a.Replica.Remove(ctx, name, since) }, nil
	})
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteJSON(ctx, struct{}{})
}

// resources handles list, get, put and delete of resources. rest is the path after the
// prefix: empty, a kind, or a kind and a name.
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
	callCtx, cancel := context.WithTimeout(a.Context, changeTimeout)
	defer cancel()
	if !ctx.QueryArgs().GetBool("stale") {
		if err := a.Replica.ReadBarrier(callCtx); err != nil {
			peerhttp.WriteError(ctx, err)
			return
		}
	}
	if !named {
		peerhttp.WriteJSON(ctx, a.Registry.List(kind))
		return
	}
	res, ok := a.Registry.Get(kind, name)
	if !ok {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, string(kind)+" "+name+" does not exist"))
		return
	}
	peerhttp.WriteJSON(ctx, res)
}

func (a *API) change(ctx *fasthttp.RequestCtx, c wheelgauge.Change) {
	args := ctx.QueryArgs()
	c.ID = string(args.Peek("change"))
	if len(c.ID) > maxChangeID {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "change: expected at most 128 characters"))
		return
	}
	if text := string(args.Peek("expected")); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "expected: expected a generation"))
			return
		}
		c.ExpectedGeneration = &n
	}
	if c.Op == wheelgauge.OpPut && !json.Valid(c.Spec) {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, "spec: expected a JSON object"))
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
		peerhttp.WriteError(ctx, err)
		return
	}
	peerhttp.WriteJSON(ctx, wheelgauge.ChangeResult{ID: c.ID, Generation: a.Registry.Generation()})
}

func (a *API) propose(ctx *fasthttp.RequestCtx, c wheelgauge.Change) {
	command, err := json.Marshal(c)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	callCtx, cancel := context.WithTimeout(a.Context, changeTimeout)
	defer cancel()
	reply, err := a.Replica.Propose(callCtx, command)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	var result wheelgauge.ChangeResult
	if err := json.Unmarshal(reply, &result); err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	if result.Error != nil {
		peerhttp.WriteError(ctx, result.Error)
		return
	}
	a.Meter.Count("changes")
	peerhttp.WriteJSON(ctx, result)
}
