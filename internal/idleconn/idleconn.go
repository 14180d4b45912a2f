// Package idleconn decides which idle client connections are closed: connections that use a file descriptor without having
// an open request. It has no I/O, no clock and no goroutine.
//
// A connection that has never sent a command is closed after a short time. A connection whose last answer was long ago may
// belong to a client that does not come back; it is closed sooner the more connections are open, but never so soon that a
// client is disconnected between two requests.
package idleconn

// Limits limit idle connections. Times are in seconds. The zero value keeps all connections.
type Limits struct {
	MaxConnections  int     // maximum number of connections
	SilentTimeoutS  float64 // timeout of a connection that has sent no command
	MinIdleTimeoutS float64 // idle timeout of any other connection, when the maximum is reached
	IdleTimeoutS    float64 // idle timeout of any other connection, while few connections are open
}

// DefaultLimits returns the limits for a maximum number of connections, at least 1. A connection on which a client has sent
// a command may be closed after it was idle for minIdleTimeoutS, and not before.
func DefaultLimits(maxConnections int, minIdleTimeoutS float64) Limits {
	return Limits{MaxConnections: maxConnections, SilentTimeoutS: minIdleTimeoutS, MinIdleTimeoutS: minIdleTimeoutS,
		IdleTimeoutS: 6 * minIdleTimeoutS}
}

// Connection is the usage of a client connection without an open request. Times are in seconds on one clock.
type Connection struct {
	Commands       int     // commands received
	CommandStarted bool    // part of the first command was received
	OpenedAtS      float64 // when it was opened
	LastUsedAtS    float64 // when a command was last received or an answer sent, 0: never
}

// relaxedShare is the share of the maximum number of connections up to which the idle timeout is not shortened.
const relaxedShare = 0.5

// ShouldClose reports whether an idle connection is to be closed now, given the number of open connections.
func (limits Limits) ShouldClose(conn Connection, now float64, open int) bool {
	if limits.MaxConnections <= 0 {
		return false
	}
	if conn.Commands == 0 {
		return now-conn.OpenedAtS > limits.SilentTimeoutS
	}
	pressure := (float64(open)/float64(limits.MaxConnections) - relaxedShare) / (1 - relaxedShare)
	pressure = min(max(pressure, 0), 1)
	return now-conn.LastUsedAtS > limits.IdleTimeoutS+pressure*(limits.MinIdleTimeoutS-limits.IdleTimeoutS)
}

// ShouldCloseOnShutdown reports whether an idle connection is to be closed now while this instance shuts down. A connection
// that has sent no command may be new, with its first command on the way, and is kept for newConnectionS.
func (limits Limits) ShouldCloseOnShutdown(conn Connection, now float64, _ int) bool {
	return conn.Commands > 0 || now-conn.OpenedAtS > newConnectionS
}

// newConnectionS is how long the first command may take to arrive after the connection is opened, in seconds.
const newConnectionS = 0.3

// evictionRank is the primary sort key of eviction: connections of a lower rank are evicted first.
func (conn Connection) evictionRank() int {
	if conn.Commands == 0 && !conn.CommandStarted {
		return 0
	}
	return 1 + min(conn.Commands, 2)
}

// EvictedBefore reports whether connection a is evicted before connection b when a new connection needs a descriptor. First
// come connections that sent nothing, then those with an unfinished first command, then those with a single command, whose
// clients may never send another. Within a rank the connection that is idle the longest comes first.
func (limits Limits) EvictedBefore(a, b Connection) bool {
	if rankA, rankB := a.evictionRank(), b.evictionRank(); rankA != rankB {
		return rankA < rankB
	}
	if a.Commands == 0 {
		return a.OpenedAtS < b.OpenedAtS
	}
	return a.LastUsedAtS < b.LastUsedAtS
}

// Times for which a connection is not evicted even if the maximum is reached, in seconds.
const (
	firstByteGraceS     = 0.1  // from opening to the first byte of the first command
	firstCommandGraceS  = 0.3  // from opening to the last byte of the first command
	singleCommandGraceS = 0.25 // after the answer to its only command
	reuseGraceS         = 1.0  // after an answer if it has sent several commands: its client reuses the connection
)

// Evictable reports whether a connection may be closed at once in favour of a new one. A client whose connection is evicted
// between two requests can open another one, whereas a client whose connection is not accepted can't be served at all.
func (limits Limits) Evictable(conn Connection, now float64) bool {
	switch {
	case limits.MaxConnections <= 0:
		return false
	case conn.Commands == 0 && conn.CommandStarted:
		return now-conn.OpenedAtS > firstCommandGraceS
	case conn.Commands == 0:
		return now-conn.OpenedAtS > firstByteGraceS
	case conn.Commands == 1:
		return now-conn.LastUsedAtS > singleCommandGraceS
	}
	return now-conn.LastUsedAtS > reuseGraceS
}
