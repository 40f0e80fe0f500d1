package opsclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"wheelgauge"
	"wheelgauge/native"
)

// StartRollout starts to shift a service's requests to another version, in the routes mode.
// An order that was accepted before, and whose rollout is in progress, is no error.
func (c *Client) StartRollout(ctx context.Context, order wheelgauge.RolloutOrder) error {
	err := c.call(ctx, http.MethodPut, rolloutPath(order.Service), order, nil)
	if err != nil && wheelgauge.AsError(err).Reason() != wheelgauge.ReasonUnderWay {
		return fmt.Errorf("start rollout of %s: %w", order.Service, err)
	}
	return nil
}

// Rollout returns the latest rollout of a service.
func (c *Client) Rollout(ctx context.Context, service string) (wheelgauge.Rollout, error) {
	var r wheelgauge.Rollout
	if err := c.call(ctx, http.MethodGet, rolloutPath(service), nil, &r); err != nil {
		return r, fmt.Errorf("read rollout of %s: %w", service, err)
	}
	return r, nil
}

// AbortRollout aborts a rollout in progress; its requests go back to the versions before.
func (c *Client) AbortRollout(ctx context.Context, service string) error {
	if err := c.call(ctx, http.MethodDelete, rolloutPath(service), nil, nil); err != nil {
		return fmt.Errorf("abort rollout of %s: %w", service, err)
	}
	return nil
}

func rolloutPath(service string) string { return native.PathRollouts + url.PathEscape(service) }
