package main

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// serverOptions are the command line of a backend server stand-in.
type serverOptions struct {
	id, address string
	slots       int
	work        time.Duration
	bodyBytes   int
	endless     float64 // share of the answers whose body has no end
	breakOff    float64 // share of the answers that break off at a random place
}

// server is a stand-in of a backend server. It prints a line for each request: "run" when it
// begins to work, "end" when its whole answer is written, "left" when its caller has closed the
// connection before.
type server struct {
	serverOptions
	mu       sync.Mutex
	inFlight int
}

func runServer(arguments []string) error {
	var s server
	flags := flag.NewFlagSet("server", flag.ExitOnError)
	flags.StringVar(&s.id, "id", "s1", "id of the server")
	flags.StringVar(&s.address, "address", "127.0.0.1:0", "IP:port")
	flags.IntVar(&s.slots, "slots", 6, "requests at a time")
	flags.DurationVar(&s.work, "work", 30*time.Millisecond, "time for which a request runs")
	flags.IntVar(&s.bodyBytes, "bytes", 5000, "size of an answer's body")
	flags.Float64Var(&s.endless, "endless", 0, "share of the answers whose body has no end")
	flags.Float64Var(&s.breakOff, "break-off", 0, "share of the answers that break off")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	return (&http.Server{Handler: &s, IdleTimeout: 10 * time.Second}).Serve(listener)
}

// print writes a line with the time in milliseconds since the epoch.
func (s *server) print(what, id string, more ...any) {
	fmt.Fprintf(os.Stdout, "%d %s %s %s %s\n", time.Now().UnixMilli(), s.id, what, id, strings.TrimSpace(fmt.Sprintln(more...)))
}

// load returns the value of the load header. The lock must be held.
func (s *server) load() string { return fmt.Sprintf("%d,0,%d", s.inFlight, s.slots) }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.ID)
	header := w.Header()
	header.Set("Keep-Alive", "timeout=10")
	header.Set(names.Instance, s.id)
	if id == "" {
		header.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	header.Set(names.ID, id)
	if expected := r.Header.Get(names.Expect); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if s.inFlight >= s.slots {
		header.Set(names.Load, s.load())
		s.mu.Unlock()
		header.Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.inFlight++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.print("run", id, r.Method, r.URL.Path, len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.print("left", id)
		return
	}
	s.mu.Lock()
	header.Set(names.Load, s.load())
	s.mu.Unlock()
	header.Set(names.Seal, sealOf(id, len(body)))
	if rand.Float64() < s.endless {
		s.writeEndless(w, r, id)
		return
	}
	answer := bodyOf(id, s.bodyBytes)
	header.Set("Content-Length", fmt.Sprint(len(answer)))
	if rand.Float64() < s.breakOff {
		n := rand.IntN(len(answer))
		s.print("breaks-off", id, n)
		_, _ = w.Write(answer[:n])
		panic(http.ErrAbortHandler)
	}
	if _, err := w.Write(answer); err != nil {
		s.print("left", id)
		return
	}
	s.print("end", id)
}

// Rate at which a body without an end is sent.
const (
	endlessPieceBytes = 64 << 10
	endlessPause      = 10 * time.Millisecond
)

// writeEndless sends bytes until the caller closes the connection.
func (s *server) writeEndless(w http.ResponseWriter, r *http.Request, id string) {
	s.print("endless", id)
	piece := []byte(strings.Repeat("x", endlessPieceBytes))
	sent := 0
	for r.Context().Err() == nil {
		n, err := w.Write(piece)
		sent += n
		if err != nil {
			break
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			break
		}
		time.Sleep(endlessPause)
	}
	s.print("closed", id, sent)
}

// sealOf is the signature of the answer to a request.
func sealOf(id string, bodyBytes int) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", id, bodyBytes)
	return fmt.Sprintf("%016x", h.Sum64())
}

// bodyOf is the body of the answer to a request.
func bodyOf(id string, size int) []byte {
	return []byte(strings.Repeat(id+" ", size/(len(id)+1)+1)[:size])
}
