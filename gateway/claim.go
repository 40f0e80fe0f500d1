package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

const (
	pathClaims     = "/v1/claims"
	claimTimeout   = 2 * time.Second
	releaseTimeout = 500 * time.Millisecond
	recordTimeout  = 2 * time.Second
)

// heldClaim is a claim and the address of the store that keeps it.
type heldClaim struct {
	wheelgauge.Claim
	store string
}

// claim asks the client's home region for the right to run a call that is not
// repeatable and carries a key. It returns nil where no claim is needed, a
// claim in state new when it was granted, or in state done with the answer.
func (g *Gateway) claim(rq *request) (*heldClaim, error) {
	if !rq.notRepeatable || rq.call.IdempotencyKey == "" || rq.forwarded {
		return nil, nil
	}
	region := rq.homeRegion()
	address := rq.catalog.ClaimStore(region)
	if address == "" {
		return nil, claimStoreError("the client's home region has no claim store")
	}
	if region != g.options.Region && g.node.RegionUnreachable(region) {
		return nil, claimStoreError("the client's home region is unreachable")
	}
	c := wheelgauge.Claim{Client: rq.identity.Client, Key: rq.call.IdempotencyKey, Digest: requestDigest(rq), Holder: rq.call.ID, State: wheelgauge.ClaimNew}
	got, err := g.requestClaim(address, c)
	if err != nil {
		return nil, g.claimFailed(address, c, err)
	}
	switch got.State {
	case wheelgauge.ClaimNew, wheelgauge.ClaimDone:
		g.meter.Count("claims." + string(got.State))
		return &heldClaim{got, address}, nil
	case wheelgauge.ClaimLost:
		return nil, claimHeldError("the key is too old, or was made before the claim store's disk was replaced: it is unknown whether the request ran")
	default:
		return nil, claimHeldError("an earlier request with this key was dispatched and its outcome is not recorded").WithRetryAfter(time.Second)
	}
}

func claimHeldError(detail string) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonClaimHeld, wheelgauge.OutcomeUnknown, http.StatusConflict, detail)
}

func claimStoreError(detail string) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonClaimStore, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, detail).WithRetryAfter(time.Second)
}

// claimFailed returns the error for a request whose claim was not granted. This
// attempt did not run; a claim that may have been taken for it is released.
func (g *Gateway) claimFailed(address string, c wheelgauge.Claim, err error) error {
	if fault, ok := errors.AsType[*wheelgauge.Error](err); ok {
		return fault.WithOutcome(wheelgauge.OutcomeNotRun)
	}
	if !peerhttp.NotSent(err) {
		c.State = wheelgauge.ClaimReleased
		if _, err := g.postClaim(g.client.CallNewConn, address, c, releaseTimeout); err != nil {
			g.meter.Count("claims.not_given_back")
		}
	}
	return claimStoreError("cannot reach the claim store of the client's home region")
}

// requestClaim requests a claim. That the store has closed a pooled connection shows only
// when the connection is used, and a holder may request its claim again, so a second attempt
// on a fresh connection follows at once.
func (g *Gateway) requestClaim(address string, c wheelgauge.Claim) (wheelgauge.Claim, error) {
	started := time.Now()
	got, err := g.postClaim(g.client.Call, address, c, claimTimeout)
	if _, refused := errors.AsType[*wheelgauge.Error](err); err == nil || refused || time.Since(started) > claimTimeout/2 {
		return got, err
	}
	return g.postClaim(g.client.CallNewConn, address, c, claimTimeout/2)
}

// callFunc calls a peer, on a pooled or a fresh connection.
type callFunc func(ctx context.Context, method, address, path string, in, out any) error

func (g *Gateway) postClaim(call callFunc, address string, c wheelgauge.Claim, limit time.Duration) (wheelgauge.Claim, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.ctx), limit)
	defer cancel()
	var got wheelgauge.Claim
	if err := call(ctx, http.MethodPost, address, pathClaims, c, &got); err != nil {
		return got, fmt.Errorf("claim: %w", err)
	}
	return got, nil
}

func requestDigest(rq *request) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s\n%s", rq.call.Method, rq.call.Path, rq.call.Body))
	return hex.EncodeToString(sum[:])
}

// releaseClaim releases a claim if cause proves that the request did not run.
func (g *Gateway) releaseClaim(c *heldClaim, cause error) {
	if c == nil || !hasOutcome(cause, wheelgauge.OutcomeNotRun) {
		return
	}
	g.endClaim(c, wheelgauge.Claim{State: wheelgauge.ClaimReleased})
}

// recordAnswer stores the answer for retries with the same key.
func (g *Gateway) recordAnswer(c *heldClaim, answer *wheelgauge.Response, body []byte) {
	if c == nil {
		return
	}
	g.endClaim(c, wheelgauge.Claim{State: wheelgauge.ClaimDone, Status: answer.Status, ContentType: answer.ContentType, Body: body})
}

// leaveUnrecorded leaves the outcome of a claim unknown, as that of an answer which may have been
// broken off: retries with its key must not get a part as the answer.
func (g *Gateway) leaveUnrecorded(c *heldClaim) {
	if c == nil {
		return
	}
	g.meter.Count("claims.not_recorded")
	g.options.Log.Info("Claim outcome is not recorded, as its answer has no marked end; retries with this key get an unknown outcome.", "id", c.Holder)
}

func (g *Gateway) endClaim(c *heldClaim, ended wheelgauge.Claim) {
	ended.Client, ended.Key, ended.Digest, ended.Holder = c.Client, c.Key, c.Digest, c.Holder
	if _, err := g.postClaim(g.client.CallNewConn, c.store, ended, recordTimeout); err != nil {
		g.meter.Count("claims.not_recorded")
		g.options.Log.Error(err, "Claim outcome is not recorded; retries with this key get an unknown outcome.")
	}
}

// replayRecorded answers a retry with the recorded answer.
func (g *Gateway) replayRecorded(ctx *fasthttp.RequestCtx, rq *request, c *heldClaim) {
	h := &ctx.Response.Header
	h.Set(wheelgauge.HeaderRequestID, rq.call.ID)
	h.Set(wheelgauge.HeaderOutcome, string(wheelgauge.OutcomeRan))
	h.Set(wheelgauge.HeaderServedBy, "record")
	ctx.SetStatusCode(c.Status)
	ctx.SetContentType(c.ContentType)
	ctx.SetBody(c.Body)
	g.observeAnswer(rq)
	g.serving.Leave()
}
