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
	"cometpond/internal/crowd"
	"cometpond/internal/intake"
	"cometpond/internal/netlog"
	"cometpond/internal/resp"
)

// Core is what a front needs of the core.
type Core interface {
	Submit(calls []*core.Call) int
	Gone(calls []*core.Call)
}

// Commands is what the words of clients mean, and how rulings read to them. Its methods are called on the event
// loops, several at once, and must not block.
type Commands interface {
	// Command takes one command, one word at least. The words last until it returns. It calls Ask or Say once.
	Command(c Conn, args [][]byte)
	// Answer appends the final answer to a call that was asked.
	Answer(dst []byte, c *core.Call) []byte
	// Limits bound a command. What is beyond them ends the connection with an error.
	Limits() resp.Limits
}

// Conn is a client's connection as Commands see it.
type Conn interface {
	Ask(c core.Call)   // has the core rule on the command
	Say(answer []byte) // answers it at once, or behind those that wait; the slice is copied
}

// Options are the settings of a Server.
type Options struct {
	Listen string // host:port; port 0 takes a free one
	Loops  int    // event loops, 1 at least
	// OneLoop has the only event loop accept by itself: it opens and turns away one connection after the other, while
	// beside an acceptor a flood takes all descriptors before the loop has looked at the first, which ends the listener.
	// Another process may then listen on the same address without an error.
	OneLoop bool
	Bounds  config.Front
	// Commands are those of a world without logins, in which each command is an array of one word at least. Nil:
	// this gateway's own, with the clients of Book.
	Commands Commands
	Book     *access.Book
	// Leavers has a client that ends its connection, or its sending, count as gone at once, also while it is read no
	// further: what it has asked is given up. Otherwise what it sent before its end is read first.
	Leavers bool
	Crowd   crowd.Limits  // when connections without a request give way; the zero value keeps them
	Info    func() string // the text of INFO
	// Age tells how long ago, at most, what is read now from a connection may have been sent, and the time of
	// this reading; readAt is the time of its last one, and parked tells that it was not read since on purpose.
	// Nil: nothing is old.
	Age func(readAt float64, parked bool) (ageS, now float64)
	// Read takes what has come in on a connection; nil: all of it. The rigs put the fault of losing some back.
	Read func(c gnet.Conn) ([]byte, error)
	Log  zerolog.Logger
}

// Counts are totals since the start.
type Counts struct {
	Opened, Open, Commands, Cut, Denied uint64
	Parked                              uint64 // times that a connection was left unread for a while
	Evicted                             uint64 // connections closed for the sake of new ones
	Abandoned                           uint64 // requests whose connection ended here before their answer
	Input                               intake.Counts
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
	retiring atomic.Bool
	sweeper  sync.WaitGroup
	stop     chan struct{}

	mu    sync.Mutex
	loops map[gnet.EventLoop]*loop

	poolMu sync.Mutex // covers pool and asking
	pool   *intake.Pool
	asking map[uint64]*conn // connections that wait for the pool's word

	returnMu sync.Mutex
	stopped  bool           // no connection returns to its loop any more
	returns  sync.WaitGroup // connections on their way back

	lingering atomic.Int64 // connections whose sending side has ended

	nextID                                                         atomic.Uint64
	opened, open, commands, cut, denied, parks, evicted, abandoned atomic.Uint64
}

// passAfter is how long a connection waits for memory until none passes it, seconds.
const passAfter = 2

// Start listens and serves until Stop.
func Start(c Core, opt Options) (*Server, error) {
	if opt.Read == nil {
		opt.Read = takeAll
	}
	s := &Server{opt: opt, core: c, booted: make(chan struct{}), ran: make(chan error, 1), stop: make(chan struct{}),
		loops: map[gnet.EventLoop]*loop{}}
	// gnet's listener ends for good when it is refused a descriptor, so connections end well before that.
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil && files.Cur < 1<<30 {
		if most := max(1, int(files.Cur)*3/4-64); s.opt.Bounds.Connections > most {
			opt.Log.Warn().Int("connections", most).Uint64("descriptors", files.Cur).Msg("fewer connections than set: raise ulimit -n")
			s.opt.Bounds.Connections = most
		}
	}
	s.lim = resp.DefaultLimits
	s.lim.Bulk, s.lim.Whole = opt.Bounds.Bulk, opt.Bounds.Bulk+aheadMost
	if opt.Commands != nil {
		s.lim = opt.Commands.Limits()
	}
	s.pool = intake.New(intake.Limits{Free: chunkMost, Total: max(opt.Bounds.Input, opt.Bounds.Bulk), Reserve: s.lim.Whole,
		Strangers: max(opt.Bounds.Input/4, strangerMost), PassS: passAfter})
	s.asking = map[uint64]*conn{}
	go func() {
		s.ran <- gnet.Run(s, "tcp://"+opt.Listen, gnet.WithNumEventLoop(max(1, opt.Loops)), gnet.WithReuseAddr(true), gnet.WithReusePort(opt.OneLoop),
			gnet.WithReadBufferCap(chunkMost),
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

// Retire ends each connection as soon as it has nothing open, new ones after their first answer.
func (s *Server) Retire() {
	if s.retiring.CompareAndSwap(false, true) {
		s.look()
	}
}

// Open is the number of connections that stand.
func (s *Server) Open() int { return int(s.open.Load()) }

// Flush returns once every answer handed over so far has been written or lies in a socket's buffer.
func (s *Server) Flush(ctx context.Context) {
	s.mu.Lock()
	loops := make([]*loop, 0, len(s.loops))
	for _, l := range s.loops {
		loops = append(loops, l)
	}
	s.mu.Unlock()
	for _, l := range loops {
		for behind := 1; behind > 0; {
			done := make(chan int, 1)
			if l.el.Execute(ctx, gnet.RunnableFunc(func(context.Context) error { done <- len(l.behind); return nil })) != nil {
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

// partLeast is what is left to clients at the end to take their last answers, and partMost how long it takes at most.
const (
	partLeast = 50 * time.Millisecond
	partMost  = 100 * time.Millisecond
)

// part ends all connections: those with nothing open at once, then the others, too, whatever they have begun. It returns
// once all clients have ended, or no longer wait for it.
func (s *Server) part(ctx context.Context) {
	s.Retire()
	start := time.Now()
	for s.open.Load() > 0 && time.Since(start) < partMost {
		select {
		case <-ctx.Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
		last := time.Since(start) > partLeast
		s.each(func(l *loop) { l.part(last) })
	}
}

// part ends the loop's connections that have nothing open, with last the others that are not owed an answer.
func (l *loop) part(last bool) {
	for k := range l.conns {
		if k.idle() && !k.unread() || last && k.c != nil && k.waiting() == 0 {
			l.act(k, l.finish(k, shuttingDown))
		}
	}
}

// Stop ends all connections and returns when the loops have ended.
func (s *Server) Stop(ctx context.Context) error {
	s.Drain()
	s.part(ctx)
	close(s.stop)
	s.sweeper.Wait()
	s.returnMu.Lock()
	s.stopped = true
	s.returnMu.Unlock()
	s.returns.Wait()
	// The engine's own wait looks for its end twice a second alone.
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan error, 1)
	go func() { stopped <- s.engine.Stop(ctx) }()
	var err error
	select {
	case err = <-s.ran:
		cancel()
		<-stopped
	case err = <-stopped:
		cancel()
		if err != nil {
			return fmt.Errorf("stop the front: %w", err)
		}
		err = <-s.ran
	}
	for _, l := range s.loops { // the loops have ended: what they held is ours
		for k := range l.conns {
			if k.parked != nil {
				k.parked.Close()
				k.because(shuttingDown)
				l.lost(k)
			}
		}
	}
	return err
}

// returning notes that a connection returns to its loop; false once the server stops.
func (s *Server) returning() bool {
	s.returnMu.Lock()
	defer s.returnMu.Unlock()
	if !s.stopped {
		s.returns.Add(1)
	}
	return !s.stopped
}

func seconds() float64 { return time.Since(processStart).Seconds() }

var processStart = time.Now()

// stranger asks for room for a connection that has not logged in.
func (s *Server) stranger(k *conn, bytes int) intake.Verdict {
	s.poolMu.Lock()
	defer s.poolMu.Unlock()
	return s.pool.Stranger(k.id, bytes)
}

// ask asks for room for one that has.
func (s *Server) ask(k *conn, bytes int) intake.Verdict {
	s.poolMu.Lock()
	defer s.poolMu.Unlock()
	v, others := s.pool.Ask(seconds(), k.id, bytes)
	if v == intake.Wait {
		s.asking[k.id] = k
	}
	s.granted(others)
	return v
}

// done gives back what a connection held.
func (s *Server) done(k *conn) {
	s.poolMu.Lock()
	defer s.poolMu.Unlock()
	s.granted(s.pool.Done(seconds(), k.id))
}

// leave forgets a connection.
func (s *Server) leave(k *conn) {
	s.poolMu.Lock()
	defer s.poolMu.Unlock()
	delete(s.asking, k.id)
	s.granted(s.pool.Leave(seconds(), k.id))
}

// granted tells connections, on their own loops, that they may go on. The pool's lock is held.
func (s *Server) granted(ids []uint64) {
	for _, id := range ids {
		k := s.asking[id]
		delete(s.asking, id)
		if k != nil {
			// An error means that the engine shuts down.
			_ = k.loop.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { k.loop.goOn(k); return nil }))
		}
	}
}

// Counts returns the totals so far.
func (s *Server) Counts() Counts {
	s.poolMu.Lock()
	input := s.pool.Counts()
	s.poolMu.Unlock()
	return Counts{s.opened.Load(), s.open.Load(), s.commands.Load(), s.cut.Load(), s.denied.Load(), s.parks.Load(), s.evicted.Load(), s.abandoned.Load(), input}
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

// OnOpen takes a connection in, a new one or one that was parked.
func (s *Server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	if k, ok := c.Context().(*conn); ok {
		k.c, k.returning = c, false
		k.looked(true)
		if !k.partial.IsZero() {
			k.partial = time.Now() // it was not the client that kept it waiting
		}
		if act := k.pump(); act != gnet.None || k.congested {
			return nil, act
		}
		return nil, k.again()
	}
	s.opened.Add(1)
	open := s.open.Add(1)
	l := s.loopOf(c.EventLoop())
	if most := s.opt.Bounds.Connections - s.opt.Bounds.Connections/lingerShare; int64(open)-s.lingering.Load() > int64(most) && !l.evict() {
		s.cut.Add(1)
		return []byte("-ERR max number of clients reached\r\n"), gnet.Close // unread: there is no descriptor to keep it with
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
		if act := l.write(k); act != gnet.None {
			return nil, act
		}
		return nil, k.pump()
	}
	return nil, gnet.None
}

// OnClose forgets a connection, unless it is to be parked.
func (s *Server) OnClose(c gnet.Conn, err error) gnet.Action {
	k, ok := c.Context().(*conn)
	if !ok { // it was turned away
		s.open.Add(^uint64(0))
	} else if !k.keep(c) {
		k.ended(err)
		k.loop.lost(k)
	}
	return gnet.None
}

// lost forgets a connection that has ended and tells the core that nobody waits for its answers.
func (l *loop) lost(k *conn) {
	s := l.s
	s.open.Add(^uint64(0))
	k.closed = true
	delete(l.conns, k)
	l.lingered(k)
	if k.strange > 0 || k.granted > 0 || k.waits {
		s.leave(k)
	}
	var gone []*core.Call
	for _, p := range k.queue[k.head:] {
		if p.call.Front != nil && !p.done {
			gone = append(gone, &p.call)
		}
	}
	k.report(gone)
	if len(gone) > 0 {
		s.core.Gone(gone)
	}
	k.queue, k.head, k.in = nil, 0, nil
}

// OnTraffic reads what has come.
func (s *Server) OnTraffic(c gnet.Conn) gnet.Action {
	k, ok := c.Context().(*conn)
	if !ok {
		return gnet.Close
	}
	data, err := s.opt.Read(c)
	if err != nil {
		return gnet.Close
	}
	k.looked(false)
	l := k.loop
	l.awake(true)
	act := k.arrived(data)
	for act == gnet.None && !l.awake(false) { // answers that came meanwhile, as a rule to what has just been read
		_ = l.Run(context.Background())
	}
	if act != gnet.None && !l.awake(false) { // the connection ends: the answers are others', and their turn is next
		l.sleep()
	}
	return act
}

// takeAll takes all that has come in, which lies in the loop's own buffer until OnTraffic returns. Discard is
// not used: with 0 it throws away everything.
func takeAll(c gnet.Conn) ([]byte, error) { return c.Next(-1) }

// sweep looks once a second for connections that take up room and do nothing with it.
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

// look has all loops look for connections that are to end.
func (s *Server) look() { s.each((*loop).sweep) }

// each runs f in every event loop; it does not wait.
func (s *Server) each(f func(l *loop)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for el, l := range s.loops {
		// An error means that the engine shuts down, and then nothing is left to do.
		_ = el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(l); return nil }))
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

	lingering []*conn // in the order in which they began

	behind   []*conn // those with answers that their sockets did not take
	checking bool    // a look at them is on its way
	unread   []*conn // parked connections whose clients may leave unseen

	mu    sync.Mutex
	inbox []*core.Call
	up    bool // the loop will look at inbox by itself
	spare []*core.Call
}

// sleep has the loop look at its inbox in a turn of its own.
func (l *loop) sleep() {
	l.mu.Lock()
	l.up = false
	l.mu.Unlock()
	// An error means that the engine shuts down and its connections are closed.
	_ = l.el.Execute(context.Background(), l)
}

// awake notes whether the loop will look at its inbox by itself. It stays awake, and false is returned, while
// something lies there.
func (l *loop) awake(on bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !on && len(l.inbox) > 0 {
		return false
	}
	l.up = on
	return true
}

// Answered takes calls back from the core and wakes the loop.
func (l *loop) Answered(calls []*core.Call) {
	l.mu.Lock()
	first := len(l.inbox) == 0 && !l.up
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
		l.act(k, k.resume())
	}
	clear(l.dirty)
	l.dirty = l.dirty[:0]
	return nil
}

// act carries out what came of a connection outside gnet's own calls.
func (l *loop) act(k *conn, act gnet.Action) {
	if act == gnet.Close {
		l.cut(k, shuttingDown)
	}
}

// goOn has a connection read on: the pool has granted what it asked for.
func (l *loop) goOn(k *conn) {
	if k.closed {
		l.s.leave(k) // it left while the word was on its way
		return
	}
	k.waits = false
	k.granted = max(len(k.in), k.need)
	if !k.partial.IsZero() {
		k.partial = time.Now()
	}
	l.act(k, k.resume())
}

// lookAfter has the loop look again soon whether the client of a parked connection is still there: nobody tells.
func (l *loop) lookAfter(k *conn) {
	if l.unread = append(l.unread, k); len(l.unread) > 1 {
		return // the next look is on its way
	}
	l.later(parkedCheck, l.findLeavers)
}

// findLeavers gives up what those have asked that left while they were parked.
func (l *loop) findLeavers() {
	list := l.unread
	l.unread = nil
	for _, k := range list {
		switch {
		case k.closed || k.parked == nil: // gone, or read again
		case k.left():
			l.cut(k, clientClosed)
		default:
			l.unread = append(l.unread, k)
		}
	}
	if len(l.unread) > 0 {
		l.later(parkedCheck, l.findLeavers)
	}
}

// parkedCheck is the time between two looks at parked connections.
const parkedCheck = 20 * time.Millisecond

// later has the loop run f after a while.
func (l *loop) later(wait time.Duration, f func()) {
	time.AfterFunc(wait, func() {
		// An error means that the engine shuts down.
		_ = l.el.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { f(); return nil }))
	})
}

// fellBehind has the loop look again soon whether a client has read: a parked socket tells nobody.
func (l *loop) fellBehind(k *conn) {
	l.behind = append(l.behind, k)
	if !l.checking {
		l.check()
	}
}

func (l *loop) check() {
	l.checking = true
	l.later(behindCheck, l.relieve)
}

// relieve writes on to clients that have read, and cuts those that have taken nothing for too long.
func (l *loop) relieve() {
	list := l.behind
	l.behind, l.checking = nil, false
	for _, k := range list {
		if k.closed {
			continue
		}
		if k.returning {
			l.behind = append(l.behind, k)
			continue
		}
		n, err := k.send(k.out)
		if n > 0 {
			k.leftSince = time.Now()
			k.out = k.out[:copy(k.out, k.out[n:])]
		}
		if k.congested = len(k.out) > min(congestMost, l.s.opt.Bounds.Output/2); len(k.out) > 0 {
			l.behind = append(l.behind, k)
		} else {
			k.out = nil
		}
		if err != nil || len(k.out) > 0 && time.Since(k.leftSince) > l.s.opt.Bounds.Partial {
			l.s.cut.Add(1)
			if k.endError = err; err != nil {
				k.because(writeFailed)
			}
			l.cut(k, answersUnread)
		} else if !k.congested {
			l.act(k, k.resume())
		}
	}
	if len(l.behind) > 0 && !l.checking {
		l.check()
	}
}

// cut ends a connection, in the event loop or parked.
func (l *loop) cut(k *conn, reason closeReason) {
	k.because(reason)
	if k.c != nil {
		_ = l.el.Close(k.c) // an error is the system's about a descriptor that is gone
	} else if k.parked != nil {
		k.parked.Close()
		l.lost(k)
	}
}

// sweep cuts connections whose command stays unfinished, or who never say who they are.
func (l *loop) sweep() {
	now, most := time.Now(), l.s.opt.Bounds.Partial
	for len(l.lingering) > 0 && l.lingering[0].lingerTo < seconds() {
		l.hurry()
	}
	open, leaves := int(l.s.open.Load()), l.s.opt.Crowd.Leaves
	if l.s.retiring.Load() {
		leaves = l.s.opt.Crowd.Retires
	}
	for k := range l.conns {
		slow := !k.partial.IsZero() && now.Sub(k.partial) > most && !k.waits || k.client == nil && now.Sub(k.since) > most
		switch {
		case k.lingers || k.quit:
		case slow && k.c != nil && !k.congested:
			l.s.cut.Add(1)
			k.because(unfinishedCommand)
			k.leaves() // answers that are awaited come first
		case k.idle() && leaves(k.guest, seconds(), open) && !k.unread():
			l.act(k, l.finish(k, idleTooLong))
		}
	}
}

// idle tells whether a connection has nothing open: no command begun, and no answer awaited or not yet sent.
func (k *conn) idle() bool { return k.settled() && len(k.in) == 0 }

// settled tells whether all that a connection has asked is answered, and the answers are with the system.
func (k *conn) settled() bool {
	return k.c != nil && k.waiting() == 0 && len(k.out) == 0 && !k.parking && !k.quit && !k.lingers
}

// evict closes the connection that gives way to a new one; false if none does.
func (l *loop) evict() bool {
	var out *conn
	now, crowd := seconds(), l.s.opt.Crowd
	for k := range l.conns {
		k.guest.Begun = len(k.in) > 0
		if k.settled() && (!k.guest.Begun || k.guest.Asked == 0) && crowd.Evictable(k.guest, now) &&
			(out == nil || crowd.Before(k.guest, out.guest)) {
			out = k
		}
	}
	if out == nil {
		return false
	}
	l.s.evicted.Add(1)
	if l.act(out, l.finish(out, evictedForOther)); !out.closed && out.guest.Asked == 0 {
		l.cut(out, evictedForOther) // nothing was sent there that a close could take back
	}
	return true
}
