package front

import (
	"errors"
	"time"

	"cometpond/internal/access"
	"cometpond/internal/core"
	"cometpond/internal/crowd"
	"cometpond/internal/eventloop"
	"cometpond/internal/resp"
)

// anyone is the client of connections that need no login.
var anyone access.Client

// conn is one client's connection. It is accessed on its event loop's goroutine alone.
type conn struct {
	c       *eventloop.Conn
	loop    *loop
	id      uint64
	client  *access.Client // nil until login
	name    string         // set by CLIENT SETNAME
	version int            // of RESP: 2 or 3
	since   time.Time      // when it was opened
	guest   crowd.Guest    // its use so far, for closing and evicting idle connections
	in      []byte         // input not processed yet: the beginning of a command, or commands to be parsed later
	need    int            // length of in below which parsing can't make progress
	partial time.Time      // when the command that is still incomplete began to arrive, zero if there is none
	readAt  float64        // when input last arrived
	old     float64        // when the input being parsed may have been sent, if before a pause of the process; else 0
	oldNext float64        // the same for the last read
	args    [][]byte       // kept for its memory
	queue   []*pending     // commands whose replies have not been written, from head on
	head    int
	granted int  // bytes of in that the pool has granted
	strange int  // bytes of in that the pool counts for clients that have not logged in
	paused  bool // parsing is paused with commands left in in
	dirty   bool // is in loop.dirty
	closed  bool
	quit    bool // close once all replies are written; no more input is processed

	waits  bool // reading is paused until the pool grants memory
	parked bool // reading is paused, for any reason
	ready  int  // while parked: index in queue of the first command without an answer, as far as is known

	lingers  bool    // its sending side is closed; input is discarded until the client closes, too
	lingered int     // bytes discarded so far
	lingerTo float64 // when the connection is closed at the latest

	reason   closeReason // why it is being closed; "" while it is not
	endError error       // the system's error, if the connection broke

	out       []byte    // replies that the socket has not accepted yet
	congested bool      // out is so large that no more replies are written for now
	leftSince time.Time // when the socket last accepted a part of out, or out began to fill
}

// pending is a command whose reply has not been written yet.
type pending struct {
	call  core.Call
	conn  *conn
	ready []byte // the reply, if it was made without the core
	done  bool   // the reply or the core's answer is there
}

// waiting returns the number of commands whose replies have not been written.
func (k *conn) waiting() int { return len(k.queue) - k.head }

// looked records the possible age of the input that arrives now. A command is as old as its first byte: one that began to
// arrive before a pause of the process, or that lay in the socket during it, is old however late its end arrives.
func (k *conn) looked(parked bool) {
	if k.loop.s.opt.InputAge == nil {
		return
	}
	age, now := k.loop.s.opt.InputAge(k.readAt, parked)
	k.readAt, k.oldNext = now, 0
	if age > 0 {
		k.oldNext = now - age
	}
	if len(k.in) == 0 || k.old == 0 {
		k.old = k.oldNext
	}
}

// arrived processes the data of one read, which is valid until it returns.
func (k *conn) arrived(data []byte) eventloop.Action {
	if k.lingers {
		if k.lingered += len(data); k.lingered > lingerBytes {
			k.because(lingeredTooLong)
			return eventloop.Close
		}
		return eventloop.None
	}
	if k.quit {
		return eventloop.None // input after the last command is ignored
	}
	src := data
	if len(k.in) > 0 {
		k.in = append(k.in, data...)
		src = k.in
	}
	if k.congested {
		k.paused = true // no more replies until the client has read those in out
	} else if len(src) >= k.need && !k.paused {
		return k.read(src)
	}
	if len(k.in) == 0 {
		k.in = append(k.in, src...)
	}
	return k.hold()
}

// again continues parsing the input that was received before.
func (k *conn) again() eventloop.Action {
	k.paused = false
	if k.quit || len(k.in) == 0 || len(k.in) < k.need {
		return k.pump()
	}
	return k.read(k.in)
}

// read parses and starts the commands at the beginning of src, which is k.in or the data of the last read, and keeps the rest.
func (k *conn) read(src []byte) eventloop.Action {
	l, s := k.loop, k.loop.s
	used := 0
	var broken error
	k.need, k.paused = 0, false
	for used < len(src) && !k.quit {
		if k.waiting() >= s.opt.Limits.Pipeline || len(l.buf) >= outputBatch {
			k.paused = true
			break
		}
		args, n, need, err := resp.ParseCommand(src[used:], k.args[:0], k.limits())
		k.args = args
		if errors.Is(err, resp.ErrIncomplete) {
			k.need = need
			break
		} else if err != nil {
			broken = err
			break
		}
		used += n
		if len(args) > 0 {
			s.commands.Add(1)
			k.guest.Asked++
			if s.opt.Handler != nil {
				s.opt.Handler.HandleCommand(k, args)
			} else {
				k.command(args)
			}
		} else if s.opt.Handler != nil {
			broken = resp.ProtocolError("empty command")
			break
		}
	}
	clear(k.args)
	if used > 0 {
		k.guest.LastS = seconds()
		k.partial, k.old = time.Time{}, k.oldNext // the rest is from the last read
	}
	if k.need > 0 && k.partial.IsZero() {
		k.partial = time.Now()
	}
	if k.quit || broken != nil {
		used = len(src) // input after the last command is ignored
	}
	k.in = resp.Unprocessed(k.in, src, used, min(k.need, chunkMost))
	k.submit()
	if broken != nil {
		s.cut.Add(1)
		k.quit = true
		k.because(badInput)
		k.say(func(b []byte) []byte { return resp.AppendError(b, "ERR "+broken.Error()) })
	}
	if act := l.write(k); act != eventloop.None {
		return act
	}
	if act := k.pump(); act != eventloop.None {
		return act
	}
	if k.congested && len(k.in) > 0 {
		k.paused = true
	} else if k.paused && k.waiting() < s.opt.Limits.Pipeline { // was paused only because the output batch was full
		return k.again()
	}
	return k.hold()
}

// resume continues after the pool has granted memory, the core has answered or the client has read replies.
func (k *conn) resume() eventloop.Action {
	switch {
	case k.closed:
		return eventloop.None
	case k.parked:
		for k.ready < len(k.queue) && k.queue[k.ready].done {
			k.ready++
		}
		if !k.waits && !k.congested && (!k.paused || len(k.queue)-k.ready <= k.loop.s.opt.Limits.Pipeline/2) {
			return k.unpark()
		}
		return eventloop.None
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	if k.paused && k.waiting() <= k.loop.s.opt.Limits.Pipeline/2 {
		return k.again()
	}
	return eventloop.None
}

// submit passes the commands parsed so far to the core, and refuses those that the core's queue can't take.
func (k *conn) submit() {
	l := k.loop
	if len(l.calls) == 0 {
		return
	}
	n := l.s.core.Submit(l.calls)
	for _, c := range l.calls[n:] {
		p := c.Tag.(*pending)
		c.Answer, p.done = core.Answer{Kind: core.Refused, Reason: core.Overfull, Why: "too many requests wait"}, true
	}
	clear(l.calls)
	l.calls = l.calls[:0]
}

// Submit submits a call to the core. It implements Conn.
func (k *conn) Submit(c core.Call) { k.ask(c) }

// Reply replies to a command without the core. It implements Conn.
func (k *conn) Reply(answer []byte) { k.say(func(b []byte) []byte { return append(b, answer...) }) }

// ask queues a call for submission to the core and reserves its place in the order of replies.
func (k *conn) ask(c core.Call) {
	p := &pending{call: c, conn: k}
	p.call.Front, p.call.Tag = k.loop, p
	if k.old > 0 {
		p.call.AgeS = k.readAt - k.old
	}
	k.queue = append(k.queue, p)
	k.loop.calls = append(k.loop.calls, &p.call)
}
