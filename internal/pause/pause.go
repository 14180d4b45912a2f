// Package pause detects that the process was paused, by a signal, by swapping or by a lack of CPU, and bounds the age
// of the data that it reads afterwards. It has no I/O, no clock and no goroutine.
//
// Data that waited in socket buffers during a pause may be as old as the pause is long. After a pause an instance
// therefore applies lists of servers first, because they are newer than what it knows. It drops messages of other
// instances, because they are older than they look; the network may drop them as well. It counts the time of a
// request from the start of the pause, so that no request is forwarded past its deadline.
package pause

// Times in seconds.
const (
	MinPauseS = 0.25 // time between two updates of a Detector above which the process counts as paused
	SettleS   = 0.03 // wait after a pause until the data in the socket buffers has been read, before any decision
	catchUpS  = 0.25 // time after a pause within which every connection has been read once
)

// Detector detects pauses from the readings of a clock. The zero value is ready to use and starts with the first call
// of Update. It is not safe for concurrent use.
type Detector struct {
	lastUpdate           float64
	pauseStart, pauseEnd float64 // of the last pause; an end of 0 means that there was none
	started              bool
}

// Paused reports whether Update would detect a pause at this time. It changes nothing.
func (det *Detector) Paused(now float64) bool { return det.started && now-det.lastUpdate > MinPauseS }

// Update records the time, in seconds that never go back, and reports whether the process was paused since the last
// update. It must be called several times within each MinPauseS.
func (det *Detector) Update(now float64) bool {
	paused := det.Paused(now)
	if paused {
		// A pause that starts before the data of the last one has been read extends the last one.
		if det.pauseEnd == 0 || det.lastUpdate-det.pauseEnd > catchUpS {
			det.pauseStart = det.lastUpdate
		}
		det.pauseEnd = now
	}
	det.lastUpdate, det.started = max(det.lastUpdate, now), true
	return paused
}

// InputAge returns the maximum time, in seconds, that data read now from a connection may have waited because of a
// pause. ReadAt is the time of the last read from the connection, 0 for never or unknown. Parked says that the
// connection was deliberately not read since then, so that data received during the pause may be read only now.
func (det *Detector) InputAge(readAt, now float64, parked bool) float64 {
	if det.pauseEnd == 0 || readAt >= det.pauseEnd || now-det.pauseEnd > catchUpS && !parked {
		return 0
	}
	return now - max(det.pauseStart, readAt)
}
