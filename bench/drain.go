package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

// drainPollInterval is the resolution of drain times.
const drainPollInterval = 20 * time.Millisecond

// ControlError reports an answer of the stand-in's control API that cannot be
// used.
type ControlError struct {
	Path   string
	Status int // 0 if the answer could not be decoded
	Detail string
}

func (e *ControlError) Error() string {
	return fmt.Sprintf("control API %s: status %d: %s", e.Path, e.Status, e.Detail)
}

// runDrain drains a server at its time and watches the work that reaches it.
func (r *runner) runDrain(ctx context.Context, d Drain) *DrainResult {
	result := &DrainResult{Server: d.Server}
	if err := r.drainAndWatch(ctx, d, result); err != nil {
		result.Error = err.Error()
	}
	return result
}

func (r *runner) drainAndWatch(ctx context.Context, d Drain, result *DrainResult) error {
	if err := sleepUntil(ctx, r.startedAt.Add(d.At.Std())); err != nil {
		return err
	}
	body, err := json.Marshal(backend.DrainRequest{Announce: d.Announce, Notice: d.Notice})
	if err != nil {
		return fmt.Errorf("encode drain request: %w", err)
	}
	// Requests between this reading and the drain count as sent after it, so the
	// result errs on the side of a longer drain.
	before, err := r.readServerLoad(ctx, d.Server)
	if err != nil {
		return err
	}
	w := drainTracker{startedAt: time.Now(), lastRequestCount: before.Requests, result: result}
	if err := r.callControlAPI(ctx, http.MethodPost, "/servers/"+url.PathEscape(d.Server)+"/drain", body, nil); err != nil {
		return err
	}
	for time.Since(w.startedAt) < d.Watch.Std() {
		load, err := r.readServerLoad(ctx, d.Server)
		if err != nil {
			return err
		}
		w.update(load, time.Now())
		if err := sleepUntil(ctx, time.Now().Add(drainPollInterval)); err != nil {
			return err
		}
	}
	return nil
}

// drainTracker turns readings of a server's load into a drain result.
type drainTracker struct {
	startedAt  time.Time
	lastRequestCount uint64
	result   *DrainResult
}

func (w *drainTracker) update(load *backend.Load, now time.Time) {
	since := config.Duration(now.Sub(w.startedAt))
	if load.Requests > w.lastRequestCount {
		w.result.New += int(load.Requests - w.lastRequestCount)
		w.lastRequestCount = load.Requests
		w.result.LastNew = since
		w.result.Drained = false
	}
	if load.InUse > 0 {
		w.result.Drained = false
		return
	}
	if !w.result.Drained {
		w.result.Drained = true
		w.result.Idle = since
	}
}

func (r *runner) readServerLoad(ctx context.Context, name string) (*backend.Load, error) {
	var servers []backend.ServerStatus
	if err := r.callControlAPI(ctx, http.MethodGet, "/servers", nil, &servers); err != nil {
		return nil, err
	}
	for i := range servers {
		if servers[i].Name == name {
			return &servers[i].Load, nil
		}
	}
	return nil, &backend.UnknownServerError{Name: name}
}

// readExecutions returns the stand-in's counts, nil if it cannot be asked.
func (r *runner) readExecutions(ctx context.Context) *backend.Summary {
	if r.plan.Control == "" {
		return nil
	}
	var summary backend.Summary
	if r.callControlAPI(ctx, http.MethodGet, "/executions", nil, &summary) != nil {
		return nil
	}
	return &summary
}

// controlTimeout bounds a call to the control API.
const controlTimeout = 5 * time.Second

func (r *runner) callControlAPI(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, answer, err := r.roundTrip(ctx, method, "http://"+r.plan.Control+path, body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return &ControlError{Path: path, Status: status, Detail: string(answer)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &ControlError{Path: path, Detail: err.Error()}
	}
	return nil
}
