package limits

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jacinthrack/jacinthrack/internal/sleep"
)

// Limiter holds a process's shares of all limits and admits requests from them. *Manager,
// *ZoneManager and *ModeSwitch implement it.
type Limiter interface {
	Allow(name string, cost float64, now time.Time) Decision
	SetLimits(generation int64, limits []Limit) error
	Shares(now time.Time) map[string]Share
	Run(ctx context.Context) error
	Release(ctx context.Context) []error
}

var _, _, _ Limiter = (*Manager)(nil), (*ZoneManager)(nil), (*ModeSwitch)(nil)

// Mode says which kind of holder the ledgers have.
type Mode string

// Modes.
const (
	ModeDirect Mode = "direct" // each instance is a holder
	ModeZone   Mode = "zone"   // each zone is a holder, through its allocator
)

// Fleet sizes, in instances, beyond which the mode changes. In the direct mode every
// instance reads every ledger once per second. With an assumed 20 limits, 24 instances make
// 480 reads per second, a quarter of the platform's about 2,000, and as many as 24 zones
// make. The gap between the two sizes keeps restarts of instances from changing the mode.
const (
	directModeMaxInstances = 24 // a larger fleet changes to the zone mode
	zoneModeMinInstances   = 18 // a smaller fleet changes to the direct mode
)

// ChooseMode returns the mode for a fleet. instances counts all instances except those known
// to have ended. current is the mode in use, empty at the start.
func ChooseMode(current Mode, instances int) Mode {
	switch {
	case instances > directModeMaxInstances:
		return ModeZone
	case instances < zoneModeMinInstances || current == "":
		return ModeDirect
	}
	return current
}

// Times of a mode change.
const (
	// modeCheckInterval is the time between two checks whether the mode should change.
	modeCheckInterval = time.Second
	// modeReleaseTimeout bounds the release of a limiter's shares. Shares that are not
	// released in time end with their terms.
	modeReleaseTimeout = 2 * time.Second
	// secondReleaseDelay is the time from a mode change to the second release of the previous
	// limiter. The first release leaves an allocator in the ledgers while its grants are
	// outstanding; after this time none is.
	secondReleaseDelay = 15 * time.Second
)

// ModeSwitch is a Limiter that changes its mode with the size of the fleet. It stops admitting
// from the shares of one mode and releases them before the other mode starts. Requests are
// rejected until the new mode has a share. Instances in different modes are different
// holders of the ledgers, so they need not change at the same time. Its methods are safe for
// concurrent use.
type ModeSwitch struct {
	choose     func(current Mode) Mode
	newLimiter func(m Mode, number int) Limiter

	current      atomic.Pointer[modeLimiter]
	mu           sync.Mutex // serializes SetLimits and mode changes; guards the fields below
	generation   int64
	limits       []Limit
	limiterCount int // limiters created so far
}

// modeLimiter is a limiter and its mode.
type modeLimiter struct {
	Limiter
	mode Mode
}

// NewModeSwitch returns a switch in the mode that choose returns. choose gets the mode in use,
// empty at the start. newLimiter returns a new limiter. Its number differs for each limiter
// and must be part of the holder ID, because a released holder cannot be used again.
func NewModeSwitch(choose func(current Mode) Mode, newLimiter func(m Mode, number int) Limiter) *ModeSwitch {
	s := &ModeSwitch{choose: choose, newLimiter: newLimiter}
	s.startLimiter(choose(""))
	return s
}

// startLimiter creates a limiter of the mode and uses it from now on.
func (s *ModeSwitch) startLimiter(mode Mode) {
	s.limiterCount++
	s.current.Store(&modeLimiter{Limiter: s.newLimiter(mode, s.limiterCount), mode: mode})
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
	if generation >= s.generation {
		s.generation, s.limits = generation, limits
	}
	return nil
}

// Run runs the limiter in use and replaces it when the mode should change, until ctx is
// done. It returns the error of ctx.
func (s *ModeSwitch) Run(ctx context.Context) error {
	var pendingReleases sync.WaitGroup
	defer pendingReleases.Wait()
	for {
		if err := s.runMode(ctx); err != nil {
			return err
		}
		old := s.Current()
		s.changeMode(ctx)
		pendingReleases.Go(func() { releaseAgain(ctx, old) })
	}
}

// releaseAgain releases a replaced limiter a second time, secondReleaseDelay after the mode
// change.
func releaseAgain(ctx context.Context, old Limiter) {
	if sleep.For(ctx, secondReleaseDelay) == nil {
		releaseWithin(ctx, old)
	}
}

// releaseWithin releases the limiter within modeReleaseTimeout.
func releaseWithin(ctx context.Context, l Limiter) {
	ctx, cancel := context.WithTimeout(ctx, modeReleaseTimeout)
	defer cancel()
	l.Release(ctx)
}

// runMode runs the limiter in use until the mode should change, or until ctx is done. Then
// it returns the error of ctx.
func (s *ModeSwitch) runMode(ctx context.Context) error {
	running, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	current := s.current.Load()
	if s.choose(current.mode) != current.mode {
		return nil
	}
	done.Go(func() { _ = current.Run(running) })
	ticker := time.NewTicker(modeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.choose(current.mode) != current.mode {
			return nil
		}
	}
}

// changeMode releases the limiter in use and replaces it. Shares that could not be released
// are no longer used.
func (s *ModeSwitch) changeMode(ctx context.Context) {
	releaseWithin(ctx, s.Current())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startLimiter(s.choose(s.Mode()))
	// The previous limiter accepted the same limits.
	_ = s.Current().SetLimits(s.generation, s.limits)
}

// Release implements Limiter. It must not be called before Run has returned.
func (s *ModeSwitch) Release(ctx context.Context) []error { return s.Current().Release(ctx) }
