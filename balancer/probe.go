package balancer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Probe schedule.
const (
	// probeInterval is the time between two probes of one server by the entry
	// instances of its region together.
	probeInterval = time.Second
	// probeTimeout is far above the 6 ms in which a server answers a probe.
	probeTimeout = 500 * time.Millisecond
	// probeParallel bounds the probes in progress.
	probeParallel = 16
	// probeBodyBytes bounds what is read of an answer, so that the connection
	// can be used again.
	probeBodyBytes = 4 << 10
)

// prober asks the health endpoints of the backend servers in the own region. The
// entry instances of the region take turns.
type prober struct {
	balancer *Balancer
	client   *http.Client
	turn     int
}

func newProber(b *Balancer) *prober {
	return &prober{
		balancer: b,
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

func (p *prober) run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.round(ctx)
		case <-ctx.Done():
			p.client.CloseIdleConnections()
			return
		}
	}
}

// round probes the servers whose turn it is.
func (p *prober) round(ctx context.Context) {
	s := p.balancer.current()
	if s == nil {
		return
	}
	p.turn++
	rank, count := p.rank(s)
	permits := make(chan struct{}, probeParallel)
	var probes sync.WaitGroup
	for i, server := range p.servers(s) {
		if (i+p.turn)%count != rank {
			continue
		}
		permits <- struct{}{}
		probes.Go(func() {
			defer func() { <-permits }()
			p.probe(ctx, s, server)
		})
	}
	probes.Wait()
}

// rank returns this instance's place among the entry instances of its region.
func (p *prober) rank(s *state) (rank, count int) {
	names := p.balancer.sharersByRegion(s.index)[s.region]
	rank = sort.SearchStrings(names, p.balancer.opts.InstanceName)
	if rank == len(names) || names[rank] != p.balancer.opts.InstanceName {
		return 0, 1
	}
	return rank, len(names)
}

// servers returns the probed servers of the region, in a stable order.
func (p *prober) servers(s *state) []config.BackendServer {
	var out []config.BackendServer
	for _, server := range s.index.Document().BackendServers {
		region, _ := s.index.Region(server.Zone)
		service, _ := s.index.Service(server.Service)
		if region == s.region && service.HealthPath != "" {
			out = append(out, server)
		}
	}
	return out
}

func (p *prober) probe(ctx context.Context, s *state, server config.BackendServer) {
	service, _ := s.index.Service(server.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+service.HealthPath, nil)
	if err != nil {
		return
	}
	event := serverstate.Event{Server: server.Name, Kind: serverstate.KindProbe}
	resp, err := p.client.Do(req)
	event.At = time.Now()
	switch {
	case ctx.Err() != nil:
		return
	case errors.Is(err, syscall.ECONNREFUSED):
		event.Kind = serverstate.KindConnectionRefused
	case err == nil:
		_, _ = io.CopyN(io.Discard, resp.Body, probeBodyBytes)
		resp.Body.Close()
		event.Healthy = resp.StatusCode < http.StatusMultipleChoices
		event.ConnectionClose = resp.Close
	}
	p.balancer.observe(event)
}
