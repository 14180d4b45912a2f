package front

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"time"

	"cometpond/internal/access"
	"cometpond/internal/core"
	"cometpond/internal/crowd"
	"cometpond/internal/eventloop"
	"cometpond/internal/intake"
	"cometpond/internal/resp"
)

// Bounds of what one connection may hold as input, bytes.
const (
	chunkMost    = 16 << 10 // of one read: what has come in before anything can be decided about it
	strangerMost = 16 << 10 // of a command before login, with strangerArgs arguments
	strangerArgs = 10
	aheadMost    = 4 << 20 // of one command, or sent ahead while answers are awaited, beyond one largest argument
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
	guest   crowd.Guest // what is known of its use
	in      []byte      // what has come in and is not used yet: the head of a command, or commands to be read later
	need    int         // length of in before which another look is of no use
	partial time.Time   // since when a command stands unfinished
	readAt  float64     // when something last came in
	old     float64     // when what is being read may have been sent, after a stall; 0: just now
	oldNext float64     // the same of what came in last
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

// limits are the bounds of the next command.
func (k *conn) limits() resp.Limits {
	if k.client == nil {
		return strangerLimits
	}
	return k.loop.s.lim
}

var strangerLimits = resp.Limits{Bulk: strangerMost, Args: strangerArgs, Inline: strangerMost, Depth: 1, Whole: strangerMost}

// looked notes how old what comes in now may be. A command is as old as its first byte: one that began to come
// in before a stall, or lay in the socket, is old however late its end comes.
func (k *conn) looked(parked bool) {
	if k.loop.s.opt.Age == nil {
		return
	}
	age, now := k.loop.s.opt.Age(k.readAt, parked)
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
		if k.waiting() >= s.opt.Bounds.Pipeline || len(l.buf) >= outputBatch {
			k.paused = true
			break
		}
		args, n, need, err := resp.Command(src[used:], k.args[:0], k.limits())
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
			if s.opt.Commands != nil {
				s.opt.Commands.Command(k, args)
			} else {
				k.command(args)
			}
		} else if s.opt.Commands != nil {
			broken = resp.ProtocolError("empty command")
			break
		}
	}
	clear(k.args)
	if used > 0 {
		k.guest.LastS = seconds()
		k.partial, k.old = time.Time{}, k.oldNext // the rest is of the last read
	}
	if k.need > 0 && k.partial.IsZero() {
		k.partial = time.Now()
	}
	if k.quit || broken != nil {
		used = len(src) // nothing is read after the last command
	}
	k.in = resp.Rest(k.in, src, used, min(k.need, chunkMost))
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
	} else if k.paused && k.waiting() < s.opt.Bounds.Pipeline { // stopped for the sake of the output alone
		return k.again()
	}
	return k.hold()
}

// hold asks for the room that the rest of the input takes, and has the connection read no further without it.
func (k *conn) hold() eventloop.Action {
	s := k.loop.s
	if k.client == nil {
		if k.strange = len(k.in); s.stranger(k, len(k.in)) == intake.Cut {
			s.cut.Add(1)
			k.because(badInput)
			k.in, k.quit = nil, true
			k.say(func(b []byte) []byte {
				return resp.AppendError(b, "ERR too much input of clients that have not logged in")
			})
			if act := k.loop.write(k); act != eventloop.None {
				return act
			}
			return k.pump()
		}
		return eventloop.None
	}
	if k.strange > 0 {
		k.strange = 0
		s.stranger(k, 0)
	}
	want := max(len(k.in), k.need)
	switch {
	case want <= chunkMost:
		if k.granted > 0 {
			k.granted = 0
			s.done(k)
		}
		return eventloop.None
	case k.paused:
		return k.park()
	case want <= k.granted:
		return eventloop.None
	}
	if s.ask(k, want) == intake.Go {
		k.granted = want
		if k.need > cap(k.in) {
			k.in = append(make([]byte, 0, k.need), k.in...)
		}
		return eventloop.None
	}
	k.waits = true
	return k.park()
}

// park has the connection read no further, so that the client waits.
func (k *conn) park() eventloop.Action {
	k.parked, k.ready = true, k.head
	k.loop.s.parks.Add(1)
	k.c.PauseReading(k.loop.s.opt.Leavers)
	return eventloop.None
}

// unpark has the connection read on.
func (k *conn) unpark() eventloop.Action {
	k.parked = false
	k.c.ResumeReading()
	k.looked(true)
	if !k.partial.IsZero() {
		k.partial = time.Now() // it was not the client that kept it waiting
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	return k.again()
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
		if !k.waits && !k.congested && (!k.paused || len(k.queue)-k.ready <= k.loop.s.opt.Bounds.Pipeline/2) {
			return k.unpark()
		}
		return eventloop.None
	}
	if act := k.pump(); act != eventloop.None || k.congested {
		return act
	}
	if k.paused && k.waiting() <= k.loop.s.opt.Bounds.Pipeline/2 {
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
		c.Answer, p.done = core.Answer{Kind: core.Refused, Reason: core.Overfull, Why: "too many requests wait"}, true
	}
	clear(l.calls)
	l.calls = l.calls[:0]
}

// say answers a command that needs no ruling, at once or behind those that wait.
func (k *conn) say(put func([]byte) []byte) {
	if k.waiting() == 0 {
		k.loop.buf = put(k.loop.buf)
		return
	}
	k.queue = append(k.queue, &pending{conn: k, ready: put(nil), done: true})
}

func (k *conn) fail(text string) {
	k.say(func(b []byte) []byte { return resp.AppendError(b, text) })
}

// Bounds of output.
const (
	outputBatch = 64 << 10             // bytes of answers gathered before they are written
	congestMost = 256 << 10            // bytes unsent, from which on no more are written, or half of what the settings allow
	behindCheck = 2 * time.Millisecond // between two looks at clients that do not read as fast as they are answered
)

// write sends what stands in the loop's buffer. What the socket does not take is kept here; past a bound no more is
// written until the client has read.
func (l *loop) write(k *conn) eventloop.Action {
	if len(l.buf) == 0 {
		return eventloop.None
	}
	b := l.buf
	if len(k.out) == 0 {
		n, err := k.c.Send(b)
		if err != nil {
			l.buf = l.buf[:0]
			k.because(writeFailed)
			k.endError = err
			return eventloop.Close
		}
		b = b[n:]
	}
	if len(b) > 0 {
		if len(k.out) == 0 {
			k.leftSince = time.Now()
			l.fellBehind(k)
		}
		k.out = append(k.out, b...)
		k.congested = len(k.out) > min(congestMost, l.s.opt.Bounds.Output/2)
	}
	l.buf = l.buf[:0]
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	return eventloop.None
}

// pump writes the answers that stand ready, in the order of their commands.
func (k *conn) pump() eventloop.Action {
	l := k.loop
	if k.head < len(k.queue) && k.queue[k.head].done {
		k.guest.LastS = seconds()
	}
	for k.head < len(k.queue) && k.queue[k.head].done && !k.congested {
		l.buf = k.append(l.buf, k.queue[k.head])
		k.queue[k.head] = nil
		k.head++
		if len(l.buf) >= outputBatch {
			if act := l.write(k); act != eventloop.None {
				return act
			}
		}
	}
	if k.head == len(k.queue) {
		k.queue, k.head = k.queue[:0], 0
	} else if k.head > 256 && k.head > len(k.queue)/2 {
		n := copy(k.queue, k.queue[k.head:])
		clear(k.queue[n:])
		k.queue, k.head = k.queue[:n], 0
	}
	if act := l.write(k); act != eventloop.None {
		return act
	}
	switch {
	case k.quit && k.waiting() == 0 && len(k.out) == 0:
		return l.finish(k, asked)
	case l.s.retiring.Load() && k.guest.Asked > 0 && k.idle() && !k.c.Unread():
		return l.finish(k, shuttingDown)
	}
	return eventloop.None
}

// Bounds of a lingering close.
const (
	lingerS     = 1.0       // seconds
	lingerBytes = 256 << 10 // what still comes, bytes
	lingerShare = 8         // one of so many connections may be at it
)

// finish ends a connection that has nothing open: its sending side at once, and the rest when the client has ended, too.
// What comes meanwhile is thrown away. Closed at once, unread bytes would reset the connection, and with it answers that
// are on their way; and a request that comes now was not read, so that its client sends it again elsewhere.
func (l *loop) finish(k *conn, reason closeReason) eventloop.Action {
	if k.lingers {
		return eventloop.None
	}
	k.because(reason)
	if k.c.CloseWrite() != nil {
		return eventloop.Close
	}
	if k.strange > 0 || k.granted > 0 || k.waits {
		l.s.leave(k)
		k.strange, k.granted, k.waits = 0, 0, false
	}
	if k.parked {
		k.parked = false
		k.c.ResumeReading() // up to the client's end
	}
	k.lingers, k.in, k.partial, k.lingerTo = true, nil, time.Time{}, seconds()+lingerS
	l.s.lingering.Add(1)
	l.lingering = append(l.lingering, k)
	// While this instance leaves nobody new needs the room.
	for most := max(1, l.s.opt.Bounds.Connections/lingerShare); len(l.lingering) > most && !l.s.retiring.Load(); {
		l.hurry()
	}
	return eventloop.None
}

// hurry closes the connection that has lingered the longest.
func (l *loop) hurry() {
	k := l.lingering[0]
	l.lingered(k)
	l.cut(k, lingeredTooLong)
}

// lingered takes a connection off those that linger.
func (l *loop) lingered(k *conn) {
	if i := slices.Index(l.lingering, k); i >= 0 {
		l.lingering = slices.Delete(l.lingering, i, i+1)
		l.s.lingering.Add(-1)
	}
}

// leaves ends the connection once what it has asked is answered; nothing more is read.
func (k *conn) leaves() {
	k.quit, k.partial = true, time.Time{}
	k.loop.act(k, k.pump())
}

// append writes one answer.
func (k *conn) append(b []byte, p *pending) []byte {
	a := &p.call.Answer
	switch {
	case p.ready != nil:
		return append(b, p.ready...)
	case k.loop.s.opt.Commands != nil:
		return k.loop.s.opt.Commands.Answer(b, &p.call)
	case a.Kind == core.Served && k.version == 2 && len(a.Payload) > 0 && !old(a.Payload[0]):
		return resp.AppendDowngraded(b, a.Payload, k.loop.s.lim)
	case a.Kind == core.Served:
		return append(b, a.Payload...)
	case p.call.Limit && (a.Kind == core.Admitted || a.Kind == core.Refused && a.Reason == core.NoRoom):
		return appendThrottle(b, a, p.call.Units)
	case a.Kind == core.Refused && a.RetryS > 0:
		return resp.AppendError(b, "REFUSED retry in "+strconv.FormatFloat(a.RetryS, 'f', 3, 64)+" s: "+a.Why)
	case a.Kind == core.Refused:
		return resp.AppendError(b, "REFUSED "+a.Why)
	}
	return resp.AppendError(b, "FAILED "+a.Why)
}

// old tells whether a reply's type is one that version 2 has, and not an aggregate that may hold others.
func old(kind byte) bool { return kind == '+' || kind == '-' || kind == ':' || kind == '$' }

// appendThrottle writes the five numbers of CL.THROTTLE: whether it was limited, the limit, what remains,
// whole seconds until a retry makes sense (-1 if it passed) and until the quota is whole.
func appendThrottle(b []byte, a *core.Answer, units float64) []byte {
	limited, retry := int64(0), int64(-1)
	if a.Kind == core.Refused && units > 0 {
		limited, retry = 1, max(1, int64(math.Ceil(a.Quota.RetryS)))
	}
	whole := func(x float64) int64 { return int64(min(math.Floor(x+1e-9), math.MaxInt32)) }
	b = resp.AppendArray(b, 5)
	b = resp.AppendInt(b, limited)
	b = resp.AppendInt(b, whole(a.Quota.Burst))
	b = resp.AppendInt(b, whole(a.Quota.Room))
	b = resp.AppendInt(b, retry)
	return resp.AppendInt(b, int64(math.Ceil(max(a.Quota.ResetS, 0)-1e-9)))
}

// Ask is ask for Commands.
func (k *conn) Ask(c core.Call) { k.ask(c) }

// Say is say for Commands.
func (k *conn) Say(answer []byte) { k.say(func(b []byte) []byte { return append(b, answer...) }) }

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

// throttle asks for units alone: CL.THROTTLE key max_burst count_per_period period [quantity].
func (k *conn) throttle(args [][]byte) {
	if len(args) != 5 && len(args) != 6 {
		k.arity(args[0])
		return
	}
	quantity := int64(1)
	for i, least := range []int64{0, 1, 1, 0} {
		if i+2 == len(args) {
			break
		}
		n, err := strconv.ParseInt(string(args[i+2]), 10, 64)
		if err != nil || n < least {
			name := []string{"max_burst", "count_per_period", "period", "quantity"}[i]
			k.fail("ERR " + name + " is no whole number of " + strconv.FormatInt(least, 10) + " or more")
			return
		}
		quantity = n
	}
	if len(args) == 5 {
		quantity = 1
	}
	if most := k.loop.s.opt.Book.MostUnits(); quantity > int64(most) {
		k.fail("ERR quantity is above " + strconv.Itoa(most) + ", the most of one request")
		return
	}
	book := k.loop.s.opt.Book
	k.ask(book.Limit(k.client, book.Throttle(), float64(quantity)))
}
