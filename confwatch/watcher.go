// Package confwatch keeps the configuration in force at one gateway. It never
// applies an older generation than the one in force.
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
	// PathWatch is answered by stores.
	PathWatch = "/v1/watch"
	// PathList is answered by stores and by gateways.
	PathList = "/v1/resources"
	// PathGeneration is answered by stores and by gateways, with a WatchAnswer
	// without events.
	PathGeneration = "/v1/generation"

	cacheName = "configuration.json"
	// returnHome is how long the watcher stays away from its first store after it failed.
	returnHome  = 10 * time.Second
	retryPause  = 200 * time.Millisecond
	maxBehind   = 5
	firstLookup = time.Second
	listLimit   = 5 * time.Second
	// askedPeers is how many gateways of the region are asked at start.
	askedPeers = 3
)

var errOutOfTouch = errors.New("store is cut off from the other stores")

// Options of a Watcher.
type Options struct {
	Host   string
	Region string
	// Stores are peer addresses, the region's own first.
	Stores []string
	// Peers are gateways of the region, asked at start for what is in force there.
	Peers []string
	// Dir keeps the last configuration; empty on hosts without a disk.
	Dir string
	// Wait is how long a store may hold a watch without news; Silent is how
	// long after that it counts as silent.
	Wait   time.Duration
	Silent time.Duration
	Client *peerhttp.Client
	Log    logr.Logger
	// OnMove is called when a store is left; for metrics.
	OnMove func()
}

// Watcher follows the configuration.
type Watcher struct {
	options   Options
	current   atomic.Pointer[catalog.Catalog]
	mu        sync.Mutex
	resources map[string]wheelgauge.Resource
	at        int
	leftHome  time.Time
	behind    int
	progress  atomic.Int64
	cancel    context.CancelFunc
	done      chan error
}

// Start finds the newest configuration that can be reached and follows it.
func Start(ctx context.Context, options Options) *Watcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &Watcher{options: options, resources: map[string]wheelgauge.Resource{}, cancel: cancel, done: make(chan error, 1)}
	go func() { w.done <- w.run(ctx) }()
	return w
}

// Close stops following and waits.
func (w *Watcher) Close() error {
	w.cancel()
	return <-w.done
}

// Current returns the configuration in force; nil while there is none.
func (w *Watcher) Current() *catalog.Catalog { return w.current.Load() }

// LastProgress returns when a store last proved that it makes progress.
func (w *Watcher) LastProgress() time.Time { return time.UnixMilli(w.progress.Load()) }

func (w *Watcher) run(ctx context.Context) error {
	w.first(ctx)
	for ctx.Err() == nil {
		if err := w.poll(ctx); err != nil {
			w.move(err)
			pause(ctx, retryPause)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// source is who has which generation.
type source struct {
	address    string
	generation uint64
}

// first asks every store and a few peers for their generation and takes the
// newest list, so that a restart beside a store that lags does not fall back.
// Without any answer it takes the file of the last run.
func (w *Watcher) first(ctx context.Context) {
	best := w.cached()
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

// sources returns those that answer, the newest first.
func (w *Watcher) sources(ctx context.Context) []source {
	peers := slices.Clone(w.options.Peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := slices.Concat(w.options.Stores, peers[:min(len(peers), askedPeers)])
	limit, cancel := context.WithTimeout(ctx, firstLookup)
	defer cancel()
	out := make([]source, len(asked))
	var group sync.WaitGroup
	for i, address := range asked {
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
	ctx, cancel := context.WithTimeout(ctx, listLimit)
	defer cancel()
	var a wheelgauge.ListAnswer
	if err := w.options.Client.Call(ctx, http.MethodGet, address, PathList, nil, &a); err != nil {
		return nil
	}
	return &a
}

func (w *Watcher) cached() *wheelgauge.ListAnswer {
	if w.options.Dir == "" {
		return nil
	}
	data, err := os.ReadFile(filepath.Join(w.options.Dir, cacheName))
	if err != nil {
		return nil
	}
	var a wheelgauge.ListAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		w.options.Log.Error(err, "Kept configuration is not readable.")
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

// store returns the store to ask now; the first one is tried again after a while.
func (w *Watcher) store() string {
	if w.at != 0 && time.Since(w.leftHome) > returnHome {
		w.at, w.leftHome = 0, time.Now()
	}
	return w.options.Stores[w.at%len(w.options.Stores)]
}

func (w *Watcher) poll(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, w.options.Wait+w.options.Silent)
	defer cancel()
	address, from := w.store(), w.generation()
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
	return w.take(a, from)
}

func (w *Watcher) relist(ctx context.Context, address string) error {
	var a wheelgauge.ListAnswer
	if err := w.options.Client.Call(ctx, http.MethodGet, address, PathList, nil, &a); err != nil {
		return fmt.Errorf("list: %w", err)
	}
	w.replace(a)
	w.progress.Store(time.Now().UnixMilli())
	return nil
}

func (w *Watcher) take(a wheelgauge.WatchAnswer, from uint64) error {
	if a.Generation < from {
		w.behind++
		if w.behind >= maxBehind {
			w.behind = 0
			return fmt.Errorf("store is at generation %d, behind %d in force here", a.Generation, from)
		}
		return nil
	}
	w.behind = 0
	w.applyAll(a.Events, from)
	if !a.InTouch {
		return errOutOfTouch
	}
	w.progress.Store(time.Now().UnixMilli())
	return nil
}

func (w *Watcher) applyAll(events []wheelgauge.Event, from uint64) {
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

// replace takes a whole list, unless it is older than what is in force.
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
		w.options.Log.Error(fault, "Resource is not readable.")
	}
	w.current.Store(c)
	w.options.Log.Info("Configuration is in force.", "generation", generation, "resources", len(list))
	if err := w.keep(wheelgauge.ListAnswer{Generation: generation, Resources: list}); err != nil {
		w.options.Log.Error(err, "Configuration is not kept on disk.")
	}
}

func (w *Watcher) keep(a wheelgauge.ListAnswer) error {
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
	path := filepath.Join(w.options.Dir, cacheName)
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

// move leaves a store that failed, was silent or lags.
func (w *Watcher) move(cause error) {
	from := w.options.Stores[w.at%len(w.options.Stores)]
	if w.at == 0 {
		w.leftHome = time.Now()
	}
	w.at = (w.at + 1) % len(w.options.Stores)
	if len(w.options.Stores) > 1 {
		w.options.Log.Info("Watch moves to another store.", "from", from, "to", w.options.Stores[w.at], "cause", cause.Error())
	}
	if w.options.OnMove != nil {
		w.options.OnMove()
	}
}

// List returns the configuration in force, for peers that start.
func (w *Watcher) List() wheelgauge.ListAnswer {
	c := w.current.Load()
	if c == nil {
		return wheelgauge.ListAnswer{}
	}
	return wheelgauge.ListAnswer{Generation: c.Generation(), Resources: c.Resources()}
}
