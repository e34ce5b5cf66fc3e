package bench

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthrack/jacinthrack/config"
	"github.com/jacinthrack/jacinthrack/internal/standin/backend"
)

// maxSampling bounds the load endpoints that are read at once.
const maxSampling = 16

// sample reads all load endpoints at regular times until ctx ends.
func (r *run) sample(ctx context.Context) {
	if len(r.plan.BackendServers) == 0 {
		return
	}
	every := r.plan.SampleInterval.Std()
	for next := r.start.Add(every); sleepUntil(ctx, next) == nil; next = next.Add(every) {
		loads := r.readLoads(ctx, every)
		if ctx.Err() == nil {
			r.headroom.add(loads)
		}
	}
}

// readLoads returns the loads by backend server, nil for those that did not
// answer in time.
func (r *run) readLoads(ctx context.Context, timeout time.Duration) []*backend.Load {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loads := make([]*backend.Load, len(r.plan.BackendServers))
	places := make(chan struct{}, maxSampling)
	var readers sync.WaitGroup
	for i, b := range r.plan.BackendServers {
		places <- struct{}{}
		readers.Go(func() {
			loads[i] = r.readLoad(ctx, b)
			<-places
		})
	}
	readers.Wait()
	return loads
}

func (r *run) readLoad(ctx context.Context, b config.BackendServer) *backend.Load {
	status, body, err := r.get(ctx, "http://"+b.Address+backend.PathLoad)
	if err != nil || status != http.StatusOK {
		return nil
	}
	var load backend.Load
	if json.Unmarshal(body, &load) != nil {
		return nil
	}
	return &load
}

// headroomSampler summarizes samples. It is used by one goroutine at a time.
type headroomSampler struct {
	backends []config.BackendServer
	sum      float64
	out      Headroom
}

func newHeadroomSampler(backends []config.BackendServer) *headroomSampler {
	return &headroomSampler{backends: backends, out: Headroom{MinFree: 1, TightestFree: 1}}
}

// use counts slots.
type use struct{ free, slots int }

func (u *use) add(l *backend.Load) {
	u.slots += l.Slots
	u.free += l.Slots - l.InUse
}

// share returns the free share, 0 if there is no slot at all.
func (u use) share() float64 {
	if u.slots == 0 {
		return 0
	}
	return float64(u.free) / float64(u.slots)
}

// add adds one sample: the loads by backend server, nil for those that did not
// answer.
func (h *headroomSampler) add(loads []*backend.Load) {
	var all use
	groups := make(map[string]*use)
	for i, b := range h.backends {
		name := b.Service + " in " + b.Zone
		if groups[name] == nil {
			groups[name] = &use{}
		}
		if loads[i] == nil {
			h.out.MissedReads++
			continue
		}
		all.add(loads[i])
		groups[name].add(loads[i])
	}
	h.out.Samples++
	h.sum += all.share()
	h.out.MinFree = min(h.out.MinFree, all.share())
	for name, u := range groups {
		h.tighten(name, u.share())
	}
}

// tighten notes the tightest group; of equal ones the first by name.
func (h *headroomSampler) tighten(name string, share float64) {
	if share < h.out.TightestFree || share == h.out.TightestFree && (h.out.TightestGroup == "" || name < h.out.TightestGroup) {
		h.out.TightestGroup, h.out.TightestFree = name, share
	}
}

// result returns nil if there was no sample.
func (h *headroomSampler) result() *Headroom {
	if h.out.Samples == 0 {
		return nil
	}
	out := h.out
	out.MeanFree = h.sum / float64(out.Samples)
	return &out
}
