package front

import (
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/panjf2000/gnet/v2"

	"cometpond/internal/access"
	"cometpond/internal/core"
	"cometpond/internal/resp"
)

// inputSlack is what a connection may send ahead beyond one largest argument, while answers are awaited.
const inputSlack = 4 << 20

// conn is one client's connection. It belongs to its event loop's goroutine.
type conn struct {
	c       gnet.Conn
	loop    *loop
	id      uint64
	client  *access.Client // nil until it has proved who it is
	name    string         // as CLIENT SETNAME gave it
	version int            // of RESP: 2 or 3
	since   time.Time
	need    int       // bytes before which another look is of no use
	partial time.Time // since when a command stands unfinished
	args    [][]byte
	queue   []*pending // commands whose answers have not been written, from head on
	head    int
	paused  bool // more commands lie unread
	dirty   bool
	closed  bool
	quit    bool // close once all is written
}

// pending is a command whose answer is awaited, or stands ready behind others.
type pending struct {
	call  core.Call
	conn  *conn
	ready []byte // the answer of a command that the front answers itself
	done  bool
}

func (k *conn) waiting() int { return len(k.queue) - k.head }

// read parses and starts the commands that have come in.
func (k *conn) read() gnet.Action {
	l, s := k.loop, k.loop.s
	have := k.c.InboundBuffered()
	if have == 0 || k.quit || have < k.need && !k.paused {
		return gnet.None
	}
	if have > s.lim.Bulk+inputSlack {
		s.cut.Add(1)
		return gnet.Close
	}
	buf, err := k.c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	used := 0
	var broken error
	k.need, k.paused = 0, false
	for used < len(buf) && !k.quit {
		if k.waiting() >= s.opt.Bounds.Pipeline {
			k.paused = true
			break
		}
		args, n, need, err := resp.Command(buf[used:], k.args[:0], s.lim)
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
			k.command(args)
		}
	}
	if used > 0 {
		k.partial = time.Time{}
	}
	if k.need > 0 && k.partial.IsZero() {
		k.partial = time.Now()
	}
	if used > 0 { // Discard(0) would throw away all that has come in, the head of an unfinished command with it
		if _, err := k.c.Discard(used); err != nil {
			return gnet.Close
		}
	}
	k.submit()
	if broken != nil {
		s.cut.Add(1)
		k.quit = true
		k.say(func(b []byte) []byte { return resp.AppendError(b, "ERR "+broken.Error()) })
	}
	if act := l.write(k); act != gnet.None {
		return act
	}
	return k.pump()
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

// write sends what stands in the loop's buffer.
func (l *loop) write(k *conn) gnet.Action {
	if len(l.buf) == 0 {
		return gnet.None
	}
	_, err := k.c.Write(l.buf)
	l.buf = l.buf[:0]
	if cap(l.buf) > 1<<20 {
		l.buf = nil
	}
	if err != nil || k.closed {
		return gnet.Close
	}
	if k.c.OutboundBuffered() > l.s.opt.Bounds.Output {
		l.s.cut.Add(1)
		return gnet.Close
	}
	return gnet.None
}

// pump writes the answers that stand ready, in the order of their commands.
func (k *conn) pump() gnet.Action {
	l := k.loop
	for k.head < len(k.queue) && k.queue[k.head].done {
		l.buf = k.append(l.buf, k.queue[k.head])
		k.queue[k.head] = nil
		k.head++
	}
	if k.head == len(k.queue) {
		k.queue, k.head = k.queue[:0], 0
	} else if k.head > 256 && k.head > len(k.queue)/2 {
		n := copy(k.queue, k.queue[k.head:])
		clear(k.queue[n:])
		k.queue, k.head = k.queue[:n], 0
	}
	if act := l.write(k); act != gnet.None {
		return act
	}
	if k.quit && k.waiting() == 0 {
		return gnet.Close
	}
	return gnet.None
}

// append writes one answer.
func (k *conn) append(b []byte, p *pending) []byte {
	a := &p.call.Answer
	switch {
	case p.ready != nil:
		return append(b, p.ready...)
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

// ask starts a call and keeps its place among the answers.
func (k *conn) ask(c core.Call) {
	p := &pending{call: c, conn: k}
	p.call.Front, p.call.Tag = k.loop, p
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
