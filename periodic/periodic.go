// Package periodic calls a function at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls f once per interval until ctx ends; the first call is after one interval.
func Run(ctx context.Context, interval time.Duration, f func(ctx context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			f(ctx)
		}
	}
}
