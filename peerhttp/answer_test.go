package peerhttp

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wheelgauge"
)

func TestServe(t *testing.T) {
	length := func(s string) (int, error) {
		if s == "" {
			return 0, errors.New("nothing to count")
		}
		return len(s), nil
	}
	tests := []struct {
		name, body string
		status     int
		answer     string
	}{
		{"run", `"four"`, http.StatusOK, "4"},
		{"not the JSON expected", `{`, http.StatusBadRequest, string(wheelgauge.ReasonBadRequest)},
		{"an error of the call", `""`, http.StatusInternalServerError, "nothing to count"},
	}
	for _, tt := range tests {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetBodyString(tt.body)
		Serve(&ctx, length)
		if got := string(ctx.Response.Body()); ctx.Response.StatusCode() != tt.status || !strings.Contains(got, tt.answer) {
			t.Errorf("%s: got %d %s, want %d with %s", tt.name, ctx.Response.StatusCode(), got, tt.status, tt.answer)
		}
	}
}
