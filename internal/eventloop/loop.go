package eventloop

import (
	"errors"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/syserr"
)

// Times of tries after errors that pass.
const (
	retryPause      = time.Millisecond // of a write or a registration that the system had no memory for
	registerFor     = time.Second      // a connection that can't be watched for so long is closed
	brokenWaitPause = time.Millisecond // after an error of epoll_wait that no page tells of
)

const (
	firstEvents = 128
	mostEvents  = 1024
)

// watched is what an entry in the epoll set stands for. Connections count from firstSerial, each with a number of its
// own: an event of one that has been closed is not taken for its successor's on the same descriptor.
const (
	wakeSerial     = 0
	listenerSerial = 1
	firstSerial    = 2
)

// Loop is one event loop. Its methods may be called from any goroutine, unless they say otherwise.
type Loop struct {
	group *Group
	epoll int
	wake  int // eventfd
	buf   []byte

	wokeAt time.Time // when the system last told of events

	// The loop's goroutine alone uses these.
	conns       []*Conn // by descriptor
	open        int
	serial      int32
	unwatched   []*Conn // whose events could not be set
	listener    int     // 0: none
	acceptPause syserr.Backoff

	mu      sync.Mutex
	tasks   []func()
	spare   []func()
	woken   bool
	ending  bool
	stopped bool
}

func newLoop(g *Group, size int) (*Loop, error) {
	l := &Loop{group: g, buf: make([]byte, size), serial: firstSerial}
	var err error
	if l.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.epoll)
		return nil, os.NewSyscallError("eventfd", err)
	}
	// Edge-triggered: each write wakes the loop, and nothing needs to be read.
	if err = l.control(unix.EPOLL_CTL_ADD, l.wake, unix.EPOLLIN|unix.EPOLLET, wakeSerial); err != nil {
		l.release()
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	return l, nil
}

func (l *Loop) release() {
	unix.Close(l.wake)
	unix.Close(l.epoll)
}

func (l *Loop) control(op, fd int, events uint32, serial int32) error {
	for {
		err := unix.EpollCtl(l.epoll, op, fd, &unix.EpollEvent{Fd: int32(fd), Events: events, Pad: serial})
		if err != unix.EINTR {
			return err
		}
	}
}

// Execute runs f in the loop's goroutine, soon and in the order of the calls; ErrStopped if it never will.
func (l *Loop) Execute(f func()) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return ErrStopped
	}
	l.tasks = append(l.tasks, f)
	l.signal()
	return nil
}

// After has the loop run f after a while, unless it stops before.
func (l *Loop) After(wait time.Duration, f func()) {
	time.AfterFunc(wait, func() { _ = l.Execute(f) })
}

// signal wakes the loop. Its lock is held. A wake-up that is lost would never be made up for: it is tried until it is made.
func (l *Loop) signal() {
	if l.woken {
		return
	}
	l.woken = true
	one := [8]byte{1}
	for {
		switch _, err := unix.Write(l.wake, one[:]); err {
		case nil:
			return
		case unix.EAGAIN: // the counter is full
			var count [8]byte
			_, _ = unix.Read(l.wake, count[:])
		}
		runtime.Gosched()
	}
}

func (l *Loop) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
	if !l.stopped {
		l.signal()
	}
}

// run serves until stop.
func (l *Loop) run() {
	events := make([]unix.EpollEvent, firstEvents)
	wait := -1
	for {
		n, err := unix.EpollWait(l.epoll, events, wait)
		if n <= 0 {
			if err != nil && err != unix.EINTR {
				l.group.log.Error().Err(os.NewSyscallError("epoll_wait", err)).Msg("wait for events failed, trying again")
				time.Sleep(brokenWaitPause)
			}
			wait = -1
			runtime.Gosched() // others may have something for this loop before it sleeps
			continue
		}
		wait = 0
		l.wokeAt = time.Now()
		for _, e := range events[:n] {
			l.event(e)
		}
		if l.runTasks() {
			break
		}
		if n == len(events) && n < mostEvents {
			events = make([]unix.EpollEvent, 2*n)
		}
	}
	l.end()
}

func (l *Loop) event(e unix.EpollEvent) {
	switch e.Pad {
	case wakeSerial: // runTasks follows in any case
	case listenerSerial:
		l.accept()
	default:
		if c := l.conns[e.Fd]; c != nil && c.serial == e.Pad {
			c.event(e.Events)
		}
	}
}

// runTasks runs what has been handed in; true once the loop is to end.
func (l *Loop) runTasks() (ends bool) {
	l.mu.Lock()
	list, ending := l.tasks, l.ending
	l.tasks, l.spare, l.woken = l.spare[:0], nil, false
	l.mu.Unlock()
	for i, f := range list {
		f()
		list[i] = nil
	}
	l.mu.Lock()
	l.spare = list[:0]
	l.mu.Unlock()
	return ending
}

// end closes all that the loop has.
func (l *Loop) end() {
	for {
		l.mu.Lock()
		if l.stopped = len(l.tasks) == 0; l.stopped {
			l.mu.Unlock()
			break
		}
		l.mu.Unlock()
		l.runTasks()
	}
	for _, c := range l.conns {
		if c != nil {
			l.close(c, ErrStopped)
		}
	}
	if l.listener > 0 {
		unix.Close(l.listener)
	}
	l.release()
}

// listen has the loop take connections from a listening socket.
func (l *Loop) listen(fd int) {
	l.listener = fd
	l.watchListener(unix.EPOLL_CTL_ADD)
}

// watchListener has the loop look at its listener, now or as soon as that can be done.
func (l *Loop) watchListener(op int) {
	if err := l.control(op, l.listener, unix.EPOLLIN, listenerSerial); err != nil {
		l.group.log.Warn().Err(os.NewSyscallError("epoll_ctl", err)).Msg("the listener can't be watched, trying again")
		l.After(retryPause, func() { l.watchListener(op) })
	}
}

// accept takes one connection; the loop comes back for more.
func (l *Loop) accept() {
	// Not by x/sys, which asks for the protocol as well, and closes the connection if that fails.
	fd, _, err := syscall.Accept4(l.listener, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch {
	case err == nil:
		l.acceptPause.Reset()
		l.assign(fd)
	case err == unix.EAGAIN || err == unix.EINTR:
	case syserr.Transient(err):
		l.pauseAccept(err)
	default:
		// Linux hands on errors of the network that concern the connection that was to be taken: the next one may be well.
		l.group.log.Warn().Err(os.NewSyscallError("accept4", err)).Msg("a connection could not be taken")
	}
}

// pauseAccept leaves the listener alone for a while: what a connection takes of this machine is short.
func (l *Loop) pauseAccept(err error) {
	pause := l.acceptPause.Next()
	l.group.log.Warn().Err(os.NewSyscallError("accept4", err)).Dur("pause_ms", pause).Msg("no connections can be taken for now")
	if l.control(unix.EPOLL_CTL_MOD, l.listener, 0, listenerSerial) == nil {
		l.After(pause, func() { l.watchListener(unix.EPOLL_CTL_MOD) })
	}
}

// assign gives a new connection to a loop.
func (l *Loop) assign(fd int) {
	to := l.group.next()
	if to == l {
		l.adopt(fd, nil)
	} else if err := to.Execute(func() { to.adopt(fd, nil) }); err != nil {
		unix.Close(fd)
	}
}

// adopt takes a connection in, in the loop's goroutine.
func (l *Loop) adopt(fd int, value any) {
	c := &Conn{loop: l, fd: fd, serial: l.serial, value: value, want: unix.EPOLLIN}
	if l.group.ends {
		c.want |= unix.EPOLLRDHUP
	}
	if l.serial++; l.serial < firstSerial {
		l.serial = firstSerial
	}
	for len(l.conns) <= fd {
		l.conns = append(l.conns, nil)
	}
	l.conns[fd] = c
	l.open++
	if l.group.handler.OnOpen(c) == Close {
		l.close(c, nil)
	}
	c.watch()
}

// Close closes a connection of this loop at once, in its goroutine; one that is closed already stays so.
func (l *Loop) Close(c *Conn) { l.close(c, nil) }

func (l *Loop) close(c *Conn, err error) {
	if c.closed {
		return
	}
	c.closed = true
	l.conns[c.fd] = nil
	l.open--
	l.group.handler.OnClose(c, err)
	unix.Close(c.fd) // which takes it out of the epoll set; the descriptor is free whatever it returns
	c.out = nil
}

// watchAgain tries once more to set the events of connections for which that failed.
func (l *Loop) watchAgain() {
	list := l.unwatched
	l.unwatched = nil
	for _, c := range list {
		c.retrying = false
		c.watch()
	}
}

var errUnwatched = errors.New("the connection can't be watched")
