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
	mostTokens    = 100_000
)

type completion struct {
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

func (c *completion) text() string {
	if c.Prompt != "" {
		return c.Prompt
	}
	out := ""
	for _, m := range c.Messages {
		out += m.Content
	}
	return out
}

// answerMessage is a whole answer or one chunk of a stream.
type answerMessage struct {
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
		e.complete(ctx)
	case "/v1/cancel":
		peerhttp.Answer(ctx, map[string]bool{"cancelled": e.cancelSequence(string(ctx.QueryArgs().Peek("id")))})
	case "/v1/load":
		peerhttp.Answer(ctx, e.report())
	case "/v1/cache-events":
		e.cacheEvents(ctx)
	case "/v1/orders":
		e.order(ctx)
	case "/v1/kv":
		e.kv(ctx)
	case "/v1/leave":
		e.Leave()
	case "/v1/back-off":
		e.BackOff(time.Duration(ctx.QueryArgs().GetUintOrZero("for_ms"))*time.Millisecond, string(ctx.QueryArgs().Peek("retry_after")))
	case "/v1/say-leaving":
		e.SayLeaving()
	case "/v1/asked":
		peerhttp.Answer(ctx, e.Asked())
	case "/v1/slow":
		e.Slow(ctx.QueryArgs().GetUintOrZero("factor"))
	case "/v1/arrivals":
		peerhttp.Answer(ctx, e.Arrivals())
	case "/v1/stats":
		peerhttp.Answer(ctx, e.Stats())
	default:
		peerhttp.NotFound(ctx)
	}
}

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	c, err := peerhttp.Decode[completion](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	e.arrived()
	if e.o.Limit > 0 {
		ctx.Response.Header.Set(wheelgauge.HeaderLimit, strconv.FormatFloat(e.o.Limit, 'g', -1, 64))
	}
	n := c.MaxTokens
	if n <= 0 || n > mostTokens {
		n = defaultTokens
	}
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Priority")))
	skip, _ := strconv.Atoi(string(ctx.Request.Header.Peek("X-Resume-From")))
	id := string(ctx.Request.Header.Peek(wheelgauge.HeaderRequestID))
	if e.ask(ctx, id) {
		return
	}
	s := e.submit(id, c.Model, c.text(), priority, skip, n)
	if s == nil {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonOverloaded, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "the queue is full"))
		return
	}
	chat := string(ctx.Path()) == "/v1/chat/completions"
	if c.Stream {
		e.stream(ctx, s, c.Model, chat)
		return
	}
	e.whole(ctx, s, c.Model, chat)
}

func (e *Engine) whole(ctx *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	defer e.forget(s)
	text, n := "", s.skip
	for token := range s.tokens {
		text += token
		n++
	}
	if n < s.total {
		// Cut by a cancel or a stop: no answer at all is better than half of one.
		ctx.SetStatusCode(http.StatusInternalServerError)
		ctx.SetConnectionClose()
		return
	}
	a := answerMessage{ID: s.id, Object: "text_completion", Model: model, Choices: []choice{{Text: text, Finish: "length"}}}
	if chat {
		a.Object = "chat.completion"
		a.Choices = []choice{{Message: &message{"assistant", text}, Finish: "length"}}
	}
	peerhttp.Answer(ctx, a)
}

// stream sends the head of the answer with the first token.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, s *sequence, model string, chat bool) {
	n := s.skip
	first, ok := <-s.tokens
	if !ok && n < s.total {
		e.forget(s)
		ctx.SetStatusCode(http.StatusInternalServerError)
		ctx.SetConnectionClose()
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.forget(s)
		for token := first; ok; token, ok = <-s.tokens {
			if !writeEvent(w, chunk(s.id, model, token, chat)) {
				return
			}
			n++
		}
		if n >= s.total {
			_, _ = w.WriteString("data: [DONE]\n\n") // a caller that left is not told
		}
	})
}

func chunk(id, model, token string, chat bool) answerMessage {
	a := answerMessage{ID: id, Object: "text_completion", Model: model, Choices: []choice{{Text: token}}}
	if chat {
		a.Object = "chat.completion.chunk"
		a.Choices = []choice{{Delta: &message{Content: token}}}
	}
	return a
}

func writeEvent(w *bufio.Writer, a answerMessage) bool {
	body, err := json.Marshal(a)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
		return false
	}
	return w.Flush() == nil
}

func (e *Engine) cacheEvents(ctx *fasthttp.RequestCtx) {
	from := ctx.QueryArgs().GetUintOrZero("from")
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []cacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Number > uint64(from) && time.Since(ev.at) >= e.o.ReportLag {
			out = append(out, ev)
		}
	}
	peerhttp.Answer(ctx, out)
}

// taken is an order that the engine took, for tests.
type taken struct {
	wheelgauge.Order
	AtMS int64 `json:"at_ms"`
}

func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		e.mu.Lock()
		defer e.mu.Unlock()
		peerhttp.Answer(ctx, e.taken)
		return
	}
	o, err := peerhttp.Decode[wheelgauge.Order](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	if !e.take(o) {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict, "an order with a later fence came before"))
		return
	}
	peerhttp.Answer(ctx, struct{}{})
}

// take carries an order out; loading takes its time in the background.
func (e *Engine) take(o wheelgauge.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.ChecksFences && o.Fence < e.fence {
		return false
	}
	e.fence = max(e.fence, o.Fence)
	e.taken = append(e.taken, taken{o, time.Now().UnixMilli()})
	name := wheelgauge.ModelName(o.Model, o.Version)
	if o.Action == wheelgauge.ActionUnload {
		delete(e.models, name)
		return true
	}
	if _, loading := e.models[name]; !loading {
		e.models[name] = time.Now().Add(e.o.LoadTime)
	}
	return true
}

// holds tells whether a version of a model is loaded. e.mu is held.
func (e *Engine) holds(model string) bool {
	return slices.ContainsFunc(e.ready(), func(name string) bool { return strings.HasPrefix(name, model+"@") })
}

// ready returns the models that are loaded. e.mu is held.
func (e *Engine) ready() []string {
	var out []string
	for name, at := range e.models {
		if time.Now().After(at) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// kvMessage carries the blocks of cached prefixes.
type kvMessage struct {
	Blocks []uint64 `json:"blocks"`
}

func (e *Engine) kv(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.IsGet() {
		out := kvMessage{}
		for _, b := range chain(string(ctx.QueryArgs().Peek("prompt"))) {
			if _, ok := e.cache.blocks[b]; !ok {
				break
			}
			out.Blocks = append(out.Blocks, b)
		}
		peerhttp.Answer(ctx, out)
		return
	}
	in, err := peerhttp.Decode[kvMessage](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	for _, b := range in.Blocks {
		if _, ok := e.cache.blocks[b]; !ok {
			e.cache.blocks[b] = e.cache.order.PushFront(b)
		}
	}
	peerhttp.Answer(ctx, struct{}{})
}
