package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/fingerprint"
)

const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathService     = "/s/"
	pathEntry       = "/v1/entry"
	pathForward     = "/peer/forward"
	pathCancel      = "/peer/cancel"

	bearerPrefix  = "Bearer "
	defaultTokens = 256
	// discardFactor bounds how much of a refused body is read, in multiples of the largest
	// body allowed.
	discardFactor = 4
)

// request is the state of one request in the gateway.
type request struct {
	call          wheelgauge.Call
	identity      wheelgauge.Identity
	class         wheelgauge.ClientClassSpec
	catalog       *catalog.Catalog
	route         *catalog.Route
	model         string
	stream        bool
	tokens        int
	prefix        uint64
	notRepeatable bool
	forwarded     bool
	// senderRoute is the digest of the route by which the forwarding gateway admitted the request;
	// 0 if it did not say.
	senderRoute uint64
	mustAccept  bool // forwarded because its own region cannot serve it; may queue here
	started     time.Time
	// suspendedAtStart is Gateway.suspended at the time the request arrived.
	suspendedAtStart time.Duration
	// callerGone reports whether the caller has left; nil means that it has not.
	callerGone func() bool
	cancelled  atomic.Bool
	// mayHaveRun is set after an attempt that failed without proof that it did not run.
	mayHaveRun bool
	// cachedFingerprint is set by the first call of fingerprint.
	cachedFingerprint wheelgauge.Fingerprint
	// parts identify the messages of a chat that other requests may hold too: all but the last.
	parts []wheelgauge.Fingerprint
	// began is the version of the server that sent the first token of a stream which is resumed;
	// nil before.
	began *string
	// target is the server that answers; a resumed stream may change it while it is read.
	target atomic.Pointer[target]
}

// target names a backend server and its region.
type target struct {
	server string
	region string
	host   string // the peer that a request was forwarded to
	// version is that of the server, nil if it is not known.
	version *string
}

// completionRequest holds the fields of a completion request that the gateway reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func badRequest(detail string) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusBadRequest, detail)
}

// newID returns a request ID that is unique among all gateways.
func (g *Gateway) newID() string {
	return fmt.Sprintf("%s-%x-%x", g.options.Host, g.boot, g.sequence.Add(1))
}

// readCallerRequest reads the headers of a caller's request. Headers that only peers may
// set are ignored.
func (g *Gateway) readCallerRequest(ctx *fasthttp.RequestCtx) (*request, error) {
	rq := &request{started: time.Now(), suspendedAtStart: g.suspended()}
	rq.target.Store(&target{region: g.options.Region})
	rq.call.ID = g.newID()
	rq.call.Method = string(ctx.Method())
	rq.call.Path = string(ctx.RequestURI())
	rq.call.ContentType = string(ctx.Request.Header.ContentType())
	rq.call.IdempotencyKey = string(ctx.Request.Header.Peek(wheelgauge.HeaderIdempotencyKey))
	rq.notRepeatable = len(ctx.Request.Header.Peek(wheelgauge.HeaderNotRepeatable)) > 0
	if err := g.identify(&ctx.Request.Header, rq); err != nil {
		return rq, err
	}
	rq.class, _ = rq.catalog.Class(rq.identity.Class)
	rq.call.Priority = rq.class.Priority
	limit, err := parseDeadline(&ctx.Request.Header, g.classDeadline(rq))
	rq.call.Deadline = rq.started.Add(limit)
	return rq, err
}

// classDeadline returns the time of a request whose caller gives it none.
func (g *Gateway) classDeadline(rq *request) time.Duration {
	class, _ := rq.catalog.Class(rq.identity.Class)
	if class.DeadlineMS > 0 {
		return time.Duration(class.DeadlineMS) * time.Millisecond
	}
	return g.options.DefaultDeadline
}

func parseDeadline(h *fasthttp.RequestHeader, fallback time.Duration) (time.Duration, error) {
	text := string(h.Peek(wheelgauge.HeaderDeadlineMS))
	if text == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return fallback, badRequest(wheelgauge.HeaderDeadlineMS + " must be a number of milliseconds above 0")
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, nil
}

// identify looks up the caller and checks whether this region may serve it, from the
// headers alone.
func (g *Gateway) identify(h *fasthttp.RequestHeader, rq *request) error {
	c, err := g.currentCatalog()
	if err != nil {
		return err
	}
	rq.catalog = c
	credential := strings.TrimPrefix(string(h.Peek("Authorization")), bearerPrefix)
	rq.identity, err = g.options.Directory.Lookup(g.ctx, credential)
	if err != nil {
		return err
	}
	return g.checkResidency(rq)
}

func (g *Gateway) checkResidency(rq *request) error {
	if rq.catalog.Allows(rq.identity, g.options.Region) {
		return nil
	}
	return wheelgauge.NewError(wheelgauge.ReasonResidency, wheelgauge.OutcomeNotRun, http.StatusMisdirectedRequest,
		"this client's data may not be processed in "+g.options.Region).WithEntries(g.entries(rq))
}

// findRoute finds the route by path or by the model in the body. Bodies are read
// only after the residency check.
func (g *Gateway) findRoute(rq *request) error {
	path, _, _ := strings.Cut(rq.call.Path, "?")
	if path == pathChat || path == pathCompletions {
		return g.findModelRoute(rq)
	}
	if !strings.HasPrefix(path, pathService) {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no such path: "+path)
	}
	servicePath := strings.TrimPrefix(path, pathService)
	rq.route = rq.catalog.RouteForPath(servicePath)
	if rq.route == nil {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no route for "+servicePath)
	}
	rq.call.Path = "/" + strings.TrimPrefix(rq.call.Path, pathService)
	rq.notRepeatable = rq.notRepeatable || rq.route.NotRepeatable
	return nil
}

func (g *Gateway) findModelRoute(rq *request) error {
	var p completionRequest
	if err := json.Unmarshal(rq.call.Body, &p); err != nil {
		return badRequest("cannot decode the JSON body: " + err.Error())
	}
	rq.route = rq.catalog.RouteForModel(p.Model)
	if rq.route == nil {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, fmt.Sprintf("no route for model %q", p.Model))
	}
	rq.model, _, _ = strings.Cut(p.Model, ":")
	rq.stream, rq.tokens = p.Stream, p.MaxTokens
	if rq.tokens <= 0 {
		rq.tokens = defaultTokens
	}
	rq.prefix = g.prefixHash(p)
	rq.parts = messageParts(rq.model, p)
	rq.notRepeatable = rq.notRepeatable || rq.route.NotRepeatable
	return nil
}

// messageParts identifies the messages of a chat but for the last, from the first.
func messageParts(model string, p completionRequest) []wheelgauge.Fingerprint {
	count := min(maxJudgedParts, len(p.Messages)-1)
	if count <= 0 {
		return nil
	}
	parts := make([]wheelgauge.Fingerprint, 0, count)
	for _, m := range p.Messages[:count] {
		parts = append(parts, fingerprint.OfPart(model, xxhash.Sum64(m.Content)))
	}
	return parts
}

// prefixHash hashes the model and the first bytes of the prompt, which requests must
// have in common to share an engine's cache.
func (g *Gateway) prefixHash(p completionRequest) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(p.Model) // never fails
	remaining := g.options.AffinityBytes
	hashText := func(text []byte) {
		n := min(remaining, len(text))
		_, _ = d.Write(text[:n])
		remaining -= n
	}
	hashText(p.Prompt)
	for i := range p.Messages {
		hashText(p.Messages[i].Content)
	}
	return d.Sum64()
}

// readBody reads the body, up to the limit.
func (g *Gateway) readBody(ctx *fasthttp.RequestCtx, rq *request) error {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		rq.call.Body = append([]byte(nil), ctx.PostBody()...)
		return nil
	}
	if ctx.Request.Header.ContentLength() > g.options.MaxBodyBytes {
		g.discard(stream)
		return g.bodyTooLarge()
	}
	body, err := io.ReadAll(io.LimitReader(stream, int64(g.options.MaxBodyBytes)+1))
	if err != nil {
		return wheelgauge.NewError(wheelgauge.ReasonBadRequest, wheelgauge.OutcomeNotRun, http.StatusRequestTimeout, "the body was not received completely: "+err.Error())
	}
	if len(body) > g.options.MaxBodyBytes {
		g.discard(stream)
		return g.bodyTooLarge()
	}
	rq.call.Body = body
	return nil
}

// discard reads more of a refused body, because a connection closed with unread bytes
// is reset and its answer lost.
func (g *Gateway) discard(stream io.Reader) {
	_, _ = io.CopyN(io.Discard, stream, int64(g.options.MaxBodyBytes)*discardFactor) // the content is not used
}

func (g *Gateway) bodyTooLarge() *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonTooLarge, wheelgauge.OutcomeNotRun, http.StatusRequestEntityTooLarge,
		fmt.Sprintf("the body is larger than %d bytes", g.options.MaxBodyBytes))
}

// hasOutcome reports whether err is a *wheelgauge.Error with that outcome.
func hasOutcome(err error, outcome wheelgauge.Outcome) bool {
	fault, ok := errors.AsType[*wheelgauge.Error](err)
	return ok && fault.Outcome() == outcome
}
