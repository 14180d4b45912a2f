// Package front serves clients that speak RESP: it parses commands, asks the core for rulings and writes
// the answers in the order of the commands. It decides nothing about quotas, classes or boxes.
package front

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cometpond/internal/access"
	"cometpond/internal/config"
	"cometpond/internal/core"
	"cometpond/internal/crowd"
	"cometpond/internal/eventloop"
	"cometpond/internal/intake"
	"cometpond/internal/resp"
)

// Core is what a front needs of the core.
type Core interface {
	Submit(calls []*core.Call) int
	Disconnected(calls []*core.Call)
}

// CommandHandler is what the words of clients mean, and how rulings read to them. Its methods are called on the event
// loops, several at once, and must not block.
type CommandHandler interface {
	// Command takes one command, one word at least. The words last until it returns. It calls Ask or Say once.
	HandleCommand(c Conn, args [][]byte)
	// Answer appends the final answer to a call that was asked.
	AppendReply(dst []byte, c *core.Call) []byte
	// Limits bound a command. What is beyond them ends the connection with an error.
	Limits() resp.Limits
}

// Conn is a client's connection as Commands see it.
type Conn interface {
	Submit(c core.Call)  // has the core rule on the command
	Reply(answer []byte) // answers it at once, or behind those that wait; the slice is copied
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 takes a free one
	Loops  int    // event loops, 1 at least
	Limits config.FrontLimits
	// Commands are those of a world without logins, in which each command is an array of one word at least. Nil:
	// this gateway's own, with the clients of Book.
	Handler  CommandHandler
	Registry *access.Registry
	// Leavers has a client that ends its connection, or its sending, count as gone at once, also while it is read no
	// further: what it has asked is given up, and what it sent before its end is not read. Otherwise that is read first.
	CloseOnClientEOF bool
	IdleLimits       crowd.Limits  // when connections without a request give way; the zero value keeps them
	Info             func() string // the text of INFO
	// Age tells how long ago, at most, what is read now from a connection may have been sent, and the time of
	// this reading; readAt is the time of its last one, and parked tells that it was not read since on purpose.
	// Nil: nothing is old.
	InputAge func(readAt float64, parked bool) (ageS, now float64)
	// Read returns what is used of the bytes that have come in at once; nil: all of them. The rigs put the fault of losing
	// some back.
	FilterInput func(data []byte) []byte
	Log         zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Opened, Open, Commands, Terminated, LoginsDenied uint64
	ReadsPaused                                      uint64 // times that a connection was left unread for a while
	Evicted                                          uint64 // connections closed for the sake of new ones
	Abandoned                                        uint64 // requests whose connection ended here before their answer
	Input                                            intake.Counts
}

// Server is the front on its event loops.
type Server struct {
	opt      Options
	core     Core
	lim      resp.Limits
	group    *eventloop.Group
	stopping atomic.Bool
	retiring atomic.Bool
	sweeper  sync.WaitGroup
	stop     chan struct{}

	loops map[*eventloop.Loop]*loop

	poolMu sync.Mutex // covers pool and asking
	pool   *intake.Pool
	asking map[uint64]*conn // connections that wait for the pool's word

	lingering atomic.Int64 // connections whose sending side has ended

	nextID                                                         atomic.Uint64
	opened, open, commands, cut, denied, parks, evicted, abandoned atomic.Uint64
}

// listenFor is how long Start waits for an address that it can't have at once.
const listenFor = 2 * time.Second

// Start listens and serves until Stop.
func Start(c Core, opt Options) (*Server, error) {
	s := &Server{opt: opt, core: c, stop: make(chan struct{}), loops: map[*eventloop.Loop]*loop{}, asking: map[uint64]*conn{}}
	s.boundByDescriptors()
	s.lim = resp.DefaultLimits
	s.lim.Bulk, s.lim.Command = opt.Limits.MaxArgumentBytes, opt.Limits.MaxArgumentBytes+aheadMost
	if opt.Handler != nil {
		s.lim = opt.Handler.Limits()
	}
	s.pool = intake.New(intake.Limits{FreeBytes: chunkMost, TotalBytes: max(opt.Limits.MaxInputBytes, opt.Limits.MaxArgumentBytes), ReserveBytes: s.lim.Command,
		UnauthenticatedBytes: max(opt.Limits.MaxInputBytes/4, strangerMost), MaxOvertakeS: passAfter})
	var err error
	if s.group, err = eventloop.New(s, eventloop.Options{Loops: opt.Loops, ReadBuffer: chunkMost, CloseOnPeerShutdown: opt.CloseOnClientEOF, Log: opt.Log}); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	for _, el := range s.group.Loops() {
		s.loops[el] = &loop{s: s, el: el, conns: map[*conn]struct{}{}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), listenFor)
	defer cancel()
	if err := s.group.Listen(ctx, opt.Listen); err != nil {
		s.group.Stop()
		return nil, fmt.Errorf("listen on %s: %w", opt.Listen, err)
	}
	s.sweeper.Add(1)
	go s.sweep()
	return s, nil
}

// boundByDescriptors lowers the bound on connections to what the system's limit of descriptors leaves room for: servers,
// discovery and other instances need some as well.
func (srv *Server) boundByDescriptors() {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil || files.Cur >= 1<<30 {
		return
	}
	if most := max(1, int(files.Cur)*3/4-64); srv.opt.Limits.MaxConnections > most {
		srv.opt.Log.Warn().Int("connections", most).Uint64("descriptors", files.Cur).Msg("fewer connections than set: raise ulimit -n")
		srv.opt.Limits.MaxConnections = most
	}
}

// Addr is the address that the server listens on.
func (srv *Server) Addr() net.Addr { return srv.group.Addr() }

// RejectNewConnections turns new connections away; those that stand go on.
func (srv *Server) RejectNewConnections() { srv.stopping.Store(true) }

// CloseWhenIdle ends each connection as soon as it has nothing open, new ones after their first answer.
func (srv *Server) CloseWhenIdle() {
	if srv.retiring.CompareAndSwap(false, true) {
		srv.look()
	}
}

// OpenConnections is the number of connections that stand.
func (srv *Server) OpenConnections() int { return int(srv.open.Load()) }

// Flush returns once every answer handed over so far has been written or lies in a socket's buffer.
func (srv *Server) Flush(ctx context.Context) {
	for _, l := range srv.loops {
		for behind := 1; behind > 0; {
			done := make(chan int, 1)
			if l.el.Execute(func() { done <- len(l.behind) }) != nil {
				break
			}
			select {
			case behind = <-done:
			case <-ctx.Done():
				return
			}
			if behind > 0 {
				time.Sleep(behindCheck)
			}
		}
	}
}

// Stop ends all connections and returns when the loops have ended.
func (srv *Server) Stop(ctx context.Context) {
	srv.RejectNewConnections()
	srv.part(ctx)
	close(srv.stop)
	srv.sweeper.Wait()
	srv.group.Stop()
}

func seconds() float64 { return time.Since(processStart).Seconds() }

var processStart = time.Now()

// Counts returns the totals so far.
func (srv *Server) Counts() Counts {
	srv.poolMu.Lock()
	input := srv.pool.Counts()
	srv.poolMu.Unlock()
	return Counts{srv.opened.Load(), srv.open.Load(), srv.commands.Load(), srv.cut.Load(), srv.denied.Load(), srv.parks.Load(), srv.evicted.Load(), srv.abandoned.Load(), input}
}

// OnOpen takes a new connection in.
func (srv *Server) OnOpen(c *eventloop.Conn) eventloop.Action {
	srv.opened.Add(1)
	open := srv.open.Add(1)
	l := srv.loops[c.Loop()]
	if most := srv.opt.Limits.MaxConnections - srv.opt.Limits.MaxConnections/lingerShare; int64(open)-srv.lingering.Load() > int64(most) && !l.evict() {
		srv.cut.Add(1)
		_, _ = c.Send([]byte("-ERR max number of clients reached\r\n")) // as much as it takes
		return eventloop.Close                                          // unread: there is no descriptor to keep it with
	}
	k := &conn{c: c, loop: l, id: srv.nextID.Add(1), version: 2, since: time.Now()}
	if srv.opt.Handler != nil {
		k.client = &anyone
	}
	k.guest.OpenedAtS = seconds()
	l.conns[k] = struct{}{}
	c.SetContext(k)
	if srv.stopping.Load() && srv.opt.Handler == nil {
		k.quit = true
		k.because(shuttingDown)
		k.say(func(b []byte) []byte { return resp.AppendError(b, "ERR this instance is shutting down") })
		if act := l.write(k); act != eventloop.None {
			return act
		}
		return k.pump()
	}
	return eventloop.None
}

// OnClose forgets a connection.
func (srv *Server) OnClose(c *eventloop.Conn, err error) {
	k, ok := c.Context().(*conn)
	if !ok { // it was turned away
		srv.open.Add(^uint64(0))
		return
	}
	k.ended(err)
	k.loop.lost(k)
}

// OnData takes what has come in.
func (srv *Server) OnData(c *eventloop.Conn, data []byte) eventloop.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return eventloop.Close
	}
	if srv.opt.FilterInput != nil {
		data = srv.opt.FilterInput(data)
	}
	k.looked(false)
	l := k.loop
	l.awake(true)
	act := k.arrived(data)
	for act == eventloop.None && !l.awake(false) { // answers that came meanwhile, as a rule to what has just been read
		l.run()
	}
	if act != eventloop.None && !l.awake(false) { // the connection ends: the answers are others', and their turn is next
		l.sleep()
	}
	return act
}

// sweep looks once a second for connections that take up room and do nothing with it.
func (srv *Server) sweep() {
	defer srv.sweeper.Done()
	tick := time.NewTicker(min(time.Second, max(srv.opt.Limits.PartialTimeout/8, 10*time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-srv.stop:
			return
		case <-tick.C:
		}
		srv.poolMu.Lock()
		srv.granted(srv.pool.Tick(seconds()))
		srv.poolMu.Unlock()
		srv.look()
	}
}

// look has all loops look for connections that are to end.
func (srv *Server) look() { srv.each((*loop).sweep) }

// each runs f in every event loop; it does not wait.
func (srv *Server) each(f func(l *loop)) {
	for el, l := range srv.loops {
		_ = el.Execute(func() { f(l) }) // an error means that the loops end, and then nothing is left to do
	}
}
