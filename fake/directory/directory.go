// Package directory is a fake of the client directory.
package directory

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"

	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/httpserve"
	"wheelgauge/peerhttp"
)

// Client is one entry of the directory.
type Client struct {
	Credential string `json:"credential"`
	wheelgauge.Identity
}

// Directory is a running fake directory.
type Directory struct {
	mu      sync.RWMutex
	clients map[string]wheelgauge.Identity
	server  *httpserve.Server
}

type lookupRequest struct {
	Credential string `json:"credential"`
}

// Start serves the clients at address.
func Start(_ context.Context, address string, clients []Client) (*Directory, error) {
	d := &Directory{clients: map[string]wheelgauge.Identity{}}
	for _, c := range clients {
		d.clients[c.Credential] = c.Identity
	}
	server, err := httpserve.Listen(address, d.handle, httpserve.Options{})
	if err != nil {
		return nil, fmt.Errorf("start directory: %w", err)
	}
	d.server = server
	return d, nil
}

// Read reads clients from a JSON file.
func Read(path string) ([]Client, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read clients: %w", err)
	}
	var out []Client
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, fmt.Errorf("decode clients: %w", err)
	}
	return out, nil
}

// Address returns the address that the directory listens at.
func (d *Directory) Address() string { return d.server.Address() }

// Close stops the directory.
func (d *Directory) Close(ctx context.Context) error { return d.server.Close(ctx) }

func (d *Directory) handle(ctx *fasthttp.RequestCtx) {
	q, err := peerhttp.Decode[lookupRequest](ctx)
	if err != nil {
		peerhttp.AnswerError(ctx, err)
		return
	}
	d.mu.RLock()
	id, ok := d.clients[q.Credential]
	d.mu.RUnlock()
	if !ok {
		peerhttp.AnswerError(ctx, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no such client"))
		return
	}
	peerhttp.Answer(ctx, id)
}
