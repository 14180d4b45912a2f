package front

import (
	"sync"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
)

// connLoop is the state of one event loop: its connections and the answers that are on their way to them. Everything but the
// inbox is accessed on the loop's goroutine alone.
type connLoop struct {
	server    *Server
	eventLoop *eventloop.Loop
	conns     map[*clientConn]struct{}
	output    []byte        // replies to write to the current connection
	newCalls  []*core.Call  // parsed from the current connection's input, not yet submitted
	updated   []*clientConn // connections with new answers

	lingering []*clientConn // connections in a lingering close, oldest first

	unsent               []*clientConn // connections with replies that their sockets have not accepted yet
	unsentCheckScheduled bool          // a check of these is scheduled

	inboxMu    sync.Mutex   // guards inbox and polling
	inbox      []*core.Call // answered calls
	polling    bool         // the loop checks inbox by itself and needs no wake-up
	spareInbox []*core.Call // the previous inbox, kept to reuse the memory
}

// deferInbox schedules the processing of the inbox as a separate task of the event loop.
func (loop *connLoop) deferInbox() {
	loop.inboxMu.Lock()
	loop.polling = false
	loop.inboxMu.Unlock()
	_ = loop.eventLoop.Execute(loop.processInbox) // an error means that the loops are ending, and the connections with them
}

// setPolling sets whether the loop checks its inbox by itself. While the inbox is not empty it can't be switched off, and the
// result is false.
func (loop *connLoop) setPolling(on bool) bool {
	loop.inboxMu.Lock()
	defer loop.inboxMu.Unlock()
	if !on && len(loop.inbox) > 0 {
		return false
	}
	loop.polling = on
	return true
}

// Answered receives calls that the core has answered and wakes the loop if necessary. It implements core.Front.
func (loop *connLoop) Answered(calls []*core.Call) {
	loop.inboxMu.Lock()
	wake := len(loop.inbox) == 0 && !loop.polling
	loop.inbox = append(loop.inbox, calls...)
	loop.inboxMu.Unlock()
	if wake {
		_ = loop.eventLoop.Execute(loop.processInbox) // an error means that the loops are ending, and the connections with them
	}
}

// processInbox takes the answers from the inbox and writes the replies to their connections.
func (loop *connLoop) processInbox() {
	loop.inboxMu.Lock()
	batch := loop.inbox
	loop.inbox = loop.spareInbox[:0]
	loop.inboxMu.Unlock()
	for _, call := range batch {
		command := call.Tag.(*pendingCommand)
		command.done = true
		conn := command.conn
		if conn.closed {
			continue
		}
		command.releasePayload()
		if !conn.updated {
			conn.updated = true
			loop.updated = append(loop.updated, conn)
		}
	}
	for _, conn := range loop.updated {
		conn.updated = false
		if conn.closed {
			continue
		}
		loop.apply(conn, conn.resume())
	}
	clear(loop.updated)
	loop.updated = loop.updated[:0]
	for _, call := range batch {
		call.Tag.(*pendingCommand).holdAnswer()
	}
	clear(batch)
	loop.spareInbox = batch
}

// apply applies the action that resulted from work on a connection outside the callbacks of the event loop.
func (loop *connLoop) apply(conn *clientConn, action eventloop.Action) {
	if action == eventloop.Close {
		loop.eventLoop.Close(conn.socket)
	}
}

// closeConn closes a connection immediately.
func (loop *connLoop) closeConn(conn *clientConn, reason closeReason) {
	conn.setReason(reason)
	loop.eventLoop.Close(conn.socket)
}
