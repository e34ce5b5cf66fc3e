package forward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/problem"
)

func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(body)
}

func refusal(t *testing.T, body string) problem.Document {
	t.Helper()
	var d problem.Document
	must.NoError(t, json.Unmarshal([]byte(body), &d))
	return d
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

// reset closes the connection after the request was read.
func reset(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// raw sends bytes as the response and closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		conn.Close()
	}
}

// Guards against a key that reaches a backend server or a log line.
func TestKeyStaysInside(t *testing.T) {
	var seen http.Header
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		seen = req.Header.Clone()
		fmt.Fprint(w, "ok")
	})
	req := r.request(t, "GET", "/r/check/items?q=1", "")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	_, body := do(t, req)
	must.Eq(t, "ok", body)
	must.MapNotContainsKey(t, seen, HeaderKey)
	must.MapNotContainsKey(t, seen, "X-Hop")
	for name, values := range seen {
		must.StrNotContains(t, strings.Join(values, " "), testKey, must.Sprintf("header %s", name))
	}
}

// Guards against requests that run without a valid key, and refusals that leak it.
func TestRefusalsBeforeDispatchDidNotRun(t *testing.T) {
	cases := []struct {
		name   string
		change func(*rig, *http.Request)
		want   problem.Type
	}{
		{"no key", func(_ *rig, q *http.Request) { q.Header.Del(HeaderKey) }, problem.TypeKeyMissing},
		{"draining", func(r *rig, _ *http.Request) { r.draining = true }, problem.TypeDraining},
		{"withdrawn on arrival", func(r *rig, _ *http.Request) { r.withdrawn = true }, problem.TypeKeyInvalid},
		{"over its rate", func(r *rig, _ *http.Request) { r.limited = true }, problem.TypeRateExceeded},
		{"bad timeout", func(_ *rig, q *http.Request) { q.Header.Set(HeaderTimeout, "soon") }, problem.TypeBadRequest},
		{"no server", func(r *rig, _ *http.Request) { r.servers = nil }, problem.TypeNoServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			r := newRig(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			req := r.request(t, "GET", "/r/check/x", "")
			c.change(r, req)
			_, body := do(t, req)
			d := refusal(t, body)
			must.Eq(t, c.want, d.Type)
			must.Eq(t, problem.RanNo, d.Ran)
			must.Eq(t, 0, runs.Load())
			must.StrNotContains(t, body, testKey)
		})
	}
}

// Guards against a key that is withdrawn while its request waits and then runs.
func TestKeyCheckedAgainBeforeEachAttempt(t *testing.T) {
	var runs atomic.Int32
	r := newRig(t, reset, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	r.onPick = func() { r.withdrawn = true }
	_, body := do(t, r.request(t, "GET", "/r/check/x", ""))
	d := refusal(t, body)
	must.Eq(t, problem.TypeKeyInvalid, d.Type)
	must.Eq(t, problem.RanUnknown, d.Ran)
	must.Eq(t, 0, runs.Load())
}

// Guards against idempotent requests that fail with one broken server, and
// against truncated or foreign responses passed on as whole.
func TestIdempotentRequestMovesToAnotherServer(t *testing.T) {
	broken := map[string]http.HandlerFunc{
		"reset":       reset,
		"truncated":   raw("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"),
		"undelimited": raw("HTTP/1.1 200 OK\r\n\r\nno end"),
		"chunk cut":   raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
		"crossed":     raw("HTTP/1.1 200 OK\r\nJacinthrack-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"),
		"shed":        raw("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, handler := range broken {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, handler, answer("whole"))
			resp, body := do(t, r.request(t, "GET", "/r/check/x", ""))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, "whole", body)
		})
	}
}

// Guards against a backend server whose response passes for a refusal that says
// "not run".
func TestForgedRefusalIsNotMarked(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeDraining, http.StatusConflict, problem.RanNo, "forged").Write(w)
	})
	resp, _ := do(t, r.request(t, "GET", "/r/check/x", ""))
	must.Eq(t, http.StatusConflict, resp.StatusCode)
	must.Eq(t, "", resp.Header.Get(problem.HeaderRefused))
}

// Guards against retries beyond the budget.
func TestRetryBudgetIsObeyed(t *testing.T) {
	r := newRig(t, reset, answer("whole"))
	r.retries = 0
	resp, body := do(t, r.request(t, "GET", "/r/check/x", ""))
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, problem.RanUnknown, refusal(t, body).Ran)
}

// Guards against a refusal that says "not run" after bytes were sent, and
// against one that says "unknown" although no connection was made.
func TestRanIsTrue(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		address := listener.Addr().String()
		must.NoError(t, listener.Close())
		r := newRig(t)
		r.addServer(address)
		r.retries = 0
		_, body := do(t, r.request(t, "GET", "/r/check/x", ""))
		must.Eq(t, problem.RanNo, refusal(t, body).Ran)
	})
	t.Run("reset after reading", func(t *testing.T) {
		r := newRig(t, reset)
		r.retries = 0
		_, body := do(t, r.request(t, "GET", "/r/check/x", ""))
		must.Eq(t, problem.RanUnknown, refusal(t, body).Ran)
	})
}

// Guards against a second run of non-idempotent work, by our own retry or by
// the one that net/http makes for requests with an Idempotency-Key.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, body := range []string{"", "crate=1"} {
		t.Run("body "+body, func(t *testing.T) {
			var runs atomic.Int32
			r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
				if runs.Add(1) > 1 {
					reset(w, req)
				}
			}, answer("second server"))
			for i := range 2 {
				req := r.request(t, "POST", "/r/order/x", body)
				req.Header.Set(HeaderIdempotencyKey, fmt.Sprint(i))
				_, _ = do(t, req)
			}
			must.Eq(t, 2, runs.Load())
			must.Len(t, 1, r.completed)
			must.Eq(t, 0, r.released)
		})
	}
}

// Guards against claims that are kept although nothing was sent, or that start
// after their deadline.
func TestUnsentClaimIsReleased(t *testing.T) {
	cases := map[string]func(*rig){
		"lapsed before the connection": func(r *rig) { r.mayStart = false },
		"lapsed before the first byte": func(r *rig) { r.lapsed = &ClaimExpiredError{Err: io.EOF} },
		"no server":                    func(r *rig) { r.servers = nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			r := newRig(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			change(r)
			req := r.request(t, "POST", "/r/order/x", "crate=1")
			req.Header.Set(HeaderIdempotencyKey, "a")
			_, body := do(t, req)
			must.Eq(t, problem.RanNo, refusal(t, body).Ran)
			must.Eq(t, 0, runs.Load())
			must.Eq(t, 1, r.released)
		})
	}
}

// Guards against non-idempotent work without an idempotency key.
func TestIdempotencyKeyIsRequired(t *testing.T) {
	r := newRig(t, answer("ran"))
	_, body := do(t, r.request(t, "POST", "/r/order/x", "crate=1"))
	d := refusal(t, body)
	must.Eq(t, problem.TypeIdempotencyKeyMissing, d.Type)
	must.Eq(t, problem.RanNo, d.Ran)
}

// Guards against a long response that breaks off and ends cleanly for the caller.
func TestLongTruncatedResponseBreaksTheConnection(t *testing.T) {
	part := strings.Repeat("x", 2*StreamBufferBytes)
	cases := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(part), part),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, raw(response))
			resp, err := http.DefaultClient.Do(r.request(t, "GET", "/r/check/x", ""))
			must.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			must.Error(t, err)
			results := r.recorded()
			must.Len(t, 1, results)
			must.Error(t, results[0].Err)
		})
	}
}

// Guards against bodies that are cut, reordered or held in memory as a whole.
func TestLongBodiesPassThrough(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		_, _ = w.Write(body)
	})
	req := r.request(t, "PUT", "/r/check/x", string(sent))
	resp, body := do(t, req)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, body == string(sent))
}

// Guards against log lines without the reason or with the key.
func TestLogsHoldNoKey(t *testing.T) {
	var log bytes.Buffer
	handler := New(Options{Log: slog.New(slog.NewJSONHandler(&log, nil)), Metrics: NewMetrics(prometheus.NewRegistry())})
	x := &exchange{id: "1", key: testKey}
	handler.logRefusal(x, problem.New(problem.TypeKeyInvalid, http.StatusForbidden, problem.RanNo, "not valid"))
	must.StrContains(t, log.String(), "key-invalid")
	must.StrNotContains(t, log.String(), testKey)
}

// Guards against transfers between regions that are not counted against the link.
func TestTransfersAreCharged(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		_, _ = w.Write(body)
	})
	var up, down atomic.Int64
	r.charge = func(upload bool, bytes int) time.Duration {
		if upload {
			up.Add(int64(bytes))
		} else {
			down.Add(int64(bytes))
		}
		return time.Millisecond
	}
	size := 3 * StreamBufferBytes
	_, body := do(t, r.request(t, "PUT", "/r/check/x", strings.Repeat("x", size)))
	must.Eq(t, size, len(body))
	must.Eq(t, int64(size), up.Load())
	must.Eq(t, int64(size), down.Load())
}
