// Package eventloop serves TCP connections with epoll: a few goroutines, each of them an event loop with many
// connections. An error affects only the call that met it. A call that failed for a temporary reason is repeated, a broken
// connection is closed alone, and a loop ends only by Stop.
//
// All callbacks of a connection run in its loop's goroutine, one after the other.
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
	None  Action = iota // the connection stays open
	Close               // the connection is closed at once, and OnClose is called
)

// Handler handles the events of connections. Its methods must not block.
type Handler interface {
	// OnOpen is called when a connection has been opened.
	OnOpen(conn *Conn) Action
	// OnData is called with data that was read. The data is valid until OnData returns.
	OnData(conn *Conn, data []byte) Action
	// OnClose is called last for a connection; its descriptor is open until OnClose returns. The error is nil if this end
	// closed the connection, io.EOF if the other end did, ErrStopped if the loops end, and otherwise what broke it.
	OnClose(conn *Conn, err error)
}

// ErrStopped means that the event loops have stopped or are about to. Execute returns it, and OnClose is called with it.
var ErrStopped = errors.New("event loops have stopped")

// Options are the settings of a Group.
type Options struct {
	Loops      int // at least 1
	ReadBuffer int // maximum bytes per read; 0: 64 kB
	// CloseOnPeerShutdown closes a connection as soon as the other end has closed it or its sending side, and discards
	// what is still unread by then. Otherwise the unread data is read first.
	CloseOnPeerShutdown bool
	Log                 zerolog.Logger
}

const defaultReadBuffer = 64 << 10 // bytes

// Group is a number of event loops that share a listener, or connections added by Enroll.
type Group struct {
	handler             Handler
	log                 zerolog.Logger // limited to maxLogsPerSecond, as many connections may fail at the same time
	closeOnPeerShutdown bool           // Options.CloseOnPeerShutdown
	loops               []*Loop
	nextLoop            atomic.Uint32
	running             sync.WaitGroup // the loops' goroutines
	addr                net.Addr
}

// maxLogsPerSecond bounds the log lines about single connections.
const maxLogsPerSecond = 5

// startTimeout is how long New waits for resources that the system is short of.
const startTimeout = 2 * time.Second

// New starts event loops without connections.
func New(handler Handler, opt Options) (*Group, error) {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	group := &Group{handler: handler, closeOnPeerShutdown: opt.CloseOnPeerShutdown,
		log: opt.Log.Sample(&zerolog.BurstSampler{Burst: maxLogsPerSecond, Period: time.Second})}
	bufferSize := opt.ReadBuffer
	if bufferSize <= 0 {
		bufferSize = defaultReadBuffer
	}
	for range max(1, opt.Loops) {
		var loop *Loop
		err := syserr.Retry(ctx, syserr.Transient, func() (err error) {
			loop, err = newLoop(group, bufferSize)
			return err
		})
		if err != nil {
			for _, created := range group.loops {
				created.release()
			}
			return nil, fmt.Errorf("event loop: %w", err)
		}
		group.loops = append(group.loops, loop)
	}
	for _, loop := range group.loops {
		group.running.Add(1)
		go func() {
			defer group.running.Done()
			loop.run()
		}()
	}
	return group, nil
}

// Loops returns the loops of the group.
func (group *Group) Loops() []*Loop { return group.loops }

// Addr returns the address on which the group listens, or nil if it does not.
func (group *Group) Addr() net.Addr { return group.addr }

// next returns the loop for a new connection.
func (group *Group) next() *Loop {
	if len(group.loops) == 1 {
		return group.loops[0]
	}
	return group.loops[int(group.nextLoop.Add(1))%len(group.loops)]
}

// Listen has the group accept connections at host:port; port 0 selects a free port. It may be called once. Until ctx is
// done it waits for resources that the system is short of, and for an address that an exiting process still uses.
func (group *Group) Listen(ctx context.Context, addr string) error {
	tcpAddress, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	var fd int
	err = syserr.Retry(ctx, syserr.ListenRetryable, func() error {
		fd, group.addr, err = listen(tcpAddress)
		return err
	})
	if err != nil {
		return err
	}
	loop := group.loops[0]
	if err := loop.Execute(func() { loop.listen(fd) }); err != nil {
		unix.Close(fd)
		return err
	}
	return nil
}

// Enroll has a loop of the group serve a connection, with a value that its Context method will return. The loop uses a
// duplicate of the descriptor; netConn itself is closed in any case.
func (group *Group) Enroll(netConn net.Conn, value any) error {
	defer netConn.Close()
	syscallConn, ok := netConn.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no file descriptor", netConn)
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return err
	}
	fd := -1
	if controlErr := rawConn.Control(func(own uintptr) { fd, err = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); controlErr != nil {
		return controlErr
	} else if err != nil {
		return os.NewSyscallError("fcntl", err)
	}
	loop := group.next()
	if err := loop.Execute(func() { loop.adopt(fd, value) }); err != nil {
		unix.Close(fd)
		return err
	}
	return nil
}

// Stop closes the listener and all connections, and returns when the loops have ended.
func (group *Group) Stop() {
	for _, loop := range group.loops {
		loop.stop()
	}
	group.running.Wait()
}

// Backlog of a listener, and the TCP keep-alive settings that its connections inherit. Times are in seconds.
const (
	backlog            = unix.SOMAXCONN
	keepAliveIdleS     = 120
	keepAliveIntervalS = 24
	keepAliveProbes    = 5
)

// listen opens a listening socket and returns its address.
func listen(requested *net.TCPAddr) (fd int, addr net.Addr, err error) {
	family, sockaddr := unix.AF_INET6, unix.Sockaddr(nil)
	if ip := requested.IP.To4(); ip != nil || len(requested.IP) == 0 {
		inet4 := &unix.SockaddrInet4{Port: requested.Port}
		copy(inet4.Addr[:], ip)
		family, sockaddr = unix.AF_INET, inet4
	} else {
		inet6 := &unix.SockaddrInet6{Port: requested.Port}
		copy(inet6.Addr[:], requested.IP)
		sockaddr = inet6
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
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIdleS}, {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalS},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes},
	} {
		if err = unix.SetsockoptInt(fd, o.level, o.option, o.value); err != nil {
			return -1, nil, os.NewSyscallError("setsockopt", err)
		}
	}
	if err = unix.Bind(fd, sockaddr); err != nil {
		return -1, nil, os.NewSyscallError("bind", err)
	}
	if err = unix.Listen(fd, backlog); err != nil {
		return -1, nil, os.NewSyscallError("listen", err)
	}
	if sockaddr, err = unix.Getsockname(fd); err != nil {
		return -1, nil, os.NewSyscallError("getsockname", err)
	}
	return fd, tcpAddr(sockaddr), nil
}

// tcpAddr converts an address of a socket; nil if it is not an internet address.
func tcpAddr(sockaddr unix.Sockaddr) net.Addr {
	switch addr := sockaddr.(type) {
	case *unix.SockaddrInet4:
		return &net.TCPAddr{IP: append(net.IP(nil), addr.Addr[:]...), Port: addr.Port}
	case *unix.SockaddrInet6:
		return &net.TCPAddr{IP: append(net.IP(nil), addr.Addr[:]...), Port: addr.Port}
	}
	return nil
}
