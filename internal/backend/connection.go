package backend

import (
	"cometpond/internal/connpool"
	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// connection is one connection to a server.
type connection struct {
	server    *server
	socket    *eventloop.Conn
	forProbes bool
	addr      string          // the address that was dialed
	written   int64           // bytes passed to the event loop for sending; used only by the loop's goroutine
	input     []byte          // the beginning of an incomplete reply
	heldBytes int             // of the memory budget, for input
	need      int             // length that input must reach before parsing it again can succeed
	outgoing  []queuedAttempt // protected by the server's lock
	closed    bool            // used only by the loop's goroutine
	greetings int             // replies to the greeting still to come; only for a probe connection
	usedAt    float64         // when a probe connection was last used; protected by the server's lock
	state     *connpool.Conn  // its state in connpool.Pool; nil for a probe connection
}

// queuedAttempt is an attempt that is about to be written.
type queuedAttempt struct {
	attempt core.AttemptID
	payload []byte
}

// effects carries out what connpool.Pool decides. Its methods are called with the server's lock held.
type effects server

// Dial opens a connection for attempts.
func (e *effects) Dial() { (*server)(e).dial(false) }

// Write passes an attempt to the connection's event loop. If the connection ends first, OnClose handles the attempt.
func (e *effects) Write(state *connpool.Conn, attempt core.AttemptID, payload []byte) {
	conn := state.Handle.(*connection)
	if conn.outgoing = append(conn.outgoing, queuedAttempt{attempt, payload}); len(conn.outgoing) == 1 {
		_ = conn.socket.Loop().Execute(conn.flush) // an error means that the loops are stopping: OnClose follows
	}
}

// Close has the connection's event loop close it. OnClose follows.
func (e *effects) Close(state *connpool.Conn) { state.Handle.(*connection).socket.Close() }

// flush writes the queued attempts in the event loop, with one call. Whether an attempt is still to be written is decided
// only here, immediately before the write, as the process may have been paused since the attempt was queued.
func (conn *connection) flush() {
	srv := conn.server
	srv.mu.Lock()
	queued := conn.outgoing
	conn.outgoing = nil
	var buf []byte
	pool, now := srv.pool, srv.pool.now()
	if conn.state == nil || !conn.closed && pool.opt.ReuseDelayS > 0 && conn.socket.HasUnread() &&
		srv.conns.ReplaceStale(now, conn.state, len(queued)) {
		srv.mu.Unlock()
		return
	}
	for _, entry := range queued {
		if remainingS, ok := srv.conns.StartWrite(now, conn.state, entry.attempt); ok {
			buf = pool.opt.Dialect.AppendAttempt(buf, entry.payload, remainingS)
			conn.state.SetEndOffset(entry.attempt, conn.written+int64(len(buf)))
		}
	}
	srv.mu.Unlock()
	if len(buf) > 0 && !conn.closed {
		conn.written += int64(len(buf))
		conn.socket.Write(buf) // if the connection breaks, OnClose ends the attempts
	}
}

// End reports that an attempt has ended without a reply.
func (e *effects) End(attempt core.AttemptID, status policy.Status) {
	if status == policy.Reset {
		e.pool.attemptsBroken.Add(1)
	}
	e.pool.core.QueueResults(core.Result{Attempt: attempt, Status: status})
}

// OnOpen puts a new connection to use.
func (pool *Pool) OnOpen(socket *eventloop.Conn) eventloop.Action {
	conn := socket.Context().(*connection)
	pool.openConnections.Add(1)
	conn.socket = socket
	greeting, action := conn.opened()
	if len(greeting) > 0 {
		conn.written += int64(len(greeting))
		socket.Write(greeting)
	}
	return action
}

// opened adds the connection to its server and returns what is sent first on it.
func (conn *connection) opened() ([]byte, eventloop.Action) {
	srv, pool := conn.server, conn.server.pool
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if !conn.forProbes && conn.addr != srv.addr { // the server's address has changed meanwhile
		srv.conns.DialedOldAddress()
		return nil, eventloop.Close
	}
	greeting, replies := pool.opt.Dialect.Greeting()
	if conn.forProbes {
		srv.probeConn, conn.greetings, conn.usedAt = conn, replies, pool.now()
		return pool.opt.Dialect.AppendProbe(greeting), eventloop.None
	}
	conn.state = srv.conns.Opened(pool.now(), conn, replies)
	return greeting, eventloop.None
}

// OnData matches replies to the attempts, probes and greetings that await them.
func (pool *Pool) OnData(socket *eventloop.Conn, data []byte) eventloop.Action {
	conn := socket.Context().(*connection)
	if len(conn.input) > 0 {
		conn.input = append(conn.input, data...)
		data = conn.input
	}
	if len(data) < conn.need {
		return conn.holdInput()
	}
	conn.need = 0
	used, action := 0, eventloop.None
	var results []core.Result
	for used < len(data) {
		length, need, err := resp.ScanReply(data[used:], pool.replyLimits)
		if err == resp.ErrIncomplete {
			conn.need = need
			break
		} else if err != nil {
			pool.opt.Log.Warn().Str("box", conn.server.name).Err(err).Msg("server violated the protocol; closing the connection")
			action = eventloop.Close
			break
		}
		reply := data[used : used+length]
		used += length
		if len(reply) > 0 && reply[0] == '>' {
			continue // a push message is not a reply to a command
		}
		if conn.forProbes {
			if conn.greetings--; conn.greetings < 0 && !conn.server.endProbe(policy.OK, pool.opt.Dialect.ParseLoad(reply)) &&
				pool.opt.StrictProbes {
				action = eventloop.Close
				break
			}
			continue
		}
		result, malformed := pool.opt.Dialect.ParseReply(reply)
		if malformed {
			pool.opt.Log.Warn().Str("box", conn.server.name).Msg("server sent a malformed reply; closing the connection")
			action = eventloop.Close // OnClose ends the attempts on this connection
			break
		}
		conn.server.mu.Lock()
		attempt, kind := conn.server.conns.MatchReply(pool.now(), conn.state)
		conn.server.mu.Unlock()
		switch kind {
		case connpool.UnexpectedReply:
			action = eventloop.Close
		case connpool.LateReply:
			pool.lateReplies.Add(1)
		case connpool.AttemptReply:
			result.Attempt = attempt
			results = append(results, result)
		}
		if action == eventloop.Close {
			break
		}
	}
	if action == eventloop.Close {
		used = len(data)
	}
	conn.input = resp.Unprocessed(conn.input, data, used, conn.need)
	if len(results) > 0 {
		pool.core.HandleResults(results)
	}
	if action == eventloop.None {
		action = conn.holdInput()
	}
	return action
}

// freeInputBytes is what a connection may hold of an incomplete reply without counting it against the memory budget.
const freeInputBytes = 4 << 10

// holdInput adjusts the connection's part of the memory budget to its input, and closes the connection if that does not fit.
func (conn *connection) holdInput() eventloop.Action {
	pool, needed := conn.server.pool, 0
	if len(conn.input) > freeInputBytes {
		needed = max(len(conn.input), conn.need)
	}
	switch more := needed - conn.heldBytes; {
	case more < 0:
		pool.opt.Memory.Release(-more)
	case more > 0 && !pool.opt.Memory.Reserve(0, more):
		pool.repliesOutOfMemory.Add(1)
		pool.sampledLog.Warn().Str("box", conn.server.name).Int("bytes", needed).
			Msg("no memory for the reply of a server; closing the connection")
		return eventloop.Close
	}
	conn.heldBytes = needed
	return eventloop.None
}

// OnClose ends the attempts on a connection that were sent in full, moves the others to other connections, and ends the
// probe on a probe connection.
func (pool *Pool) OnClose(socket *eventloop.Conn, err error) {
	conn := socket.Context().(*connection)
	defer pool.openConnections.Add(-1) // last, so that whoever sees the lower count finds nothing left of the connection
	conn.closed = true
	pool.opt.Memory.Release(conn.heldBytes)
	conn.heldBytes = 0
	srv := conn.server
	unwritten := int64(socket.Unsent())
	srv.mu.Lock()
	if conn.state != nil {
		pool.opt.Log.Debug().Str("box", srv.name).AnErr("error", err).
			Int64("unwritten_bytes", unwritten).Int("attempts", conn.state.InFlight()).
			Msg("connection to a server ended")
		srv.conns.Closed(pool.now(), conn.state, conn.written-unwritten)
	}
	wasProbeConn := srv.probeConn == conn
	if wasProbeConn {
		srv.probeConn = nil
	}
	srv.mu.Unlock()
	if wasProbeConn {
		srv.endProbe(policy.Reset, nil)
	}
}
