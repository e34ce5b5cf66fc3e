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

// maxConcurrentLoadReads bounds the load endpoints that are read at once.
const maxConcurrentLoadReads = 16

// sampleHeadroom reads all load endpoints at regular times until ctx ends.
func (r *runner) sampleHeadroom(ctx context.Context) {
	if len(r.plan.Backends) == 0 {
		return
	}
	every := r.plan.SampleEvery.Std()
	for next := r.startedAt.Add(every); sleepUntil(ctx, next) == nil; next = next.Add(every) {
		loads := r.readLoads(ctx, every)
		if ctx.Err() == nil {
			r.headroom.addSample(loads)
		}
	}
}

// readLoads returns the loads by backend server, nil for those that did not
// answer in time.
func (r *runner) readLoads(ctx context.Context, timeout time.Duration) []*backend.Load {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loads := make([]*backend.Load, len(r.plan.Backends))
	places := make(chan struct{}, maxConcurrentLoadReads)
	var readers sync.WaitGroup
	for i, b := range r.plan.Backends {
		places <- struct{}{}
		readers.Go(func() {
			loads[i] = r.readLoad(ctx, b)
			<-places
		})
	}
	readers.Wait()
	return loads
}

func (r *runner) readLoad(ctx context.Context, b config.BackendServer) *backend.Load {
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

// headroomSummary summarizes samples. It is used by one goroutine at a time.
type headroomSummary struct {
	backendServers []config.BackendServer
	freeShareSum      float64
	totals      Headroom
}

func newHeadroomSummary(backends []config.BackendServer) *headroomSummary {
	return &headroomSummary{backendServers: backends, totals: Headroom{Min: 1, TightestFree: 1}}
}

// slotCount counts slots.
type slotCount struct{ free, slots int }

func (u *slotCount) add(l *backend.Load) {
	u.slots += l.Slots
	u.free += l.Slots - l.InUse
}

// freeShare returns the free share, 0 if there is no slot at all.
func (u slotCount) freeShare() float64 {
	if u.slots == 0 {
		return 0
	}
	return float64(u.free) / float64(u.slots)
}

// addSample adds one sample: the loads by backend server, nil for those that did not
// answer.
func (h *headroomSummary) addSample(loads []*backend.Load) {
	var all slotCount
	groups := make(map[string]*slotCount)
	for i, b := range h.backendServers {
		name := b.Service + " in " + b.Zone
		if groups[name] == nil {
			groups[name] = &slotCount{}
		}
		if loads[i] == nil {
			h.totals.Missed++
			continue
		}
		all.add(loads[i])
		groups[name].add(loads[i])
	}
	h.totals.Samples++
	h.freeShareSum += all.freeShare()
	h.totals.Min = min(h.totals.Min, all.freeShare())
	for name, u := range groups {
		h.updateTightest(name, u.freeShare())
	}
}

// updateTightest notes the tightest group; of equal ones the first by name.
func (h *headroomSummary) updateTightest(name string, share float64) {
	if share < h.totals.TightestFree || share == h.totals.TightestFree && (h.totals.Tightest == "" || name < h.totals.Tightest) {
		h.totals.Tightest, h.totals.TightestFree = name, share
	}
}

// result returns nil if there was no sample.
func (h *headroomSummary) result() *Headroom {
	if h.totals.Samples == 0 {
		return nil
	}
	out := h.totals
	out.Mean = h.freeShareSum / float64(out.Samples)
	return &out
}
