package front

import (
	"time"

	"cometpond/internal/eventloop"
	"cometpond/internal/readahead"
)

// readAhead has the connection read on while parsing is paused: a client that has sent much and disconnects has to be
// noticed, and the end of its connection lies behind all that it has sent.
func (conn *clientConn) readAhead() eventloop.Action {
	srv := conn.loop.server
	if conn.grantedBytes > 0 {
		conn.grantedBytes = 0
		srv.releaseInput(conn)
	}
	limits := readahead.Limits{Command: conn.limits(), Free: 2 * srv.readBytes, Total: maxPipelinedBytes, Memory: srv.options.Memory}
	var dropped int
	conn.ahead, dropped = readahead.New(limits, conn.input)
	conn.arrivals.DropLast(dropped)
	conn.input, conn.minInput, conn.incompleteSince = nil, 0, time.Time{}
	return eventloop.None
}

// addAhead adds data to what was read ahead.
func (conn *clientConn) addAhead(data []byte) eventloop.Action {
	conn.arrivals.DropLast(conn.ahead.Add(data))
	return eventloop.None
}

// finishReadAhead ends reading ahead when all commands that were kept have been started. It refuses those that were dropped.
func (conn *clientConn) finishReadAhead() {
	srv := conn.loop.server
	rest := conn.ahead.Finish(min(conn.minInput, srv.readBytes))
	conn.ahead, conn.input, conn.skipper = nil, rest.Incomplete, rest.Skipper
	if conn.closing {
		return // what was dropped is behind the last command
	}
	if rest.Skipper != nil {
		conn.incompleteSince = time.Now()
	}
	if rest.Dropped > 0 {
		srv.commands.Add(uint64(rest.Dropped))
		srv.outOfMemory.Add(uint64(rest.Dropped))
		conn.usage.Commands += rest.Dropped
		conn.refuseSkipped(rest.Dropped)
	}
	if rest.Err != nil {
		conn.rejectInput(rest.Err)
	}
}

// refuseSkipped refuses commands that were read without being kept.
func (conn *clientConn) refuseSkipped(commands int) {
	command := &pendingCommand{conn: conn, repeats: commands - 1}
	conn.pending = append(conn.pending, command)
	command.refuse("no memory to receive the command")
	command.hold(pendingOverheadBytes)
}

// stopReadAhead drops what was read ahead, because the connection ends.
func (conn *clientConn) stopReadAhead() {
	if conn.ahead != nil {
		conn.ahead.Close()
		conn.ahead = nil
	}
}
