package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"wheelgauge"
)

// chatRequest returns a request for a chat of the given messages.
func chatRequest(t *testing.T, g *Gateway, messages ...string) *request {
	t.Helper()
	type message struct {
		Content string `json:"content"`
	}
	body := struct {
		Model    string    `json:"model"`
		Messages []message `json:"messages"`
	}{Model: "m"}
	for _, m := range messages {
		body.Messages = append(body.Messages, message{m})
	}
	rq := newTestRequest(testCatalogAt(1, "127.0.0.1:1"), 1)
	rq.target.Store(&target{region: "r0", server: "e0"})
	var err error
	if rq.call.Body, err = json.Marshal(body); err != nil {
		t.Fatal(err)
	}
	if err := g.findModelRoute(rq); err != nil {
		t.Fatal(err)
	}
	return rq
}

func TestChatsWithAMessageThatCrashesServersAreRefused(t *testing.T) {
	g, clock := newSendingGateway(t)
	for n := range 4 {
		clock.Suspend(time.Second)
		rq := chatRequest(t, g, "you help at the desk", "the bad document", fmt.Sprint("question ", n))
		crash := wheelgauge.Crash{Fingerprint: rq.fingerprint(), Server: fmt.Sprint(n)}
		g.quarantine.RecordCrash(crash, rq.parts...)
		g.noteSuccess(chatRequest(t, g, "you help at the desk", fmt.Sprint("another question ", n)))
	}
	tests := []struct {
		name     string
		messages []string
		held     bool
	}{
		{"the document and another question", []string{"you help at the desk", "the bad document", "why?"}, true},
		{"the document alone before a question", []string{"the bad document", "why?"}, true},
		{"another document", []string{"you help at the desk", "a good document", "why?"}, false},
		{"its text as the question", []string{"you help at the desk", "the bad document"}, false},
		{"a question", []string{"why?"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := g.checkQuarantine(chatRequest(t, g, tt.messages...)); (err != nil) != tt.held {
				t.Errorf("got %v, want held: %v", err, tt.held)
			}
		})
	}
}
