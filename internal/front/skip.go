package front

import (
	"time"

	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
)

// inputRevoked has a connection skip its command, because it has waited too long for input memory or has lost its grant.
func (loop *connLoop) inputRevoked(conn *clientConn) {
	if conn.closed || conn.lingering || conn.skipper != nil {
		return
	}
	if conn.closing {
		conn.input, conn.grantedBytes = nil, 0 // it is not processed any more
		return
	}
	if conn.grantedBytes == 0 && !conn.awaitingMemory || loop.server.tracksInput(conn) {
		return // the command was completed while the notification was on its way
	}
	loop.apply(conn, conn.startSkipping())
}

// tracksInput reports whether a connection has a grant of input memory or waits for one.
func (srv *Server) tracksInput(conn *clientConn) bool {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	return srv.inputPool.Tracks(conn.id)
}

// startSkipping drops what has arrived of the connection's command, and has the rest read without being kept.
func (conn *clientConn) startSkipping() eventloop.Action {
	conn.loop.server.skipped.Add(1)
	if conn.awaitingMemory && !conn.incompleteSince.IsZero() {
		conn.incompleteSince = time.Now() // the delay was not the client's
	}
	conn.grantedBytes, conn.awaitingMemory = 0, false
	arrived := conn.input
	conn.input, conn.minInput = nil, 0
	conn.skipper = resp.NewSkipper(conn.limits())
	if action := conn.skipInput(arrived); action != eventloop.None {
		return action
	}
	return conn.resume()
}

// skipInput processes input while a command is skipped, and refuses the command at its end.
func (conn *clientConn) skipInput(data []byte) eventloop.Action {
	used, complete, err := conn.skipper.Skip(data)
	conn.arrivals.Parse(nowS(), used)
	switch {
	case err != nil:
		conn.skipper = nil
		conn.rejectInput(err)
		return conn.writeReplies()
	case !complete:
		return eventloop.None
	}
	conn.skipper, conn.incompleteSince = nil, time.Time{}
	conn.loop.server.commands.Add(1)
	conn.usage.Commands++
	conn.usage.LastUsedAtS = nowS()
	conn.refuseSkipped(1)
	return conn.parseInput(data[used:])
}
