package backend

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers and query parameters of the stand-in.
const (
	// HeaderNonce is copied from the request to Answer.Nonce, so that a caller can
	// detect a response that belongs to another request.
	HeaderNonce = "Standin-Nonce"
	// HeaderServer is the response header with the name of the server.
	HeaderServer = "Standin-Server"
	// HeaderCrash makes the server crash on the request and start again after
	// Options.CrashDowntime.
	HeaderCrash = "Standin-Crash"
	// QueryBytes is the number of padding bytes to add to the response body.
	QueryBytes = "bytes"

	headerCustomerKey    = "Jacinthrack-Key"
	headerTimeout        = "Jacinthrack-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	// customerKeyPrefix is the prefix of every API key of a customer.
	customerKeyPrefix = "jr_"
)

// Paths of the endpoints that need no slot.
const (
	PathHealth = "/healthz"
	PathLoad   = "/load"
)

// maxPaddingBytes bounds the padding that a request can ask for with QueryBytes.
const maxPaddingBytes = 16 << 20

// Answer is the body of a response with status 200.
type Answer struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Nonce  string `json:"nonce,omitempty"`
	// BodyBytes and BodySHA256 describe the request body.
	BodyBytes  int64  `json:"body_bytes"`
	BodySHA256 string `json:"body_sha256"`
	Padding    string `json:"padding,omitempty"`
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.recordKeyLeaks(r)
	switch r.URL.Path {
	case PathHealth:
		s.serveHealth(w, r)
	case PathLoad:
		s.serveLoad(w)
	default:
		s.serveRequest(w, r)
	}
}

// recordKeyLeaks records each header of r that contains a customer's key: the key header
// itself, or any header with a value that contains customerKeyPrefix.
func (s *Server) recordKeyLeaks(r *http.Request) {
	for name, values := range r.Header {
		if name == headerCustomerKey || containsCustomerKey(values) {
			s.fleet.journal.recordLeak(KeyLeak{Server: s.spec.Name, Path: r.URL.Path, Header: name})
		}
	}
}

func containsCustomerKey(values []string) bool {
	for _, v := range values {
		if strings.Contains(v, customerKeyPrefix) {
			return true
		}
	}
	return false
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	behavior := s.Behavior().forRequest(s.requestCount.Add(1))
	w.Header().Set(HeaderServer, s.spec.Name)
	if behavior.Shed || !s.acquireSlot() {
		s.announceClose(w)
		s.writeShedResponse(w)
		return
	}
	defer s.inFlight.Add(-1)
	ctx, cancel := withRequestTimeout(r)
	defer cancel()
	s.runRequest(ctx, w, r, behavior)
}

// announceClose adds "Connection: close" if CloseConnections is set. It reads the current
// behavior just before the response is written, so that requests that were in flight when
// CloseConnections was switched on announce the close too.
func (s *Server) announceClose(w http.ResponseWriter) {
	if s.Behavior().CloseConnections {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) acquireSlot() bool {
	used := s.inFlight.Add(1)
	if used > int64(s.spec.Slots) {
		s.inFlight.Add(-1)
		return false
	}
	for peak := s.peakInFlight.Load(); used > peak; peak = s.peakInFlight.Load() {
		if s.peakInFlight.CompareAndSwap(peak, used) {
			break
		}
	}
	return true
}

func (s *Server) writeShedResponse(w http.ResponseWriter) {
	s.shedCount.Add(1)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// withRequestTimeout returns the context of r, limited by the timeout in milliseconds if
// the request carries one. The context also ends when the caller disconnects.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	timeoutMS, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil || timeoutMS <= 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(timeoutMS)*time.Millisecond)
}

// runRequest reads the request body, waits for the service time and responds. The request
// counts as run once its body has been read completely.
func (s *Server) runRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, b Behavior) {
	if !sleep(ctx, b.StallUpload.Std()) {
		http.Error(w, "deadline passed during the upload", http.StatusGatewayTimeout)
		return
	}
	digest := sha256.New()
	n, err := io.Copy(digest, r.Body)
	if err != nil {
		http.Error(w, "incomplete request body", http.StatusBadRequest)
		return
	}
	s.fleet.journal.recordStart(r.Header.Get(headerIdempotencyKey), s.spec.Name)
	if r.Header.Get(HeaderCrash) != "" {
		s.Restart(s.fleet.crashDowntime())
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, s.serviceTime(b)) {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.fleet.journal.recordCompletion(r.Header.Get(headerIdempotencyKey))
	answer := Answer{
		Server:     s.spec.Name,
		Method:     r.Method,
		Path:       r.URL.Path,
		Nonce:      r.Header.Get(HeaderNonce),
		BodyBytes:  n,
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Padding:    padding(r),
	}
	s.writeResponse(ctx, w, answer, b)
}

func (s *Server) serviceTime(b Behavior) time.Duration {
	o := s.fleet.options
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := coldFactor(time.Since(s.startedAt), o.ColdStart, o.ColdFactor)
	if b.ServiceTimeFactor > 0 {
		factor *= b.ServiceTimeFactor
	}
	spread := 1 + o.Jitter*(2*s.rng.Float64()-1)
	return time.Duration(float64(o.ServiceTime) * factor * spread)
}

func padding(r *http.Request) string {
	n, err := strconv.Atoi(r.URL.Query().Get(QueryBytes))
	if err != nil || n <= 0 {
		return ""
	}
	return strings.Repeat("x", min(n, maxPaddingBytes))
}

func (s *Server) writeResponse(ctx context.Context, w http.ResponseWriter, a Answer, b Behavior) {
	// Marshal cannot fail: Answer has only string and integer fields.
	body, _ := json.Marshal(a)
	s.announceClose(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.ExtraAnswer {
		writeResponseTwice(w, body)
		return
	}
	firstPart := len(body) / 2
	if !b.Truncate && b.SlowAnswer == 0 {
		firstPart = len(body)
	}
	if _, err := w.Write(body[:firstPart]); err != nil || firstPart == len(body) {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if b.Truncate || !sleep(ctx, b.SlowAnswer.Std()) {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[firstPart:])
}

// writeResponseTwice hijacks the connection and writes the response twice, the second
// time without a request for it.
func writeResponseTwice(w http.ResponseWriter, body []byte) {
	header := w.Header().Clone()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for range 2 {
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
		_ = header.Write(buffered)
		_, _ = buffered.WriteString("\r\n")
		_, _ = buffered.Write(body)
	}
	_ = buffered.Flush()
	// Keep the connection open until the peer closes it, so that the peer
	// receives an unrequested response instead of the end of the connection.
	_ = conn.SetReadDeadline(time.Now().Add(extraResponseReadTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// extraResponseReadTimeout bounds how long a connection stays open after an unrequested
// response.
const extraResponseReadTimeout = 5 * time.Second

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
