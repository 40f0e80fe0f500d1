package confstore

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wheelgauge"
	"wheelgauge/configstate"
	"wheelgauge/ordercheck"
	"wheelgauge/routetable"
)

// operationTimeout bounds one operation. After a timeout the operator can send the same
// operation again to learn its result.
const operationTimeout = 3 * time.Second

// PutRoutes implements wheelgauge.Operations.
func (n *Node) PutRoutes(ctx context.Context, body []byte) (uint64, error) {
	set, err := n.o.DecodeRoutes(body)
	if err == nil {
		err = routetable.Check(set)
	}
	if err != nil {
		n.meter.Count("puts.invalid")
		n.o.Log.Info("Configuration is invalid.", "cause", err.Error())
		return 0, wheelgauge.NewError(wheelgauge.ReasonInvalid, wheelgauge.OutcomeNotRun, http.StatusBadRequest, err.Error())
	}
	res, err := n.proposeChange(ctx, configstate.Command{Op: configstate.OpPut, Version: set.Version, Body: body})
	if err != nil {
		n.o.Log.Info("Configuration is not acknowledged.", "version", set.Version, "cause", err.Error())
		return 0, err
	}
	n.o.Log.Info("Configuration is acknowledged.", "version", set.Version, "held", res.Version, "taken", res.Applied)
	return res.Version, nil
}

// DrainHall implements wheelgauge.Operations.
func (n *Node) DrainHall(ctx context.Context, sender wheelgauge.Sender, hall string, drained bool) error {
	if _, ok := n.o.RegionByHall[hall]; !ok {
		return wheelgauge.NewError(wheelgauge.ReasonNotFound, wheelgauge.OutcomeNotRun, http.StatusNotFound, "no hall of this name: "+hall)
	}
	op := configstate.OpResume
	if drained {
		op = configstate.OpDrain
	}
	n.hallOrders.Received(hall)
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var res configstate.Result
	err := n.orders.Run(ctx, sender, func(_ context.Context, since uint64) (ordercheck.Propose, error) {
		return n.proposal(configstate.Command{Op: op, Hall: hall, Since: since, AtUnixMS: wallUnixMS()}, &res), nil
	})
	if err != nil {
		n.o.Log.Info("Drain or resume of a hall is not acknowledged.", "hall", hall, "order", op, "cause", err.Error())
		return err
	}
	n.hallOrders.Acknowledged(hall)
	n.o.Log.Info("Drain or resume of a hall is acknowledged.", "hall", hall, "order", op, "taken", res.Applied)
	return nil
}

// proposal returns the proposal of an order, which sets res to its result.
func (n *Node) proposal(c configstate.Command, res *configstate.Result) ordercheck.Propose {
	return func(ctx context.Context) (overtaken bool, err error) {
		*res, err = n.proposeChange(ctx, c)
		return res.Overtaken, err
	}
}

func (n *Node) proposeChange(ctx context.Context, c configstate.Command) (configstate.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	var res configstate.Result
	command, err := json.Marshal(c)
	if err != nil {
		return res, fmt.Errorf("encode %s: %w", c.Op, err)
	}
	propose := n.replica.Propose
	if c.Op == configstate.OpPut {
		// The next call after a timeout waits for what the one before has proposed: each entry with a
		// large configuration delays all that follow.
		propose = n.replica.ProposeOnce
	}
	reply, err := propose(ctx, command)
	if err != nil {
		return res, fmt.Errorf("%s: %w", c.Op, err)
	}
	if err := json.Unmarshal(reply, &res); err != nil {
		return res, fmt.Errorf("decode result of %s: %w", c.Op, err)
	}
	return res, nil
}

// Routes implements wheelgauge.Operations.
func (n *Node) Routes(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := n.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	if body := n.machine.State().Body; body != nil {
		return body, nil
	}
	return nil, wheelgauge.NewError(wheelgauge.ReasonNoConfiguration, wheelgauge.OutcomeNotRun, http.StatusServiceUnavailable, "no configuration has been accepted yet")
}
