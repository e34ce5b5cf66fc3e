package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Limiter holds a process's parts of all limits. *Manager, *ZoneManager and
// *Switch implement it.
type Limiter interface {
	Allow(name string, cost float64, now time.Time) Decision
	SetLimits(generation int64, limits []Limit) error
	Shares(now time.Time) map[string]Share
	Run(ctx context.Context) error
	Release(ctx context.Context) []error
}

var _, _, _ Limiter = (*Manager)(nil), (*ZoneManager)(nil), (*ModeSwitch)(nil)

// Mode says who the holders of the ledgers are.
type Mode string

// Modes.
const (
	ModeDirect Mode = "direct" // each instance
	ModeZone   Mode = "zone"   // each zone, by its keeper
)

// Fleet sizes, in instances, at which the mode changes. In the direct mode every
// instance reads every ledger once per second. With 20 limits, 24 instances use
// 480 of the platform's about 2,000 reads per second, which is as much as 24 zones
// use. The distance between the sizes keeps restarts from changing the mode.
const (
	zoneModeAbove   = 24
	directModeBelow = 18
)

// ChooseMode returns the mode of a fleet with the number of instances that are not
// known to be gone. current is the mode now, empty at the start.
func ChooseMode(current Mode, instances int) Mode {
	switch {
	case instances > zoneModeAbove:
		return ModeZone
	case instances < directModeBelow || current == "":
		return ModeDirect
	}
	return current
}

// Times of a change of the mode.
const (
	modeInterval = time.Second
	// modeReleaseTimeout bounds the return of the shares. Those that are not
	// returned end with their terms.
	modeReleaseTimeout = 2 * time.Second
	// modeRetireAfter is the time after which what a keeper could not return is
	// returned: then no instance has a grant of it any more.
	modeRetireAfter = 15 * time.Second
)

// ModeSwitch is a Limiter that changes its mode with the fleet. It gives the shares of
// one mode back and stops admitting from them before the other mode starts. Until
// that has a share, requests are refused. Instances in different modes are
// different holders of the ledgers, so they need not change together. Its methods
// are safe for concurrent use.
type ModeSwitch struct {
	choose func(current Mode) Mode
	make   func(m Mode, number int) Limiter

	current atomic.Pointer[modeLimiter]
	mu      sync.Mutex // serializes SetLimits and changes of the mode
	gen     int64
	limits  []Limit
	number  int
}

// modeLimiter is the limiter in use.
type modeLimiter struct {
	Limiter
	mode Mode
}

// NewModeSwitch returns a switch in the mode that choose returns. build returns a new
// limiter; its number is different each time and must be part of the holder's ID,
// because a released holder cannot be used again.
func NewModeSwitch(choose func(current Mode) Mode, build func(m Mode, number int) Limiter) *ModeSwitch {
	s := &ModeSwitch{choose: choose, make: build}
	s.use(choose(""))
	return s
}

func (s *ModeSwitch) use(mode Mode) {
	s.number++
	s.current.Store(&modeLimiter{Limiter: s.make(mode, s.number), mode: mode})
}

// Mode returns the mode in use.
func (s *ModeSwitch) Mode() Mode { return s.current.Load().mode }

// Current returns the limiter in use.
func (s *ModeSwitch) Current() Limiter { return s.current.Load().Limiter }

// Allow implements Limiter.
func (s *ModeSwitch) Allow(name string, cost float64, now time.Time) Decision {
	return s.current.Load().Allow(name, cost, now)
}

// Shares implements Limiter.
func (s *ModeSwitch) Shares(now time.Time) map[string]Share { return s.current.Load().Shares(now) }

// SetLimits implements Limiter.
func (s *ModeSwitch) SetLimits(generation int64, limits []Limit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Current().SetLimits(generation, limits); err != nil {
		return err
	}
	if generation >= s.gen {
		s.gen, s.limits = generation, limits
	}
	return nil
}

// Run runs the limiter in use and changes it, until ctx is done. It returns the
// error of ctx.
func (s *ModeSwitch) Run(ctx context.Context) error {
	var retired sync.WaitGroup
	defer retired.Wait()
	for {
		if err := s.runMode(ctx); err != nil {
			return err
		}
		old := s.Current()
		s.change(ctx)
		retired.Go(func() { retire(ctx, old) })
	}
}

// retire returns what a released limiter could not return at first.
func retire(ctx context.Context, old Limiter) {
	if sleep.For(ctx, modeRetireAfter) == nil {
		releaseWithin(ctx, old)
	}
}

func releaseWithin(ctx context.Context, l Limiter) {
	ctx, cancel := context.WithTimeout(ctx, modeReleaseTimeout)
	defer cancel()
	l.Release(ctx)
}

// runMode runs the limiter in use until the mode should change.
func (s *ModeSwitch) runMode(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	used := s.current.Load()
	if s.choose(used.mode) != used.mode {
		return nil
	}
	done.Go(func() { _ = used.Run(running) })
	ticker := time.NewTicker(modeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.choose(used.mode) != used.mode {
			return nil
		}
	}
}

// change releases the limiter in use and replaces it. Shares that could not be
// returned are no longer used.
func (s *ModeSwitch) change(ctx context.Context) {
	releaseWithin(ctx, s.Current())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.use(s.choose(s.Mode()))
	// The limits were accepted before.
	_ = s.Current().SetLimits(s.gen, s.limits)
}

// Release implements Limiter. Run must have returned.
func (s *ModeSwitch) Release(ctx context.Context) []error { return s.Current().Release(ctx) }
