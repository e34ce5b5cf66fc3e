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

// drainPoll is the resolution of drain times.
const drainPoll = 20 * time.Millisecond

// ControlAPIError reports an answer of the stand-in's control API that cannot be
// used.
type ControlAPIError struct {
	Path   string
	Status int // 0 if the answer could not be decoded
	Detail string
}

func (e *ControlAPIError) Error() string {
	return fmt.Sprintf("control API %s: status %d: %s", e.Path, e.Status, e.Detail)
}

// watchDrain drains a server at its time and watches the work that reaches it.
func (r *run) watchDrain(ctx context.Context, d DrainPlan) *DrainResult {
	result := &DrainResult{Server: d.Server}
	if err := r.drainAndWatch(ctx, d, result); err != nil {
		result.Error = err.Error()
	}
	return result
}

func (r *run) drainAndWatch(ctx context.Context, d DrainPlan, result *DrainResult) error {
	if err := sleepUntil(ctx, r.start.Add(d.At.Std())); err != nil {
		return err
	}
	body, err := json.Marshal(backend.DrainRequest{Announce: d.Announce, Notice: d.Notice})
	if err != nil {
		return fmt.Errorf("encode drain request: %w", err)
	}
	// Requests between this reading and the drain count as sent after it, so the
	// result errs on the side of a longer drain.
	before, err := r.serverLoad(ctx, d.Server)
	if err != nil {
		return err
	}
	w := drainWatch{started: time.Now(), requests: before.Requests, result: result}
	if err := r.control(ctx, http.MethodPost, "/servers/"+url.PathEscape(d.Server)+"/drain", body, nil); err != nil {
		return err
	}
	for time.Since(w.started) < d.WatchDuration.Std() {
		load, err := r.serverLoad(ctx, d.Server)
		if err != nil {
			return err
		}
		w.see(load, time.Now())
		if err := sleepUntil(ctx, time.Now().Add(drainPoll)); err != nil {
			return err
		}
	}
	return nil
}

// drainWatch turns readings of a server's load into a drain result.
type drainWatch struct {
	started  time.Time
	requests uint64
	result   *DrainResult
}

func (w *drainWatch) see(load *backend.Load, now time.Time) {
	since := config.Duration(now.Sub(w.started))
	if load.Requests > w.requests {
		w.result.NewRequests += int(load.Requests - w.requests)
		w.requests = load.Requests
		w.result.LastNewRequest = since
		w.result.Drained = false
	}
	if load.InUse > 0 {
		w.result.Drained = false
		return
	}
	if !w.result.Drained {
		w.result.Drained = true
		w.result.IdleAfter = since
	}
}

func (r *run) serverLoad(ctx context.Context, name string) (*backend.Load, error) {
	var servers []backend.ServerStatus
	if err := r.control(ctx, http.MethodGet, "/servers", nil, &servers); err != nil {
		return nil, err
	}
	for i := range servers {
		if servers[i].Name == name {
			return &servers[i].Load, nil
		}
	}
	return nil, &backend.UnknownServerError{Name: name}
}

// executions returns the stand-in's counts, nil if it cannot be asked.
func (r *run) executions(ctx context.Context) *backend.Summary {
	if r.plan.ControlAddress == "" {
		return nil
	}
	var summary backend.Summary
	if r.control(ctx, http.MethodGet, "/executions", nil, &summary) != nil {
		return nil
	}
	return &summary
}

// controlTimeout bounds a call to the control API.
const controlTimeout = 5 * time.Second

func (r *run) control(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	status, answer, err := r.exchange(ctx, method, "http://"+r.plan.ControlAddress+path, body)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest {
		return &ControlAPIError{Path: path, Status: status, Detail: string(answer)}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return &ControlAPIError{Path: path, Detail: err.Error()}
	}
	return nil
}
