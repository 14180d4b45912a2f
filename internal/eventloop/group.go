// Package eventloop serves TCP connections on epoll: a few goroutines, each with many connections. An error concerns no
// more than the call that met it. A call that failed for a moment is made again; what is broken ends the one connection
// that is broken; a loop ends by Stop alone.
//
// All of a connection's callbacks run in its loop's goroutine, one after the other.
package eventloop

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cometpond/internal/syserr"
)

// Action is what a callback wants done with its connection.
type Action int

// The actions.
const (
	None  Action = iota
	Close        // the connection is closed at once, and OnClose called
)

// Handler takes what happens on connections. Its methods must not block.
type Handler interface {
	// OnOpen takes a connection in.
	OnOpen(c *Conn) Action
	// OnData takes what has come in. Data lasts until it returns.
	OnData(c *Conn, data []byte) Action
	// OnClose is the last that is heard of a connection; its descriptor is open until it returns. Err is nil where this end
	// closed it, io.EOF where the other end did, ErrStopped where the loops end, and else what broke it.
	OnClose(c *Conn, err error)
}

// ErrStopped tells that the loops have ended or are about to.
var ErrStopped = errors.New("event loops have stopped")

// Options are the settings of a Group.
type Options struct {
	Loops      int // 1 at least
	ReadBuffer int // bytes that are read at once, 0 for 64 kB
	// EndsFirst has a connection closed as soon as its other end has ended it, or its sending: what lies unread before that
	// end is thrown away. Otherwise it is read first.
	CloseOnPeerShutdown bool
	Log                 zerolog.Logger
}

const readBuffer = 64 << 10

// Group is a number of event loops that share a listener, or connections that are enrolled.
type Group struct {
	handler Handler
	log     zerolog.Logger // for what may come in masses: so many lines a second
	ends    bool           // see Options.EndsFirst
	loops   []*Loop
	turn    atomic.Uint32
	ended   sync.WaitGroup
	addr    net.Addr
}

// warnMost bounds the lines a second about single connections.
const warnMost = 5

// startFor is how long New waits for what the system is short of.
const startFor = 2 * time.Second

// New starts loops without connections.
func New(h Handler, opt Options) (*Group, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startFor)
	defer cancel()
	g := &Group{handler: h, ends: opt.CloseOnPeerShutdown, log: opt.Log.Sample(&zerolog.BurstSampler{Burst: warnMost, Period: time.Second})}
	size := opt.ReadBuffer
	if size <= 0 {
		size = readBuffer
	}
	for range max(1, opt.Loops) {
		var l *Loop
		err := syserr.Retry(ctx, syserr.Transient, func() (err error) {
			l, err = newLoop(g, size)
			return err
		})
		if err != nil {
			for _, o := range g.loops {
				o.release()
			}
			return nil, fmt.Errorf("event loop: %w", err)
		}
		g.loops = append(g.loops, l)
	}
	for _, l := range g.loops {
		g.ended.Add(1)
		go func() {
			defer g.ended.Done()
			l.run()
		}()
	}
	return g, nil
}

// Loops are the loops of the group.
func (g *Group) Loops() []*Loop { return g.loops }

// Addr is where the group listens, nil if it does not.
func (g *Group) Addr() net.Addr { return g.addr }

// next returns the loop for a new connection.
func (g *Group) next() *Loop {
	if len(g.loops) == 1 {
		return g.loops[0]
	}
	return g.loops[int(g.turn.Add(1))%len(g.loops)]
}

// Listen has the group take connections at host:port; port 0 takes a free one. It may be called once. What is wanting
// for a moment is waited for, and so is an address that a process on its way out still holds, until ctx is over.
func (g *Group) Listen(ctx context.Context, addr string) error {
	at, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	var fd int
	err = syserr.Retry(ctx, syserr.ListenRetryable, func() error {
		fd, g.addr, err = listen(at)
		return err
	})
	if err != nil {
		return err
	}
	l := g.loops[0]
	if err := l.Execute(func() { l.listen(fd) }); err != nil {
		unix.Close(fd)
		return err
	}
	return nil
}

// Enroll has a loop of the group serve a connection, with a value that its Context will return. The connection that is
// given is closed in any case.
func (g *Group) Enroll(c net.Conn, value any) error {
	defer c.Close()
	s, is := c.(syscall.Conn)
	if !is {
		return fmt.Errorf("%T has no descriptor", c)
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return err
	}
	fd := -1
	if e := raw.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); e != nil {
		return e
	} else if err != nil {
		return os.NewSyscallError("fcntl", err)
	}
	l := g.next()
	if err := l.Execute(func() { l.adopt(fd, value) }); err != nil {
		unix.Close(fd)
		return err
	}
	return nil
}

// Stop closes the listener and all connections, and returns when the loops have ended.
func (g *Group) Stop() {
	for _, l := range g.loops {
		l.stop()
	}
	g.ended.Wait()
}

// Backlog and keep-alive of a listener; its connections inherit the latter. Times are in seconds.
const (
	backlog       = unix.SOMAXCONN
	keepIdleS     = 120
	keepIntervalS = 24
	keepProbes    = 5
)

// listen opens a listening socket, and tells its address.
func listen(at *net.TCPAddr) (fd int, addr net.Addr, err error) {
	family, name := unix.AF_INET6, unix.Sockaddr(nil)
	if ip := at.IP.To4(); ip != nil || len(at.IP) == 0 {
		four := &unix.SockaddrInet4{Port: at.Port}
		copy(four.Addr[:], ip)
		family, name = unix.AF_INET, four
	} else {
		six := &unix.SockaddrInet6{Port: at.Port}
		copy(six.Addr[:], at.IP)
		name = six
	}
	if fd, err = unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0); err != nil {
		return -1, nil, os.NewSyscallError("socket", err)
	}
	defer func() {
		if err != nil {
			unix.Close(fd)
		}
	}()
	for _, o := range []struct{ level, option, value int }{
		{unix.SOL_SOCKET, unix.SO_REUSEADDR, 1}, {unix.IPPROTO_TCP, unix.TCP_NODELAY, 1}, {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepIdleS}, {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepIntervalS},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepProbes},
	} {
		if err = unix.SetsockoptInt(fd, o.level, o.option, o.value); err != nil {
			return -1, nil, os.NewSyscallError("setsockopt", err)
		}
	}
	if err = unix.Bind(fd, name); err != nil {
		return -1, nil, os.NewSyscallError("bind", err)
	}
	if err = unix.Listen(fd, backlog); err != nil {
		return -1, nil, os.NewSyscallError("listen", err)
	}
	if name, err = unix.Getsockname(fd); err != nil {
		return -1, nil, os.NewSyscallError("getsockname", err)
	}
	return fd, tcpAddr(name), nil
}

func tcpAddr(name unix.Sockaddr) net.Addr {
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: append(net.IP(nil), a.Addr[:]...), Port: a.Port}
	}
	return nil
}
