// Package stall decides what an instance may believe after it has stood still: stopped by a signal, swapped out,
// or starved of CPU. It has no I/O, no clock and no goroutine.
//
// Whatever lies in the sockets when the process goes on may be as old as the stall is long. Lists of boxes in
// it are newer than what is known and go first; messages of other instances are older than they look and are
// dropped, as the network may drop them; requests are taken to have been sent when the stall began, so that
// none is sent on past its deadline.
package stall

// The constants, in seconds.
const (
	Least   = 0.25 // between two looks at the clock: the instance stood still
	SettleS = 0.03 // for what lies in the sockets to come in, before anything is decided
	wakeS   = 0.25 // after which all connections have been read once
)

// Watch follows the clock of an instance. Its zero value has never looked. It is not safe for concurrent use.
type Watch struct {
	last     float64
	from, to float64 // the last stall
	looked   bool
}

// Stood tells, without noting the time, whether Look would find that the instance stood still.
func (w *Watch) Stood(now float64) bool { return w.looked && now-w.last > Least }

// Look notes the time, seconds that only go forward; true if the instance stood still since the last look.
// It is to be called far more often than each Least.
func (w *Watch) Look(now float64) bool {
	stood := w.Stood(now)
	if stood {
		if w.to == 0 || w.last-w.to > wakeS { // a second one, before the first is over, makes it longer
			w.from = w.last
		}
		w.to = now
	}
	w.last, w.looked = max(w.last, now), true
	return stood
}

// Age is how long ago, at most, what a connection brings now may have been sent beyond the usual; readAt is
// when the connection was last read, 0 if never or not known; parked tells that it was not read since on purpose,
// so that what lay in its socket during the stall comes only now.
func (w *Watch) Age(readAt, now float64, parked bool) float64 {
	if w.to == 0 || readAt >= w.to || now-w.to > wakeS && !parked {
		return 0
	}
	return now - max(w.from, readAt)
}
