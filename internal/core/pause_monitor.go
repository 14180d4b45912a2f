package core

import (
	"context"
	"sync"
	"time"

	"cometpond/internal/pause"
)

// PauseMonitor tells the fronts how old the data that they read may be after the process was paused. Its methods may
// be called from any goroutine.
type PauseMonitor struct {
	clock    Clock
	mu       sync.Mutex
	detector pause.Detector
	pauses   uint64
}

// NewPauseMonitor returns a monitor that reads the clock. Run must be running for it to detect pauses.
func NewPauseMonitor(clock Clock) *PauseMonitor {
	mon := &PauseMonitor{clock: clock}
	mon.detector.Update(clock.Now())
	return mon
}

// Run reads the clock regularly until ctx is done.
func (mon *PauseMonitor) Run(ctx context.Context) {
	tick := time.NewTicker(time.Duration(pause.MinPauseS / 5 * 1e9))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_, _ = mon.InputAge(0, false)
		}
	}
}

// InputAge returns the maximum time, in seconds, since the data that is read now from a connection may have been sent,
// and the current time. ReadAt is the time of the last read from the connection, 0 if unknown. Parked says that the
// connection was deliberately not read since then.
func (mon *PauseMonitor) InputAge(readAt float64, parked bool) (ageS, now float64) {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	now = mon.clock.Now()
	if mon.detector.Update(now) {
		mon.pauses++
	}
	return mon.detector.InputAge(readAt, now, parked), now
}

// PauseCount returns the number of pauses so far.
func (mon *PauseMonitor) PauseCount() uint64 {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	return mon.pauses
}
