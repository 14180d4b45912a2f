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

// anyone is the client of a connection that needs no login.
var anyone access.Client

// conn is one client's connection. It belongs to its event loop's goroutine.
type conn struct {
	c       *eventloop.Conn
	loop    *loop
	id      uint64
	client  *access.Client // nil until it has proved who it is
	name    string         // as CLIENT SETNAME gave it
	version int            // of RESP: 2 or 3
	since   time.Time
	guest   crowd.Connection // what is known of its use
	in      []byte           // what has come in and is not used yet: the head of a command, or commands to be read later
	need    int              // length of in before which another look is of no use
	partial time.Time        // since when a command stands unfinished
	readAt  float64          // when something last came in
	old     float64          // when what is being read may have been sent, after a stall; 0: just now
	oldNext float64          // the same of what came in last
	args    [][]byte
	queue   []*pending // commands whose answers have not been written, from head on
	head    int
	granted int  // bytes that in may hold by the pool's word
	strange int  // bytes that the pool counts as a stranger's
	paused  bool // more commands lie unread in in
	dirty   bool
	closed  bool
	quit    bool // close once all is written

	waits  bool // for the pool's word: it is read no further
	parked bool // read no further
	ready  int  // while it is parked: the first in queue whose answer is awaited

	lingers  bool    // its sending side has ended: what still comes is thrown away until the client ends, too
	lingered int     // so many bytes
	lingerTo float64 // and until then

	reason   closeReason // why it is ending, "" while it is not
	endError error       // the system's, if it broke

	out       []byte    // answers that the socket did not take yet
	congested bool      // so many that no more are written for now
	leftSince time.Time // when it last took some
}

// pending is a command whose answer is awaited, or stands ready behind others.
type pending struct {
	call  core.Call
	conn  *conn
	ready []byte // the answer of a command that the front answers itself
	done  bool
}

func (k *conn) waiting() int { return len(k.queue) - k.head }

// looked notes how old what comes in now may be. A command is as old as its first byte: one that began to come
// in before a stall, or lay in the socket, is old however late its end comes.
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

// arrived takes what one read has brought. Data lasts until it returns.
func (k *conn) arrived(data []byte) eventloop.Action {
	if k.lingers {
		if k.lingered += len(data); k.lingered > lingerBytes {
			k.because(lingeredTooLong)
			return eventloop.Close
		}
		return eventloop.None
	}
	if k.quit {
		return eventloop.None // nothing is read after the last command
	}
	src := data
	if len(k.in) > 0 {
		k.in = append(k.in, data...)
		src = k.in
	}
	if k.congested {
		k.paused = true // no more answers until it has read those that stand
	} else if len(src) >= k.need && !k.paused {
		return k.read(src)
	}
	if len(k.in) == 0 {
		k.in = append(k.in, src...)
	}
	return k.hold()
}

// again reads on in what has come in before.
func (k *conn) again() eventloop.Action {
	k.paused = false
	if k.quit || len(k.in) == 0 || len(k.in) < k.need {
		return k.pump()
	}
	return k.read(k.in)
}

// read parses and starts the commands at the start of src, which is in or what has just come, and keeps the rest.
func (k *conn) read(src []byte) eventloop.Action {
	l, s := k.loop, k.loop.s
	used := 0
	var broken error
	k.need, k.paused = 0, false
	for used < len(src) && !k.quit {
		if k.waiting() >= s.opt.Limits.MaxPipelined || len(l.buf) >= outputBatch {
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
			k.guest.Commands++
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
		k.guest.LastUsedAtS = seconds()
		k.partial, k.old = time.Time{}, k.oldNext // the rest is of the last read
	}
	if k.need > 0 && k.partial.IsZero() {
		k.partial = time.Now()
	}
	if k.quit || broken != nil {
		used = len(src) // nothing is read after the last command
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
	} else if k.paused && k.waiting() < s.opt.Limits.MaxPipelined { // stopped for the sake of the output alone
		return k.again()
	}
	return k.hold()
}

// resume goes on once there is room: the pool's word, or answers that were awaited.
func (k *conn) resume() eventloop.Action {
	switch {
	case k.closed:
		return eventloop.None
	case k.parked:
		for k.ready < len(k.queue) && k.queue[k.ready].done {
			k.ready++
		}
		if !k.waits && !k.congested && (!k.paused || len(k.queue)-k.ready <= k.loop.s.opt.Limits.MaxPipelined/2) {
			return k.unpark()
		}
		return eventloop.None
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	if k.paused && k.waiting() <= k.loop.s.opt.Limits.MaxPipelined/2 {
		return k.again()
	}
	return eventloop.None
}

// submit hands the commands parsed so far to the core, and refuses those that its queue has no room for.
func (k *conn) submit() {
	l := k.loop
	if len(l.calls) == 0 {
		return
	}
	n := l.s.core.Submit(l.calls)
	for _, c := range l.calls[n:] {
		p := c.Tag.(*pending)
		c.Answer, p.done = core.Answer{Kind: core.Refused, Reason: core.Overloaded, Detail: "too many requests wait"}, true
	}
	clear(l.calls)
	l.calls = l.calls[:0]
}

// Submit is ask for Commands.
func (k *conn) Submit(c core.Call) { k.ask(c) }

// Reply is say for Commands.
func (k *conn) Reply(answer []byte) { k.say(func(b []byte) []byte { return append(b, answer...) }) }

// ask starts a call and keeps its place among the answers.
func (k *conn) ask(c core.Call) {
	p := &pending{call: c, conn: k}
	p.call.Front, p.call.Tag = k.loop, p
	if k.old > 0 {
		p.call.AgeS = k.readAt - k.old
	}
	k.queue = append(k.queue, p)
	k.loop.calls = append(k.loop.calls, &p.call)
}
