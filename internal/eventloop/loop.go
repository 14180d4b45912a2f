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

// Times of retries after temporary errors.
const (
	retryPause     = time.Millisecond // before a write, or a change of watched events, that failed for lack of memory is retried
	watchTimeout   = time.Second      // a connection whose events can't be watched for so long is closed
	epollWaitPause = time.Millisecond // after an error of epoll_wait that its manual page does not list
)

// The number of events that one call of epoll_wait can return. It doubles when a call returns that many.
const (
	initialEvents = 128
	maxEvents     = 1024
)

// Serial numbers of entries in the epoll set. Each connection has its own, starting at firstSerial: so an event of a
// closed connection is not taken for one of a later connection with the same descriptor. The serial is kept in the Pad
// field of the event, the half of epoll_data that the descriptor leaves free.
const (
	wakeSerial     = 0
	listenerSerial = 1
	firstSerial    = 2
)

// Loop is one event loop. Unless stated otherwise, its methods may be called from any goroutine.
type Loop struct {
	group      *Group
	epollFD    int
	wakeFD     int // an eventfd
	readBuffer []byte

	wokeAt time.Time // when epoll_wait last returned events

	// These are used only by the loop's goroutine.
	conns         []*Conn // by descriptor
	open          int     // number of open connections
	nextSerial    int32
	unwatched     []*Conn // whose events could not be set
	listenerFD    int     // 0: none
	acceptBackoff syserr.Backoff

	mu          sync.Mutex
	tasks       []func()
	spareTasks  []func() // the emptied previous list, for reuse
	wakePending bool     // wakeFD was signalled since tasks were last taken
	stopping    bool
	stopped     bool
}

func newLoop(group *Group, bufferSize int) (*Loop, error) {
	loop := &Loop{group: group, readBuffer: make([]byte, bufferSize), nextSerial: firstSerial}
	var err error
	if loop.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if loop.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(loop.epollFD)
		return nil, os.NewSyscallError("eventfd", err)
	}
	// Edge-triggered: each write wakes the loop, and the counter need not be read.
	if err = loop.control(unix.EPOLL_CTL_ADD, loop.wakeFD, unix.EPOLLIN|unix.EPOLLET, wakeSerial); err != nil {
		loop.release()
		return nil, os.NewSyscallError("epoll_ctl", err)
	}
	return loop, nil
}

// release closes the loop's own descriptors.
func (loop *Loop) release() {
	unix.Close(loop.wakeFD)
	unix.Close(loop.epollFD)
}

// control calls epoll_ctl, again after an interruption.
func (loop *Loop) control(op, fd int, events uint32, serial int32) error {
	for {
		err := unix.EpollCtl(loop.epollFD, op, fd, &unix.EpollEvent{Fd: int32(fd), Events: events, Pad: serial})
		if err != unix.EINTR {
			return err
		}
	}
}

// Execute schedules task to run in the loop's goroutine, in the order of the calls. It returns ErrStopped if the task will
// never run.
func (loop *Loop) Execute(task func()) error {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	if loop.stopped {
		return ErrStopped
	}
	loop.tasks = append(loop.tasks, task)
	loop.signal()
	return nil
}

// After schedules task to run in the loop's goroutine after a delay, unless the loop stops before.
func (loop *Loop) After(delay time.Duration, task func()) {
	time.AfterFunc(delay, func() { _ = loop.Execute(task) })
}

// signal wakes the loop. The caller holds the loop's lock. It repeats the write until it succeeds, because nothing else
// would make up for a lost wake-up.
func (loop *Loop) signal() {
	if loop.wakePending {
		return
	}
	loop.wakePending = true
	one := [8]byte{1}
	for {
		switch _, err := unix.Write(loop.wakeFD, one[:]); err {
		case nil:
			return
		case unix.EAGAIN: // the counter is full
			var counter [8]byte
			_, _ = unix.Read(loop.wakeFD, counter[:])
		}
		runtime.Gosched()
	}
}

// stop asks the loop to end.
func (loop *Loop) stop() {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	loop.stopping = true
	if !loop.stopped {
		loop.signal()
	}
}

// run handles events and tasks until stop is called.
func (loop *Loop) run() {
	events := make([]unix.EpollEvent, initialEvents)
	timeout := -1
	for {
		n, err := unix.EpollWait(loop.epollFD, events, timeout)
		if n <= 0 {
			if err != nil && err != unix.EINTR {
				loop.group.log.Error().Err(os.NewSyscallError("epoll_wait", err)).Msg("waiting for events failed; retrying")
				time.Sleep(epollWaitPause)
			}
			timeout = -1
			runtime.Gosched() // other goroutines may have tasks for this loop before it blocks
			continue
		}
		timeout = 0
		loop.wokeAt = time.Now()
		for _, event := range events[:n] {
			loop.handleEvent(event)
		}
		if loop.runTasks() {
			break
		}
		if n == len(events) && n < maxEvents {
			events = make([]unix.EpollEvent, 2*n)
		}
	}
	loop.shutdown()
}

// handleEvent passes an event to the listener or to its connection.
func (loop *Loop) handleEvent(event unix.EpollEvent) {
	switch event.Pad {
	case wakeSerial: // runTasks follows in any case
	case listenerSerial:
		loop.accept()
	default:
		if conn := loop.conns[event.Fd]; conn != nil && conn.serial == event.Pad {
			conn.handleEvents(event.Events)
		}
	}
}

// runTasks runs the scheduled tasks and reports whether the loop is to end.
func (loop *Loop) runTasks() (stopping bool) {
	loop.mu.Lock()
	tasks, stopRequested := loop.tasks, loop.stopping
	loop.tasks, loop.spareTasks, loop.wakePending = loop.spareTasks[:0], nil, false
	loop.mu.Unlock()
	for i, task := range tasks {
		task()
		tasks[i] = nil
	}
	loop.mu.Lock()
	loop.spareTasks = tasks[:0]
	loop.mu.Unlock()
	return stopRequested
}

// shutdown runs the remaining tasks and closes all descriptors of the loop.
func (loop *Loop) shutdown() {
	for {
		loop.mu.Lock()
		if loop.stopped = len(loop.tasks) == 0; loop.stopped {
			loop.mu.Unlock()
			break
		}
		loop.mu.Unlock()
		loop.runTasks()
	}
	for _, conn := range loop.conns {
		if conn != nil {
			loop.close(conn, ErrStopped)
		}
	}
	if loop.listenerFD > 0 {
		unix.Close(loop.listenerFD)
	}
	loop.release()
}

// listen has the loop accept connections from a listening socket.
func (loop *Loop) listen(fd int) {
	loop.listenerFD = fd
	loop.watchListener(unix.EPOLL_CTL_ADD)
}

// watchListener has the system watch the listener, and retries until that succeeds.
func (loop *Loop) watchListener(op int) {
	if err := loop.control(op, loop.listenerFD, unix.EPOLLIN, listenerSerial); err != nil {
		loop.group.log.Warn().Err(os.NewSyscallError("epoll_ctl", err)).Msg("watching the listener failed; retrying")
		loop.After(retryPause, func() { loop.watchListener(op) })
	}
}

// accept accepts one connection. If more are waiting, the event is reported again.
func (loop *Loop) accept() {
	// unix.Accept4 is not used: it also asks for the protocol of the socket, and closes the connection if that fails.
	fd, _, err := syscall.Accept4(loop.listenerFD, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch {
	case err == nil:
		loop.acceptBackoff.Reset()
		loop.assign(fd)
	case err == unix.EAGAIN || err == unix.EINTR:
	case syserr.Transient(err):
		loop.pauseAccept(err)
	default:
		// On Linux, accept4 also returns network errors of the connection to be accepted. The next one may be unaffected.
		loop.group.log.Warn().Err(os.NewSyscallError("accept4", err)).Msg("accepting a connection failed")
	}
}

// pauseAccept stops accepting connections for a while, after an error caused by a shortage of resources on this machine.
func (loop *Loop) pauseAccept(err error) {
	pause := loop.acceptBackoff.Next()
	loop.group.log.Warn().Err(os.NewSyscallError("accept4", err)).Dur("pause_ms", pause).
		Msg("out of resources to accept connections; pausing")
	if loop.control(unix.EPOLL_CTL_MOD, loop.listenerFD, 0, listenerSerial) == nil {
		loop.After(pause, func() { loop.watchListener(unix.EPOLL_CTL_MOD) })
	}
}

// assign gives a new connection to a loop of the group.
func (loop *Loop) assign(fd int) {
	target := loop.group.next()
	if target == loop {
		loop.adopt(fd, nil)
	} else if err := target.Execute(func() { target.adopt(fd, nil) }); err != nil {
		unix.Close(fd)
	}
}

// adopt starts serving a connection. It runs in the loop's goroutine.
func (loop *Loop) adopt(fd int, value any) {
	conn := &Conn{loop: loop, fd: fd, serial: loop.nextSerial, context: value, wanted: unix.EPOLLIN}
	if loop.group.closeOnPeerShutdown {
		conn.wanted |= unix.EPOLLRDHUP
	}
	if loop.nextSerial++; loop.nextSerial < firstSerial {
		loop.nextSerial = firstSerial
	}
	for len(loop.conns) <= fd {
		loop.conns = append(loop.conns, nil)
	}
	loop.conns[fd] = conn
	loop.open++
	if loop.group.handler.OnOpen(conn) == Close {
		loop.close(conn, nil)
	}
	conn.watch()
}

// Close closes a connection of this loop at once; it does nothing if the connection is closed already. It must be called
// from the loop's goroutine.
func (loop *Loop) Close(conn *Conn) { loop.close(conn, nil) }

// close closes a connection and reports err to OnClose.
func (loop *Loop) close(conn *Conn, err error) {
	if conn.closed {
		return
	}
	conn.closed = true
	loop.conns[conn.fd] = nil
	loop.open--
	loop.group.handler.OnClose(conn, err)
	unix.Close(conn.fd) // removes it from the epoll set too; whatever close returns, the descriptor is free
	conn.unsent = nil
}

// retryWatches retries setting the events of connections for which that failed.
func (loop *Loop) retryWatches() {
	unwatched := loop.unwatched
	loop.unwatched = nil
	for _, conn := range unwatched {
		conn.watchScheduled = false
		conn.watch()
	}
}

var errUnwatched = errors.New("the events of the connection can't be watched")
