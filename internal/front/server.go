// Package front serves clients that speak RESP. It parses commands, submits requests to the core and writes the replies in
// the order of the commands. It makes no decisions about quotas, classes or servers.
package front

import (
	"cmp"
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
	"cometpond/internal/eventloop"
	"cometpond/internal/idleconn"
	"cometpond/internal/intake"
	"cometpond/internal/membudget"
	"cometpond/internal/resp"
)

// Core is the part of the core that the front uses. Submit takes calls and returns how many of them were accepted, from the
// first one on. Gone reports calls whose client has disconnected.
type Core interface {
	Submit(calls []*core.Call) int
	Disconnected(calls []*core.Call)
}

// CommandHandler interprets the commands of clients and encodes the replies. Its methods are called on the event loops,
// possibly concurrently, and must not block.
type CommandHandler interface {
	// HandleCommand handles one command, which has at least one argument. The arguments are valid until it returns. It calls
	// Conn.Submit or Conn.Reply exactly once.
	HandleCommand(conn Conn, args [][]byte)
	// AppendReply appends the reply to a call that was submitted and has its final answer.
	AppendReply(dst []byte, call *core.Call) []byte
	// Limits returns the size limits of a command. A command that exceeds them ends the connection with an error.
	Limits() resp.Limits
}

// Conn is a client's connection as a command handler sees it.
type Conn interface {
	// Submit submits the command to the core.
	Submit(call core.Call)
	// Reply replies to the command without the core, after the replies to earlier commands. The slice is copied.
	Reply(reply []byte)
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 selects a free port
	Loops  int    // number of event loops, at least 1
	Limits config.FrontLimits
	// Handler handles the commands of clients that do not log in; each command is then an array of at least one
	// argument. With nil the front serves this gateway's own commands, to the clients of Registry.
	Handler  CommandHandler
	Registry *access.Registry
	// CloseOnClientEOF makes the end of a client's connection, or of its sending side, take effect at once: its open requests
	// are cancelled and input received before the end is discarded. Therefore reading is never paused while requests are
	// open; commands that can be neither started nor kept are refused. Otherwise the input is processed first.
	CloseOnClientEOF bool
	IdleLimits       idleconn.Limits // when idle connections are closed or evicted; with the zero value they are kept
	Info             func() string   // returns the text of the INFO command
	// InputAge returns the maximum age of the input that is being read, and the current time. readAt is the time of the
	// previous read from the connection, and readingPaused means that reading was paused on purpose since then. With nil
	// the age of input is always 0.
	InputAge func(readAt float64, readingPaused bool) (ageS, now float64)
	// Memory bounds the commands in progress and the replies that are not written yet, over all connections. Complete input
	// that is not parsed yet and incomplete commands are bounded by Limits. With nil there is no bound.
	Memory *membudget.Budget
	// FilterInput filters each chunk of input and returns the bytes to process; with nil all are processed. Fault injection
	// uses it to lose input.
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
	Skipped                                          uint64 // commands refused because they waited for input memory, or kept it from others, for too long
	OutOfMemory                                      uint64 // requests refused, and answers replaced by an error, because the memory budget was used up
	Input                                            intake.Counts
}

// Server accepts connections of clients and serves them on event loops.
type Server struct {
	options      Options
	core         Core
	parserLimits resp.Limits
	readBytes    int // size of one read
	loopGroup    *eventloop.Group
	rejectingNew atomic.Bool
	closingIdle  atomic.Bool
	sweeper      sync.WaitGroup
	stopSweeper  chan struct{}

	loops map[*eventloop.Loop]*connLoop

	inputMu      sync.Mutex // guards inputPool and holdingInput
	inputPool    *intake.Pool
	holdingInput map[uint64]*clientConn // connections that have a grant of the pool or wait for one

	lingering atomic.Int64 // connections whose sending side this server has closed

	nextID                                                                 atomic.Uint64
	opened, open, commands, terminated, loginsDenied, readsPaused, evicted atomic.Uint64
	abandoned, skipped, outOfMemory                                        atomic.Uint64
}

// listenTimeout is how long Start keeps trying to listen on an address that is not available at once.
const listenTimeout = 2 * time.Second

// Start listens on the address in options and serves clients until Stop.
func Start(target Core, options Options) (*Server, error) {
	srv := &Server{options: options, core: target, stopSweeper: make(chan struct{}),
		loops: map[*eventloop.Loop]*connLoop{}, holdingInput: map[uint64]*clientConn{}}
	srv.limitToDescriptors()
	srv.readBytes = cmp.Or(options.Limits.ReadBytes, readBufferBytes)
	srv.parserLimits = resp.DefaultLimits
	srv.parserLimits.Bulk, srv.parserLimits.Command = options.Limits.MaxArgumentBytes, options.Limits.MaxArgumentBytes+maxPipelinedBytes
	if options.Handler != nil {
		srv.parserLimits = options.Handler.Limits()
	}
	srv.inputPool = intake.New(intake.Limits{FreeBytes: srv.readBytes, TotalBytes: max(options.Limits.MaxInputBytes, options.Limits.MaxArgumentBytes),
		ReserveBytes: srv.parserLimits.Command, UnauthenticatedBytes: max(options.Limits.MaxInputBytes/4, maxBytesBeforeLogin), MaxOvertakeS: overtakeLimitS,
		MaxWaitS: options.Limits.InputWait.Seconds()})
	var err error
	if srv.loopGroup, err = eventloop.New(srv, eventloop.Options{Loops: options.Loops, ReadBuffer: srv.readBytes,
		CloseOnPeerShutdown: options.CloseOnClientEOF, Log: options.Log}); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	for _, eventLoop := range srv.loopGroup.Loops() {
		srv.loops[eventLoop] = &connLoop{server: srv, eventLoop: eventLoop, conns: map[*clientConn]struct{}{}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), listenTimeout)
	defer cancel()
	if err := srv.loopGroup.Listen(ctx, options.Listen); err != nil {
		srv.loopGroup.Stop()
		return nil, fmt.Errorf("listen on %s: %w", options.Listen, err)
	}
	srv.sweeper.Add(1)
	go srv.sweepPeriodically()
	return srv, nil
}

// limitToDescriptors lowers the limit on connections according to the system's limit on file descriptors. A quarter and 64
// descriptors are left for connections to servers, discovery and other instances.
func (srv *Server) limitToDescriptors() {
	var fileLimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &fileLimit); err != nil || fileLimit.Cur >= 1<<30 {
		return
	}
	if maxConnections := max(1, int(fileLimit.Cur)*3/4-64); srv.options.Limits.MaxConnections > maxConnections {
		srv.options.Log.Warn().Int("connections", maxConnections).Uint64("descriptors", fileLimit.Cur).
			Msg("connection limit lowered to fit the file descriptor limit; raise ulimit -n")
		srv.options.Limits.MaxConnections = maxConnections
	}
}

// Addr returns the address that the server listens on.
func (srv *Server) Addr() net.Addr { return srv.loopGroup.Addr() }

// RejectNewConnections makes the server reject new connections; existing ones are still served.
func (srv *Server) RejectNewConnections() { srv.rejectingNew.Store(true) }

// CloseWhenIdle makes the server close each connection as soon as it has no open request, and new connections after their
// first reply.
func (srv *Server) CloseWhenIdle() {
	if srv.closingIdle.CompareAndSwap(false, true) {
		srv.sweepLoops()
	}
}

// OpenConnections returns the number of open connections.
func (srv *Server) OpenConnections() int { return int(srv.open.Load()) }

// Flush returns once every reply produced so far has been handed to the operating system, or when ctx is done.
func (srv *Server) Flush(ctx context.Context) {
	for _, loop := range srv.loops {
		for unsent := 1; unsent > 0; {
			done := make(chan int, 1)
			if loop.eventLoop.Execute(func() { done <- len(loop.unsent) }) != nil {
				break
			}
			select {
			case unsent = <-done:
			case <-ctx.Done():
				return
			}
			if unsent > 0 {
				time.Sleep(unsentCheckInterval)
			}
		}
	}
}

// Stop closes all connections and returns when the event loops have ended.
func (srv *Server) Stop(ctx context.Context) {
	srv.RejectNewConnections()
	srv.closeAll(ctx)
	close(srv.stopSweeper)
	srv.sweeper.Wait()
	srv.loopGroup.Stop()
}

// nowS returns the time since the process started, in seconds.
func nowS() float64 { return time.Since(processStart).Seconds() }

var processStart = time.Now()

// Counts returns the totals so far.
func (srv *Server) Counts() Counts {
	srv.inputMu.Lock()
	input := srv.inputPool.Counts()
	srv.inputMu.Unlock()
	return Counts{srv.opened.Load(), srv.open.Load(), srv.commands.Load(), srv.terminated.Load(), srv.loginsDenied.Load(),
		srv.readsPaused.Load(), srv.evicted.Load(), srv.abandoned.Load(), srv.skipped.Load(), srv.outOfMemory.Load(), input}
}

// OnOpen accepts or rejects a new connection. It implements eventloop.Handler.
func (srv *Server) OnOpen(socket *eventloop.Conn) eventloop.Action {
	srv.opened.Add(1)
	open := srv.open.Add(1)
	loop := srv.loops[socket.Loop()]
	if maxConnections := srv.options.Limits.MaxConnections -
		srv.options.Limits.MaxConnections/lingerDivisor; int64(open)-srv.lingering.Load() > int64(maxConnections) && !loop.evict() {
		srv.terminated.Add(1)
		_, _ = socket.Send([]byte("-ERR max number of clients reached\r\n")) // best effort
		// No lingering close: there is no descriptor to spare for one.
		return eventloop.Close
	}
	conn := &clientConn{socket: socket, loop: loop, id: srv.nextID.Add(1), respVersion: 2, openedAt: time.Now()}
	if srv.options.Handler != nil {
		conn.client = &anonymousClient
	}
	conn.usage.OpenedAtS = nowS()
	loop.conns[conn] = struct{}{}
	socket.SetContext(conn)
	if srv.rejectingNew.Load() && srv.options.Handler == nil {
		conn.closing = true
		conn.setReason(shuttingDown)
		conn.replyWith(func(b []byte) []byte { return resp.AppendError(b, "ERR this instance is shutting down") })
		if action := loop.writeOutput(conn); action != eventloop.None {
			return action
		}
		return conn.writeReplies()
	}
	return eventloop.None
}

// OnClose removes a connection that has been closed. It implements eventloop.Handler.
func (srv *Server) OnClose(socket *eventloop.Conn, err error) {
	conn, ok := socket.Context().(*clientConn)
	if !ok { // rejected in OnOpen
		srv.open.Add(^uint64(0))
		return
	}
	conn.recordClose(err)
	conn.loop.removeConn(conn)
}

// OnData processes input from a connection. It implements eventloop.Handler.
func (srv *Server) OnData(socket *eventloop.Conn, data []byte) eventloop.Action {
	conn, ok := socket.Context().(*clientConn)
	if !ok {
		return eventloop.Close
	}
	if srv.options.FilterInput != nil {
		data = srv.options.FilterInput(data)
	}
	conn.recordInputAge(false)
	conn.arrivals.Read(nowS(), len(data), len(data) >= srv.readBytes)
	loop := conn.loop
	loop.setPolling(true)
	action := conn.handleInput(data)
	// Process answers that have arrived meanwhile, usually to the commands just read.
	for action == eventloop.None && !loop.setPolling(false) {
		loop.processInbox()
	}
	// The connection ends: the answers belong to other connections and are processed in a task of their own.
	if action != eventloop.None && !loop.setPolling(false) {
		loop.deferInbox()
	}
	return action
}

// sweepPeriodically checks all connections at least once a second, and closes those that use resources without making progress.
func (srv *Server) sweepPeriodically() {
	defer srv.sweeper.Done()
	tick := time.NewTicker(min(time.Second, max(srv.options.Limits.PartialTimeout/8, 10*time.Millisecond)))
	defer tick.Stop()
	for {
		select {
		case <-srv.stopSweeper:
			return
		case <-tick.C:
		}
		srv.tickInput()
		srv.sweepLoops()
	}
}

// sweepLoops makes all event loops check which of their connections are to be closed.
func (srv *Server) sweepLoops() { srv.onEachLoop((*connLoop).sweep) }

// onEachLoop runs f on every event loop, without waiting for it.
func (srv *Server) onEachLoop(f func(loop *connLoop)) {
	for eventLoop, loop := range srv.loops {
		_ = eventLoop.Execute(func() { f(loop) }) // an error means that the loops are ending, and nothing is left to do
	}
}
