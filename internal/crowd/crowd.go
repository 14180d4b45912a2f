// Package crowd decides which clients' connections give way: those that hold a descriptor and ask nothing. It has
// no I/O, no clock and no goroutine.
//
// A connection that has never brought a command is suspect, and goes after a short time. One whose last answer was
// long ago may be a client that will not come back; the fuller the house, the sooner it goes, but never so soon
// that a client between two requests is cut off.
package crowd

// Limits bound what idle connections take up. Times are in seconds. The zero value keeps all connections.
type Limits struct {
	Most    int     // connections that there is room for
	SilentS float64 // one that brings no command may stay so long
	LeastS  float64 // one that did may stay idle so long, though it is all but full
	IdleS   float64 // and so long while there is room
}

// DefaultLimits returns the limits of a house with room for so many connections, 1 at least. A client may be asked to
// open a new connection after leastS without a request, and not before.
func DefaultLimits(most int, leastS float64) Limits {
	return Limits{Most: most, SilentS: leastS, LeastS: leastS, IdleS: 6 * leastS}
}

// Connection is what is known of the use of a connection without an open request. Times are seconds on one clock.
type Connection struct {
	Commands       int     // commands that it has brought
	CommandStarted bool    // a first one stands unfinished
	OpenedAtS      float64 // when it was opened
	LastUsedAtS    float64 // when it last brought or was given something, 0: never
}

// roomy is the share of the house up to which nobody has to hurry.
const roomy = 0.5

// ShouldClose tells whether a connection is to be closed now, with so many open in all.
func (l Limits) ShouldClose(g Connection, now float64, open int) bool {
	if l.Most <= 0 {
		return false
	}
	if g.Commands == 0 {
		return now-g.OpenedAtS > l.SilentS
	}
	full := (float64(open)/float64(l.Most) - roomy) / (1 - roomy)
	full = min(max(full, 0), 1)
	return now-g.LastUsedAtS > l.IdleS+full*(l.LeastS-l.IdleS)
}

// ShouldCloseOnShutdown tells whether a connection is to be closed now while this instance leaves: one that has never brought a
// command may be new, and its first one on the way.
func (l Limits) ShouldCloseOnShutdown(g Connection, now float64, _ int) bool {
	return g.Commands > 0 || now-g.OpenedAtS > newS
}

// newS is how long a client may take from opening a connection to the arrival of its first command, seconds.
const newS = 0.3

// rank is the order in which connections give way.
func (g Connection) rank() int {
	if g.Commands == 0 && !g.CommandStarted {
		return 0
	}
	return 1 + min(g.Commands, 2)
}

// EvictedBefore tells which of two connections gives way first when a new one finds no room: one that never spoke, then one
// that does not come to the end of its first command, then one that asked once, which may never ask again, and of
// equals the one that is idle the longest.
func (l Limits) EvictedBefore(a, b Connection) bool {
	if x, y := a.rank(), b.rank(); x != y {
		return x < y
	}
	if a.Commands == 0 {
		return a.OpenedAtS < b.OpenedAtS
	}
	return a.LastUsedAtS < b.LastUsedAtS
}

// How long a connection is left alone, however full the house is, seconds.
const (
	firstS = 0.1  // for the beginning of its first command
	wholeS = 0.3  // for the whole of it
	onceS  = 0.25 // after the answer to its only one
	againS = 1.0  // after an answer, where it has asked more than once: its client keeps it in use
)

// Evictable tells whether a connection may be closed at once for a new one: a client between two requests opens
// another, while one that finds no room has no way in at all.
func (l Limits) Evictable(g Connection, now float64) bool {
	switch {
	case l.Most <= 0:
		return false
	case g.Commands == 0 && g.CommandStarted:
		return now-g.OpenedAtS > wholeS
	case g.Commands == 0:
		return now-g.OpenedAtS > firstS
	case g.Commands == 1:
		return now-g.LastUsedAtS > onceS
	}
	return now-g.LastUsedAtS > againS
}
