package front

import (
	"math"
	"strconv"
	"time"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
)

// trackUnsent schedules repeated checks whether a client has read: a socket that is not watched reports no events.
func (loop *connLoop) trackUnsent(conn *clientConn) {
	loop.unsent = append(loop.unsent, conn)
	if !loop.unsentCheckScheduled {
		loop.scheduleUnsentCheck()
	}
}

// scheduleUnsentCheck schedules the next check of connections with unsent replies.
func (loop *connLoop) scheduleUnsentCheck() {
	loop.unsentCheckScheduled = true
	loop.eventLoop.After(unsentCheckInterval, loop.retryUnsent)
}

// retryUnsent continues writing to clients that have read, and closes connections that have accepted nothing for too long.
func (loop *connLoop) retryUnsent() {
	conns := loop.unsent
	loop.unsent, loop.unsentCheckScheduled = nil, false
	for _, conn := range conns {
		if conn.closed {
			continue
		}
		sent, err := conn.socket.Send(conn.unsent)
		if sent > 0 {
			conn.unsentSince = time.Now()
			conn.unsent = conn.unsent[:copy(conn.unsent, conn.unsent[sent:])]
			conn.holdBytes(-sent)
		}
		if conn.congested = len(conn.unsent) > min(maxUnsentBytes, loop.server.options.Limits.MaxUnreadBytes/2); len(conn.unsent) > 0 {
			loop.unsent = append(loop.unsent, conn)
		} else {
			conn.unsent = nil
		}
		if err != nil || len(conn.unsent) > 0 && time.Since(conn.unsentSince) > loop.server.options.Limits.PartialTimeout {
			loop.server.terminated.Add(1)
			if conn.closeError = err; err != nil {
				conn.setReason(writeFailed)
			}
			loop.closeConn(conn, repliesUnread)
		} else if !conn.congested {
			loop.apply(conn, conn.resume())
		}
	}
	if len(loop.unsent) > 0 && !loop.unsentCheckScheduled {
		loop.scheduleUnsentCheck()
	}
}

// replyWith replies to a command without the core. The reply is written after those to earlier commands.
func (conn *clientConn) replyWith(put func([]byte) []byte) {
	if conn.pendingCount() == 0 {
		conn.loop.output = put(conn.loop.output)
		return
	}
	command := &pendingCommand{conn: conn, reply: put(nil), done: true}
	conn.pending = append(conn.pending, command)
	command.hold(pendingOverheadBytes + len(command.reply))
}

// replyError replies to a command with an error.
func (conn *clientConn) replyError(text string) {
	conn.replyWith(func(b []byte) []byte { return resp.AppendError(b, text) })
}

// Limits of output.
const (
	outputBatchBytes = 64 << 10 // replies gathered before they are written
	// Unsent replies above which no more are written until the client has read; half of Limits.Output if that is less.
	maxUnsentBytes      = 256 << 10
	unsentCheckInterval = 2 * time.Millisecond // between two checks of clients that do not read as fast as replies are written
)

// writeOutput sends the replies in the loop's buffer. What the socket does not accept is kept in conn.unsent. Above a limit no
// more replies are written until the client has read.
func (loop *connLoop) writeOutput(conn *clientConn) eventloop.Action {
	if len(loop.output) == 0 {
		return eventloop.None
	}
	data := loop.output
	if len(conn.unsent) == 0 {
		sent, err := conn.socket.Send(data)
		if err != nil {
			loop.output = loop.output[:0]
			conn.setReason(writeFailed)
			conn.closeError = err
			return eventloop.Close
		}
		data = data[sent:]
	}
	if len(data) > 0 {
		if len(conn.unsent) == 0 {
			conn.unsentSince = time.Now()
			loop.trackUnsent(conn)
		}
		conn.unsent = append(conn.unsent, data...)
		conn.holdBytes(len(data))
		conn.congested = len(conn.unsent) > min(maxUnsentBytes, loop.server.options.Limits.MaxUnreadBytes/2)
	}
	loop.output = loop.output[:0]
	if cap(loop.output) > 1<<20 {
		loop.output = nil
	}
	return eventloop.None
}

// writeReplies writes the replies that are ready, in the order of their commands.
func (conn *clientConn) writeReplies() eventloop.Action {
	loop := conn.loop
	if conn.firstPending < len(conn.pending) && conn.pending[conn.firstPending].done {
		conn.usage.LastUsedAtS = nowS()
	}
	for conn.firstPending < len(conn.pending) && conn.pending[conn.firstPending].done && !conn.congested {
		command := conn.pending[conn.firstPending]
		loop.output = conn.appendReply(loop.output, command)
		if command.repeats--; command.repeats < 0 {
			command.release()
			conn.pending[conn.firstPending] = nil
			conn.firstPending++
		}
		if len(loop.output) >= outputBatchBytes {
			if action := loop.writeOutput(conn); action != eventloop.None {
				return action
			}
		}
	}
	if conn.firstPending == len(conn.pending) {
		conn.pending, conn.firstPending = conn.pending[:0], 0
	} else if conn.firstPending > 256 && conn.firstPending > len(conn.pending)/2 {
		n := copy(conn.pending, conn.pending[conn.firstPending:])
		clear(conn.pending[n:])
		conn.pending, conn.firstPending = conn.pending[:n], 0
	}
	if action := loop.writeOutput(conn); action != eventloop.None {
		return action
	}
	switch {
	case conn.closing && conn.pendingCount() == 0 && len(conn.unsent) == 0:
		return loop.closeGracefully(conn, closeRequested)
	case loop.server.closingIdle.Load() && conn.usage.Commands > 0 && conn.idle() && !conn.socket.HasUnread():
		return loop.closeGracefully(conn, shuttingDown)
	}
	return eventloop.None
}

// appendReply appends the reply to one command.
func (conn *clientConn) appendReply(dst []byte, command *pendingCommand) []byte {
	answer := &command.call.Answer
	switch {
	case command.reply != nil:
		return append(dst, command.reply...)
	case conn.loop.server.options.Handler != nil:
		return conn.loop.server.options.Handler.AppendReply(dst, &command.call)
	case answer.Kind == core.Served && conn.respVersion == 2 && len(answer.Payload) > 0 && !isRESP2Type(answer.Payload[0]):
		return resp.AppendDowngraded(dst, answer.Payload, conn.loop.server.parserLimits)
	case answer.Kind == core.Served:
		return append(dst, answer.Payload...)
	case command.call.QuotaOnly && (answer.Kind == core.Admitted || answer.Kind == core.Refused && answer.Reason == core.NoCapacity):
		return appendThrottle(dst, answer, command.call.Units)
	case answer.Kind == core.Refused && answer.RetryAfterS > 0:
		return resp.AppendError(dst, "REFUSED retry in "+strconv.FormatFloat(answer.RetryAfterS, 'f', 3, 64)+" s: "+answer.Detail)
	case answer.Kind == core.Refused:
		return resp.AppendError(dst, "REFUSED "+answer.Detail)
	}
	return resp.AppendError(dst, "FAILED "+answer.Detail)
}

// isRESP2Type reports whether a reply type exists in RESP version 2 and is no aggregate, which may contain other types.
func isRESP2Type(kind byte) bool { return kind == '+' || kind == '-' || kind == ':' || kind == '$' }

// appendThrottle appends the five numbers of a reply to CL.THROTTLE: whether the request was limited, the limit, the remaining
// units, and the whole seconds until a retry makes sense (-1 if the request was admitted) and until the quota is full again.
func appendThrottle(dst []byte, answer *core.Answer, units float64) []byte {
	limited, retry := int64(0), int64(-1)
	if answer.Kind == core.Refused && units > 0 {
		limited, retry = 1, max(1, int64(math.Ceil(answer.Quota.RetryAfterS)))
	}
	floor := func(x float64) int64 { return int64(min(math.Floor(x+1e-9), math.MaxInt32)) }
	dst = resp.AppendArrayHeader(dst, 5)
	dst = resp.AppendInt(dst, limited)
	dst = resp.AppendInt(dst, floor(answer.Quota.Burst))
	dst = resp.AppendInt(dst, floor(answer.Quota.Remaining))
	dst = resp.AppendInt(dst, retry)
	return resp.AppendInt(dst, int64(math.Ceil(max(answer.Quota.ResetS, 0)-1e-9)))
}
