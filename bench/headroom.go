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

// maxConcurrentLoadReads bounds the concurrent reads of load endpoints.
const maxConcurrentLoadReads = 16

// sampleHeadroom reads all load endpoints at the planned interval until ctx ends.
func (r *runner) sampleHeadroom(ctx context.Context) {
	if len(r.plan.BackendServers) == 0 {
		return
	}
	interval := r.plan.SampleInterval.Std()
	for next := r.startedAt.Add(interval); sleepUntil(ctx, next) == nil; next = next.Add(interval) {
		loads := r.readLoads(ctx, interval)
		if ctx.Err() == nil {
			r.headroom.addSample(loads)
		}
	}
}

// readLoads returns the loads in the order of the plan's backend servers, nil for
// each read that failed or exceeded the timeout.
func (r *runner) readLoads(ctx context.Context, timeout time.Duration) []*backend.Load {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	loads := make([]*backend.Load, len(r.plan.BackendServers))
	slots := make(chan struct{}, maxConcurrentLoadReads)
	var readers sync.WaitGroup
	for i, b := range r.plan.BackendServers {
		slots <- struct{}{}
		readers.Go(func() {
			loads[i] = r.readLoad(ctx, b)
			<-slots
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

// headroomSummary accumulates headroom samples. It is not safe for concurrent use.
type headroomSummary struct {
	backendServers []config.BackendServer
	freeShareSum   float64 // of all samples, for the mean
	totals         Headroom
}

func newHeadroomSummary(backends []config.BackendServer) *headroomSummary {
	return &headroomSummary{backendServers: backends, totals: Headroom{MinFree: 1, TightestFree: 1}}
}

// slotCount counts the slots of a group of backend servers.
type slotCount struct{ free, slots int }

func (c *slotCount) add(l *backend.Load) {
	c.slots += l.Slots
	c.free += l.Slots - l.InUse
}

// freeShare returns the fraction of slots that are free, or 0 if there are no slots.
func (c slotCount) freeShare() float64 {
	if c.slots == 0 {
		return 0
	}
	return float64(c.free) / float64(c.slots)
}

// addSample adds one sample: the loads in the order of h.backendServers, nil for each
// read that failed.
func (h *headroomSummary) addSample(loads []*backend.Load) {
	var all slotCount
	byGroup := make(map[string]*slotCount)
	for i, b := range h.backendServers {
		name := b.Service + " in " + b.Zone
		if byGroup[name] == nil {
			byGroup[name] = &slotCount{}
		}
		if loads[i] == nil {
			h.totals.MissedReads++
			continue
		}
		all.add(loads[i])
		byGroup[name].add(loads[i])
	}
	h.totals.Samples++
	h.freeShareSum += all.freeShare()
	h.totals.MinFree = min(h.totals.MinFree, all.freeShare())
	for name, count := range byGroup {
		h.updateTightest(name, count.freeShare())
	}
}

// updateTightest records a group if it has the least free share so far. Of groups with
// equal shares it records the first by name.
func (h *headroomSummary) updateTightest(name string, share float64) {
	if share < h.totals.TightestFree || share == h.totals.TightestFree && (h.totals.TightestGroup == "" || name < h.totals.TightestGroup) {
		h.totals.TightestGroup, h.totals.TightestFree = name, share
	}
}

// result returns the summary, or nil if there are no samples.
func (h *headroomSummary) result() *Headroom {
	if h.totals.Samples == 0 {
		return nil
	}
	out := h.totals
	out.MeanFree = h.freeShareSum / float64(out.Samples)
	return &out
}
