package core

import (
	"context"
	"sync"
	"time"

	"cometpond/internal/stall"
)

// PauseMonitor tells fronts how old what they read may be after this process stood still. Its methods may be called
// from any goroutine.
type PauseMonitor struct {
	clock Clock
	mu    sync.Mutex
	watch stall.Watch
	seen  uint64
}

// NewPauseMonitor returns a watch on a clock, which Run keeps.
func NewPauseMonitor(clock Clock) *PauseMonitor {
	s := &PauseMonitor{clock: clock}
	s.watch.Look(clock.Now())
	return s
}

// Run looks at the clock until ctx is over.
func (s *PauseMonitor) Run(ctx context.Context) {
	tick := time.NewTicker(time.Duration(stall.Least / 5 * 1e9))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_, _ = s.InputAge(0, false)
		}
	}
}

// InputAge is how long ago, at most, what is read now from a connection may have been sent, in seconds, and the time
// of this reading. ReadAt is the time of the connection's last one, 0 if it is not known; parked tells that it was
// not read since on purpose.
func (s *PauseMonitor) InputAge(readAt float64, parked bool) (ageS, now float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.clock.Now()
	if s.watch.Look(now) {
		s.seen++
	}
	return s.watch.Age(readAt, now, parked), now
}

// PauseCount is the number of stalls so far.
func (s *PauseMonitor) PauseCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}
