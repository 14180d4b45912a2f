// Package backend carries attempts to boxes that speak RESP, over pooled and pipelined connections on
// gnet's event loops, and tells the core what the end of each attempt proves: an answer, that it never ran,
// or that it may have run. It chooses connections, never boxes.
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

// Counts are totals since the start.
type Counts struct {
	Dials, DialsFailed, Broken uint64 // connections asked for, not had, and lost with attempts out
	Late                       uint64 // answers to attempts that had ended
	Open                       int64
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

	mu    sync.Mutex
	boxes map[string]*box

	dials, dialsFailed, broken, late atomic.Uint64
	open                             atomic.Int64
}

// box is what is kept of one box. Its lock covers its links and all that is in them.
type box struct {
	pool *Pool
	addr string

	mu      sync.Mutex
	links   []*link
	dialing int
	waiting []*flight // for a connection
	flights map[core.Attempt]*flight
	probe   *link // a connection of its own, so that no answer holds a probe up
	probing *probe
	gone    bool // no longer listed
}

// link is one connection.
type link struct {
	box     *box
	c       gnet.Conn // nil until it is open
	probe   bool
	flights []*flight // in the order of the answers to come
	setups  int       // of them, this end's own greeting
	dead    int       // of them, given up
	closed  bool
}

// flight is what one answer on a link is awaited for.
type flight struct {
	attempt core.Attempt
	payload []byte
	link    *link
	setup   bool // this end's own greeting
	dead    bool
}

type probe struct {
	at    time.Time
	timer *time.Timer
}

// New starts the event loops of a pool without boxes.
func New(c Core, opt Options) (*Pool, error) {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{opt: opt, core: c, lim: resp.DefaultLimits, boxes: map[string]*box{}, ctx: ctx, cancel: cancel}
	p.lim.Bulk, p.lim.Args = 8<<20, 1<<16 // what a box answers is its own affair
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
			p.boxes[s.ID] = &box{pool: p, addr: s.ID, flights: map[core.Attempt]*flight{}}
		} else {
			b.mu.Lock()
			b.gone = false
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
	p.mu.Unlock()
}

func (b *box) retire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gone = true
	for _, l := range b.links {
		if len(l.flights) == 0 {
			l.close()
		}
	}
	if b.probe != nil {
		b.probe.close()
	}
}

// Send starts an attempt.
func (p *Pool) Send(a core.Attempt, addr string, payload []byte) {
	b := p.box(addr)
	if b == nil {
		p.core.Done(core.Result{Attempt: a, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := &flight{attempt: a, payload: payload}
	b.flights[a] = f
	idle, next := b.pick()
	switch {
	case idle != nil:
		idle.write(f)
	case len(b.links)+b.dialing < p.opt.Connections:
		b.waiting = append(b.waiting, f)
		b.dial(false)
	case next != nil:
		next.write(f)
	case b.dialing > 0 && len(b.waiting) < b.dialing*p.opt.Pipeline:
		b.waiting = append(b.waiting, f)
	default:
		delete(b.flights, a)
		p.core.Done(core.Result{Attempt: a, Status: policy.Full})
	}
}

// pick returns a connection with nothing out, and the one with least out that has room. Answers come in the
// order of the commands, so one that holds an attempt given up may be held up by it and takes no more.
func (b *box) pick() (idle, next *link) {
	for _, l := range b.links {
		n := len(l.flights) - l.setups
		switch {
		case l.c == nil || l.closed || l.dead > 0:
		case n == 0:
			return l, l
		case n < b.pool.opt.Pipeline && (next == nil || n < len(next.flights)-next.setups):
			next = l
		}
	}
	return nil, next
}

// write sends a flight on the link.
func (l *link) write(f *flight) {
	f.link = l
	l.flights = append(l.flights, f)
	payload := f.payload
	f.payload = nil
	// An error means that the connection is closed; OnClose tells what became of the flight.
	_ = l.c.AsyncWrite(payload, nil)
}

func (l *link) close() {
	if !l.closed && l.c != nil {
		l.closed = true
		_ = l.c.Close()
	}
}

// dial opens one more connection on a goroutine of its own, which the pool waits for.
func (b *box) dial(probe bool) {
	p := b.pool
	if !probe {
		b.dialing++
	}
	p.dials.Add(1)
	p.work.Add(1)
	go func() {
		defer p.work.Done()
		d := net.Dialer{Timeout: p.opt.Connect}
		c, err := d.DialContext(p.ctx, "tcp", b.addr)
		if err == nil {
			_, err = p.client.EnrollContext(c, &link{box: b, probe: probe})
		}
		if err != nil {
			p.dialsFailed.Add(1)
			b.failed(probe)
		}
	}()
}

// failed ends what waited for a connection that can't be had, unless another one will do.
func (b *box) failed(probe bool) {
	b.mu.Lock()
	if probe {
		b.mu.Unlock()
		b.probed(policy.ConnectFailed, nil)
		return
	}
	b.dialing--
	b.share()
	var lost []core.Result
	if b.dialing == 0 && len(b.links) == 0 {
		for _, f := range b.waiting {
			delete(b.flights, f.attempt)
			lost = append(lost, core.Result{Attempt: f.attempt, Status: policy.ConnectFailed})
		}
		b.waiting = nil
	}
	b.mu.Unlock()
	if len(lost) > 0 {
		b.pool.core.Done(lost...)
	}
}

// Cancel gives an attempt up. A connection on which nothing else is awaited is closed, so that the box can
// stop the work.
func (p *Pool) Cancel(a core.Attempt, addr string) {
	b := p.box(addr)
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.flights[a]
	if f == nil {
		return
	}
	delete(b.flights, a)
	f.dead = true
	if f.link == nil {
		for i, w := range b.waiting {
			if w == f {
				b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
				break
			}
		}
		return
	}
	if f.link.dead++; f.link.dead == len(f.link.flights) {
		f.link.close()
	}
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
	greet := func(words ...string) {
		out = resp.AppendCommand(out, words...)
		l.flights = append(l.flights, &flight{setup: true})
		l.setups++
	}
	if p.opt.Load == "answer" { // load rides on answers as an attribute, which version 3 alone has
		greet("HELLO", "3")
	}
	greet("CLIENT", "SETNAME", p.opt.Name)
	if l.probe {
		b.probe = l
		l.flights = append(l.flights, &flight{})
		return resp.AppendCommand(out, "INFO"), gnet.None
	}
	b.dialing--
	b.links = append(b.links, l)
	b.share()
	return out, gnet.None
}

// share gives what waits to connections: one each as they open, and the rest in line once no more is to come.
func (b *box) share() {
	for len(b.waiting) > 0 {
		idle, next := b.pick()
		if idle == nil && (b.dialing > 0 || next == nil) {
			return
		}
		f := b.waiting[0]
		b.waiting = b.waiting[1:]
		if idle == nil {
			idle = next
		}
		idle.write(f)
	}
}

// OnTraffic matches answers to what they were awaited for.
func (p *Pool) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	buf, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	used, act := 0, gnet.None
	var results []core.Result
	for used < len(buf) {
		n, err := resp.Reply(buf[used:], p.lim)
		if err == resp.ErrIncomplete {
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
		f, ok := l.next()
		if !ok {
			act = gnet.Close
			break
		}
		switch {
		case f.setup:
		case l.probe:
			l.box.probed(policy.OK, parseLoad(resp.Text(reply, p.lim)))
		case f.dead:
			p.late.Add(1)
		default:
			r := core.Result{Attempt: f.attempt, Status: policy.OK}
			attr, body := resp.SplitAttribute(reply, p.lim)
			if attr != nil {
				r.Load = pairsLoad(resp.Strings(attr, p.lim))
			}
			if r.Status = judge(body); r.Status == policy.OK {
				r.Payload = append([]byte(nil), body...)
			}
			results = append(results, r)
		}
	}
	if _, err := c.Discard(used); err != nil {
		act = gnet.Close
	}
	if len(results) > 0 {
		p.core.Done(results...)
	}
	if l.spent() {
		act = gnet.Close
	}
	return act
}

// next takes the flight that the next answer belongs to; false if none is awaited.
func (l *link) next() (*flight, bool) {
	b := l.box
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(l.flights) == 0 {
		return nil, false
	}
	f := l.flights[0]
	l.flights = l.flights[1:]
	if f.setup {
		l.setups--
	}
	if f.dead {
		l.dead--
	} else if !f.setup && !l.probe {
		delete(b.flights, f.attempt)
	}
	if l.dead > 0 && l.dead == len(l.flights) {
		l.close()
	}
	b.share()
	return f, true
}

// spent tells that a connection to a box that is gone has nothing more to bring.
func (l *link) spent() bool {
	l.box.mu.Lock()
	defer l.box.mu.Unlock()
	return l.box.gone && len(l.flights) == 0
}

// OnClose ends what was out on a connection: each attempt on it may have run.
func (p *Pool) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.None
	}
	p.open.Add(-1)
	b := l.box
	b.mu.Lock()
	l.closed = true
	var lost []core.Result
	for _, f := range l.flights {
		if !f.setup && !f.dead && !l.probe {
			delete(b.flights, f.attempt)
			lost = append(lost, core.Result{Attempt: f.attempt, Status: policy.Reset})
		}
	}
	l.flights = nil
	for i, o := range b.links {
		if o == l {
			b.links = append(b.links[:i], b.links[i+1:]...)
			break
		}
	}
	if len(b.waiting) > 0 && len(b.links) == 0 && b.dialing == 0 {
		b.dial(false)
	}
	wasProbe := b.probe == l
	if wasProbe {
		b.probe = nil
	}
	b.mu.Unlock()
	if wasProbe {
		b.probed(policy.Reset, nil)
	}
	if len(lost) > 0 {
		p.broken.Add(1)
		p.core.Done(lost...)
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
			b.probe.close()
		}
		b.mu.Unlock()
		b.probed(policy.Timeout, nil)
	})
	if b.probe != nil && !b.probe.closed {
		b.probe.flights = append(b.probe.flights, &flight{})
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
