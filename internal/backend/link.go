package backend

import (
	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/links"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// link is one connection.
type link struct {
	box    *box
	c      *eventloop.Conn
	probe  bool
	addr   string      // where it leads
	given  int64       // bytes handed to the loop to be written; the loop's own
	in     []byte      // the head of an unfinished answer
	need   int         // length of in before which another look is of no use
	out    []outgoing  // under the box's lock
	closed bool        // the loop's own
	greets int         // answers of this end's own that come first, of a probe's connection
	usedAt float64     // when a probe's connection last took one; under the box's lock
	state  *links.Link // nil for a probe's connection
}

// outgoing is an attempt on its way to the socket.
type outgoing struct {
	attempt core.AttemptID
	payload []byte
}

// effects carries out what the state of a box's connections asks for, under the box's lock.
type effects box

func (e *effects) Dial() { (*box)(e).dial(false) }

// Write and Close go through the connection's event loop. OnClose tells what became of the attempts on a connection.
func (e *effects) Write(l *links.Link, a core.AttemptID, payload []byte) {
	k := l.Conn.(*link)
	if k.out = append(k.out, outgoing{a, payload}); len(k.out) == 1 {
		_ = k.c.Loop().Execute(k.flush) // an error means that the loops end, and OnClose is next
	}
}

func (e *effects) Close(l *links.Link) { l.Conn.(*link).c.Close() }

// flush writes what is to go out on a connection, in its event loop and in one piece. It is here, with the bytes
// about to leave, that each attempt is looked at for the last time: the process may have stood still.
func (l *link) flush() {
	b := l.box
	b.mu.Lock()
	list := l.out
	l.out = nil
	var buf []byte
	p, now := b.pool, b.pool.now()
	if l.state == nil || !l.closed && p.opt.ReuseDelayS > 0 && l.c.HasUnread() && b.conns.Stale(now, l.state, len(list)) {
		b.mu.Unlock()
		return
	}
	for _, o := range list {
		if left, may := b.conns.Writing(now, l.state, o.attempt); may {
			buf = p.opt.Dialect.AppendAttempt(buf, o.payload, left)
			l.state.Wrote(o.attempt, l.given+int64(len(buf)))
		}
	}
	b.mu.Unlock()
	if len(buf) > 0 && !l.closed {
		l.given += int64(len(buf))
		l.c.Write(buf) // if it breaks, OnClose tells what became of the attempts
	}
}

func (e *effects) End(a core.AttemptID, status policy.Status) {
	if status == policy.Reset {
		e.pool.broken.Add(1)
	}
	e.pool.core.QueueResults(core.Result{Attempt: a, Status: status})
}

// OnOpen puts a new connection to use.
func (p *Pool) OnOpen(c *eventloop.Conn) eventloop.Action {
	l := c.Context().(*link)
	p.open.Add(1)
	l.c = c
	out, act := l.opened()
	if len(out) > 0 {
		l.given += int64(len(out))
		c.Write(out)
	}
	return act
}

// opened puts a connection to use, and returns what is said first on it.
func (l *link) opened() ([]byte, eventloop.Action) {
	b, p := l.box, l.box.pool
	b.mu.Lock()
	defer b.mu.Unlock()
	if !l.probe && l.addr != b.addr { // it has moved meanwhile
		b.conns.Misdialed()
		return nil, eventloop.Close
	}
	out, greetings := p.opt.Dialect.Greeting()
	if l.probe {
		b.probe, l.greets, l.usedAt = l, greetings, p.now()
		return p.opt.Dialect.AppendProbe(out), eventloop.None
	}
	l.state = b.conns.Opened(p.now(), l, greetings)
	return out, eventloop.None
}

// OnData matches answers to what they were awaited for.
func (p *Pool) OnData(c *eventloop.Conn, buf []byte) eventloop.Action {
	l := c.Context().(*link)
	if len(l.in) > 0 {
		l.in = append(l.in, buf...)
		buf = l.in
	}
	if len(buf) < l.need {
		return eventloop.None
	}
	l.need = 0
	used, act := 0, eventloop.None
	var results []core.Result
	for used < len(buf) {
		n, need, err := resp.ScanReply(buf[used:], p.lim)
		if err == resp.ErrIncomplete {
			l.need = need
			break
		} else if err != nil {
			p.opt.Log.Warn().Str("box", l.box.name).Err(err).Msg("box breaks the protocol")
			act = eventloop.Close
			break
		}
		reply := buf[used : used+n]
		used += n
		if len(reply) > 0 && reply[0] == '>' {
			continue // pushed out of turn: no answer to anything
		}
		if l.probe {
			if l.greets--; l.greets < 0 && !l.box.probed(policy.OK, p.opt.Dialect.ParseLoad(reply)) && p.opt.StrictProbes {
				act = eventloop.Close
				break
			}
			continue
		}
		r, spoilt := p.opt.Dialect.ParseReply(reply)
		if spoilt {
			p.opt.Log.Warn().Str("box", l.box.name).Msg("answer of a box can't be used")
			act = eventloop.Close // which ends what is out here
			break
		}
		l.box.mu.Lock()
		a, kind := l.box.conns.Answered(p.now(), l.state)
		l.box.mu.Unlock()
		switch kind {
		case links.Unexpected:
			act = eventloop.Close
		case links.Late:
			p.late.Add(1)
		case links.Live:
			r.Attempt = a
			results = append(results, r)
		}
		if act == eventloop.Close {
			break
		}
	}
	if act == eventloop.Close {
		used = len(buf)
	}
	l.in = resp.Unprocessed(l.in, buf, used, l.need)
	if len(results) > 0 {
		p.core.HandleResults(results)
	}
	return act
}

// OnClose ends what was out on a connection: each attempt on it may have run.
func (p *Pool) OnClose(c *eventloop.Conn, err error) {
	l := c.Context().(*link)
	defer p.open.Add(-1) // last: who sees it gone finds nothing of it left
	l.closed = true
	b := l.box
	left := int64(c.Unsent())
	b.mu.Lock()
	if l.state != nil {
		p.opt.Log.Debug().Str("box", b.name).AnErr("error", err).Int64("unwritten_bytes", left).Int("attempts", l.state.Out()).
			Msg("connection to a box ended")
		b.conns.Closed(p.now(), l.state, l.given-left)
	}
	wasProbe := b.probe == l
	if wasProbe {
		b.probe = nil
	}
	b.mu.Unlock()
	if wasProbe {
		b.probed(policy.Reset, nil)
	}
}
