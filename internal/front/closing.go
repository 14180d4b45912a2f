package front

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// Times since the beginning of a shutdown.
const (
	incompleteGrace = 50 * time.Millisecond  // until connections with an incomplete command are closed, too
	shutdownTimeout = 100 * time.Millisecond // until it no longer waits for clients to close
)

// closeAll closes all connections gracefully: at first those without open requests, and after incompleteGrace those with an
// incomplete command, too. It returns when all clients have closed, after shutdownTimeout, or when ctx is done.
func (srv *Server) closeAll(ctx context.Context) {
	srv.CloseWhenIdle()
	start := time.Now()
	for srv.open.Load() > 0 && time.Since(start) < shutdownTimeout {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		includeIncomplete := time.Since(start) > incompleteGrace
		srv.onEachLoop(func(loop *connLoop) { loop.closeIdle(includeIncomplete) })
	}
}

// closeIdle closes the loop's connections that are idle, and with includeIncomplete also others that wait for no reply.
func (loop *connLoop) closeIdle(includeIncomplete bool) {
	for conn := range loop.conns {
		incomplete := includeIncomplete && !conn.readingPaused && conn.ahead == nil && conn.pendingCount() == 0
		if incomplete || conn.idle() && !conn.socket.HasUnread() {
			loop.apply(conn, loop.closeGracefully(conn, shuttingDown))
		}
	}
}

// removeConn removes a closed connection and reports its unanswered calls to the core, which need no answers any more.
func (loop *connLoop) removeConn(conn *clientConn) {
	srv := loop.server
	srv.open.Add(^uint64(0))
	conn.closed = true
	delete(loop.conns, conn)
	loop.removeLingering(conn)
	if conn.bytesBeforeLogin > 0 || conn.grantedBytes > 0 || conn.awaitingMemory {
		srv.removeFromPool(conn)
	}
	var unanswered []*core.Call
	for _, command := range conn.pending[conn.firstPending:] {
		if command.call.Front != nil && !command.done {
			unanswered = append(unanswered, &command.call)
		}
	}
	conn.logClose(unanswered)
	if len(unanswered) > 0 {
		srv.core.Disconnected(unanswered)
	}
	conn.stopReadAhead()
	conn.pending, conn.firstPending, conn.input, conn.unsent = nil, 0, nil, nil
	conn.holdBytes(-conn.heldBytes)
}

// sweep closes connections whose command has been incomplete for too long, that have not logged in for too long, that have
// been idle for too long, or that have lingered for too long.
func (loop *connLoop) sweep() {
	now, maxWait := time.Now(), loop.server.options.Limits.PartialTimeout
	for len(loop.lingering) > 0 && loop.lingering[0].lingerUntil < nowS() {
		loop.closeOldestLingering()
	}
	openConns, expired := int(loop.server.open.Load()), loop.server.options.IdleLimits.ShouldClose
	if loop.server.closingIdle.Load() {
		expired = loop.server.options.IdleLimits.ShouldCloseOnShutdown
	}
	for conn := range loop.conns {
		overdue := !conn.incompleteSince.IsZero() && now.Sub(conn.incompleteSince) > maxWait && !conn.awaitingMemory ||
			conn.client == nil && now.Sub(conn.openedAt) > maxWait
		switch {
		case conn.lingering || conn.closing:
		case overdue && !conn.readingPaused && !conn.congested:
			loop.server.terminated.Add(1)
			conn.setReason(incompleteCommand)
			conn.closeAfterReplies() // replies to earlier commands are still written
		case conn.idle() && expired(conn.usage, nowS(), openConns) && !conn.socket.HasUnread():
			loop.apply(conn, loop.closeGracefully(conn, idleTooLong))
		}
	}
}

// idle reports whether a connection is settled and no command has begun to arrive.
func (conn *clientConn) idle() bool { return conn.settled() && !conn.commandStarted() }

// commandStarted reports whether a command has begun to arrive.
func (conn *clientConn) commandStarted() bool {
	return len(conn.input) > 0 || conn.ahead != nil || conn.skipper != nil
}

// settled reports whether all commands of a connection have their replies, and the system has accepted these.
func (conn *clientConn) settled() bool {
	return !conn.readingPaused && conn.pendingCount() == 0 && len(conn.unsent) == 0 && !conn.closing && !conn.lingering
}

// evict closes an idle connection to make room for a new one, and reports whether there was one.
func (loop *connLoop) evict() bool {
	var candidate *clientConn
	now, idleLimits := nowS(), loop.server.options.IdleLimits
	for conn := range loop.conns {
		conn.usage.CommandStarted = conn.commandStarted()
		if conn.settled() && (!conn.usage.CommandStarted || conn.usage.Commands == 0) && idleLimits.Evictable(conn.usage, now) &&
			(candidate == nil || idleLimits.EvictedBefore(conn.usage, candidate.usage)) {
			candidate = conn
		}
	}
	if candidate == nil {
		return false
	}
	loop.server.evicted.Add(1)
	if loop.apply(candidate, loop.closeGracefully(candidate, evictedForNew)); !candidate.closed && candidate.usage.Commands == 0 {
		loop.closeConn(candidate, evictedForNew) // nothing was sent that a reset could destroy
	}
	return true
}

// Limits of a lingering close.
const (
	maxLingerS     = 1.0       // duration in seconds
	maxLingerBytes = 256 << 10 // bytes of input discarded
	lingerDivisor  = 8         // the maximum number of lingering connections is the connection limit divided by this
)

// closeGracefully starts a lingering close of a connection without open requests. It closes the sending side at once, and the
// rest when the client has closed, too; input that arrives meanwhile is discarded. If the socket were closed at once, unread
// input would reset the connection and destroy replies that are on their way. A request that arrives after this point is
// never processed, so its client can safely send it again elsewhere.
func (loop *connLoop) closeGracefully(conn *clientConn, reason closeReason) eventloop.Action {
	if conn.lingering {
		return eventloop.None
	}
	conn.setReason(reason)
	if conn.socket.CloseWrite() != nil {
		return eventloop.Close
	}
	if conn.bytesBeforeLogin > 0 || conn.grantedBytes > 0 || conn.awaitingMemory {
		loop.server.removeFromPool(conn)
		conn.bytesBeforeLogin, conn.grantedBytes, conn.awaitingMemory = 0, 0, false
	}
	if conn.readingPaused {
		conn.readingPaused = false
		conn.socket.ResumeReading() // to notice when the client closes
	}
	conn.stopReadAhead()
	conn.skipper = nil
	conn.lingering, conn.input, conn.incompleteSince, conn.lingerUntil = true, nil, time.Time{}, nowS()+maxLingerS
	loop.server.lingering.Add(1)
	loop.lingering = append(loop.lingering, conn)
	// During a shutdown there are no new connections that would need the descriptors.
	for maxLingering := max(1, loop.server.options.Limits.MaxConnections/lingerDivisor); len(loop.lingering) > maxLingering &&
		!loop.server.closingIdle.Load(); {
		loop.closeOldestLingering()
	}
	return eventloop.None
}

// closeOldestLingering closes the connection that has lingered the longest, without waiting for its client.
func (loop *connLoop) closeOldestLingering() {
	conn := loop.lingering[0]
	loop.removeLingering(conn)
	loop.closeConn(conn, lingerExceeded)
}

// removeLingering removes a connection from the list of those in a lingering close.
func (loop *connLoop) removeLingering(conn *clientConn) {
	if i := slices.Index(loop.lingering, conn); i >= 0 {
		loop.lingering = slices.Delete(loop.lingering, i, i+1)
		loop.server.lingering.Add(-1)
	}
}

// closeAfterReplies closes the connection once its commands have their replies. No more input is processed.
func (conn *clientConn) closeAfterReplies() {
	conn.closing, conn.incompleteSince = true, time.Time{}
	conn.loop.apply(conn, conn.writeReplies())
}

// closeReason is why a client's connection was closed. The values are written to the log.
type closeReason string

const (
	clientClosed      closeReason = "client closed"
	connectionBroken  closeReason = "connection broken"
	writeFailed       closeReason = "write failed"
	repliesUnread     closeReason = "answers not read in time"
	protocolViolation closeReason = "input against the protocol"
	incompleteCommand closeReason = "command not finished in time"
	closeRequested    closeReason = "the client asked for it"
	idleTooLong       closeReason = "idle"
	evictedForNew     closeReason = "evicted for a new connection"
	lingerExceeded    closeReason = "client did not close in time"
	shuttingDown      closeReason = "shutting down"
)

// setReason records why a connection is about to be closed; only the first reason counts.
func (conn *clientConn) setReason(reason closeReason) {
	if conn.reason == "" {
		conn.reason = reason
	}
}

// recordClose records why a connection was closed, unless this side closed it and has recorded a reason already.
func (conn *clientConn) recordClose(err error) {
	switch {
	case err == nil || errors.Is(err, eventloop.ErrStopped):
		conn.setReason(shuttingDown) // all other closes by this side have recorded a reason
	case errors.Is(err, io.EOF):
		conn.setReason(clientClosed)
	default:
		conn.setReason(connectionBroken)
		conn.closeError = err
	}
}

// logClose logs the end of a connection, with the ids of the requests that had no answer. If there are any and it was not the
// client that disconnected, the level is warning.
func (conn *clientConn) logClose(unanswered []*core.Call) {
	level := zerolog.DebugLevel
	if len(unanswered) > 0 && conn.reason != clientClosed && conn.reason != connectionBroken {
		level = zerolog.WarnLevel
		conn.loop.server.abandoned.Add(uint64(len(unanswered)))
	}
	event := conn.loop.server.options.Log.WithLevel(level)
	if !event.Enabled() {
		return
	}
	ids := zerolog.Arr()
	for _, call := range unanswered[:min(len(unanswered), maxLoggedIDs)] {
		ids.Str(call.ID)
	}
	event.Uint64("connection", conn.id).Str("reason", string(conn.reason)).AnErr("error", conn.closeError).
		Int("open_requests", len(unanswered)).Array("ids", ids).Msg("client connection ended")
}

// maxLoggedIDs limits the number of request ids in one log line.
const maxLoggedIDs = 16
