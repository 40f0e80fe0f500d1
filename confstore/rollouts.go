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
	"wheelgauge/configstate"
	"wheelgauge/ordercheck"
	"wheelgauge/rollout/controller"
)

const (
	// rolloutInterval is how often the leader evaluates the running rollouts.
	rolloutInterval = 100 * time.Millisecond
	// rolloutProposeTimeout bounds one attempt to commit a decision; the next evaluation retries.
	rolloutProposeTimeout = time.Second
	// ageSaveInterval bounds how much of a rollout's elapsed time is lost when all stores restart.
	ageSaveInterval = 2 * time.Second
	// resendWindow is how long after the start of a rollout the same request counts as a
	// retry of a request whose response was lost.
	resendWindow = 10 * time.Second
	// maxRolloutDuration bounds the duration that a request may ask for.
	maxRolloutDuration = 7 * 24 * time.Hour
)

// rolloutClock measures how long rollouts have run, by this store's clock since it first knew
// of each. It is safe for concurrent use.
type rolloutClock struct {
	mu     sync.Mutex
	starts map[string]rolloutStart
}

type rolloutStart struct {
	number uint64
	at     time.Time
}

// elapsed returns how long a rollout has run.
func (c *rolloutClock) elapsed(r wheelgauge.Rollout, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.starts == nil {
		c.starts = map[string]rolloutStart{}
	}
	recorded := now.Add(-time.Duration(r.ElapsedMS) * time.Millisecond)
	s, ok := c.starts[r.Service]
	if !ok || s.number != r.Number || recorded.Before(s.at) {
		s = rolloutStart{r.Number, recorded}
		c.starts[r.Service] = s
	}
	return now.Sub(s.at)
}

// rollouts returns the last rollout of each service with its current elapsed time.
func (n *Node) rollouts() []wheelgauge.Rollout { return n.withElapsed(n.machine.State().Rollouts) }

// withElapsed returns rollouts with their current elapsed times.
func (n *Node) withElapsed(rollouts []wheelgauge.Rollout) []wheelgauge.Rollout {
	list := slices.Clone(rollouts)
	for i, r := range list {
		list[i].ElapsedMS = n.rolloutClock.elapsed(r, n.now()).Milliseconds()
	}
	return list
}

// StartRollout implements wheelgauge.Operations.
func (n *Node) StartRollout(ctx context.Context, sender wheelgauge.Sender, order wheelgauge.RolloutRequest) error {
	err := n.startRollout(ctx, sender, order)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	n.o.Log.Info("Rollout is requested.", "service", order.Service, "target", order.Version, "duration_ms", order.DurationMS, "taken", err == nil, "cause", cause)
	return err
}

func (n *Node) startRollout(ctx context.Context, sender wheelgauge.Sender, order wheelgauge.RolloutRequest) error {
	if err := checkRollout(order); err != nil {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var res configstate.Result
	err := n.orders.Run(ctx, sender, func(ctx context.Context, since uint64) (ordercheck.Propose, error) {
		return n.prepareRollout(ctx, order, since, &res)
	})
	if err != nil {
		return fmt.Errorf("start rollout: %w", err)
	}
	switch {
	case res.Applied || !res.Rollout.Running():
		return nil // started, or the same rollout has already ended
	case res.Rollout.RolloutRequest == order:
		return wheelgauge.NewError(wheelgauge.ReasonInProgress, wheelgauge.OutcomeNotRun, http.StatusConflict, "this rollout is already in progress")
	}
	return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity,
		"the service is already being rolled out to version "+res.Rollout.Version)
}

func (n *Node) prepareRollout(ctx context.Context, order wheelgauge.RolloutRequest, since uint64, res *configstate.Result) (ordercheck.Propose, error) {
	// A replica that lags would reject a service that was just added.
	if err := n.replica.AwaitApplied(ctx, since); err != nil {
		return nil, err
	}
	if err := n.requireService(order.Service); err != nil {
		return nil, err
	}
	last, known := wheelgauge.FindRollout(n.rollouts(), order.Service)
	retry := known && !last.Running() && last.ElapsedMS > resendWindow.Milliseconds()
	return n.proposal(configstate.Command{Op: configstate.OpRollout, Rollout: &wheelgauge.Rollout{RolloutRequest: order}, Retry: retry, Since: since}, res), nil
}

func checkRollout(o wheelgauge.RolloutRequest) error {
	switch {
	case o.Service == "":
		return errors.New("service: missing")
	case o.Version == "":
		return errors.New("target version: missing")
	case o.DurationMS <= 0 || o.DurationMS > maxRolloutDuration.Milliseconds():
		return fmt.Errorf("duration: got %d ms, expected more than 0 and %s at most", o.DurationMS, maxRolloutDuration)
	}
	return nil
}

// requireService returns an error if the current configuration lacks a service.
func (n *Node) requireService(name string) error {
	set := n.routes()
	if set == nil {
		return wheelgauge.NewError(wheelgauge.ReasonNoConfiguration, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no configuration has been accepted yet")
	}
	if !slices.ContainsFunc(set.Services, func(s wheelgauge.Service) bool { return s.Name == name }) {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no service of this name: "+name)
	}
	return nil
}

// Rollout implements wheelgauge.Operations.
func (n *Node) Rollout(ctx context.Context, service string) (wheelgauge.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := n.replica.ReadBarrier(ctx); err != nil {
		return wheelgauge.Rollout{}, fmt.Errorf("read rollout: %w", err)
	}
	r, ok := wheelgauge.FindRollout(n.rollouts(), service)
	if !ok {
		return r, noRolloutError(service)
	}
	return r, nil
}

// AbortRollout implements wheelgauge.Operations.
func (n *Node) AbortRollout(ctx context.Context, sender wheelgauge.Sender, service string) error {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var res configstate.Result
	err := n.orders.Run(ctx, sender, func(ctx context.Context, since uint64) (ordercheck.Propose, error) {
		return n.prepareAbort(ctx, service, since, &res)
	})
	if err != nil {
		return fmt.Errorf("abort rollout: %w", err)
	}
	r := res.Rollout
	n.o.Log.Info("Rollout is aborted by an operator.", "service", service, "target", r.Version, "number", r.Number, "state", r.State)
	if r.State == wheelgauge.RolloutCompleted {
		return wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusUnprocessableEntity, "the rollout has already completed")
	}
	return nil
}

// prepareAbort returns the roll-back of the rollout that is in progress now: a later one has
// another number.
func (n *Node) prepareAbort(ctx context.Context, service string, since uint64, res *configstate.Result) (ordercheck.Propose, error) {
	if err := n.replica.AwaitApplied(ctx, since); err != nil {
		return nil, err
	}
	r, known := wheelgauge.FindRollout(n.rollouts(), service)
	if !known {
		return nil, noRolloutError(service)
	}
	if !r.Running() {
		res.Rollout = r
		return func(context.Context) (bool, error) { return false, nil }, nil
	}
	r.State, r.Cause = wheelgauge.RolloutRolledBack, "ended by an operator"
	return n.proposal(configstate.Command{Op: configstate.OpRolloutStep, Rollout: &r}, res), nil
}

func noRolloutError(service string) error {
	return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no rollout of service "+service)
}

// advanceRollouts takes the next step of each running rollout if this store is the leader.
func (n *Node) advanceRollouts(ctx context.Context) {
	running := map[string]uint64{}
	for _, r := range n.rollouts() {
		if r.Running() {
			running[r.Service] = r.Number
			n.advanceRollout(ctx, r)
		}
	}
	n.rolloutController.Retain(running)
}

func (n *Node) advanceRollout(ctx context.Context, r wheelgauge.Rollout) {
	if !n.replica.IsLeader() || n.warmingUp() {
		return // not all hosts may have sent a heartbeat yet
	}
	d := n.rolloutController.Decide(r, n.rolloutView(r))
	next := r
	switch d.Step {
	case controller.Wait:
		n.saveElapsed(ctx, r)
		return
	case controller.Shift:
		next.Shifting = true
	case controller.Complete:
		next.State = wheelgauge.RolloutCompleted
	case controller.RollBack:
		next.State, next.Cause = wheelgauge.RolloutRolledBack, d.Cause
	}
	proposeCtx, cancel := context.WithTimeout(ctx, rolloutProposeTimeout)
	defer cancel()
	res, err := n.proposeChange(proposeCtx, configstate.Command{Op: configstate.OpRolloutStep, Rollout: &next})
	if err != nil {
		n.o.Log.Info("Rollout step could not be committed; the next evaluation retries.", "service", r.Service, "number", r.Number, "step", d.Step, "cause", err.Error())
		return
	}
	n.meter.Count("rollouts." + string(d.Step))
	n.o.Log.Info("Rollout goes on.", "service", r.Service, "target", r.Version, "number", r.Number, "step", d.Step, "cause", d.Cause, "score", d.Score, "proof", d.Proof, "detects", d.MinDetectableRate,
		"answers", d.Answers, "waiting", d.IncompleteHosts, "left_ms", r.Left().Milliseconds(), "taken", res.Applied)
}

// saveElapsed commits the elapsed time of a rollout, so that a restart of all stores does not
// start its time limit anew.
func (n *Node) saveElapsed(ctx context.Context, r wheelgauge.Rollout) {
	saved, _ := wheelgauge.FindRollout(n.machine.State().Rollouts, r.Service)
	if r.ElapsedMS-saved.ElapsedMS < ageSaveInterval.Milliseconds() {
		return
	}
	proposeCtx, cancel := context.WithTimeout(ctx, rolloutProposeTimeout)
	defer cancel()
	if _, err := n.proposeChange(proposeCtx, configstate.Command{Op: configstate.OpRolloutAge, Rollout: &r}); err != nil {
		n.meter.Count("rollouts.age.failed") // the next evaluation retries
	}
}

// rolloutView returns what this store knows about the hosts and servers of a rollout.
func (n *Node) rolloutView(r wheelgauge.Rollout) controller.FleetView {
	v := controller.FleetView{Remaining: r.Left(), LiveHosts: map[string]uint64{}}
	hosts, _ := n.hosts.Hosts()
	for _, h := range hosts {
		v.LiveHosts[h.Name] = h.Boot
	}
	for g, sum := range n.servers.Sums() {
		if g.Service == r.Service && g.Version == r.Version && !g.Leaving {
			v.TargetServers += sum.Servers
		}
	}
	return v
}

// versionInUse reports whether the rollout of a service lets a version take requests, so that
// regions are compared by the servers that they can use.
func versionInUse(rollouts []wheelgauge.Rollout, service, version string) bool {
	r, known := wheelgauge.FindRollout(rollouts, service)
	completed := r.State == wheelgauge.RolloutCompleted
	return !known || completed && r.Left() < -wheelgauge.OldVersionGracePeriod || (version == r.Version) == completed
}
