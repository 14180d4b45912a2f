// Package backend carries attempts to boxes that speak RESP, over pooled and pipelined connections on
// event loops, and tells the core what the end of each attempt proves: an answer, that it never ran,
// or that it may have run. Which connection carries what is decided in internal/links; which box, by the core.
package backend

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"cometpond/internal/core"
	"cometpond/internal/eventloop"
	"cometpond/internal/links"
	"cometpond/internal/resp"
	"cometpond/internal/syserr"
	"cometpond/policy"
)

// Core is told how attempts and probes end.
type Core interface {
	Done(results ...core.Result)   // under locks of the pool
	Deliver(results []core.Result) // under none: what follows may be sent at once
	Probed(p policy.ProbeResult)
}

// Dialect is how boxes are spoken to and what their answers mean. It has no state and is safe for concurrent use.
type Dialect interface {
	// Greeting is what this end says first on a connection, and how many answers come to it.
	Greeting() (commands []byte, answers int)
	// AppendAttempt appends the command that carries an attempt, for whose answer leftS seconds remain.
	AppendAttempt(dst, payload []byte, leftS float64) []byte
	// AppendProbe appends the command that asks for the load.
	AppendProbe(dst []byte) []byte
	// Reply reads the answer to an attempt. Spoilt tells that it is none: the attempt may have run, and the
	// connection can't be trusted. The result's payload must not point into the reply.
	Reply(reply []byte) (r core.Result, spoilt bool)
	// Load reads the answer to a probe; nil if it tells nothing.
	Load(reply []byte) *policy.Load
	// Limits bound an answer.
	Limits() resp.Limits
}

// Options are the settings of a Pool. Times are in seconds.
type Options struct {
	Dialect     Dialect
	Connections int           // to one box at once, 1 at least
	Total       int           // to all boxes: they share it evenly, probes' connections aside; 0: not bounded
	Pipeline    int           // attempts on one connection at once, 1 at least
	Connect     time.Duration // until a connection stands
	RestS       float64       // see links.Limits
	IdleS       float64       // see links.Limits; 0: connections stay
	Strict      bool          // a probe's connection is closed for an answer that nobody awaits
	Loops       int           // event loops, 1 at least
	// DialContext opens a connection; nil: by TCP.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Log         zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Dials, DialsFailed uint64 // connections asked for, and not had
	Broken             uint64 // attempts whose connection was lost
	Late               uint64 // answers to attempts that had ended
	Open               int64
}

// Pool holds the connections to all boxes.
type Pool struct {
	opt    Options
	core   Core
	lim    resp.Limits
	warn   zerolog.Logger // for what may come in masses: so many lines a second
	loops  *eventloop.Group
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup // dials and probe timers
	start  time.Time

	mu      sync.Mutex
	boxes   map[string]*box
	located map[string]string // the addresses of boxes whose names are none

	dials, dialsFailed, broken, late atomic.Uint64
	open                             atomic.Int64
}

// box is what is kept of one box. Its lock covers all below.
type box struct {
	pool *Pool
	name string
	addr string // where it is reached

	mu      sync.Mutex
	conns   *links.Box
	probe   *link // a connection of its own, so that no answer holds a probe up
	probing *probe
}

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
	attempt core.Attempt
	payload []byte
}

type probe struct {
	at    time.Time
	timer *time.Timer
}

// warnMost bounds the warnings a second about single connections.
const warnMost = 10

// keepAlive is the time after which the system looks whether a silent box is still there.
const keepAlive = 15 * time.Second

// New starts the event loops of a pool without boxes.
func New(c Core, opt Options) (*Pool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	if opt.DialContext == nil {
		opt.DialContext = (&net.Dialer{KeepAlive: keepAlive}).DialContext
	}
	p := &Pool{opt: opt, core: c, lim: opt.Dialect.Limits(), boxes: map[string]*box{}, located: map[string]string{},
		ctx: ctx, cancel: cancel, start: time.Now(), warn: opt.Log.Sample(&zerolog.BurstSampler{Burst: warnMost, Period: time.Second})}
	var err error
	if p.loops, err = eventloop.New(p, eventloop.Options{Loops: opt.Loops, Log: opt.Log}); err != nil {
		cancel()
		return nil, fmt.Errorf("connections to the boxes: %w", err)
	}
	if opt.IdleS > 0 {
		p.work.Add(1)
		go p.sweep()
	}
	return p, nil
}

// sweep closes connections that have stood idle for too long, until the pool stops.
func (p *Pool) sweep() {
	defer p.work.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		for _, b := range p.boxes {
			b.mu.Lock()
			b.conns.Sweep(p.now())
			if b.probe != nil && b.probing == nil && p.now()-b.probe.usedAt > p.opt.IdleS {
				b.probe.c.Close()
			}
			b.mu.Unlock()
		}
		p.forget()
		p.mu.Unlock()
	}
}

// forget lets go of boxes that nothing hangs on any more. The pool's lock is held.
func (p *Pool) forget() {
	for name, b := range p.boxes {
		b.mu.Lock()
		if b.conns.Forgettable() && b.probe == nil && b.probing == nil {
			delete(p.boxes, name) // until it is listed again; what is sent to it meanwhile never ran
			delete(p.located, name)
		}
		b.mu.Unlock()
	}
}

// Located tells where boxes are reached whose names are not their addresses. It comes before Servers lists them, and
// lasts until they are gone. A box that moves is reached at its new address by connections to come.
func (p *Pool) Located(addr map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, a := range addr {
		p.located[name] = a
		if b := p.boxes[name]; b != nil {
			b.mu.Lock()
			if b.addr != a {
				b.addr = a
				b.conns.Renew()
				if b.probe != nil && b.probing == nil {
					b.probe.c.Close()
				}
			}
			b.mu.Unlock()
		}
	}
}

// Stop closes all connections and returns when nothing of the pool runs any more.
func (p *Pool) Stop() {
	p.cancel()
	p.work.Wait()
	p.loops.Stop()
}

// Counts returns the totals so far.
func (p *Pool) Counts() Counts {
	return Counts{p.dials.Load(), p.dialsFailed.Load(), p.broken.Load(), p.late.Load(), p.open.Load()}
}

// now is seconds since the pool's start, monotonic.
func (p *Pool) now() float64 { return time.Since(p.start).Seconds() }

func (p *Pool) box(addr string) *box {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.boxes[addr]
}

// Servers takes in the list of boxes. What is out at one that is gone ends as it will; its connections are
// closed once they are idle.
func (p *Pool) Servers(list []policy.Server, whole bool) {
	p.mu.Lock()
	listed := map[string]bool{}
	for _, s := range list {
		if s.State == policy.Removed {
			if b := p.boxes[s.ID]; b != nil {
				b.retire()
			}
			continue
		}
		listed[s.ID] = true
		if b := p.boxes[s.ID]; b == nil {
			b = &box{pool: p, name: s.ID, addr: cmp.Or(p.located[s.ID], s.ID)}
			b.conns = links.New(links.Limits{Connections: p.opt.Connections, Pipeline: p.opt.Pipeline, RestS: p.opt.RestS,
				IdleS: p.opt.IdleS}, (*effects)(b))
			p.boxes[s.ID] = b
		}
		b := p.boxes[s.ID]
		b.mu.Lock()
		if b.conns.Listed(); s.State == policy.Draining {
			b.conns.Drain()
		}
		b.mu.Unlock()
	}
	if whole {
		for addr, b := range p.boxes {
			if !listed[addr] {
				b.retire()
			}
		}
	}
	p.forget()
	if p.opt.Total > 0 {
		part := min(p.opt.Connections, max(1, p.opt.Total/max(1, len(p.boxes))))
		for _, b := range p.boxes {
			b.mu.Lock()
			b.conns.Bound(part)
			b.mu.Unlock()
		}
	}
	p.mu.Unlock()
}

func (b *box) retire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.Retire()
	if b.probe != nil {
		b.probe.c.Close()
	}
}

// Held is what the connections to one box carry.
type Held struct {
	Connections, Idle int // open, and with nothing out
	Out               int // attempts without an end
	GivenUp           int // attempts given up whose connection still stands
}

// Held tells what the connections to each box carry now.
func (p *Pool) Held() map[string]Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[string]Held, len(p.boxes))
	for name, b := range p.boxes {
		b.mu.Lock()
		open, idle, dead := b.conns.Links()
		all[name] = Held{open, idle, b.conns.Out(), dead}
		b.mu.Unlock()
	}
	return all
}

// Send starts an attempt. It is not written any more once withinS seconds are over.
func (p *Pool) Send(a core.Attempt, name string, payload []byte, withinS float64) {
	b := p.box(name)
	if b == nil {
		p.core.Done(core.Result{Attempt: a, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := p.now()
	b.conns.Send(now, a, payload, now+withinS)
}

// Cancel gives an attempt up.
func (p *Pool) Cancel(a core.Attempt, addr string) {
	if b := p.box(addr); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.Cancel(a)
	}
}

// Withdraw takes back an attempt that was not written; it ends as policy.Moot.
func (p *Pool) Withdraw(a core.Attempt, addr string) {
	if b := p.box(addr); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.Withdraw(a)
	}
}

// effects carries out what the state of a box's connections asks for, under the box's lock.
type effects box

func (e *effects) Dial() { (*box)(e).dial(false) }

// Write and Close go through the connection's event loop. OnClose tells what became of the attempts on a connection.
func (e *effects) Write(l *links.Link, a core.Attempt, payload []byte) {
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
	if l.state == nil || !l.closed && p.opt.RestS > 0 && l.c.Unread() && b.conns.Stale(now, l.state, len(list)) {
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

func (e *effects) End(a core.Attempt, status policy.Status) {
	if status == policy.Reset {
		e.pool.broken.Add(1)
	}
	e.pool.core.Done(core.Result{Attempt: a, Status: status})
}

// dial opens one more connection on a goroutine of its own, which the pool waits for.
func (b *box) dial(probe bool) {
	p := b.pool
	p.dials.Add(1)
	p.work.Add(1)
	addr := b.addr
	go func() {
		defer p.work.Done()
		ctx, cancel := context.WithTimeout(p.ctx, p.opt.Connect)
		defer cancel()
		l := &link{box: b, probe: probe, addr: addr}
		if err := syserr.Retry(ctx, syserr.Local, func() error { return p.connect(ctx, l) }); err != nil {
			p.dialsFailed.Add(1)
			p.warn.Warn().Str("box", b.name).Str("addr", addr).Bool("probe", probe).Err(err).Msg("no connection to a box")
			b.dialFailed(probe, err)
		}
	}()
}

// connect opens a connection and has a loop serve it.
func (p *Pool) connect(ctx context.Context, l *link) error {
	c, err := p.opt.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return err
	}
	return p.loops.Enroll(c, l)
}

// dialFailed takes the news that a connection was not had. What this machine lacked for it says nothing of the box.
func (b *box) dialFailed(probe bool, err error) {
	status := policy.ConnectFailed
	if syserr.Local(err) {
		status = policy.Moot
	}
	if probe {
		b.probed(status, nil)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.DialFailed(b.pool.now(), status)
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
		n, need, err := resp.ReplyNeed(buf[used:], p.lim)
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
			if l.greets--; l.greets < 0 && !l.box.probed(policy.OK, p.opt.Dialect.Load(reply)) && p.opt.Strict {
				act = eventloop.Close
				break
			}
			continue
		}
		r, spoilt := p.opt.Dialect.Reply(reply)
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
	l.in = resp.Rest(l.in, buf, used, l.need)
	if len(results) > 0 {
		p.core.Deliver(results)
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

// Probe asks a box for its load, on a connection of its own.
func (p *Pool) Probe(addr string) {
	b := p.box(addr)
	if b == nil {
		p.core.Probed(policy.ProbeResult{Server: addr, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probing != nil {
		return // one at a time: that one's end will be told
	}
	pr := &probe{at: time.Now()}
	b.probing = pr
	p.work.Add(1)
	pr.timer = time.AfterFunc(2*p.opt.Connect, func() {
		defer p.work.Done()
		b.mu.Lock()
		if b.probing != pr {
			b.mu.Unlock()
			return
		}
		if b.probe != nil {
			b.probe.c.Close()
		}
		b.mu.Unlock()
		b.probed(policy.Timeout, nil)
	})
	if b.probe != nil {
		b.probe.usedAt = p.now()
		c := b.probe.c
		_ = c.Loop().Execute(func() { c.Write(p.opt.Dialect.AppendProbe(nil)) }) // an error means that the loops end
		return
	}
	b.dial(true)
}

// probed ends the probe that is out; false if none is.
func (b *box) probed(status policy.Status, load *policy.Load) bool {
	b.mu.Lock()
	pr := b.probing
	b.probing = nil
	b.mu.Unlock()
	if pr == nil {
		return false
	}
	if pr.timer.Stop() {
		b.pool.work.Done()
	}
	b.pool.core.Probed(policy.ProbeResult{Server: b.name, Status: status, SpentS: time.Since(pr.at).Seconds(), Load: load})
	return true
}
