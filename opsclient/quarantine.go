package opsclient

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"wheelgauge"
	"wheelgauge/native"
)

// Quarantined returns what no backend server gets, in the routes mode.
func (c *Client) Quarantined(ctx context.Context) ([]wheelgauge.Quarantined, error) {
	var list []wheelgauge.Quarantined
	if err := c.call(ctx, http.MethodGet, native.PathQuarantine, nil, &list); err != nil {
		return nil, fmt.Errorf("read quarantine: %w", err)
	}
	return list, nil
}

// ReleaseQuarantined lets a quarantined request or part reach backend servers again.
func (c *Client) ReleaseQuarantined(ctx context.Context, f wheelgauge.Fingerprint) error {
	if err := c.call(ctx, http.MethodDelete, native.PathQuarantine+"/"+url.PathEscape(string(f)), nil, nil); err != nil {
		return fmt.Errorf("release %s from quarantine: %w", f, err)
	}
	return nil
}
