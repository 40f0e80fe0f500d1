package confstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"wheelgauge"
	"wheelgauge/configlog"
	"wheelgauge/rollout/director"
)

const (
	// rolloutsEvery is how often a leading store looks how rollouts go on.
	rolloutsEvery = 100 * time.Millisecond
	// rolloutTimeout bounds one attempt to note what was decided; the next one follows.
	rolloutTimeout = time.Second
	// ageEvery is how much of a rollout's time is forgotten at most when all stores end.
	ageEvery = 2 * time.Second
	// resendFor is how long after a rollout began the same order is taken for one whose
	// answer was lost.
	resendFor = 10 * time.Second
	// longestRollout bounds an order's duration.
	longestRollout = 7 * 24 * time.Hour
)

// rolloutAges tells how long rollouts have run, by this store's clock since it first knew of
// each. It is safe for concurrent use.
type rolloutAges struct {
	mu    sync.Mutex
	since map[string]rolloutSince
}

type rolloutSince struct {
	number uint64
	at     time.Time
}

// age returns how long a rollout has run.
func (a *rolloutAges) age(r wheelgauge.Rollout, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since == nil {
		a.since = map[string]rolloutSince{}
	}
	noted := now.Add(-time.Duration(r.ElapsedMS) * time.Millisecond)
	s, ok := a.since[r.Service]
	if !ok || s.number != r.Number || noted.Before(s.at) {
		s = rolloutSince{r.Number, noted}
		a.since[r.Service] = s
	}
	return now.Sub(s.at)
}

// fleetState is the replicated state with the time that rollouts have run by now.
func (n *Node) fleetState() wheelgauge.FleetState {
	s := n.machine.State()
	s.Rollouts = n.rollouts()
	return s
}

// rollouts returns the last ones of each service with the time that each has run by now.
func (n *Node) rollouts() []wheelgauge.Rollout {
	list := slices.Clone(n.machine.State().Rollouts)
	for i, r := range list {
		list[i].ElapsedMS = n.ages.age(r, n.now()).Milliseconds()
	}
	return list
}

// StartRollout implements wheelgauge.Operations.
func (n *Node) StartRollout(ctx context.Context, order wheelgauge.RolloutOrder) error {
	err := n.startRollout(ctx, order)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	n.o.Log.Info("Rollout is ordered.", "service", order.Service, "target", order.Version, "duration_ms", order.DurationMS, "taken", err == nil, "cause", cause)
	return err
}

func (n *Node) startRollout(ctx context.Context, order wheelgauge.RolloutOrder) error {
	if err := checkRollout(order); err != nil {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// A store that lags would not know a service that was added a moment ago.
	if err := n.replica.ReadBarrier(ctx); err != nil {
		return fmt.Errorf("start rollout: %w", err)
	}
	if err := n.hasService(order.Service); err != nil {
		return err
	}
	held, known := wheelgauge.RolloutOf(n.rollouts(), order.Service)
	again := known && !held.Running() && held.ElapsedMS > resendFor.Milliseconds()
	res, err := n.change(ctx, configlog.Command{Op: configlog.OpRollout, Rollout: &wheelgauge.Rollout{RolloutOrder: order}, Again: again})
	if err != nil {
		return err
	}
	switch {
	case res.Taken || !res.Rollout.Running():
		return nil // begun, or what was asked has ended already
	case res.Rollout.RolloutOrder == order:
		return wheelgauge.NewError(wheelgauge.ReasonUnderWay, wheelgauge.OutcomeNotRun, http.StatusConflict, "this rollout is under way")
	}
	return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity,
		"the service is being rolled out to version "+res.Rollout.Version)
}

func checkRollout(o wheelgauge.RolloutOrder) error {
	switch {
	case o.Service == "":
		return errors.New("service: missing")
	case o.Version == "":
		return errors.New("target version: missing")
	case o.DurationMS <= 0 || o.DurationMS > longestRollout.Milliseconds():
		return fmt.Errorf("duration: got %d ms, expected more than 0 and %s at most", o.DurationMS, longestRollout)
	}
	return nil
}

// hasService tells whether the configuration in force has a service.
func (n *Node) hasService(name string) error {
	set := n.routes()
	if set == nil {
		return wheelgauge.NewError(wheelgauge.ReasonNoConfiguration, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no configuration was taken yet")
	}
	if !slices.ContainsFunc(set.Services, func(s wheelgauge.Service) bool { return s.Name == name }) {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no service of this name: "+name)
	}
	return nil
}

// Rollout implements wheelgauge.Operations.
func (n *Node) Rollout(ctx context.Context, service string) (wheelgauge.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := n.replica.ReadBarrier(ctx); err != nil {
		return wheelgauge.Rollout{}, fmt.Errorf("read rollout: %w", err)
	}
	r, ok := wheelgauge.RolloutOf(n.rollouts(), service)
	if !ok {
		return r, wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no rollout of service "+service)
	}
	return r, nil
}

// AbortRollout implements wheelgauge.Operations.
func (n *Node) AbortRollout(ctx context.Context, service string) error {
	r, err := n.Rollout(ctx, service)
	if err != nil {
		return err
	}
	if r.Running() {
		r.State, r.Cause = wheelgauge.RolloutRolledBack, "ended by an operator"
		res, err := n.change(ctx, configlog.Command{Op: configlog.OpRolloutStep, Rollout: &r})
		if err != nil {
			return err
		}
		r = res.Rollout
	}
	n.o.Log.Info("Rollout is ended by an operator.", "service", service, "target", r.Version, "number", r.Number, "state", r.State)
	if r.State == wheelgauge.RolloutCompleted {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity, "the rollout is complete")
	}
	return nil
}

// keepRollouts takes the rollouts on that are under way, as the leader of the group.
func (n *Node) keepRollouts(ctx context.Context) {
	running := map[string]uint64{}
	for _, r := range n.rollouts() {
		if r.Running() {
			running[r.Service] = r.Number
			n.keepRollout(ctx, r)
		}
	}
	n.director.Keep(running)
}

func (n *Node) keepRollout(ctx context.Context, r wheelgauge.Rollout) {
	if !n.replica.Leading() || n.now().Sub(n.started) < warmUp {
		return // hosts may be there that it has not heard of
	}
	d := n.director.Decide(r, n.view(r))
	next := r
	switch d.Step {
	case director.Wait:
		n.noteAge(ctx, r)
		return
	case director.Shift:
		next.Shifting = true
	case director.Complete:
		next.State = wheelgauge.RolloutCompleted
	case director.RollBack:
		next.State, next.Cause = wheelgauge.RolloutRolledBack, d.Cause
	}
	limit, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	res, err := n.change(limit, configlog.Command{Op: configlog.OpRolloutStep, Rollout: &next})
	if err != nil {
		n.o.Log.Info("Rollout does not go on yet.", "service", r.Service, "number", r.Number, "step", d.Step, "cause", err.Error())
		return
	}
	n.meter.Count("rollouts." + string(d.Step))
	n.o.Log.Info("Rollout goes on.", "service", r.Service, "target", r.Version, "number", r.Number, "step", d.Step, "cause", d.Cause, "score", d.Score, "proof", d.Proof, "detects", d.Detects,
		"answers", d.Answers, "waiting", d.Waiting, "left_ms", r.Left().Milliseconds(), "taken", res.Taken)
}

// noteAge has the group note how long a rollout has run, so that stores that all start anew
// do not give it all its time again.
func (n *Node) noteAge(ctx context.Context, r wheelgauge.Rollout) {
	noted, _ := wheelgauge.RolloutOf(n.machine.State().Rollouts, r.Service)
	if r.ElapsedMS-noted.ElapsedMS < ageEvery.Milliseconds() {
		return
	}
	limit, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	if _, err := n.change(limit, configlog.Command{Op: configlog.OpRolloutAge, Rollout: &r}); err != nil {
		n.meter.Count("rollouts.age.failed") // the next look tries again
	}
}

// view is what this store knows besides of a rollout.
func (n *Node) view(r wheelgauge.Rollout) director.View {
	v := director.View{Left: r.Left(), Live: map[string]uint64{}}
	hosts, _ := n.hosts.Hosts()
	for _, h := range hosts {
		v.Live[h.Name] = h.Boot
	}
	list, _ := n.servers.All()
	for _, s := range list {
		if s.Service == r.Service && s.Version == r.Version && !s.Leaving {
			v.Servers++
		}
	}
	return v
}

// offered tells whether a server takes requests as far as its version goes, so that regions
// are compared by the servers that they can use.
func offered(rollouts []wheelgauge.Rollout, s wheelgauge.Server) bool {
	r, known := wheelgauge.RolloutOf(rollouts, s.Service)
	completed := r.State == wheelgauge.RolloutCompleted
	return !known || completed && r.Left() < -wheelgauge.RetiredAfter || (s.Version == r.Version) == completed
}
