// Package backend carries attempts to boxes that speak RESP, over pooled and pipelined connections on
// gnet's event loops, and tells the core what the end of each attempt proves: an answer, that it never ran,
// or that it may have run. Which connection carries what is decided in internal/links; which box, by the core.
package backend

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rs/zerolog"

	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/links"
	"cometpond/internal/netlog"
	"cometpond/internal/resp"
	"cometpond/policy"
)

// Core is told how attempts and probes end.
type Core interface {
	Done(results ...core.Result)
	Probed(p policy.ProbeResult)
}

// Options are the settings of a Pool.
type Options struct {
	config.Backend
	Name  string // this instance's name at the boxes, by CLIENT SETNAME
	Loops int    // event loops, 1 at least
	Log   zerolog.Logger
}

// mostReply bounds one string of an answer, bytes.
const mostReply = 8 << 20

// Counts are totals since the start.
type Counts struct {
	Dials, DialsFailed uint64 // connections asked for, and not had
	Broken             uint64 // attempts whose connection was lost
	Late               uint64 // answers to attempts that had ended
	Open               int64
}

// Pool holds the connections to all boxes.
type Pool struct {
	gnet.BuiltinEventEngine
	opt    Options
	core   Core
	lim    resp.Limits
	client *gnet.Client
	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup // dials and probe timers
	start  time.Time

	mu    sync.Mutex
	boxes map[string]*box

	dials, dialsFailed, broken, late atomic.Uint64
	open                             atomic.Int64
}

// box is what is kept of one box. Its lock covers all below.
type box struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	conns   *links.Box
	probe   *link // a connection of its own, so that no answer holds a probe up
	probing *probe
}

// link is one connection.
type link struct {
	box    *box
	c      gnet.Conn
	probe  bool
	in     []byte      // the head of an unfinished answer
	need   int         // length of in before which another look is of no use
	out    []outgoing  // under the box's lock
	closed bool        // the loop's own
	greets int         // answers of this end's own that come first, of a probe's connection
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

// New starts the event loops of a pool without boxes.
func New(c Core, opt Options) (*Pool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{opt: opt, core: c, lim: resp.DefaultLimits, boxes: map[string]*box{}, ctx: ctx, cancel: cancel, start: time.Now()}
	p.lim.Bulk, p.lim.Args = mostReply, 1<<16 // what a box answers is its own affair
	cl, err := gnet.NewClient(p, gnet.WithNumEventLoop(max(1, opt.Loops)), gnet.WithTCPKeepAlive(15*time.Second),
		gnet.WithLogger(netlog.Logger{Log: opt.Log}), gnet.WithLogLevel(logging.ErrorLevel))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("event loops to the boxes: %w", err)
	}
	if err := cl.Start(); err != nil {
		cancel()
		return nil, fmt.Errorf("event loops to the boxes: %w", err)
	}
	p.client = cl
	return p, nil
}

// Stop closes all connections and returns when nothing of the pool runs any more.
func (p *Pool) Stop() error {
	p.cancel()
	p.work.Wait()
	if err := p.client.Stop(); err != nil {
		return fmt.Errorf("stop the loops to the boxes: %w", err)
	}
	return nil
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
			b = &box{pool: p, addr: s.ID}
			b.conns = links.New(links.Limits{Connections: p.opt.Connections, Pipeline: p.opt.Pipeline}, (*effects)(b))
			p.boxes[s.ID] = b
		} else {
			b.mu.Lock()
			b.conns.Listed()
			b.mu.Unlock()
		}
	}
	if whole {
		for addr, b := range p.boxes {
			if !listed[addr] {
				b.retire()
			}
		}
	}
	for addr, b := range p.boxes {
		b.mu.Lock()
		if b.conns.Forgettable() && b.probe == nil && b.probing == nil {
			delete(p.boxes, addr) // until it is listed again; what is sent to it meanwhile never ran
		}
		b.mu.Unlock()
	}
	p.mu.Unlock()
}

func (b *box) retire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.Retire()
	if b.probe != nil {
		_ = b.probe.c.Close()
	}
}

// Send starts an attempt. It is not written any more once withinS seconds are over.
func (p *Pool) Send(a core.Attempt, addr string, payload []byte, withinS float64) {
	b := p.box(addr)
	if b == nil {
		p.core.Done(core.Result{Attempt: a, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns.Send(a, payload, p.now()+withinS)
}

// Cancel gives an attempt up.
func (p *Pool) Cancel(a core.Attempt, addr string) {
	if b := p.box(addr); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.Cancel(a)
	}
}

// effects carries out what the state of a box's connections asks for, under the box's lock.
type effects box

func (e *effects) Dial() { (*box)(e).dial(false) }

// Write and Close go through the connection's event loop. An error means that the loops end; OnClose tells what
// became of the attempts on a connection.
func (e *effects) Write(l *links.Link, a core.Attempt, payload []byte) {
	k := l.Conn.(*link)
	if k.out = append(k.out, outgoing{a, payload}); len(k.out) == 1 {
		_ = k.c.EventLoop().Execute(context.Background(), k)
	}
}
func (e *effects) Close(l *links.Link) { _ = l.Conn.(*link).c.Close() }

// Run writes what is to go out on a connection, in its event loop and in one piece. It is here, with the bytes
// about to leave, that each attempt is looked at for the last time: the process may have stood still.
func (l *link) Run(context.Context) error {
	b := l.box
	b.mu.Lock()
	list := l.out
	l.out = nil
	var buf []byte
	now := b.pool.now()
	for _, o := range list {
		switch {
		case l.state == nil || !b.conns.Writing(l.state, o.attempt, now):
		case buf == nil && len(list) == 1:
			buf = o.payload
		default:
			buf = append(buf, o.payload...)
		}
	}
	c := l.c
	b.mu.Unlock()
	if len(buf) > 0 && !l.closed {
		_, _ = c.Write(buf) // after an error OnClose has told what became of the attempts
	}
	return nil
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
	go func() {
		defer p.work.Done()
		d := net.Dialer{Timeout: p.opt.Connect}
		c, err := d.DialContext(p.ctx, "tcp", b.addr)
		if err == nil {
			_, err = p.client.EnrollContext(c, &link{box: b, probe: probe})
		}
		if err == nil {
			return
		}
		p.dialsFailed.Add(1)
		if probe {
			b.probed(policy.ConnectFailed, nil)
			return
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.DialFailed()
	}()
}

// OnOpen puts a new connection to use.
func (p *Pool) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l, ok := c.Context().(*link)
	if !ok {
		return nil, gnet.Close
	}
	p.open.Add(1)
	b := l.box
	b.mu.Lock()
	defer b.mu.Unlock()
	l.c = c
	var out []byte
	greetings := 1
	if p.opt.Load == "answer" { // load rides on answers as an attribute, which version 3 alone has
		out = resp.AppendCommand(out, "HELLO", "3")
		greetings++
	}
	out = resp.AppendCommand(out, "CLIENT", "SETNAME", p.opt.Name)
	if l.probe {
		b.probe, l.greets = l, greetings
		return resp.AppendCommand(out, "INFO"), gnet.None
	}
	l.state = b.conns.Opened(l, greetings)
	return out, gnet.None
}

// OnTraffic matches answers to what they were awaited for.
func (p *Pool) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	// Next(-1) takes all that has come in, which lies in the loop's own buffer until this returns. Discard is
	// not used: with 0 it throws away everything.
	buf, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	if len(l.in) > 0 {
		l.in = append(l.in, buf...)
		buf = l.in
	}
	if len(buf) < l.need {
		return gnet.None
	}
	l.need = 0
	used, act := 0, gnet.None
	var results []core.Result
	for used < len(buf) {
		n, need, err := resp.ReplyNeed(buf[used:], p.lim)
		if err == resp.ErrIncomplete {
			l.need = need
			break
		} else if err != nil {
			p.opt.Log.Warn().Str("box", l.box.addr).Err(err).Msg("box breaks the protocol")
			act = gnet.Close
			break
		}
		reply := buf[used : used+n]
		used += n
		if len(reply) > 0 && reply[0] == '>' {
			continue // pushed out of turn: no answer to anything
		}
		if l.probe {
			if l.greets--; l.greets < 0 {
				l.box.probed(policy.OK, parseLoad(resp.Text(reply, p.lim)))
			}
			continue
		}
		l.box.mu.Lock()
		a, kind := l.box.conns.Answered(l.state)
		l.box.mu.Unlock()
		switch kind {
		case links.Unexpected:
			act = gnet.Close
		case links.Late:
			p.late.Add(1)
		case links.Live:
			r := core.Result{Attempt: a, Status: policy.OK}
			attr, body := resp.SplitAttribute(reply, p.lim)
			if attr != nil {
				r.Load = pairsLoad(resp.Strings(attr, p.lim))
			}
			if r.Status = judge(body); r.Status == policy.OK {
				r.Payload = append([]byte(nil), body...)
			}
			results = append(results, r)
		}
		if act == gnet.Close {
			break
		}
	}
	if act == gnet.Close {
		used = len(buf)
	}
	l.in = resp.Rest(l.in, buf, used, l.need)
	if len(results) > 0 {
		p.core.Done(results...)
	}
	return act
}

// OnClose ends what was out on a connection: each attempt on it may have run.
func (p *Pool) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.None
	}
	p.open.Add(-1)
	l.closed = true
	b := l.box
	b.mu.Lock()
	if l.state != nil {
		b.conns.Closed(l.state)
	}
	wasProbe := b.probe == l
	if wasProbe {
		b.probe = nil
	}
	b.mu.Unlock()
	if wasProbe {
		b.probed(policy.Reset, nil)
	}
	return gnet.None
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
			_ = b.probe.c.Close()
		}
		b.mu.Unlock()
		b.probed(policy.Timeout, nil)
	})
	if b.probe != nil {
		_ = b.probe.c.AsyncWrite(resp.AppendCommand(nil, "INFO"), nil)
		return
	}
	b.dial(true)
}

// probed ends the probe that is out, if one is.
func (b *box) probed(status policy.Status, load *policy.Load) {
	b.mu.Lock()
	pr := b.probing
	b.probing = nil
	b.mu.Unlock()
	if pr == nil {
		return
	}
	if pr.timer.Stop() {
		b.pool.work.Done()
	}
	b.pool.core.Probed(policy.ProbeResult{Server: b.addr, Status: status, SpentS: time.Since(pr.at).Seconds(), Load: load})
}
