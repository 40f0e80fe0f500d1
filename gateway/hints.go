package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/every"
)

const hintsInterval = 2 * time.Second

// hints polls the platform's host list, which lags behind and is only a hint.
type hints struct {
	list         wheelgauge.HostList
	log          logr.Logger
	mu           sync.RWMutex
	leavingHosts map[string]bool
	cancel       context.CancelFunc
	done         chan error
}

// startHints starts polling list; it may be nil.
func startHints(ctx context.Context, list wheelgauge.HostList, log logr.Logger) *hints {
	ctx, cancel := context.WithCancel(ctx)
	h := &hints{list: list, log: log, leavingHosts: map[string]bool{}, cancel: cancel, done: make(chan error, 1)}
	go func() { h.done <- h.run(ctx) }()
	return h
}

func (h *hints) close() error {
	h.cancel()
	return <-h.done
}

func (h *hints) run(ctx context.Context) error {
	if h.list == nil {
		return nil
	}
	h.read(ctx)
	return every.Interval(ctx, hintsInterval, h.read)
}

func (h *hints) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, hintsInterval)
	defer cancel()
	hints, err := h.list.Hosts(readCtx)
	if err != nil {
		h.log.V(1).Info("Cannot read the host list.", "cause", err.Error())
		return
	}
	leaving := map[string]bool{}
	for _, hint := range hints {
		leaving[hint.Host] = hint.Leaving
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leavingHosts = leaving
}

func (h *hints) leaving(host string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.leavingHosts[host]
}
