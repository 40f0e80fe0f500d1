package engine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/peerhttp"
)

const (
	defaultTokens = 16
	maxTokens     = 100_000
)

type completionRequest struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *completionRequest) text() string {
	if c.Prompt != "" {
		return c.Prompt
	}
	out := ""
	for _, m := range c.Messages {
		out += m.Content
	}
	return out
}

// completionResponse is a complete response or one chunk of a stream.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/chat/completions", "/v1/completions":
		e.handleCompletion(ctx)
	case "/v1/cancel":
		peerhttp.WriteJSON(ctx, map[string]bool{"cancelled": e.cancelSequence(string(ctx.QueryArgs().Peek("id")))})
	case "/v1/load":
		peerhttp.WriteJSON(ctx, e.report())
	case "/v1/cache-events":
		e.handleCacheEvents(ctx)
	case "/v1/orders":
		e.handleOrder(ctx)
	case "/v1/kv":
		e.handleKV(ctx)
	case "/v1/leave":
		e.Leave()
	case "/v1/back-off":
		e.BackOff(time.Duration(ctx.QueryArgs().GetUintOrZero("for_ms"))*time.Millisecond, string(ctx.QueryArgs().Peek("retry_after")))
	case "/v1/say-leaving":
		e.AnnounceLeaving()
	case "/v1/asked":
		peerhttp.WriteJSON(ctx, e.Received())
	case "/v1/slow":
		e.SetSlowdown(ctx.QueryArgs().GetUintOrZero("factor"))
	case "/v1/arrivals":
		peerhttp.WriteJSON(ctx, e.Arrivals())
	case "/v1/rejections":
		peerhttp.WriteJSON(ctx, e.Rejections())
	case "/v1/stats":
		peerhttp.WriteJSON(ctx, e.Stats())
	default:
		peerhttp.NotFound(ctx)
	}
}

func (e *Engine) handleCompletion(ctx *fasthttp.RequestCtx) {
	c, err := peerhttp.Decode[completionRequest](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	e.recordArrival()
	if e.o.RequestsPerSecond > 0 {
		ctx.Response.Header.Set(wheelgauge.HeaderLimit, strconv.FormatFloat(e.o.RequestsPerSecond, 'g', -1, 64))
	}
	if e.o.BearsRejections > 0 {
		ctx.Response.Header.Set(wheelgauge.HeaderBrittle, strconv.FormatFloat(e.o.BearsRejections, 'g', -1, 64))
	}
	n := c.MaxTokens
	if n <= 0 || n > maxTokens {
		n = defaultTokens
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Priority")))
	skip, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Resume-From")))
	id := string(ctx.Request.Header.Peek(wheelgauge.HeaderRequestID))
	if e.applyPushback(ctx, id) {
		return
	}
	s := e.submit(id, c.Model, c.text(), priority, skip, n)
	if s == nil {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "engine queue is full"))
		return
	}
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if c.Stream {
		e.respondStream(ctx, s, c.Model, chat)
		return
	}
	e.respondWhole(ctx, s, c.Model, chat)
}

func (e *Engine) respondWhole(ctx *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	defer e.remove(s)
	text, n := "", s.skip
	for token := range s.tokens {
		text += token
		n++
	}
	if n < s.total {
		// Aborted by a cancel or a stop: no response is better than a partial one.
		ctx.SetStatusCode(http.StatusInternalServerError)
		ctx.SetConnectionClose()
		return
	}
	a := completionResponse{ID: s.id, Object: "text_completion", Model: model, Choices: []choice{{Text: text, Finish: "length"}}}
	if chat {
		a.Object = "chat.completion"
		a.Choices = []choice{{Message: &message{"assistant", text}, Finish: "length"}}
	}
	peerhttp.WriteJSON(ctx, a)
}

// respondStream streams the tokens. The response header is sent with the first token.
func (e *Engine) respondStream(ctx *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	n := s.skip
	first, ok := <-s.tokens
	if !ok && n < s.total {
		e.remove(s)
		ctx.SetStatusCode(http.StatusInternalServerError)
		ctx.SetConnectionClose()
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.remove(s)
		for token := first; ok; token, ok = <-s.tokens {
			if !writeEvent(w, chunk(s.id, model, token, chat)) {
				return
			}
			n++
		}
		if n >= s.total {
			_, _ = w.WriteString("data: [DONE]\n\n") // the caller may have disconnected
		}
	})
}

func chunk(id, model, token string, chat bool) completionResponse {
	a := completionResponse{ID: id, Object: "text_completion", Model: model, Choices: []choice{{Text: token}}}
	if chat {
		a.Object = "chat.completion.chunk"
		a.Choices = []choice{{Delta: &message{Content: token}}}
	}
	return a
}

func writeEvent(w *bufio.Writer, a completionResponse) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
		return false
	}
	return w.Flush() == nil
}

func (e *Engine) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from := ctx.QueryArgs().GetUintOrZero("from")
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Number > uint64(from) && time.Since(ev.at) >= e.o.ReportLag {
			out = append(out, ev)
		}
	}
	peerhttp.WriteJSON(ctx, out)
}

// receivedOrder is an order that the engine accepted, with its time, for tests.
type receivedOrder struct {
	wheelgauge.Order
	AtMS int64 `json:"at_ms"`
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		e.mu.Lock()
		defer e.mu.Unlock()
		peerhttp.WriteJSON(ctx, e.orders)
		return
	}
	o, err := peerhttp.Decode[wheelgauge.Order](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	if !e.executeOrder(o) {
		peerhttp.WriteError(ctx, wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, "order has an older fencing token than a previous one"))
		return
	}
	peerhttp.WriteJSON(ctx, struct{}{})
}

// executeOrder executes an order, unless its fencing token is too old. A model is loaded in
// the background.
func (e *Engine) executeOrder(o wheelgauge.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.ChecksFences && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, receivedOrder{o, time.Now().UnixMilli()})
	name := wheelgauge.ModelName(o.Model, o.Version)
	if o.Action == wheelgauge.ActionUnload {
		delete(e.models, name)
		return true
	}
	if _, ordered := e.models[name]; !ordered {
		e.models[name] = time.Now().Add(e.o.LoadTime)
	}
	return true
}

// hasModel reports whether a version of a model is loaded. e.mu must be held.
func (e *Engine) hasModel(model string) bool {
	return slices.ContainsFunc(e.readyModels(), func(name string) bool { return strings.HasPrefix(name, model+"@") })
}

// readyModels returns the models that are loaded. e.mu must be held.
func (e *Engine) readyModels() []string {
	var out []string
	for name, at := range e.models {
		if time.Now().After(at) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// kvMessage lists cached prefix blocks for export and import.
type kvMessage struct {
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) handleKV(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsGet() {
		out := kvMessage{}
		for _, b := range blockHashes(string(ctx.QueryArgs().Peek("prompt"))) {
			if _, ok := e.cache.blocks[b]; !ok {
				break
			}
			out.Blocks = append(out.Blocks, b)
		}
		peerhttp.WriteJSON(ctx, out)
		return
	}
	in, err := peerhttp.Decode[kvMessage](ctx)
	if err != nil {
		peerhttp.WriteError(ctx, err)
		return
	}
	for _, b := range in.Blocks {
		if _, ok := e.cache.blocks[b]; !ok {
			e.cache.blocks[b] = e.cache.lru.PushFront(b)
		}
	}
	peerhttp.WriteJSON(ctx, struct{}{})
}
