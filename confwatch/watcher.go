// Package confwatch follows the configuration at one gateway: it watches the stores and
// applies each newer generation. It never applies an older generation than the current one.
package confwatch

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/catalog"
	"wheelgauge/peerhttp"
)

const (
	// PathWatch is served by stores.
	PathWatch = "/v1/watch"
	// PathList is served by stores and by gateways.
	PathList = "/v1/resources"
	// PathGeneration is served by stores and by gateways; the response is that of a watch
	// without events.
	PathGeneration = "/v1/generation"

	cacheFile = "configuration.json"
	// firstStoreRetry is how long the watcher avoids its first store after a failure.
	firstStoreRetry   = 10 * time.Second
	retryDelay        = 200 * time.Millisecond
	maxStaleResponses = 5
	startupTimeout    = time.Second
	listTimeout       = 5 * time.Second
	// maxStartupPeers bounds how many gateways of the region are queried at start.
	maxStartupPeers = 3
)

var errDisconnected = errors.New("store is cut off from the other stores")

// Options configures a Watcher.
type Options struct {
	Host   string
	Region string
	// Peer addresses of the stores, the region's own first.
	Stores []string
	// Peer addresses of gateways of the region, whose configuration is queried at start.
	Peers []string
	// Directory of the cached configuration; empty on hosts without a disk.
	Dir string
	// How long a store may hold a watch without events, and how much later the watch times out.
	Wait   time.Duration
	Silent time.Duration
	Client *peerhttp.Client
	Log    logr.Logger
	// Called when the watcher leaves a store; for metrics.
	OnMove func()
}

// Watcher holds the current configuration and follows its changes.
type Watcher struct {
	options        Options
	current        atomic.Pointer[catalog.Catalog]
	mu             sync.Mutex
	resources      map[string]wheelgauge.Resource
	storeIndex     int
	firstStoreTime time.Time
	staleResponses int
	lastProgressMS atomic.Int64
	cancel         context.CancelFunc
	done           chan error
}

// Start loads the newest reachable configuration and follows it in the background.
func Start(ctx context.Context, options Options) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{options: options, resources: map[string]wheelgauge.Resource{}, cancel: cancel, done: make(chan error, 1)}
	go func() { w.done <- w.run(ctx) }()
	return w
}

// Close stops the watcher and waits for its goroutine.
func (w *Watcher) Close() error {
	w.cancel()
	return <-w.done
}

// Current returns the current configuration, or nil if there is none yet.
func (w *Watcher) Current() *catalog.Catalog { return w.current.Load() }

// LastProgress returns when a store that is connected to the other stores last responded.
func (w *Watcher) LastProgress() time.Time { return time.UnixMilli(w.lastProgressMS.Load()) }

func (w *Watcher) run(ctx context.Context) error {
	w.loadNewest(ctx)
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			w.switchStore(err)
			sleep(ctx, retryDelay)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// source is a store or gateway and the generation that it has.
type source struct {
	address    string
	generation uint64
}

// loadNewest queries the generations of all stores and a few peers and loads the newest
// list, so that a restart next to a lagging store does not return to an older generation.
// The cached file is used if none of them has a newer one.
func (w *Watcher) loadNewest(ctx context.Context) {
	best := w.readCache()
	for _, s := range w.sources(ctx) {
		if best != nil && s.generation <= best.Generation {
			break
		}
		if a := w.list(ctx, s.address); a != nil {
			best = a
			break
		}
	}
	if best != nil && best.Generation > 0 {
		w.replace(*best)
	}
}

// sources returns the stores and peers that respond, the newest generation first.
func (w *Watcher) sources(ctx context.Context) []source {
	peers := slices.Clone(w.options.Peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	addresses := slices.Concat(w.options.Stores, peers[:min(len(peers), maxStartupPeers)])
	limit, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	out := make([]source, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			var a wheelgauge.WatchAnswer
			if err := w.options.Client.Call(limit, http.MethodGet, address, PathGeneration, nil, &a); err == nil {
				out[i] = source{address, a.Generation}
			}
		})
	}
	group.Wait()
	out = slices.DeleteFunc(out, func(s source) bool { return s.generation == 0 })
	slices.SortStableFunc(out, func(a, b source) int { return cmp.Compare(b.generation, a.generation) })
	return out
}

func (w *Watcher) list(ctx context.Context, address string) *wheelgauge.ListAnswer {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var a wheelgauge.ListAnswer
	if err := w.options.Client.Call(ctx, http.MethodGet, address, PathList, nil, &a); err != nil {
		return nil
	}
	return &a
}

func (w *Watcher) readCache() *wheelgauge.ListAnswer {
	if w.options.Dir == "" {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(w.options.Dir, cacheFile))
	if err != nil {
		return nil
	}
	var a wheelgauge.ListAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		w.options.Log.Error(err, "Cached configuration cannot be decoded.")
		return nil
	}
	return &a
}

func (w *Watcher) generation() uint64 {
	if c := w.current.Load(); c != nil {
		return c.Generation()
	}
	return 0
}

// chooseStore returns the store to call next; the first one is retried after firstStoreRetry.
func (w *Watcher) chooseStore() string {
	if w.storeIndex != 0 && time.Since(w.firstStoreTime) > firstStoreRetry {
		w.storeIndex, w.firstStoreTime = 0, time.Now()
	}
	return w.options.Stores[w.storeIndex%len(w.options.Stores)]
}

func (w *Watcher) poll(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, w.options.Wait+w.options.Silent)
	defer cancel()
	address, from := w.chooseStore(), w.generation()
	query := url.Values{
		"from": {strconv.FormatUint(from, 10)}, "wait_ms": {strconv.FormatInt(w.options.Wait.Milliseconds(), 10)},
		"host": {w.options.Host}, "region": {w.options.Region},
	}
	var a wheelgauge.WatchAnswer
	err := w.options.Client.Call(limit, http.MethodGet, address, PathWatch+"?"+query.Encode(), nil, &a)
	if fault, ok := errors.AsType[*wheelgauge.Error](err); ok && fault.Reason() == wheelgauge.ReasonTooOld {
		return w.relist(limit, address)
	}
	if err != nil {
		return err
	}
	return w.handleResponse(a, from)
}

func (w *Watcher) relist(ctx context.Context, address string) error {
	var a wheelgauge.ListAnswer
	if err := w.options.Client.Call(ctx, http.MethodGet, address, PathList, nil, &a); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	w.replace(a)
	w.lastProgressMS.Store(time.Now().UnixMilli())
	return nil
}

func (w *Watcher) handleResponse(a wheelgauge.WatchAnswer, from uint64) error {
	if a.Generation < from {
		w.staleResponses++
		if w.staleResponses >= maxStaleResponses {
			w.staleResponses = 0
			return fmt.Errorf("store is at generation %d, behind the applied generation %d", a.Generation, from)
		}
		return nil
	}
	w.staleResponses = 0
	w.applyEvents(a.Events, from)
	if !a.InTouch {
		return errDisconnected
	}
	w.lastProgressMS.Store(time.Now().UnixMilli())
	return nil
}

func (w *Watcher) applyEvents(events []wheelgauge.Event, from uint64) {
	if len(events) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range events {
		if e.Generation <= from {
			continue
		}
		w.apply(e)
		from = e.Generation
	}
	w.publish(from)
}

func (w *Watcher) apply(e wheelgauge.Event) {
	id := string(e.Resource.Kind) + "/" + e.Resource.Name
	if e.Deleted {
		delete(w.resources, id)
		return
	}
	w.resources[id] = e.Resource
}

// replace applies a complete list, unless it is older than the current configuration.
func (w *Watcher) replace(a wheelgauge.ListAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Generation < w.generation() {
		return
	}
	clear(w.resources)
	for _, r := range a.Resources {
		w.apply(wheelgauge.Event{Resource: r})
	}
	w.publish(a.Generation)
}

func (w *Watcher) publish(generation uint64) {
	list := make([]wheelgauge.Resource, 0, len(w.resources))
	for _, r := range w.resources {
		list = append(list, r)
	}
	c := catalog.Build(generation, list)
	for _, fault := range c.Faults() {
		w.options.Log.Error(fault, "Resource cannot be decoded.")
	}
	w.current.Store(c)
	w.options.Log.Info("Configuration is applied.", "generation", generation, "resources", len(list))
	if err := w.writeCache(wheelgauge.ListAnswer{Generation: generation, Resources: list}); err != nil {
		w.options.Log.Error(err, "Configuration cannot be cached on disk.")
	}
}

func (w *Watcher) writeCache(a wheelgauge.ListAnswer) error {
	if w.options.Dir == "" {
		return nil
	}
	data, err := json.Marshal(a)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	if err := os.MkdirAll(w.options.Dir, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(w.options.Dir, cacheFile)
	if err := writeSynced(path+".new", data); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("rename configuration: %w", err)
	}
	return nil
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("create file: %w", err)
	}
	_, err = f.Write(data)
	return errors.Join(err, f.Sync(), f.Close())
}

// switchStore changes to the next store after the current one failed, timed out or lagged.
func (w *Watcher) switchStore(cause error) {
	from := w.options.Stores[w.storeIndex%len(w.options.Stores)]
	if w.storeIndex == 0 {
		w.firstStoreTime = time.Now()
	}
	w.storeIndex = (w.storeIndex + 1) % len(w.options.Stores)
	if len(w.options.Stores) > 1 {
		w.options.Log.Info("Watch moves to another store.", "from", from, "to", w.options.Stores[w.storeIndex], "cause", cause.Error())
	}
	if w.options.OnMove != nil {
		w.options.OnMove()
	}
}

// List returns the current configuration, for gateways that start.
func (w *Watcher) List() wheelgauge.ListAnswer {
	c := w.current.Load()
	if c == nil {
		return wheelgauge.ListAnswer{}
	}
	return wheelgauge.ListAnswer{Generation: c.Generation(), Resources: c.Resources()}
}
