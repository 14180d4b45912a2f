package svc

import (
	"bytes"
	"math"
	"strconv"

	"cometpond/internal/core"
	"cometpond/internal/front"
	"cometpond/internal/resp"
)

// ClientProtocol is the protocol between clients and the ingress. It implements front.Commands.
type ClientProtocol struct {
	parser *CommandParser
}

// NewClientProtocol returns the protocol for the commands that the parser accepts.
func NewClientProtocol(parser *CommandParser) *ClientProtocol { return &ClientProtocol{parser} }

// Limits returns the limits of a command. They are checked at its headers, so a larger command is never read into memory.
func (*ClientProtocol) Limits() resp.Limits {
	lim := limits
	lim.Args = maxWords
	return lim
}

var (
	pongReply = []byte("+PONG\r\n")
	okReply   = []byte("+OK\r\n")
)

// HandleCommand handles one command of a client: it answers at once, or passes a request to the core.
func (protocol *ClientProtocol) HandleCommand(conn front.Conn, args [][]byte) {
	if _, isRequest := isQuery(args[0]); !isRequest {
		switch {
		case bytes.EqualFold(args[0], []byte("PING")) && len(args) == 1:
			conn.Reply(pongReply)
			return
		case bytes.EqualFold(args[0], []byte("CLIENT")), bytes.EqualFold(args[0], []byte("SELECT")):
			conn.Reply(okReply)
			return
		}
	}
	call, err := protocol.parser.Parse(args)
	if err != nil {
		conn.Reply(resp.AppendError(nil, "ERR "+err.Error()))
		return
	}
	conn.Submit(call)
}

// AppendReply appends the answer to a request. A refusal contains the time after which the client may retry, in milliseconds
// rounded up, if the settings allow it.
func (protocol *ClientProtocol) AppendReply(dst []byte, call *core.Call) []byte {
	answer := &call.Answer
	switch answer.Kind {
	case core.Served:
		return append(dst, answer.Payload...)
	case core.Refused:
		dst = append(dst, "-BUSY"...)
		if retryAfterMS := math.Ceil(answer.RetryAfterS * 1000); protocol.parser.settings.RetryAfter && retryAfterMS > 0 {
			dst = strconv.AppendInt(append(dst, ' '), int64(retryAfterMS), 10)
		}
		return append(dst, '\r', '\n')
	}
	return resp.AppendError(dst, "ERR "+answer.Detail)
}
