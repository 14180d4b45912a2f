// Package front serves clients that speak RESP: it parses commands, asks the core for rulings and writes
// the answers in the order of the commands. It decides nothing about quotas, classes or boxes.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/netlog"
	"cometpond/internal/resp"
)

// Core is what a front needs of the core.
type Core interface {
	Submit(calls []*core.Call) int
	Gone(calls []*core.Call)
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 takes a free one
	Loops  int    // event loops, 1 at least
	Bounds config.Front
	Book   *access.Book
	Info   func() string // the text of INFO
	Log    zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Opened, Open, Commands, Cut, Denied uint64
}

// Server is the front on gnet's event loops.
type Server struct {
	gnet.BuiltinEventEngine
	opt      Options
	core     Core
	lim      resp.Limits
	booted   chan struct{}
	engine   gnet.Engine
	ran      chan error
	stopping atomic.Bool
	sweeper  sync.WaitGroup
	stop     chan struct{}

	mu    sync.Mutex
	loops map[gnet.EventLoop]*loop

	nextID                              atomic.Uint64
	opened, open, commands, cut, denied atomic.Uint64
}

// Start listens and serves until Stop.
func Start(c Core, opt Options) (*Server, error) {
	s := &Server{opt: opt, core: c, booted: make(chan struct{}), ran: make(chan error, 1), stop: make(chan struct{}),
		loops: map[gnet.EventLoop]*loop{}}
	s.lim = resp.DefaultLimits
	s.lim.Bulk = opt.Bounds.Bulk
	go func() {
		s.ran <- gnet.Run(s, "tcp://"+opt.Listen, gnet.WithNumEventLoop(max(1, opt.Loops)), gnet.WithReuseAddr(true),
			gnet.WithTCPKeepAlive(2*time.Minute), gnet.WithLogger(netlog.Logger{Log: opt.Log}), gnet.WithLogLevel(logging.ErrorLevel))
	}()
	select {
	case <-s.booted:
	case err := <-s.ran:
		return nil, fmt.Errorf("listen on %s: %w", opt.Listen, err)
	}
	s.sweeper.Add(1)
	go s.sweep()
	return s, nil
}

// OnBoot notes the engine.
func (s *Server) OnBoot(e gnet.Engine) gnet.Action {
	s.engine = e
	close(s.booted)
	return gnet.None
}

// Addr is the address that the server listens on.
func (s *Server) Addr() (net.Addr, error) {
	fd, err := s.engine.Dup()
	if err != nil {
		return nil, fmt.Errorf("listener: %w", err)
	}
	defer unix.Close(fd)
	sa, err := unix.Getsockname(fd)
	if err != nil {
		return nil, fmt.Errorf("listener's name: %w", err)
	}
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: a.Addr[:], Port: a.Port}, nil
	}
	return nil, errors.New("the listener has no TCP address")
}

// Drain turns new connections away; those that stand go on.
func (s *Server) Drain() { s.stopping.Store(true) }

// Flush returns once every answer handed over so far has been written or lies in a socket's buffer.
func (s *Server) Flush(ctx context.Context) {
	s.mu.Lock()
	loops := make([]*loop, 0, len(s.loops))
	for _, l := range s.loops {
		loops = append(loops, l)
	}
	s.mu.Unlock()
	for _, l := range loops {
		done := make(chan struct{})
		if l.el.Execute(ctx, gnet.RunnableFunc(func(context.Context) error { close(done); return nil })) != nil {
			continue
		}
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// Stop closes all connections and returns when the loops have ended.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	close(s.stop)
	s.sweeper.Wait()
	if err := s.engine.Stop(ctx); err != nil {
		return fmt.Errorf("stop the front: %w", err)
	}
	return <-s.ran
}

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	return Counts{s.opened.Load(), s.open.Load(), s.commands.Load(), s.cut.Load(), s.denied.Load()}
}

// loopOf returns what is kept for an event loop.
func (s *Server) loopOf(el gnet.EventLoop) *loop {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loops[el]
	if l == nil {
		l = &loop{s: s, el: el, conns: map[*conn]struct{}{}}
		s.loops[el] = l
	}
	return l
}

// OnOpen takes a connection in.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	s.opened.Add(1)
	open := s.open.Add(1)
	switch {
	case s.stopping.Load():
		return []byte("-ERR this instance is shutting down\r\n"), gnet.Close
	case open > uint64(s.opt.Bounds.Connections):
		s.cut.Add(1)
		return []byte("-ERR max number of clients reached\r\n"), gnet.Close
	}
	l := s.loopOf(c.EventLoop())
	k := &conn{c: c, loop: l, id: s.nextID.Add(1), version: 2, since: time.Now()}
	l.conns[k] = struct{}{}
	c.SetContext(k)
	return nil, gnet.None
}

// OnClose forgets a connection and tells the core that nobody waits for its answers.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	s.open.Add(^uint64(0))
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.None
	}
	k.closed = true
	delete(k.loop.conns, k)
	var gone []*core.Call
	for _, p := range k.queue[k.head:] {
		if p.call.Front != nil && !p.done {
			gone = append(gone, &p.call)
		}
	}
	if len(gone) > 0 {
		s.core.Gone(gone)
	}
	k.queue = nil
	return gnet.None
}

// OnTraffic reads what has come.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	return k.read()
}

// sweep looks once a second for connections that take up room and do nothing with it.
func (s *Server) sweep() {
	defer s.sweeper.Done()
	tick := time.NewTicker(min(time.Second, max(s.opt.Bounds.Partial/2, 10*time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for el, l := range s.loops {
			// An error means that the engine shuts down, and then nothing needs cutting.
			_ = el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { l.sweep(); return nil }))
		}
		s.mu.Unlock()
	}
}

// loop is one event loop: its connections, and the answers on their way to them. All but the inbox belongs
// to the loop's goroutine.
type loop struct {
	s     *Server
	el    gnet.EventLoop
	conns map[*conn]struct{}
	buf   []byte
	calls []*core.Call
	dirty []*conn

	mu    sync.Mutex
	inbox []*core.Call
	spare []*core.Call
}

// Answered takes calls back from the core and wakes the loop.
func (l *loop) Answered(calls []*core.Call) {
	l.mu.Lock()
	first := len(l.inbox) == 0
	l.inbox = append(l.inbox, calls...)
	l.mu.Unlock()
	if first {
		// An error means that the engine shuts down and its connections are closed.
		_ = l.el.Execute(context.Background(), l)
	}
}

// Run writes the answers that have come to their connections.
func (l *loop) Run(context.Context) error {
	l.mu.Lock()
	batch := l.inbox
	l.inbox = l.spare[:0]
	l.mu.Unlock()
	for _, c := range batch {
		p := c.Tag.(*pending)
		p.done = true
		if k := p.conn; !k.dirty && !k.closed {
			k.dirty = true
			l.dirty = append(l.dirty, k)
		}
	}
	clear(batch)
	l.spare = batch
	for _, k := range l.dirty {
		k.dirty = false
		if k.closed {
			continue
		}
		act := k.pump()
		if act == gnet.None && k.paused && k.waiting() <= l.s.opt.Bounds.Pipeline/2 {
			act = k.read()
		}
		if act == gnet.Close {
			_ = l.el.Close(k.c)
		}
	}
	clear(l.dirty)
	l.dirty = l.dirty[:0]
	return nil
}

// sweep cuts connections whose command stays unfinished, who never say who they are, or who never read.
func (l *loop) sweep() {
	now, most := time.Now(), l.s.opt.Bounds.Partial
	for k := range l.conns {
		slow := !k.partial.IsZero() && now.Sub(k.partial) > most || k.client == nil && now.Sub(k.since) > most
		if slow || k.c.OutboundBuffered() > l.s.opt.Bounds.Output {
			l.s.cut.Add(1)
			_ = l.el.Close(k.c)
		}
	}
}
