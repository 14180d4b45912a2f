package svc

import (
	"bytes"
	"math"
	"strconv"

	"cometpond/internal/core"
	"cometpond/internal/front"
	"cometpond/internal/resp"
)

// Clients is the platform's side of the front: it implements front.Commands.
type Clients struct {
	book *Book
}

// NewClients returns the commands of the book's clients.
func NewClients(b *Book) *Clients { return &Clients{b} }

// Limits bound a command at its header: what is larger is never read into memory.
func (*Clients) Limits() resp.Limits {
	lim := limits
	lim.Args = maxWords
	return lim
}

var (
	pong = []byte("+PONG\r\n")
	ok   = []byte("+OK\r\n")
)

// HandleCommand takes one command.
func (f *Clients) HandleCommand(c front.Conn, args [][]byte) {
	if _, work := query(args[0]); !work {
		switch {
		case bytes.EqualFold(args[0], []byte("PING")) && len(args) == 1:
			c.Reply(pong)
			return
		case bytes.EqualFold(args[0], []byte("CLIENT")), bytes.EqualFold(args[0], []byte("SELECT")):
			c.Reply(ok)
			return
		}
	}
	call, err := f.book.Work(args)
	if err != nil {
		c.Reply(resp.AppendError(nil, "ERR "+err.Error()))
		return
	}
	c.Submit(call)
}

// AppendReply appends what the core ruled. A refusal carries the time to come back, in whole milliseconds rounded up,
// where the settings let clients hear it.
func (f *Clients) AppendReply(dst []byte, c *core.Call) []byte {
	a := &c.Answer
	switch a.Kind {
	case core.Served:
		return append(dst, a.Payload...)
	case core.Refused:
		dst = append(dst, "-BUSY"...)
		if ms := math.Ceil(a.RetryAfterS * 1000); f.book.settings.RetryAfter && ms > 0 {
			dst = strconv.AppendInt(append(dst, ' '), int64(ms), 10)
		}
		return append(dst, '\r', '\n')
	}
	return resp.AppendError(dst, "ERR "+a.Detail)
}
