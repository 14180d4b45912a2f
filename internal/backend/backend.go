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
	"cometpond/policy"
)

// Core is told how attempts and probes end.
type Core interface {
	QueueResults(results ...core.Result) // under locks of the pool
	HandleResults(results []core.Result) // under none: what follows may be sent at once
	QueueProbeResult(p policy.ProbeResult)
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
	ParseReply(reply []byte) (r core.Result, spoilt bool)
	// Load reads the answer to a probe; nil if it tells nothing.
	ParseLoad(reply []byte) *policy.Load
	// Limits bound an answer.
	Limits() resp.Limits
}

// Options are the settings of a Pool. Times are in seconds.
type Options struct {
	Dialect             Dialect
	Connections         int           // to one box at once, 1 at least
	MaxTotalConnections int           // to all boxes: they share it evenly, probes' connections aside; 0: not bounded
	Pipeline            int           // attempts on one connection at once, 1 at least
	ConnectTimeout      time.Duration // until a connection stands
	ReuseDelayS         float64       // see links.Limits
	IdleTimeoutS        float64       // see links.Limits; 0: connections stay
	StrictProbes        bool          // a probe's connection is closed for an answer that nobody awaits
	Loops               int           // event loops, 1 at least
	// DialContext opens a connection; nil: by TCP.
	DialContext func(ctx context.Context, network, addr string) (net.Conn, error)
	Log         zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Dials, DialsFailed uint64 // connections asked for, and not had
	AttemptsBroken     uint64 // attempts whose connection was lost
	LateReplies        uint64 // answers to attempts that had ended
	OpenConnections    int64
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
	if opt.IdleTimeoutS > 0 {
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
			if b.probe != nil && b.probing == nil && p.now()-b.probe.usedAt > p.opt.IdleTimeoutS {
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

// SetAddresses tells where boxes are reached whose names are not their addresses. It comes before Servers lists them, and
// lasts until they are gone. A box that moves is reached at its new address by connections to come.
func (p *Pool) SetAddresses(addr map[string]string) {
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

// UpdateServers takes in the list of boxes. What is out at one that is gone ends as it will; its connections are
// closed once they are idle.
func (p *Pool) UpdateServers(list []policy.Server, whole bool) {
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
			b.conns = links.New(links.Limits{Connections: p.opt.Connections, Pipeline: p.opt.Pipeline, ReuseDelayS: p.opt.ReuseDelayS,
				IdleTimeoutS: p.opt.IdleTimeoutS}, (*effects)(b))
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
	if p.opt.MaxTotalConnections > 0 {
		part := min(p.opt.Connections, max(1, p.opt.MaxTotalConnections/max(1, len(p.boxes))))
		for _, b := range p.boxes {
			b.mu.Lock()
			b.conns.Bound(part)
			b.mu.Unlock()
		}
	}
	p.mu.Unlock()
}

// Send starts an attempt. It is not written any more once its time to begin is over.
func (p *Pool) Send(a core.AttemptID, name string, payload []byte, timing policy.Timing) {
	b := p.box(name)
	if b == nil {
		p.core.QueueResults(core.Result{Attempt: a, Status: policy.ConnectFailed})
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := p.now()
	b.conns.Send(now, a, payload, timing)
}

// Cancel gives an attempt up.
func (p *Pool) Cancel(a core.AttemptID, addr string) {
	if b := p.box(addr); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.Cancel(a)
	}
}

// Withdraw takes back an attempt that was not written; it ends as policy.Moot.
func (p *Pool) Withdraw(a core.AttemptID, addr string) {
	if b := p.box(addr); b != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.conns.Withdraw(a)
	}
}
