package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a backend server. It does what the users' pages say of a sound one.
type server struct {
	id, address string
	slots       int
	queueLimit  int // requests that may wait for a slot
	service     time.Duration
	record      *record

	mu      sync.Mutex
	running int
	waiting int
	slot    chan struct{}
}

// addServer starts a server and writes its record to the store.
func (d *deployment) addServer(r *record, zone string, slots int, service time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := len(d.servers) + 1
	s := &server{
		id: fmt.Sprintf("i-%d", n), address: listener.Addr().String(), slots: slots, queueLimit: 3 * slots, service: service,
		record: r, slot: make(chan struct{}, slots),
	}
	go func() {
		h := &http.Server{Handler: s, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
		_ = h.Serve(listener)
	}()
	d.servers = append(d.servers, s)
	content, err := render("server.json.tmpl", map[string]any{
		"Address": s.address, "Zone": zone, "Slots": slots, "State": "ready", "Sequence": 1, "Born": time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, err
	}
	d.store.Put("servers", s.id, content)
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerNames.RequestID)
	w.Header().Set(headerNames.RequestID, id)
	if expected := r.Header.Get(headerNames.ExpectInstance); expected != "" && expected != s.id {
		w.Header().Set(headerNames.Instance, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	s.record.add(event{what: "arrived", id: id, at: arrived, where: s.id})
	sum := crc32.NewIEEE()
	size, err := io.Copy(sum, r.Body)
	if err != nil {
		s.record.add(event{what: "body broke off", id: id, at: time.Now(), where: s.id, size: size})
		return
	}
	if !s.takeSlot(r) {
		w.Header().Set(headerNames.NotExecuted, "1")
		s.setLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		s.record.add(event{what: "rejected", id: id, at: time.Now(), where: s.id})
		return
	}
	s.record.add(event{what: "run", id: id, at: time.Now(), where: s.id, size: size, sum: sum.Sum32()})
	select {
	case <-time.After(s.service):
	case <-r.Context().Done():
	}
	s.freeSlot()
	if r.Context().Err() != nil {
		s.record.add(event{what: "cancelled", id: id, at: time.Now(), where: s.id})
		return
	}
	s.setLoad(w)
	w.Header().Set(headerNames.Seal, "seal."+s.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s", s.id, id)
	s.record.add(event{what: "answered", id: id, at: time.Now(), where: s.id})
}

// takeSlot waits for a slot. It reports false if the queue is full or the connection was closed.
func (s *server) takeSlot(r *http.Request) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queueLimit {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	taken := false
	select {
	case s.slot <- struct{}{}:
		taken = true
	case <-r.Context().Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	if taken {
		s.running++
	}
	return taken
}

func (s *server) freeSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	<-s.slot
}

// setLoad adds the load to an answer.
func (s *server) setLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(headerNames.Load, fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots))
}
