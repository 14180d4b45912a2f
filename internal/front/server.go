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

// Commands interprets the commands of clients and encodes the replies. Its methods are called on the event loops, possibly
// concurrently, and must not block.
type Commands interface {
	// Command handles one command, which has at least one argument. The arguments are valid until it returns. It calls
	// Conn.Ask or Conn.Say exactly once.
	Command(c Conn, args [][]byte)
	// Answer appends the reply to a call that was submitted and has its final answer.
	Answer(dst []byte, c *core.Call) []byte
	// Limits returns the size limits of a command. A command that exceeds them ends the connection with an error.
	Limits() resp.Limits
}

// Conn is a client's connection as a command handler sees it.
type Conn interface {
	// Ask submits the command to the core.
	Ask(c core.Call)
	// Say replies to the command without the core, after the replies to earlier commands. The slice is copied.
	Say(answer []byte)
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 selects a free port
	Loops  int    // number of event loops, at least 1
	Bounds config.Front
	// Commands handles the commands of clients that do not log in; each command is then an array of at least one
	// argument. With nil the front serves this gateway's own commands, to the clients of Book.
	Commands Commands
	Book     *access.Registry
	// Leavers makes the end of a client's connection, or of its sending side, take effect at once, even while reading is
	// paused: its open requests are cancelled and input received before the end is discarded. Otherwise that input is
	// processed first.
	Leavers bool
	Crowd   crowd.Limits  // when idle connections are closed or evicted; with the zero value they are kept
	Info    func() string // returns the text of the INFO command
	// Age returns the maximum age of the input that is being read, and the current time. readAt is the time of the
	// previous read from the connection, and parked means that reading was paused on purpose since then. With nil the
	// age of input is always 0.
	Age func(readAt float64, parked bool) (ageS, now float64)
	// Read filters each chunk of input and returns the bytes to process; with nil all are processed. Tests use it to
	// inject loss of input.
	Read func(data []byte) []byte
	Log  zerolog.Logger
}

// Counts are totals since the start, but for Open and Input, which are current values.
type Counts struct {
	// Connections opened and currently open; commands read; connections closed for exceeding a limit or violating the
	// protocol; logins denied.
	Opened, Open, Commands, Cut, Denied uint64
	Parked                              uint64 // times that reading from a connection was paused
	Evicted                             uint64 // idle connections closed to make room for new ones
	Abandoned                           uint64 // requests whose connection was closed by this side before the reply
	Input                               intake.Counts
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
	s.lim.Bulk, s.lim.Command = opt.Bounds.Bulk, opt.Bounds.Bulk+aheadMost
	if opt.Commands != nil {
		s.lim = opt.Commands.Limits()
	}
	s.pool = intake.New(intake.Limits{Free: chunkMost, Total: max(opt.Bounds.Input, opt.Bounds.Bulk), Reserve: s.lim.Command,
		Strangers: max(opt.Bounds.Input/4, strangerMost), PassS: passAfter})
	var err error
	if s.group, err = eventloop.New(s, eventloop.Options{Loops: opt.Loops, ReadBuffer: chunkMost, EndsFirst: opt.Leavers, Log: opt.Log}); err != nil {
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
func (s *Server) boundByDescriptors() {
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil || files.Cur >= 1<<30 {
		return
	}
	if most := max(1, int(files.Cur)*3/4-64); s.opt.Bounds.Connections > most {
		s.opt.Log.Warn().Int("connections", most).Uint64("descriptors", files.Cur).Msg("connection limit lowered to fit the file descriptor limit; raise ulimit -n")
		s.opt.Bounds.Connections = most
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.group.Addr() }

// Drain makes the server reject new connections; existing ones are still served.
func (s *Server) Drain() { s.stopping.Store(true) }

// Retire makes the server close each connection as soon as it has no open request, and new connections after their first
// reply.
func (s *Server) Retire() {
	if s.retiring.CompareAndSwap(false, true) {
		s.look()
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int { return int(s.open.Load()) }

// Flush returns once every reply produced so far has been handed to the operating system, or when ctx is done.
func (s *Server) Flush(ctx context.Context) {
	for _, l := range s.loops {
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
func (s *Server) Stop(ctx context.Context) {
	s.Drain()
	s.part(ctx)
	close(s.stop)
	s.sweeper.Wait()
	s.group.Stop()
}

// seconds returns the time since the process started, in seconds.
func seconds() float64 { return time.Since(processStart).Seconds() }

var processStart = time.Now()

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	s.poolMu.Lock()
	input := s.pool.Counts()
	s.poolMu.Unlock()
	return Counts{s.opened.Load(), s.open.Load(), s.commands.Load(), s.cut.Load(), s.denied.Load(), s.parks.Load(), s.evicted.Load(), s.abandoned.Load(), input}
}

// OnOpen accepts or rejects a new connection. It implements eventloop.Handler.
func (s *Server) OnOpen(c *eventloop.Conn) eventloop.Action {
	s.opened.Add(1)
	open := s.open.Add(1)
	l := s.loops[c.Loop()]
	if most := s.opt.Bounds.Connections - s.opt.Bounds.Connections/lingerShare; int64(open)-s.lingering.Load() > int64(most) && !l.evict() {
		s.cut.Add(1)
		_, _ = c.Send([]byte("-ERR max number of clients reached\r\n")) // best effort
		return eventloop.Close                                          // without reading to its end: the descriptor is needed
	}
	k := &conn{c: c, loop: l, id: s.nextID.Add(1), version: 2, since: time.Now()}
	if s.opt.Commands != nil {
		k.client = &anyone
	}
	k.guest.Since = seconds()
	l.conns[k] = struct{}{}
	c.SetContext(k)
	if s.stopping.Load() && s.opt.Commands == nil {
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
func (s *Server) OnClose(c *eventloop.Conn, err error) {
	k, ok := c.Context().(*conn)
	if !ok { // rejected in OnOpen
		s.open.Add(^uint64(0))
		return
	}
	k.ended(err)
	k.loop.lost(k)
}

// OnData processes input from a connection. It implements eventloop.Handler.
func (s *Server) OnData(c *eventloop.Conn, data []byte) eventloop.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return eventloop.Close
	}
	if s.opt.Read != nil {
		data = s.opt.Read(data)
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
func (s *Server) sweep() {
	defer s.sweeper.Done()
	tick := time.NewTicker(min(time.Second, max(s.opt.Bounds.Partial/8, 10*time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		s.poolMu.Lock()
		s.granted(s.pool.Tick(seconds()))
		s.poolMu.Unlock()
		s.look()
	}
}

// look makes all event loops check which of their connections are to be closed.
func (s *Server) look() { s.each((*loop).sweep) }

// each runs f on every event loop, without waiting for it.
func (s *Server) each(f func(l *loop)) {
	for el, l := range s.loops {
		_ = el.Execute(func() { f(l) }) // an error means that the loops are ending, and nothing is left to do
	}
}
