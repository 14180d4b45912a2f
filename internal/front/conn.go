package front

import (
	"errors"
	"time"

	"cometpond/internal/access"
	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/idleconn"
	"cometpond/internal/intake"
	"cometpond/internal/readahead"
	"cometpond/internal/resp"
)

// anonymousClient is the client of connections that need no login.
var anonymousClient access.Client

// clientConn is one client's connection. It is accessed on its event loop's goroutine alone.
type clientConn struct {
	socket           *eventloop.Conn
	loop             *connLoop
	id               uint64
	client           *access.Client      // nil until login
	name             string              // set by CLIENT SETNAME
	respVersion      int                 // of RESP: 2 or 3
	openedAt         time.Time           // when it was opened
	usage            idleconn.Connection // its use so far, for closing and evicting idle connections
	input            []byte              // input not processed yet: the beginning of a command, or commands to be parsed later
	minInput         int                 // length of input below which parsing can't make progress
	incompleteSince  time.Time           // when the command that is still incomplete began to arrive, zero if there is none
	readAt           float64             // when input last arrived
	inputSentAt      float64             // when the input being parsed may have been sent, if before a pause of the process; else 0
	lastReadSentAt   float64             // the same for the last read
	arrivals         intake.Arrivals     // since when input that is not parsed yet has been waiting
	ahead            *readahead.Queue    // input that arrived while parsing was paused, nil if none; input is empty then
	skipper          *resp.Skipper       // reads a command that is not kept, nil if none
	args             [][]byte            // arguments of a command, kept to reuse the memory
	pending          []*pendingCommand   // commands whose replies have not been written, from firstPending on
	firstPending     int
	grantedBytes     int     // bytes of input that the pool has granted
	bytesBeforeLogin int     // bytes of input that the pool counts for clients that have not logged in
	commandAgeS      float64 // how long the command being handled has waited to be parsed, at most
	parsingPaused    bool    // parsing is paused with commands left in input
	updated          bool    // is in loop.updated
	closed           bool
	closing          bool // close once all replies are written; no more input is processed

	awaitingMemory bool // reading is paused until the pool grants memory
	readingPaused  bool // reading is paused, for any reason
	heldBytes      int  // bytes of the server's memory budget that the connection's commands and replies hold
	blockedBytes   int  // bytes that the next command needs of the budget, if parsing is paused for them; else 0

	lingering      bool    // its sending side is closed; input is discarded until the client closes, too
	discardedBytes int     // bytes discarded so far
	lingerUntil    float64 // when the connection is closed at the latest

	reason     closeReason // why it is being closed; "" while it is not
	closeError error       // the system's error, if the connection broke

	unsent      []byte    // replies that the socket has not accepted yet
	congested   bool      // unsent is so large that no more replies are written for now
	unsentSince time.Time // when the socket last accepted a part of unsent, or unsent began to fill
}

// pendingCommand is a command whose reply has not been written yet.
type pendingCommand struct {
	call      core.Call
	conn      *clientConn
	reply     []byte // the reply, if it was made without the core
	done      bool   // the reply or the core's answer is there
	heldBytes int    // its part of the connection's heldBytes
	repeats   int    // so many further commands in a row get the same reply
}

// pendingCount returns the number of commands whose replies have not been written.
func (conn *clientConn) pendingCount() int { return len(conn.pending) - conn.firstPending }

// recordInputAge records the possible age of the input that arrives now. A command is as old as its first byte: one that began
// to arrive before a pause of the process, or that lay in the socket during it, is old however late its end arrives.
func (conn *clientConn) recordInputAge(readingPaused bool) {
	if conn.loop.server.options.InputAge == nil {
		return
	}
	age, now := conn.loop.server.options.InputAge(conn.readAt, readingPaused)
	conn.readAt, conn.lastReadSentAt = now, 0
	if age > 0 {
		conn.lastReadSentAt = now - age
	}
	if len(conn.unparsed()) == 0 || conn.inputSentAt == 0 {
		conn.inputSentAt = conn.lastReadSentAt
	}
}

// unparsed returns the input that is not parsed yet.
func (conn *clientConn) unparsed() []byte {
	if conn.ahead != nil {
		return conn.ahead.Input()
	}
	return conn.input
}

// handleInput processes the data of one read, which is valid until it returns.
func (conn *clientConn) handleInput(data []byte) eventloop.Action {
	if conn.lingering {
		if conn.discardedBytes += len(data); conn.discardedBytes > maxLingerBytes {
			conn.setReason(lingerExceeded)
			return eventloop.Close
		}
		return eventloop.None
	}
	if conn.closing {
		return eventloop.None // input after the last command is ignored
	}
	if conn.skipper != nil {
		return conn.skipInput(data)
	}
	if conn.ahead != nil {
		return conn.addAhead(data)
	}
	src := data
	if len(conn.input) > 0 {
		conn.input = append(conn.input, data...)
		src = conn.input
	}
	if conn.congested {
		conn.parsingPaused = true // no more replies until the client has read those in unsent
	} else if len(src) >= conn.minInput && !conn.parsingPaused {
		return conn.parseInput(src)
	}
	if len(conn.input) == 0 {
		conn.input = append(conn.input, src...)
	}
	return conn.reserveInput()
}

// parseBuffered continues parsing the input that was received before.
func (conn *clientConn) parseBuffered() eventloop.Action {
	conn.parsingPaused, conn.blockedBytes = false, 0
	input := conn.unparsed()
	if conn.closing || len(input) == 0 && conn.ahead == nil {
		return conn.writeReplies()
	}
	if len(input) >= conn.minInput {
		return conn.parseInput(input)
	}
	if action := conn.writeReplies(); action != eventloop.None || conn.lingering {
		return action
	}
	return conn.reserveInput()
}

// parseInput parses and starts the commands at the beginning of data, which is conn.unparsed() or the data of the last read,
// and keeps the rest.
func (conn *clientConn) parseInput(data []byte) eventloop.Action {
	loop, srv := conn.loop, conn.loop.server
	used, now := 0, nowS()
	var protocolErr error
	conn.minInput, conn.parsingPaused, conn.blockedBytes = 0, false, 0
	for used < len(data) && !conn.closing {
		if conn.pendingCount() >= srv.options.Limits.MaxPipelined || len(loop.output) >= outputBatchBytes {
			conn.parsingPaused = true
			break
		}
		args, length, need, err := resp.ParseCommand(data[used:], conn.args[:0], conn.limits())
		conn.args = args
		if errors.Is(err, resp.ErrIncomplete) {
			conn.minInput = need
			break
		} else if err != nil {
			protocolErr = err
			break
		}
		if needed := commandBytes(length); conn.pendingCount() > 0 && !srv.options.Memory.Fits(conn.heldBytes, needed) {
			conn.parsingPaused, conn.blockedBytes = true, needed
			break
		}
		used += length
		conn.commandAgeS = now - conn.arrivals.Parse(now, length)
		if len(args) > 0 {
			srv.commands.Add(1)
			conn.usage.Commands++
			if srv.options.Handler != nil {
				srv.options.Handler.HandleCommand(conn, args)
			} else {
				conn.handleCommand(args)
			}
		} else if srv.options.Handler != nil {
			protocolErr = resp.ProtocolError("empty command")
			break
		}
	}
	clear(conn.args[:cap(conn.args)]) // also those of earlier commands, which would keep the whole input
	if used > 0 {
		conn.usage.LastUsedAtS = nowS()
		conn.incompleteSince, conn.inputSentAt = time.Time{}, conn.lastReadSentAt // the rest is from the last read
		if conn.grantedBytes > 0 {
			srv.renewInput(conn) // what is left of the grant is for the next command
		}
	}
	if conn.minInput > 0 && conn.incompleteSince.IsZero() {
		conn.incompleteSince = time.Now()
	}
	if protocolErr != nil {
		conn.rejectInput(protocolErr)
	}
	if conn.closing {
		used = len(data) // input after the last command is ignored
	}
	if !conn.parsingPaused {
		conn.arrivals.ParsedAll()
	}
	if conn.ahead == nil {
		conn.input = resp.Unprocessed(conn.input, data, used, min(conn.minInput, srv.readBytes))
	} else if conn.ahead.Consume(used); !conn.parsingPaused {
		conn.finishReadAhead()
	}
	conn.submitCalls()
	if action := loop.writeOutput(conn); action != eventloop.None {
		return action
	}
	if action := conn.writeReplies(); action != eventloop.None {
		return action
	}
	if conn.congested && len(conn.unparsed()) > 0 {
		conn.parsingPaused = true
	} else if conn.parsingPaused && conn.pendingCount() < srv.options.Limits.MaxPipelined && conn.nextCommandFits() {
		// Parsing was paused only because the output batch was full, or replies that are written now held the memory.
		return conn.parseBuffered()
	}
	return conn.reserveInput()
}

// rejectInput replies with an error to input that violates the protocol. The connection is closed after the reply.
func (conn *clientConn) rejectInput(err error) {
	conn.loop.server.terminated.Add(1)
	conn.closing = true
	conn.setReason(protocolViolation)
	conn.replyWith(func(b []byte) []byte { return resp.AppendError(b, "ERR "+err.Error()) })
}

// resume continues after the pool has granted memory, the core has answered or the client has read replies.
func (conn *clientConn) resume() eventloop.Action {
	if conn.closed {
		return eventloop.None
	}
	if action := conn.writeReplies(); action != eventloop.None || conn.congested {
		return action
	}
	mayParse := conn.pendingCount() <= conn.loop.server.options.Limits.MaxPipelined/2 && conn.nextCommandFits()
	switch {
	case conn.awaitingMemory || conn.parsingPaused && !mayParse:
		return eventloop.None
	case conn.readingPaused:
		return conn.resumeReading()
	case conn.parsingPaused:
		return conn.parseBuffered()
	}
	return eventloop.None
}

// submitCalls passes the commands parsed so far to the core, and refuses those that the core's queue can't take.
func (conn *clientConn) submitCalls() {
	loop := conn.loop
	if len(loop.newCalls) == 0 {
		return
	}
	accepted := loop.server.core.Submit(loop.newCalls)
	for _, call := range loop.newCalls[accepted:] {
		call.Tag.(*pendingCommand).refuse("too many requests wait")
	}
	clear(loop.newCalls)
	loop.newCalls = loop.newCalls[:0]
}

// Submit submits a call to the core. It implements Conn.
func (conn *clientConn) Submit(call core.Call) { conn.enqueueCall(call) }

// Reply replies to a command without the core. It implements Conn.
func (conn *clientConn) Reply(reply []byte) {
	conn.replyWith(func(b []byte) []byte { return append(b, reply...) })
}

// minCommandAgeS is the time that a command may wait to be parsed without being counted: it is parsed in the turn of the
// event loop in which it was read.
const minCommandAgeS = 0.002

// enqueueCall queues a call for submission to the core and reserves its place in the order of replies.
func (conn *clientConn) enqueueCall(call core.Call) {
	command := &pendingCommand{call: call, conn: conn}
	command.call.Front, command.call.Tag = conn.loop, command
	if conn.inputSentAt > 0 {
		command.call.AgeS = conn.readAt - conn.inputSentAt
	}
	if conn.commandAgeS > minCommandAgeS {
		command.call.AgeS = max(command.call.AgeS, conn.commandAgeS)
	}
	conn.pending = append(conn.pending, command)
	if !command.reserve(commandBytes(len(call.Payload))) {
		conn.loop.server.outOfMemory.Add(1)
		command.refuse("no memory for the command")
		command.hold(pendingOverheadBytes)
		return
	}
	conn.loop.newCalls = append(conn.loop.newCalls, &command.call)
}
