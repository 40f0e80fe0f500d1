// Package registry is the state machine of the configuration: resources,
// generations, the answers to changes, and the events that watches read.
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
	// keptEvents is how far back a watch may start before it is too old.
	keptEvents = 4096
	// keptAnswers is how many change IDs are remembered: six days at 1,300 a day.
	keptAnswers = 8192
)

type key struct {
	kind wheelgauge.Kind
	name string
}

// Registry is safe for concurrent use.
type Registry struct {
	mu         sync.RWMutex
	generation uint64
	resources  map[key]wheelgauge.Resource
	events     []wheelgauge.Event
	answers    map[string]wheelgauge.ChangeResult
	order      []string
	changed    chan struct{}
}

// image is the snapshot form.
type image struct {
	Generation uint64                    `json:"generation"`
	Resources  []wheelgauge.Resource     `json:"resources"`
	Answers    []wheelgauge.ChangeResult `json:"answers"`
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		resources: map[key]wheelgauge.Resource{},
		answers:   map[string]wheelgauge.ChangeResult{},
		changed:   make(chan struct{}),
	}
}

// Apply implements wheelgauge.StateMachine; command is a Change.
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
	if was, ok := r.answers[c.ID]; ok && c.ID != "" {
		return was
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
	r.answers[result.ID] = result
	r.order = append(r.order, result.ID)
	if len(r.order) > keptAnswers {
		delete(r.answers, r.order[0])
		r.order = r.order[1:]
	}
}

// Check tells what a change would be answered, without making it.
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
	was := r.resources[key{c.Kind, c.Name}]
	if c.Expected != nil && *c.Expected != was.Generation {
		return was, nil, conflict(c, was)
	}
	if c.Op != wheelgauge.OpPut {
		return was, nil, nil
	}
	spec, err := validate.Spec(c.Kind, c.Name, c.Spec, r.exists)
	if err != nil {
		return was, nil, invalid(err)
	}
	return was, spec, nil
}

func (r *Registry) put(c wheelgauge.Change) (wheelgauge.ChangeResult, *wheelgauge.Error) {
	was, spec, fault := r.prepare(c)
	if fault != nil {
		return wheelgauge.ChangeResult{}, fault
	}
	next := wheelgauge.Resource{Kind: c.Kind, Name: c.Name, Operator: c.Operator, Spec: spec}
	if c.Kind != wheelgauge.KindResidencyRule {
		if string(was.Spec) == string(spec) {
			return wheelgauge.ChangeResult{Generation: was.Generation}, nil
		}
		r.store(next)
		return wheelgauge.ChangeResult{}, nil
	}
	return r.putRule(was, next)
}

// putRule stores a residency rule. One that takes rights away stays pending
// until every host has it.
func (r *Registry) putRule(was, next wheelgauge.Resource) (wheelgauge.ChangeResult, *wheelgauge.Error) {
	if string(was.Spec) == string(next.Spec) && len(was.Pending) == 0 {
		return wheelgauge.ChangeResult{Generation: was.Generation}, nil
	}
	takes, err := validate.TakesRights(was.Spec, next.Spec)
	if err != nil {
		return wheelgauge.ChangeResult{}, invalid(err)
	}
	if !takes {
		r.store(next)
		return wheelgauge.ChangeResult{}, nil
	}
	next.Pending, next.Spec = next.Spec, was.Spec
	next.PendingGen = r.generation + 1
	r.store(next)
	return wheelgauge.ChangeResult{Pending: true}, nil
}

func (r *Registry) remove(c wheelgauge.Change) *wheelgauge.Error {
	was, _, fault := r.prepare(c)
	if fault != nil {
		return fault
	}
	if was.Generation == 0 {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound,
			fmt.Sprintf("%s %s does not exist", c.Kind, c.Name))
	}
	if by := r.user(c.Kind, c.Name); by != "" {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity,
			fmt.Sprintf("%s %s is used by %s", c.Kind, c.Name, by))
	}
	r.generation++
	delete(r.resources, key{c.Kind, c.Name})
	was.Generation, was.Operator = r.generation, c.Operator
	r.publish(wheelgauge.Event{Generation: r.generation, Deleted: true, Resource: was})
	return nil
}

// user names a resource whose spec would be invalid without the named one.
func (r *Registry) user(kind wheelgauge.Kind, name string) string {
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
	was := r.resources[key{c.Kind, c.Name}]
	if len(was.Pending) == 0 || c.Expected == nil || *c.Expected != was.PendingGen {
		return conflict(c, was)
	}
	was.Spec, was.Pending, was.PendingGen = was.Pending, nil, 0
	r.store(was)
	return nil
}

func (r *Registry) store(res wheelgauge.Resource) {
	r.generation++
	res.Generation = r.generation
	r.resources[key{res.Kind, res.Name}] = res
	r.publish(wheelgauge.Event{Generation: r.generation, Resource: res})
}

func (r *Registry) publish(e wheelgauge.Event) {
	r.events = append(r.events, e)
	if len(r.events) > keptEvents {
		r.events = slices.Clone(r.events[len(r.events)-keptEvents:])
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

func conflict(c wheelgauge.Change, was wheelgauge.Resource) *wheelgauge.Error {
	by := was.Operator
	if by == "" {
		by = "nobody"
	}
	return wheelgauge.NewError(wheelgauge.ReasonConflict, wheelgauge.OutcomeNotRun, http.StatusConflict,
		fmt.Sprintf("%s %s is at generation %d, last changed by %s", c.Kind, c.Name, was.Generation, by))
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

// List returns all resources of a kind, or of every kind when it is empty, in
// the order of Kinds and names.
func (r *Registry) List(kind wheelgauge.Kind) wheelgauge.ListAnswer {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return wheelgauge.ListAnswer{Generation: r.generation, Resources: r.list(kind)}
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

// PendingList returns the resources that wait to be accepted.
func (r *Registry) PendingList() []wheelgauge.Resource {
	var out []wheelgauge.Resource
	for _, res := range r.List(wheelgauge.KindResidencyRule).Resources {
		if len(res.Pending) > 0 {
			out = append(out, res)
		}
	}
	return out
}

// Since returns the events after generation from, and a channel that is closed
// at the next change. ok is false when from is too old for events.
func (r *Registry) Since(from uint64) (answer wheelgauge.WatchAnswer, changed <-chan struct{}, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	answer.Generation = r.generation
	if from >= r.generation {
		return answer, r.changed, true
	}
	if len(r.events) == 0 || r.events[0].Generation > from+1 {
		return answer, r.changed, false
	}
	first := slices.IndexFunc(r.events, func(e wheelgauge.Event) bool { return e.Generation > from })
	answer.Events = slices.Clone(r.events[first:])
	return answer, r.changed, true
}

// Snapshot implements wheelgauge.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	im := image{Generation: r.generation, Resources: r.list("")}
	for _, id := range r.order {
		im.Answers = append(im.Answers, r.answers[id])
	}
	data, err := json.Marshal(im)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore implements wheelgauge.StateMachine.
func (r *Registry) Restore(snapshot []byte) error {
	var im image
	if len(snapshot) > 0 {
		if err := json.Unmarshal(snapshot, &im); err != nil {
			return fmt.Errorf("decode snapshot: %w", err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.generation = im.Generation
	r.events = nil
	r.order = nil
	r.answers = map[string]wheelgauge.ChangeResult{}
	r.resources = map[key]wheelgauge.Resource{}
	for _, res := range im.Resources {
		r.resources[key{res.Kind, res.Name}] = res
	}
	for _, a := range im.Answers {
		r.answers[a.ID] = a
		r.order = append(r.order, a.ID)
	}
	close(r.changed)
	r.changed = make(chan struct{})
	return nil
}
