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

// Headers and query parameters that the stand-in understands.
const (
	// HeaderNonce is returned in the answer, so that a caller can tell that the
	// answer belongs to its own request.
	HeaderNonce = "Standin-Nonce"
	// HeaderServer names the server that answered.
	HeaderServer = "Standin-Server"
	// HeaderCrash marks a request that crashes the server.
	HeaderCrash = "Standin-Crash"
	// QueryBytes asks for an answer padded to at least this many bytes.
	QueryBytes = "bytes"

	headerKey            = "Jacinthrack-Key"
	headerTimeout        = "Jacinthrack-Timeout"
	headerIdempotencyKey = "Idempotency-Key"
	// keyPrefix starts every customer key.
	keyPrefix = "jr_"
)

// Paths of the endpoints that take no slot.
const (
	PathHealth = "/healthz"
	PathLoad   = "/load"
)

// maxAnswerBytes bounds the padding that a request can ask for.
const maxAnswerBytes = 16 << 20

// Answer is the body of a successful answer.
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
	s.checkKey(r)
	switch r.URL.Path {
	case PathHealth:
		s.serveHealth(w, r)
	case PathLoad:
		s.serveLoad(w)
	default:
		s.serveWork(w, r)
	}
}

// checkKey records a request that carries a customer's key, under the key header
// or any other.
func (s *Server) checkKey(r *http.Request) {
	for name, values := range r.Header {
		if name == headerKey || containsKey(values) {
			s.fleet.journal.leak(KeyLeak{Server: s.spec.Name, Path: r.URL.Path, Header: name})
		}
	}
}

func containsKey(values []string) bool {
	for _, v := range values {
		if strings.Contains(v, keyPrefix) {
			return true
		}
	}
	return false
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	behavior := s.Behavior().answerFaults(s.requests.Add(1))
	w.Header().Set(HeaderServer, s.spec.Name)
	if behavior.Shed || !s.takeSlot() {
		s.announceClose(w)
		s.refuse(w)
		return
	}
	defer s.inUse.Add(-1)
	ctx, cancel := withDeadline(r)
	defer cancel()
	s.run(ctx, w, r, behavior)
}

// announceClose sends "Connection: close" if the server is to announce that it
// leaves. It is called just before an answer, so that requests in progress at
// the switch announce it too.
func (s *Server) announceClose(w http.ResponseWriter) {
	if s.Behavior().CloseConnections {
		w.Header().Set("Connection", "close")
	}
}

func (s *Server) takeSlot() bool {
	used := s.inUse.Add(1)
	if used > int64(s.spec.Slots) {
		s.inUse.Add(-1)
		return false
	}
	for peak := s.peak.Load(); used > peak; peak = s.peak.Load() {
		if s.peak.CompareAndSwap(peak, used) {
			break
		}
	}
	return true
}

func (s *Server) refuse(w http.ResponseWriter) {
	s.shed.Add(1)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

// withDeadline applies the caller's remaining time in milliseconds, if it sent
// one, in addition to cancellation by disconnecting.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(headerTimeout))
	if err != nil || left <= 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// run reads the body, works and answers. The work counts as run once the body is
// complete.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, b Behavior) {
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
	s.fleet.journal.started(r.Header.Get(headerIdempotencyKey), s.spec.Name)
	if r.Header.Get(HeaderCrash) != "" {
		s.Restart(s.fleet.crashDowntime())
		panic(http.ErrAbortHandler)
	}
	if !sleep(ctx, s.serviceTime(b)) {
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.fleet.journal.completed(r.Header.Get(headerIdempotencyKey))
	answer := Answer{
		Server:     s.spec.Name,
		Method:     r.Method,
		Path:       r.URL.Path,
		Nonce:      r.Header.Get(HeaderNonce),
		BodyBytes:  n,
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
		Padding:    padding(r),
	}
	s.answer(ctx, w, answer, b)
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
	return strings.Repeat("x", min(n, maxAnswerBytes))
}

func (s *Server) answer(ctx context.Context, w http.ResponseWriter, a Answer, b Behavior) {
	// Marshal cannot fail: Answer holds only strings and numbers.
	body, _ := json.Marshal(a)
	s.announceClose(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.ExtraAnswer {
		answerTwice(w, body)
		return
	}
	half := len(body) / 2
	if !b.Truncate && b.SlowAnswer == 0 {
		half = len(body)
	}
	if _, err := w.Write(body[:half]); err != nil || half == len(body) {
		return
	}
	_ = http.NewResponseController(w).Flush()
	if b.Truncate || !sleep(ctx, b.SlowAnswer.Std()) {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[half:])
}

// answerTwice sends the answer and, without a request, another one.
func answerTwice(w http.ResponseWriter, body []byte) {
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
	// The connection stays open until the peer closes it, so that the second
	// answer is not taken for the end of the connection.
	_ = conn.SetReadDeadline(time.Now().Add(extraAnswerWait))
	_, _ = io.Copy(io.Discard, conn)
}

// extraAnswerWait bounds how long a connection with an unrequested answer stays
// open.
const extraAnswerWait = 5 * time.Second

// sleep waits for d and reports whether ctx was still active at the end.
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
