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

	"github.com/jacinthrack/jacinthrack/internal/responsecheck/responsetest"
	"github.com/jacinthrack/jacinthrack/problem"
)

// do sends a request and returns the response and its body.
func do(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, string(body)
}

// decodeProblem decodes a problem document.
func decodeProblem(t *testing.T, body string) problem.Document {
	t.Helper()
	var d problem.Document
	must.NoError(t, json.Unmarshal([]byte(body), &d))
	return d
}

// respondWith returns a handler that sends text as the response body.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

// closeAfterRead reads the request and closes the connection without a response.
func closeAfterRead(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// Guards against API keys and hop-by-hop headers that are forwarded to a backend server.
func TestKeyIsNotForwarded(t *testing.T) {
	var seen http.Header
	r := newTestInstance(t, func(w http.ResponseWriter, req *http.Request) {
		seen = req.Header.Clone()
		fmt.Fprint(w, "ok")
	})
	req := r.newRequest(t, "GET", "/r/check/items?q=1", "")
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

// Guards against requests that run although they are rejected, and against rejections that
// contain the API key.
func TestRejectionBeforeSendingSaysNotRun(t *testing.T) {
	cases := []struct {
		name   string
		change func(*testInstance, *http.Request)
		want   problem.Type
	}{
		{"key missing", func(_ *testInstance, q *http.Request) { q.Header.Del(HeaderKey) }, problem.TypeKeyMissing},
		{"draining", func(r *testInstance, _ *http.Request) { r.draining = true }, problem.TypeDraining},
		{"withdrawn on arrival", func(r *testInstance, _ *http.Request) { r.keyWithdrawn = true }, problem.TypeKeyInvalid},
		{"rate exceeded", func(r *testInstance, _ *http.Request) { r.overRate = true }, problem.TypeRateExceeded},
		{"invalid timeout", func(_ *testInstance, q *http.Request) { q.Header.Set(HeaderTimeout, "soon") }, problem.TypeBadRequest},
		{"no backend server", func(r *testInstance, _ *http.Request) { r.servers = nil }, problem.TypeNoBackendServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int32
			r := newTestInstance(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			req := r.newRequest(t, "GET", "/r/check/x", "")
			c.change(r, req)
			_, body := do(t, req)
			d := decodeProblem(t, body)
			must.Eq(t, c.want, d.Type)
			must.Eq(t, problem.DidNotRun, d.Ran)
			must.Eq(t, 0, runs.Load())
			must.StrNotContains(t, body, testKey)
		})
	}
}

// Guards against running a request whose key was withdrawn while the request waited or
// between its attempts.
func TestKeyCheckedAgainBeforeEachAttempt(t *testing.T) {
	var runs atomic.Int32
	r := newTestInstance(t, closeAfterRead, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	r.onPick = func() { r.keyWithdrawn = true }
	_, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
	d := decodeProblem(t, body)
	must.Eq(t, problem.TypeKeyInvalid, d.Type)
	must.Eq(t, problem.MayHaveRun, d.Ran)
	must.Eq(t, 0, runs.Load())
}

// Guards against idempotent requests that fail because of one faulty server, and against
// returning a truncated response or the response to another request.
func TestIdempotentRequestMovesToAnotherServer(t *testing.T) {
	broken := map[string]http.HandlerFunc{
		"reset":                   closeAfterRead,
		"truncated":               responsetest.Handler("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"),
		"undelimited":             responsetest.Handler("HTTP/1.1 200 OK\r\n\r\nno end"),
		"coding in a folded line": responsetest.Handler("HTTP/1.1 200 OK\r\nX-First: 1\r\n Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
		"chunk cut":               responsetest.Handler("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
		"crossed":                 responsetest.Handler("HTTP/1.1 200 OK\r\nJacinthrack-Request-Id: other\r\nContent-Length: 2\r\n\r\nno"),
		"shed":                    responsetest.Handler("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, handler := range broken {
		t.Run(name, func(t *testing.T) {
			r := newTestInstance(t, handler, respondWith("whole"))
			resp, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, "whole", body)
		})
	}
}

// Guards against passing on a response whose head is invalid, and against telling the caller of a
// non-idempotent request that it did not run.
func TestResponseWithInvalidHeadIsRejected(t *testing.T) {
	for name, text := range responsetest.WithInvalidHeads("broken") {
		t.Run(name, func(t *testing.T) {
			r := newTestInstance(t, responsetest.Handler(text), respondWith("whole"))
			resp, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
			must.Eq(t, http.StatusOK, resp.StatusCode)
			must.Eq(t, "whole", body)
			req := r.newRequest(t, "POST", "/r/order/x", "crate=1")
			req.Header.Set(HeaderIdempotencyKey, "a")
			resp, body = do(t, req)
			must.Eq(t, http.StatusBadGateway, resp.StatusCode)
			must.Eq(t, problem.MayHaveRun, decodeProblem(t, body).Ran)
		})
	}
}

// Guards against a backend server's problem document that looks like a rejection by an entry
// instance, from which a caller would conclude that the request did not run.
func TestBackendProblemDocumentIsNotMarkedAsRejection(t *testing.T) {
	r := newTestInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		problem.New(problem.TypeDraining, http.StatusConflict, problem.DidNotRun, "forged").Write(w)
	})
	resp, _ := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
	must.Eq(t, http.StatusConflict, resp.StatusCode)
	must.Eq(t, "", resp.Header.Get(problem.HeaderRefused))
}

// Guards against retries after the retry budget is used up.
func TestRetryBudgetIsObeyed(t *testing.T) {
	r := newTestInstance(t, closeAfterRead, respondWith("whole"))
	r.retriesLeft = 0
	resp, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
	must.Eq(t, http.StatusBadGateway, resp.StatusCode)
	must.Eq(t, problem.MayHaveRun, decodeProblem(t, body).Ran)
}

// Guards against problem documents with DidNotRun after bytes were sent, and with MayHaveRun
// although no connection was established.
func TestRanTellsWhetherBytesWereSent(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		address := listener.Addr().String()
		must.NoError(t, listener.Close())
		r := newTestInstance(t)
		r.addServer(address)
		r.retriesLeft = 0
		_, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
		must.Eq(t, problem.DidNotRun, decodeProblem(t, body).Ran)
	})
	t.Run("reset after reading", func(t *testing.T) {
		r := newTestInstance(t, closeAfterRead)
		r.retriesLeft = 0
		_, body := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
		must.Eq(t, problem.MayHaveRun, decodeProblem(t, body).Ran)
	})
}

// Guards against a second run of a non-idempotent request, through a retry of this package
// or the one that net/http makes for requests with an Idempotency-Key header.
func TestNonIdempotentRunsOnce(t *testing.T) {
	for _, body := range []string{"", "crate=1"} {
		t.Run("body "+body, func(t *testing.T) {
			var runs atomic.Int32
			r := newTestInstance(t, func(w http.ResponseWriter, req *http.Request) {
				if runs.Add(1) > 1 {
					closeAfterRead(w, req)
				}
			}, respondWith("second server"))
			for i := range 2 {
				req := r.newRequest(t, "POST", "/r/order/x", body)
				req.Header.Set(HeaderIdempotencyKey, fmt.Sprint(i))
				_, _ = do(t, req)
			}
			must.Eq(t, 2, runs.Load())
			must.Len(t, 1, r.claimsCompleted)
			must.Eq(t, 0, r.claimsReleased)
		})
	}
}

// Guards against claims that are not released although nothing was sent, and against
// requests that are sent after their claim expired.
func TestUnsentClaimIsReleased(t *testing.T) {
	cases := map[string]func(*testInstance){
		"claim expired before connecting":     func(r *testInstance) { r.claimMayStart = false },
		"claim expired before the first byte": func(r *testInstance) { r.markSentErr = &ClaimExpiredError{Err: io.EOF} },
		"no server":                           func(r *testInstance) { r.servers = nil },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			r := newTestInstance(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
			change(r)
			req := r.newRequest(t, "POST", "/r/order/x", "crate=1")
			req.Header.Set(HeaderIdempotencyKey, "a")
			_, body := do(t, req)
			must.Eq(t, problem.DidNotRun, decodeProblem(t, body).Ran)
			must.Eq(t, 0, runs.Load())
			must.Eq(t, 1, r.claimsReleased)
		})
	}
}

// Guards against running a non-idempotent request that has no idempotency key.
func TestIdempotencyKeyIsRequired(t *testing.T) {
	r := newTestInstance(t, respondWith("ran"))
	_, body := do(t, r.newRequest(t, "POST", "/r/order/x", "crate=1"))
	d := decodeProblem(t, body)
	must.Eq(t, problem.TypeIdempotencyKeyMissing, d.Type)
	must.Eq(t, problem.DidNotRun, d.Ran)
}

// Guards against a truncated response, longer than the buffer, that looks complete to the
// caller.
func TestLongTruncatedResponseBreaksTheConnection(t *testing.T) {
	part := strings.Repeat("x", 2*StreamBufferBytes)
	cases := map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(part), part),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(part), part),
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			r := newTestInstance(t, responsetest.Handler(response))
			resp, err := http.DefaultClient.Do(r.newRequest(t, "GET", "/r/check/x", ""))
			must.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			must.Error(t, err)
			results := r.recordedResults()
			must.Len(t, 1, results)
			must.Error(t, results[0].Err)
		})
	}
}

// Guards against a response without an end that is passed on after the deadline of its request.
func TestResponseWithoutEndIsEndedAtTheDeadline(t *testing.T) {
	ended := make(chan struct{})
	r := newTestInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		piece := make([]byte, StreamBufferBytes)
		for {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	req := r.newRequest(t, "GET", "/r/check/x", "")
	req.Header.Set(HeaderTimeout, "300")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	must.Error(t, err)
	<-ended
}

// Guards against a response head without an end that is read until memory runs out.
func TestResponseHeadWithoutEndIsRejected(t *testing.T) {
	sent := make(chan int, 1)
	r := newTestInstance(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		line := strings.Repeat("X-More: 1\r\n", 1000)
		total, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(conn, line)
			total += n
		}
		sent <- total
	})
	resp, _ := do(t, r.newRequest(t, "GET", "/r/check/x", ""))
	must.GreaterEq(t, http.StatusInternalServerError, resp.StatusCode)
	const socketBuffers = 8 << 20 // bytes that the kernel may hold for both ends
	must.Less(t, maxResponseHeadBytes+socketBuffers, <-sent)
}

// Guards against request and response bodies that are truncated or changed when they are
// longer than the buffer.
func TestLongBodiesPassThrough(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	r := newTestInstance(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		_, _ = w.Write(body)
	})
	req := r.newRequest(t, "PUT", "/r/check/x", string(sent))
	resp, body := do(t, req)
	must.Eq(t, http.StatusOK, resp.StatusCode)
	must.True(t, body == string(sent))
}

// Guards against log lines of rejections that lack the reason or contain the API key.
func TestRejectionLogHasReasonButNoKey(t *testing.T) {
	var log bytes.Buffer
	handler := New(Options{Log: slog.New(slog.NewJSONHandler(&log, nil)), Metrics: NewMetrics(prometheus.NewRegistry())})
	x := &requestState{requestID: "1", presentedKey: testKey}
	handler.recordRejection(x, problem.New(problem.TypeKeyInvalid, http.StatusForbidden, problem.DidNotRun, "not valid"))
	must.StrContains(t, log.String(), "key-invalid")
	must.StrNotContains(t, log.String(), testKey)
}

// Guards against transfers between regions that are not charged to the budget of the link.
func TestTransfersBetweenRegionsAreCharged(t *testing.T) {
	r := newTestInstance(t, func(w http.ResponseWriter, req *http.Request) {
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
	_, body := do(t, r.newRequest(t, "PUT", "/r/check/x", strings.Repeat("x", size)))
	must.Eq(t, size, len(body))
	must.Eq(t, int64(size), up.Load())
	must.Eq(t, int64(size), down.Load())
}
