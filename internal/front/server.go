// Package front serves clients that speak RESP. It parses commands, submits requests to the core and writes the replies in
// the order of the commands. It makes no decisions about quotas, classes or servers.
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

// Core is the part of the core that the front uses. Submit takes calls and returns how many of them were accepted, from the
// first one on. Gone reports calls whose client has disconnected.
type Core interface {
	Submit(calls []*core.Call) int
	Gone(calls []*core.Call)
}

// CommandHandler interprets the commands of clients and encodes the replies. Its methods are called on the event loops, possibly
// concurrently, and must not block.
type CommandHandler interface {
	// Command handles one command, which has at least one argument. The arguments are valid until it returns. It calls
	// Conn.Ask or Conn.Say exactly once.
	HandleCommand(c Conn, args [][]byte)
	// Answer appends the reply to a call that was submitted and has its final answer.
	AppendReply(dst []byte, c *core.Call) []byte
	// Limits returns the size limits of a command. A command that exceeds them ends the connection with an error.
	Limits() resp.Limits
}

// Conn is a client's connection as a command handler sees it.
type Conn interface {
	// Ask submits the command to the core.
	Submit(c core.Call)
	// Say replies to the command without the core, after the replies to earlier commands. The slice is copied.
	Reply(answer []byte)
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 selects a free port
	Loops  int    // number of event loops, at least 1
	Limits config.Front
	// Commands handles the commands of clients that do not log in; each command is then an array of at least one
	// argument. With nil the front serves this gateway's own commands, to the clients of Book.
	Handler  CommandHandler
	Registry *access.Registry
	// Leavers makes the end of a client's connection, or of its sending side, take effect at once, even while reading is
	// paused: its open requests are cancelled and input received before the end is discarded. Otherwise that input is
	// processed first.
	CloseOnClientEOF bool
	IdleLimits       crowd.Limits  // when idle connections are closed or evicted; with the zero value they are kept
	Info             func() string // returns the text of the INFO command
	// Age returns the maximum age of the input that is being read, and the current time. readAt is the time of the
	// previous read from the connection, and parked means that reading was paused on purpose since then. With nil the
	// age of input is always 0.
	InputAge func(readAt float64, parked bool) (ageS, now float64)
	// Read filters each chunk of input and returns the bytes to process; with nil all are processed. Tests use it to
	// inject loss of input.
	FilterInput func(data []byte) []byte
	Log         zerolog.Logger
}

// Counts are totals since the start, but for Open and Input, which are current values.
type Counts struct {
	// Connections opened and currently open; commands read; connections closed for exceeding a limit or violating the
	// protocol; logins denied.
	Opened, Open, Commands, Terminated, LoginsDenied uint64
	ReadsPaused                                      uint64 // times that reading from a connection was paused
	Evicted                                          uint64 // idle connections closed to make room for new ones
	Abandoned                                        uint64 // requests whose connection was closed by this side before the reply
	Input                                            intake.Counts
}

// Server accepts connections of clients and serves them on event loops.
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

	poolMu sync.Mutex // guards pool and asking
	pool   *intake.Pool
	asking map[uint64]*conn // connections that wait for the pool to grant them memory

	lingering atomic.Int64 // connections whose sending side this server has closed

	nextID                                                         atomic.Uint64
	opened, open, commands, cut, denied, parks, evicted, abandoned atomic.Uint64
}

// listenFor is how long Start keeps trying to listen on an address that is not available at once.
const listenFor = 2 * time.Second

// Start listens on the address of opt and serves clients until Stop.
func Start(c Core, opt Options) (*Server, error) {
	s := &Server{opt: opt, core: c, stop: make(chan struct{}), loops: map[*eventloop.Loop]*loop{}, asking: map[uint64]*conn{}}
	s.boundByDescriptors()
	s.lim = resp.DefaultLimits
	s.lim.Bulk, s.lim.Command = opt.Limits.Bulk, opt.Limits.Bulk+aheadMost
	if opt.Handler != nil {
		s.lim = opt.Handler.Limits()
	}
	s.pool = intake.New(intake.Limits{Free: chunkMost, Total: max(opt.Limits.Input, opt.Limits.Bulk), Reserve: s.lim.Command,
		Strangers: max(opt.Limits.Input/4, strangerMost), PassS: passAfter})
	var err error
	if s.group, err = eventloop.New(s, eventloop.Options{Loops: opt.Loops, ReadBuffer: chunkMost, EndsFirst: opt.CloseOnClientEOF, Log: opt.Log}); err != nil {
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

// boundByDescriptors lowers the limit on connections according to the system's limit on file descriptors. A quarter and 64
// descriptors are left for connections to servers, discovery and other instances.
func (srv *Server) boundByDescriptors() {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil || files.Cur >= 1<<30 {
		return
	}
	if most := max(1, int(files.Cur)*3/4-64); srv.opt.Limits.Connections > most {
		srv.opt.Log.Warn().Int("connections", most).Uint64("descriptors", files.Cur).Msg("connection limit lowered to fit the file descriptor limit; raise ulimit -n")
		srv.opt.Limits.Connections = most
	}
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() net.Addr { return srv.group.Addr() }

// RejectNewConnections makes the server reject new connections; existing ones are still served.
func (srv *Server) RejectNewConnections() { srv.stopping.Store(true) }

// CloseWhenIdle makes the server close each connection as soon as it has no open request, and new connections after their first
// reply.
func (srv *Server) CloseWhenIdle() {
	if srv.retiring.CompareAndSwap(false, true) {
		srv.look()
	}
}

// OpenConnections returns the number of open connections.
func (srv *Server) OpenConnections() int { return int(srv.open.Load()) }

// Flush returns once every reply produced so far has been handed to the operating system, or when ctx is done.
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

// Stop closes all connections and returns when the event loops have ended.
func (srv *Server) Stop(ctx context.Context) {
	srv.RejectNewConnections()
	srv.part(ctx)
	close(srv.stop)
	srv.sweeper.Wait()
	srv.group.Stop()
}

// seconds returns the time since the process started, in seconds.
func seconds() float64 { return time.Since(processStart).Seconds() }

var processStart = time.Now()

// Counts returns the totals so far.
func (srv *Server) Counts() Counts {
	srv.poolMu.Lock()
	input := srv.pool.Counts()
	srv.poolMu.Unlock()
	return Counts{srv.opened.Load(), srv.open.Load(), srv.commands.Load(), srv.cut.Load(), srv.denied.Load(), srv.parks.Load(), srv.evicted.Load(), srv.abandoned.Load(), input}
}

// OnOpen accepts or rejects a new connection. It implements eventloop.Handler.
func (srv *Server) OnOpen(c *eventloop.Conn) eventloop.Action {
	srv.opened.Add(1)
	open := srv.open.Add(1)
	l := srv.loops[c.Loop()]
	if most := srv.opt.Limits.Connections - srv.opt.Limits.Connections/lingerShare; int64(open)-srv.lingering.Load() > int64(most) && !l.evict() {
		srv.cut.Add(1)
		_, _ = c.Send([]byte("-ERR max number of clients reached\r\n")) // best effort
		return eventloop.Close                                          // without reading to its end: the descriptor is needed
	}
	k := &conn{c: c, loop: l, id: srv.nextID.Add(1), version: 2, since: time.Now()}
	if srv.opt.Handler != nil {
		k.client = &anyone
	}
	k.guest.Since = seconds()
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

// OnClose removes a connection that has been closed. It implements eventloop.Handler.
func (srv *Server) OnClose(c *eventloop.Conn, err error) {
	k, ok := c.Context().(*conn)
	if !ok { // rejected in OnOpen
		srv.open.Add(^uint64(0))
		return
	}
	k.ended(err)
	k.loop.lost(k)
}

// OnData processes input from a connection. It implements eventloop.Handler.
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
	for act == eventloop.None && !l.awake(false) { // answers that arrived meanwhile, usually to the commands just read
		l.run()
	}
	if act != eventloop.None && !l.awake(false) { // the connection ends: the answers belong to others and are processed next
		l.sleep()
	}
	return act
}

// sweep checks all connections periodically, at least once a second, and closes those that use up resources without progress.
func (srv *Server) sweep() {
	defer srv.sweeper.Done()
	tick := time.NewTicker(min(time.Second, max(srv.opt.Limits.Partial/8, 10*time.Millisecond)))
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

// look makes all event loops check which of their connections are to be closed.
func (srv *Server) look() { srv.each((*loop).sweep) }

// each runs f on every event loop, without waiting for it.
func (srv *Server) each(f func(l *loop)) {
	for el, l := range srv.loops {
		_ = el.Execute(func() { f(l) }) // an error means that the loops are ending, and nothing is left to do
	}
}
