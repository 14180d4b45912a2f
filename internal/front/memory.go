package front

import "cometpond/internal/core"

// What a command holds besides its payload and its reply, in bytes.
const (
	pendingOverheadBytes = 512     // until its reply is written
	requestOverheadBytes = 2 << 10 // in the core and its policy module as well, until it is answered
)

// commandBytes returns what a command of that size holds of the memory budget: itself, the copy that is sent to a server,
// and what is kept of it in either case.
func commandBytes(size int) int { return pendingOverheadBytes + requestOverheadBytes + 2*size }

// nextCommandFits reports whether the command for which parsing is paused may be parsed. With no other command in progress it
// may always be, and is refused if there is no memory for it: nothing else would end the pause.
func (conn *clientConn) nextCommandFits() bool {
	return conn.pendingCount() == 0 || conn.loop.server.options.Memory.Fits(conn.heldBytes, conn.blockedBytes)
}

// holdBytes changes the connection's part of the memory budget.
func (conn *clientConn) holdBytes(bytes int) {
	conn.heldBytes += bytes
	conn.loop.server.options.Memory.Add(bytes)
}

// reserve takes bytes of the memory budget for the command, and reports false if they are not available.
func (command *pendingCommand) reserve(bytes int) bool {
	if !command.conn.loop.server.options.Memory.Reserve(command.conn.heldBytes, bytes) {
		return false
	}
	command.conn.heldBytes += bytes
	command.heldBytes += bytes
	return true
}

// hold takes bytes of the memory budget for the command, even if it is exceeded.
func (command *pendingCommand) hold(bytes int) {
	command.conn.holdBytes(bytes)
	command.heldBytes += bytes
}

// release gives back all that the command holds, because its reply is being written.
func (command *pendingCommand) release() { command.hold(-command.heldBytes) }

// answeredBytes returns what the command holds while its answer can't be written yet.
func (command *pendingCommand) answeredBytes() int {
	return pendingOverheadBytes + len(command.call.Answer.Payload)
}

// releasePayload gives back what the command needed until the core answered it and dropped the payload. It keeps what the
// answer needs, if that is no more, so that no other command takes it.
func (command *pendingCommand) releasePayload() {
	kept := command.answeredBytes()
	if kept > command.heldBytes {
		kept = min(command.heldBytes, pendingOverheadBytes)
	}
	command.hold(kept - command.heldBytes)
}

// holdAnswer takes memory for an answer that can't be written yet, because replies before it are missing or unread. If there
// is none the client gets an error in place of the answer.
func (command *pendingCommand) holdAnswer() {
	written := command.heldBytes == 0
	missing := command.answeredBytes() - command.heldBytes
	if written || command.conn.closed || missing <= 0 || command.reserve(missing) {
		return
	}
	command.conn.loop.server.outOfMemory.Add(1)
	command.call.Answer = core.Answer{Kind: core.Failed, Detail: "no memory to keep the answer until those before it are there"}
}

// refuse answers a command without the core.
func (command *pendingCommand) refuse(detail string) {
	command.call.Payload = nil
	command.call.Answer, command.done = core.Answer{Kind: core.Refused, Reason: core.Overloaded, Detail: detail}, true
}
