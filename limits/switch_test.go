package limits

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jacinthrack/jacinthrack/tablestore/memory"
)

// Checks the fleet sizes at which the mode changes: between the two thresholds the mode stays, so
// that restarts do not change it, and a fleet of 7 instances, the usual size, is in the direct mode.
func TestChooseMode(t *testing.T) {
	cases := []struct {
		current   Mode
		instances int
		want      Mode
	}{
		{"", 7, ModeDirect}, {"", 20, ModeDirect}, {"", 25, ModeZone},
		{ModeDirect, 24, ModeDirect}, {ModeDirect, 25, ModeZone},
		{ModeZone, 18, ModeZone}, {ModeZone, 17, ModeDirect},
	}
	for _, c := range cases {
		must.Eq(t, c.want, ChooseMode(c.current, c.instances), must.Sprintf("%+v", c))
	}
}

// Checks that a mode change never admits from the shares of both modes at once, leaves no shares
// of the old mode in the ledger, and keeps the limits.
func TestSwitchChangesMode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := Limit{Name: testLimit, RatePerSecond: 100, Burst: 100}
		store := memory.New()
		reference := NewBucket(limit.Share(), true, time.Now())
		var fleetSizes [3]atomic.Int32 // in instances, as each instance sees it
		var fleet [3]*ModeSwitch
		names := []string{"a-0", "a-1", "a-2"}
		requestShares := func(_ context.Context, to string, b ShareRequestBatch) (ShareGrantBatch, error) {
			manager, ok := fleet[to[2]-'0'].Current().(*ZoneManager)
			if !ok {
				return ShareGrantBatch{}, &NotAllocatorError{}
			}
			return manager.GrantShares(b)
		}
		for i, name := range names {
			choose := func(m Mode) Mode { return ChooseMode(m, int(fleetSizes[i].Load())) }
			fleet[i] = NewModeSwitch(choose, func(m Mode, number int) Limiter {
				o := Options{Table: store, ID: fmt.Sprintf("%s/1/%d", name, number), Instance: name}
				if m == ModeDirect {
					return NewManager(o)
				}
				return NewZoneManager(ZoneOptions{Options: o, Zone: "a", AllocatorCandidates: func() []string { return names }, RequestShares: requestShares})
			})
			must.NoError(t, fleet[i].SetLimits(1, []Limit{limit}))
		}
		for _, s := range fleet {
			go func() { _ = s.Run(t.Context()) }()
		}
		offer := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				for i, s := range fleet {
					if now := time.Now(); s.Allow(testLimit, 1, now).Allowed {
						must.True(t, reference.Take(1-1e-9, now), must.Sprintf("instance %d admitted a request above burst + rate·t", i))
					}
				}
			}
		}
		ledger := func() Ledger {
			row, err := store.Read(t.Context(), LedgerKey(testLimit))
			must.NoError(t, err)
			l, err := DecodeLedger(row.Value)
			must.NoError(t, err)
			return l
		}
		for _, change := range []struct {
			instances       int32
			mode            Mode
			holdersAfter5s  int // after 5 s; an allocator leaves only once its grants have ended
			holdersAfter40s int // 35 s later
		}{{7, ModeDirect, 3, 3}, {30, ModeZone, 1, 1}, {7, ModeDirect, 4, 3}} {
			fleetSizes[0].Store(change.instances)
			offer(3 * time.Second) // the instance that is or becomes the allocator changes first
			fleetSizes[1].Store(change.instances)
			fleetSizes[2].Store(change.instances)
			offer(5 * time.Second)
			must.Len(t, change.holdersAfter5s, ledger().Holders)
			offer(35 * time.Second)
			must.Eq(t, change.mode, fleet[0].Mode())
			must.Len(t, change.holdersAfter40s, ledger().Holders)
			must.True(t, ledger().Allocated().Rate > MicroRequestsOf(90))
		}
	})
}
