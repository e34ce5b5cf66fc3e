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
	"github.com/jacinthrack/jacinthrack/internal/responsecheck"
	"github.com/jacinthrack/jacinthrack/serverstate"
)

// Limits and schedule of the health probes.
const (
	// probeInterval is the time between two probes of one server, sent in turn by
	// the entry instances of its region.
	probeInterval = time.Second
	// probeTimeout is the timeout of a probe. A server answers one in 6 ms.
	probeTimeout = 500 * time.Millisecond
	// maxConcurrentProbes is the maximum number of probes in flight.
	maxConcurrentProbes = 16
	// maxProbeBodyBytes is the number of bytes read of a response body, so that the
	// connection can be reused.
	maxProbeBodyBytes = 4 << 10
	// maxProbeHeadBytes is the largest head of a response.
	maxProbeHeadBytes = 16 << 10
)

// prober probes the health endpoints of the backend servers in the region of this
// instance. The entry instances of the region take turns, so that each server is
// probed once per probeInterval.
type prober struct {
	balancer *Balancer
	client   *http.Client
	rounds   int // rounds since the start
}

func newProber(b *Balancer) *prober {
	return &prober{
		balancer: b,
		client: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxProbeHeadBytes},
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
			p.probeRound(ctx)
		case <-ctx.Done():
			p.client.CloseIdleConnections()
			return
		}
	}
}

// probeRound probes the servers that are this instance's in this round.
func (p *prober) probeRound(ctx context.Context) {
	s := p.balancer.currentConfigState()
	if s == nil {
		return
	}
	p.rounds++
	rank, count := p.instanceRank(s)
	permits := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	for i, server := range p.probedServers(s) {
		if (i+p.rounds)%count != rank {
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

// instanceRank returns the position of this instance among the entry instances of its
// region, by name, and their number. It returns 0 of 1 if this instance is not among
// the live ones.
func (p *prober) instanceRank(s *configState) (rank, count int) {
	names := p.balancer.instancesByRegion(s.index)[s.region]
	rank = sort.SearchStrings(names, p.balancer.opts.InstanceName)
	if rank == len(names) || names[rank] != p.balancer.opts.InstanceName {
		return 0, 1
	}
	return rank, len(names)
}

// probedServers returns the servers of the region that have a health endpoint, in the
// order of the configuration.
func (p *prober) probedServers(s *configState) []config.BackendServer {
	var out []config.BackendServer
	for _, server := range s.index.Document().BackendServers {
		region, _ := s.index.RegionOfZone(server.Zone)
		service, _ := s.index.Service(server.Service)
		if region == s.region && service.HealthPath != "" {
			out = append(out, server)
		}
	}
	return out
}

func (p *prober) probe(ctx context.Context, s *configState, server config.BackendServer) {
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
		_, _ = io.CopyN(io.Discard, resp.Body, maxProbeBodyBytes)
		resp.Body.Close()
		// Nothing that a response with an invalid head says of the server counts.
		if responsecheck.Check(resp) == nil {
			event.Healthy = resp.StatusCode < http.StatusMultipleChoices
			event.ConnectionClose = resp.Close
		}
	}
	p.balancer.observe(event)
}
