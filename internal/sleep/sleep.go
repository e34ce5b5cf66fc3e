// Package sleep waits in a way that a context can end.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns the error of ctx if that ended first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
