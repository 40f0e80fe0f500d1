// Package registry implements the state machine of the configuration: resources,
// generations, the results of changes, and the events for watches.
package registry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"

	"wheelgauge"
	"wheelgauge/validate"
)

const (
	// maxEvents is how many events are stored; a watch cannot start before the oldest one.
	maxEvents = 4096
	// maxResults is how many results of changes with an ID are stored: those of six days at 1,300 changes a day.
	maxResults = 8192
)

type key struct {
	kind wheelgauge.Kind
	name string
}

// Registry implements wheelgauge.StateMachine on resources. It is safe for concurrent use.
type Registry struct {
	mu          sync.RWMutex
	generation  uint64
	resources   map[key]wheelgauge.Resource
	events      []wheelgauge.Event
	results     map[string]wheelgauge.ChangeResult
	resultOrder []string
	changed     chan struct{}
}

// snapshotData is the encoding of a snapshot.
type snapshotData struct {
	Generation uint64                    `json:"generation"`
	Resources  []wheelgauge.Resource     `json:"resources"`
	Results    []wheelgauge.ChangeResult `json:"answers"`
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		resources: map[key]wheelgauge.Resource{},
		results:   map[string]wheelgauge.ChangeResult{},
		changed:   make(chan struct{}),
	}
}

// Apply implements wheelgauge.StateMachine; command is an encoded Change.
func (r *Registry) Apply(_ uint64, command []byte) []byte {
	var change wheelgauge.Change
	result := wheelgauge.ChangeResult{}
	if err := json.Unmarshal(command, &change); err != nil {
		result.Error = invalid(fmt.Errorf("decode change: %w", err))
	} else {
		result = r.change(change)
	}
	out, err := json.Marshal(result)
	if err != nil {
		return []byte(`{}`)
	}
	return out
}

func (r *Registry) change(c wheelgauge.Change) wheelgauge.ChangeResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, ok := r.results[c.ID]; ok && c.ID != "" {
		return first
	}
	result := r.decide(c)
	result.ID = c.ID
	r.remember(result)
	return result
}

func (r *Registry) decide(c wheelgauge.Change) wheelgauge.ChangeResult {
	var err *wheelgauge.Error
	result := wheelgauge.ChangeResult{}
	switch c.Op {
	case wheelgauge.OpPut:
		result, err = r.put(c)
	case wheelgauge.OpDelete:
		err = r.remove(c)
	case wheelgauge.OpAccept:
		err = r.accept(c)
	default:
		err = invalid(fmt.Errorf("unknown operation %q", c.Op))
	}
	if err != nil {
		return wheelgauge.ChangeResult{Error: err}
	}
	if result.Generation == 0 {
		result.Generation = r.generation
	}
	return result
}

func (r *Registry) remember(result wheelgauge.ChangeResult) {
	if result.ID == "" {
		return
	}
	r.results[result.ID] = result
	r.resultOrder = append(r.resultOrder, result.ID)
	if len(r.resultOrder) > maxResults {
		delete(r.results, r.resultOrder[0])
		r.resultOrder = r.resultOrder[1:]
	}
}

// Check returns the error that a change would get, without making it.
func (r *Registry) Check(c wheelgauge.Change) error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, _, err := r.prepare(c)
	if err != nil {
		return err
	}
	return nil
}

func (r *Registry) exists(kind wheelgauge.Kind, name string) bool {
	_, ok := r.resources[key{kind, name}]
	return ok
}

func (r *Registry) prepare(c wheelgauge.Change) (wheelgauge.Resource, json.RawMessage, *wheelgauge.Error) {
	old := r.resources[key{c.Kind, c.Name}]
	if c.ExpectedGeneration != nil && *c.ExpectedGeneration != old.Generation {
		return old, nil, conflict(c, old)
	}
	if c.Op != wheelgauge.OpPut {
		return old, nil, nil
	}
	spec, err := validate.Spec(c.Kind, c.Name, c.Spec, r.exists)
	if err != nil {
		return old, nil, invalid(err)
	}
	return old, spec, nil
}

func (r *Registry) put(c wheelgauge.Change) (wheelgauge.ChangeResult, *wheelgauge.Error) {
	old, spec, err := r.prepare(c)
	if err != nil {
		return wheelgauge.ChangeResult{}, err
	}
	next := wheelgauge.Resource{Kind: c.Kind, Name: c.Name, Operator: c.Operator, Spec: spec}
	if c.Kind != wheelgauge.KindResidencyRule {
		if string(old.Spec) == string(spec) {
			return wheelgauge.ChangeResult{Generation: old.Generation}, nil
		}
		r.set(next)
		return wheelgauge.ChangeResult{}, nil
	}
	return r.putRule(old, next)
}

// putRule stores a residency rule. A rule that forbids a region that was allowed
// stays pending until every host has it.
func (r *Registry) putRule(old, next wheelgauge.Resource) (wheelgauge.ChangeResult, *wheelgauge.Error) {
	if string(old.Spec) == string(next.Spec) && len(old.Pending) == 0 {
		return wheelgauge.ChangeResult{Generation: old.Generation}, nil
	}
	removes, err := validate.RemovesRegions(old.Spec, next.Spec)
	if err != nil {
		return wheelgauge.ChangeResult{}, invalid(err)
	}
	if !removes {
		r.set(next)
		return wheelgauge.ChangeResult{}, nil
	}
	next.Pending, next.Spec = next.Spec, old.Spec
	next.PendingGeneration = r.generation + 1
	r.set(next)
	return wheelgauge.ChangeResult{Pending: true}, nil
}

func (r *Registry) remove(c wheelgauge.Change) *wheelgauge.Error {
	old, _, err := r.prepare(c)
	if err != nil {
		return err
	}
	if old.Generation == 0 {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound,
			fmt.Sprintf("%s %s does not exist", c.Kind, c.Name))
	}
	if dependent := r.dependent(c.Kind, c.Name); dependent != "" {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity,
			fmt.Sprintf("%s %s is used by %s", c.Kind, c.Name, dependent))
	}
	r.generation++
	delete(r.resources, key{c.Kind, c.Name})
	old.Generation, old.Operator = r.generation, c.Operator
	r.publish(wheelgauge.Event{Generation: r.generation, Deleted: true, Resource: old})
	return nil
}

// dependent returns a resource whose spec would be invalid without the named one, or "".
func (r *Registry) dependent(kind wheelgauge.Kind, name string) string {
	without := func(k wheelgauge.Kind, n string) bool {
		return (k != kind || n != name) && r.exists(k, n)
	}
	for k, res := range r.resources {
		if (k == key{kind, name}) || len(res.Spec) == 0 {
			continue
		}
		if _, err := validate.Spec(k.kind, k.name, res.Spec, without); err != nil {
			return fmt.Sprintf("%s %s", k.kind, k.name)
		}
	}
	return ""
}

func (r *Registry) accept(c wheelgauge.Change) *wheelgauge.Error {
	old := r.resources[key{c.Kind, c.Name}]
	if len(old.Pending) == 0 || c.ExpectedGeneration == nil || *c.ExpectedGeneration != old.PendingGeneration {
		return conflict(c, old)
	}
	old.Spec, old.Pending, old.PendingGeneration = old.Pending, nil, 0
	r.set(old)
	return nil
}

func (r *Registry) set(res wheelgauge.Resource) {
	r.generation++
	res.Generation = r.generation
	r.resources[key{res.Kind, res.Name}] = res
	r.publish(wheelgauge.Event{Generation: r.generation, Resource: res})
}

func (r *Registry) publish(e wheelgauge.Event) {
	r.events = append(r.events, e)
	if len(r.events) > maxEvents {
		r.events = slices.Clone(r.events[len(r.events)-maxEvents:])
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func conflict(c wheelgauge.Change, current wheelgauge.Resource) *wheelgauge.Error {
	operator := current.Operator
	if operator == "" {
		operator = "nobody"
	}
	return wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict,
		fmt.Sprintf("%s %s is at generation %d, last changed by %s", c.Kind, c.Name, current.Generation, operator))
}

func invalid(err error) *wheelgauge.Error {
	return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity, err.Error())
}

// Generation returns the generation of the last change.
func (r *Registry) Generation() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.generation
}

// Get returns one resource.
func (r *Registry) Get(kind wheelgauge.Kind, name string) (wheelgauge.Resource, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	res, ok := r.resources[key{kind, name}]
	return res, ok
}

// List returns all resources of a kind, or of every kind if it is empty, in
// the order of Kinds and names.
func (r *Registry) List(kind wheelgauge.Kind) wheelgauge.ListResponse {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return wheelgauge.ListResponse{Generation: r.generation, Resources: r.list(kind)}
}

func (r *Registry) list(kind wheelgauge.Kind) []wheelgauge.Resource {
	out := make([]wheelgauge.Resource, 0, len(r.resources))
	for k, res := range r.resources {
		if kind == "" || k.kind == kind {
			out = append(out, res)
		}
	}
	rank := map[wheelgauge.Kind]int{}
	for i, k := range wheelgauge.Kinds() {
		rank[k] = i
	}
	slices.SortFunc(out, func(a, b wheelgauge.Resource) int {
		if d := rank[a.Kind] - rank[b.Kind]; d != 0 {
			return d
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// PendingRules returns the residency rules with a pending spec.
func (r *Registry) PendingRules() []wheelgauge.Resource {
	var out []wheelgauge.Resource
	for _, res := range r.List(wheelgauge.KindResidencyRule).Resources {
		if len(res.Pending) > 0 {
			out = append(out, res)
		}
	}
	return out
}

// Since returns the events after generation from, and a channel that is closed
// at the next change. ok is false if those events are no longer stored.
func (r *Registry) Since(from uint64) (response wheelgauge.WatchResponse, changed <-chan struct{}, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	response.Generation = r.generation
	if from >= r.generation {
		return response, r.changed, true
	}
	if len(r.events) == 0 || r.events[0].Generation > from+1 {
		return response, r.changed, false
	}
	first := slices.IndexFunc(r.events, func(e wheelgauge.Event) bool { return e.Generation > from })
	response.Events = slices.Clone(r.events[first:])
	return response, r.changed, true
}

// Snapshot implements wheelgauge.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	data := snapshotData{Generation: r.generation, Resources: r.list("")}
	for _, id := range r.resultOrder {
		data.Results = append(data.Results, r.results[id])
	}
	encoded, err := json.Marshal(data)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Restore implements wheelgauge.StateMachine.
func (r *Registry) Restore(snapshot []byte) error {
	var data snapshotData
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &data); err != nil {
			return fmt.Errorf("decode snapshot: %w", err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation = data.Generation
	r.events = nil
	r.resultOrder = nil
	r.results = map[string]wheelgauge.ChangeResult{}
	r.resources = map[key]wheelgauge.Resource{}
	for _, res := range data.Resources {
		r.resources[key{res.Kind, res.Name}] = res
	}
	for _, result := range data.Results {
		r.results[result.ID] = result
		r.resultOrder = append(r.resultOrder, result.ID)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}
