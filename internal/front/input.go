package front

import (
	"time"

	"cometpond/internal/eventloop"
	"cometpond/internal/intake"
	"cometpond/internal/resp"
)

// overtakeLimitS is how long a connection waits for memory until no other may overtake it, in seconds.
const overtakeLimitS = 2

// reserveBeforeLogin requests memory for the input of a connection that has not logged in.
func (srv *Server) reserveBeforeLogin(conn *clientConn, bytes int) intake.Decision {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	return srv.inputPool.HoldUnauthenticated(conn.id, bytes)
}

// reserveInput requests memory for the input of a connection that has logged in.
func (srv *Server) reserveInput(conn *clientConn, bytes int) intake.Decision {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	decision, others := srv.inputPool.Acquire(nowS(), conn.id, bytes)
	if decision != intake.Disconnect {
		srv.holdingInput[conn.id] = conn
	}
	if decision == intake.Wait && srv.options.Limits.InputWait > 0 {
		conn.loop.eventLoop.After(srv.options.Limits.InputWait, srv.tickInput)
	}
	srv.resumeGranted(others)
	return decision
}

// tickInput grants input memory, and has those skip their command that have waited or kept others waiting for too long.
func (srv *Server) tickInput() {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	srv.resumeGranted(srv.inputPool.Tick(nowS()))
}

// releaseInput returns a connection's memory to the pool.
func (srv *Server) releaseInput(conn *clientConn) {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	delete(srv.holdingInput, conn.id)
	srv.resumeGranted(srv.inputPool.Release(nowS(), conn.id))
}

// renewInput records that the command for which a connection was granted memory is complete, and another one begins.
func (srv *Server) renewInput(conn *clientConn) {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	srv.inputPool.Renew(nowS(), conn.id)
}

// removeFromPool removes a connection from the pool, with the memory that it holds and any request for more.
func (srv *Server) removeFromPool(conn *clientConn) {
	srv.inputMu.Lock()
	defer srv.inputMu.Unlock()
	delete(srv.holdingInput, conn.id)
	srv.resumeGranted(srv.inputPool.Remove(nowS(), conn.id))
}

// resumeGranted notifies connections, each on its own loop, that the pool has granted their requests, and others that they
// must skip their command. The caller holds inputMu.
func (srv *Server) resumeGranted(ids []uint64) {
	for _, id := range ids {
		if conn := srv.holdingInput[id]; conn != nil {
			_ = conn.loop.eventLoop.Execute(func() { conn.loop.inputGranted(conn) }) // an error means that the loops are ending
		}
	}
	for _, id := range srv.inputPool.TakeSkipped() {
		conn := srv.holdingInput[id]
		delete(srv.holdingInput, id)
		if conn != nil {
			_ = conn.loop.eventLoop.Execute(func() { conn.loop.inputRevoked(conn) }) // an error means that the loops are ending
		}
	}
}

// inputGranted resumes a connection whose request for memory was granted.
func (loop *connLoop) inputGranted(conn *clientConn) {
	if conn.closed {
		loop.server.removeFromPool(conn) // it was closed while the notification was on its way
		return
	}
	if !conn.awaitingMemory {
		return // the grant was revoked and the command skipped while the notification was on its way
	}
	conn.awaitingMemory = false
	conn.grantedBytes = max(len(conn.input), conn.minInput)
	if !conn.incompleteSince.IsZero() {
		conn.incompleteSince = time.Now()
	}
	loop.apply(conn, conn.resume())
}

// Limits of the input that one connection may hold, in bytes but for maxArgsBeforeLogin.
const (
	readBufferBytes     = 16 << 10 // size of one read where the limits state none
	maxBytesBeforeLogin = 16 << 10 // size of a command before login
	maxArgsBeforeLogin  = 10       // arguments of a command before login
	// Size of a command, or of commands pipelined ahead of replies, in excess of one argument of the maximum size.
	maxPipelinedBytes = 4 << 20
)

// limits returns the limits of the next command.
func (conn *clientConn) limits() resp.Limits {
	if conn.client == nil {
		return limitsBeforeLogin
	}
	return conn.loop.server.parserLimits
}

// limitsBeforeLogin are the limits of commands from clients that have not logged in.
var limitsBeforeLogin = resp.Limits{Bulk: maxBytesBeforeLogin, Args: maxArgsBeforeLogin, Inline: maxBytesBeforeLogin, Depth: 1,
	Command: maxBytesBeforeLogin}

// reserveInput requests memory for the input that is left, and pauses reading from the connection if it is not granted.
func (conn *clientConn) reserveInput() eventloop.Action {
	srv := conn.loop.server
	if conn.client == nil {
		if conn.bytesBeforeLogin = len(conn.input); srv.reserveBeforeLogin(conn, len(conn.input)) == intake.Disconnect {
			srv.terminated.Add(1)
			conn.setReason(protocolViolation)
			conn.input, conn.closing = nil, true
			conn.replyWith(func(b []byte) []byte {
				return resp.AppendError(b, "ERR too much input of clients that have not logged in")
			})
			if action := conn.loop.writeOutput(conn); action != eventloop.None {
				return action
			}
			return conn.writeReplies()
		}
		return eventloop.None
	}
	if conn.bytesBeforeLogin > 0 {
		conn.bytesBeforeLogin = 0
		srv.reserveBeforeLogin(conn, 0)
	}
	if conn.ahead != nil {
		return eventloop.None
	}
	needed := max(len(conn.input), conn.minInput)
	switch {
	case needed <= srv.readBytes:
		if conn.grantedBytes > 0 {
			conn.grantedBytes = 0
			conn.input = append(make([]byte, 0, needed), conn.input...) // the buffer was granted with the memory
			srv.releaseInput(conn)
		}
		return eventloop.None
	case conn.parsingPaused:
		return conn.leaveUnparsed()
	case needed <= conn.grantedBytes:
		return eventloop.None
	}
	// A long command behind others takes no input memory while it would have to wait for these anyway.
	if blocked := commandBytes(needed); conn.pendingCount() > 0 && !srv.options.Memory.Fits(conn.heldBytes, blocked) {
		conn.parsingPaused, conn.blockedBytes = true, blocked
		return conn.leaveUnparsed()
	}
	if srv.reserveInput(conn, needed) == intake.Proceed {
		conn.grantedBytes = needed
		if conn.minInput > cap(conn.input) {
			conn.input = append(make([]byte, 0, conn.minInput), conn.input...)
		}
		return eventloop.None
	}
	conn.awaitingMemory = true
	if conn.mustReadOn() && conn.pendingCount() > 0 {
		srv.removeFromPool(conn)
		return conn.startSkipping()
	}
	return conn.pauseReading()
}

// mustReadOn reports whether the connection has to be read while commands of the client are in progress, so that its end is
// noticed: they are then to be cancelled at once.
func (conn *clientConn) mustReadOn() bool { return conn.loop.server.options.CloseOnClientEOF }

// leaveUnparsed reads ahead or pauses reading, while parsing is paused.
func (conn *clientConn) leaveUnparsed() eventloop.Action {
	if conn.mustReadOn() {
		return conn.readAhead()
	}
	return conn.pauseReading()
}

// pauseReading pauses reading from the connection, so that TCP flow control makes the client wait.
func (conn *clientConn) pauseReading() eventloop.Action {
	if conn.readingPaused {
		return eventloop.None
	}
	conn.readingPaused = true
	conn.arrivals.PauseReading(nowS())
	conn.loop.server.readsPaused.Add(1)
	conn.socket.PauseReading()
	return eventloop.None
}

// resumeReading resumes reading from the connection.
func (conn *clientConn) resumeReading() eventloop.Action {
	conn.readingPaused = false
	unread, known := conn.socket.UnreadBytes()
	if !known {
		unread = intake.UnknownBytes
	}
	conn.arrivals.ResumeReading(nowS(), unread)
	conn.socket.ResumeReading()
	conn.recordInputAge(true)
	if !conn.incompleteSince.IsZero() {
		conn.incompleteSince = time.Now() // the delay was not the client's
	}
	return conn.parseBuffered()
}
