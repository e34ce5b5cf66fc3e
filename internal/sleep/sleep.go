// Package sleep provides a sleep that a context can cancel.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It returns ctx.Err() if ctx is done first.
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
