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

// drainPollInterval is the interval between reads of a draining server's load, and
// so the resolution of drain times.
const drainPollInterval = 20 * time.Millisecond

// ControlAPIError reports an error status or an undecodable response from the backend
// stand-in's control API.
type ControlAPIError struct {
	Path   string
	Status int // HTTP status; 0 if the response could not be decoded
	Detail string
}

func (e *ControlAPIError) Error() string {
	return fmt.Sprintf("control API %s: status %d: %s", e.Path, e.Status, e.Detail)
}

// runDrain drains a server at the planned time and records which new requests reach
// it afterwards.
func (r *runner) runDrain(ctx context.Context, d DrainPlan) *DrainResult {
	result := &DrainResult{Server: d.Server}
	if err := r.drainAndWatch(ctx, d, result); err != nil {
		result.Error = err.Error()
	}
	return result
}

func (r *runner) drainAndWatch(ctx context.Context, d DrainPlan, result *DrainResult) error {
	if err := sleepUntil(ctx, r.startedAt.Add(d.At.Std())); err != nil {
		return err
	}
	body, err := json.Marshal(backend.DrainRequest{Announce: d.Announce, Notice: d.Notice})
	if err != nil {
		return fmt.Errorf("encode drain request: %w", err)
	}
	// Requests between this read and the drain count as sent after the drain, so the
	// result errs on the side of a longer drain.
	before, err := r.readServerLoad(ctx, d.Server)
	if err != nil {
		return err
	}
	tracker := drainTracker{startedAt: time.Now(), lastRequestCount: before.Requests, result: result}
	if err := r.callControlAPI(ctx, http.MethodPost, "/servers/"+url.PathEscape(d.Server)+"/drain", body, nil); err != nil {
		return err
	}
	for time.Since(tracker.startedAt) < d.WatchDuration.Std() {
		load, err := r.readServerLoad(ctx, d.Server)
		if err != nil {
			return err
		}
		tracker.update(load, time.Now())
		if err := sleepUntil(ctx, time.Now().Add(drainPollInterval)); err != nil {
			return err
		}
	}
	return nil
}

// drainTracker computes a drain result from successive reads of a server's load.
type drainTracker struct {
	startedAt        time.Time
	lastRequestCount uint64 // backend.Load.Requests of the last read
	result           *DrainResult
}

// update evaluates a read of the server's load.
func (t *drainTracker) update(load *backend.Load, now time.Time) {
	since := config.Duration(now.Sub(t.startedAt))
	if load.Requests > t.lastRequestCount {
		t.result.NewRequests += int(load.Requests - t.lastRequestCount)
		t.lastRequestCount = load.Requests
		t.result.LastNewRequest = since
		t.result.Drained = false
	}
	if load.InUse > 0 {
		t.result.Drained = false
		return
	}
	if !t.result.Drained {
		t.result.Drained = true
		t.result.IdleAfter = since
	}
}

// readServerLoad returns the current load of a backend server.
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

// readExecutions returns the execution counts of the backend stand-in. It returns nil
// if the plan has no control API or the call fails.
func (r *runner) readExecutions(ctx context.Context) *backend.Summary {
	if r.plan.ControlAddress == "" {
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

// callControlAPI calls the control API of the backend stand-in and decodes the
// response body into out unless that is nil.
func (r *runner) callControlAPI(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, responseBody, err := r.roundTrip(ctx, method, "http://"+r.plan.ControlAddress+path, body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return &ControlAPIError{Path: path, Status: status, Detail: string(responseBody)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(responseBody, out); err != nil {
		return &ControlAPIError{Path: path, Detail: err.Error()}
	}
	return nil
}
