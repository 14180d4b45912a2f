package eventloop

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/syserr"
)

// Conn is a connection. Unless stated otherwise, its methods may be called only from its loop's goroutine.
type Conn struct {
	loop    *Loop
	fd      int
	serial  int32
	context any
	closed  bool

	wanted, watched  uint32    // events to be watched, and events that are watched
	inEpollSet       bool      // the descriptor has been added to the epoll set
	watchFailedSince time.Time // first failure to change the watched events; zero after a success
	watchScheduled   bool      // a retry of the change is scheduled

	unsent         []byte // bytes of Write that the system has not accepted yet
	flushScheduled bool   // a retry of the write is scheduled: the system was out of memory
}

// Loop returns the loop that serves the connection. It may be called from any goroutine.
func (conn *Conn) Loop() *Loop { return conn.loop }

// Context returns the value set by SetContext or Enroll.
func (conn *Conn) Context() any { return conn.context }

// SetContext stores a value for the handler.
func (conn *Conn) SetContext(value any) { conn.context = value }

// Close schedules the closing of the connection. It may be called from any goroutine.
func (conn *Conn) Close() { _ = conn.loop.Execute(func() { conn.loop.close(conn, nil) }) }

// watch has the system watch the wanted events, and schedules a retry where that fails for now.
func (conn *Conn) watch() {
	if conn.closed || conn.inEpollSet && conn.wanted == conn.watched || conn.watchScheduled {
		return
	}
	op := unix.EPOLL_CTL_MOD
	if !conn.inEpollSet {
		op = unix.EPOLL_CTL_ADD
	}
	err := conn.loop.control(op, conn.fd, conn.wanted, conn.serial)
	if err == nil {
		conn.inEpollSet, conn.watched, conn.watchFailedSince = true, conn.wanted, time.Time{}
		return
	}
	if conn.watchFailedSince.IsZero() {
		conn.watchFailedSince = time.Now()
	}
	// ENOSPC: the user has reached the system's limit on watched descriptors.
	if retryable := syserr.Transient(err) || err == unix.ENOSPC; !retryable || time.Since(conn.watchFailedSince) > watchTimeout {
		conn.loop.close(conn, fmt.Errorf("%w: %w", errUnwatched, os.NewSyscallError("epoll_ctl", err)))
		return
	}
	conn.watchScheduled = true
	if conn.loop.unwatched = append(conn.loop.unwatched, conn); len(conn.loop.unwatched) == 1 {
		conn.loop.After(retryPause, conn.loop.retryWatches)
	}
}

// handleEvents handles events that the system has reported for the connection.
func (conn *Conn) handleEvents(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		conn.flush()
	}
	ended := events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0
	reading := conn.wanted&unix.EPOLLIN != 0
	switch {
	case conn.closed:
	case ended && (conn.loop.group.closeOnPeerShutdown || !reading):
		conn.loop.close(conn, conn.endError())
	case reading && (ended || events&unix.EPOLLIN != 0): // reading a broken connection returns its error
		conn.read()
	}
}

// endError returns the error that broke a connection which is not read, or io.EOF if the other end has closed it.
func (conn *Conn) endError() error {
	if n, err := unix.GetsockoptInt(conn.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && n != 0 {
		return os.NewSyscallError("read", unix.Errno(n))
	}
	return io.EOF
}

// read reads once and hands the data to the handler.
func (conn *Conn) read() {
	loop := conn.loop
	n, err := unix.Read(conn.fd, loop.readBuffer)
	switch {
	case err != nil && syserr.Transient(err): // the event is reported again
	case err != nil:
		loop.close(conn, os.NewSyscallError("read", err))
	case n == 0:
		loop.close(conn, io.EOF)
	case loop.group.closeOnPeerShutdown && time.Since(loop.wokeAt) > maxEventAge && conn.peerHasEnded():
		loop.close(conn, conn.endError())
	default:
		if loop.group.handler.OnData(conn, loop.readBuffer[:n]) == Close {
			loop.close(conn, nil)
		}
	}
}

// maxEventAge is the age of reported events after which the system is asked again whether the other end has closed the
// connection.
const maxEventAge = 10 * time.Millisecond

// peerHasEnded reports whether the other end has closed the connection or its sending side, even if data sent before that
// is still unread.
func (conn *Conn) peerHasEnded() bool {
	pollFDs := []unix.PollFd{{Fd: int32(conn.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(pollFDs, 0)
	return err == nil && n > 0
}

// PauseReading leaves incoming data unread, so that the other end has to wait. Meanwhile the connection is closed if it
// breaks and, with Options.CloseOnPeerShutdown, when the other end closes it.
func (conn *Conn) PauseReading() {
	conn.wanted &^= unix.EPOLLIN
	conn.watch()
}

// ResumeReading reverts PauseReading.
func (conn *Conn) ResumeReading() {
	conn.wanted |= unix.EPOLLIN
	conn.watch()
}

// maxImmediateAttempts bounds how often a non-blocking call is repeated at once.
const maxImmediateAttempts = 10

// HasUnread reports whether data of the other end, or its end of the stream, is waiting to be read. It reports true where
// the system can't tell.
func (conn *Conn) HasUnread() bool {
	var peeked [1]byte
	for range maxImmediateAttempts {
		_, _, err := unix.Recvfrom(conn.fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			return false
		case err == nil || !syserr.Transient(err):
			return true
		}
	}
	return true
}

// UnreadBytes returns the number of bytes that can be read now, and false if the system can't tell.
func (conn *Conn) UnreadBytes() (bytes int, known bool) {
	for range maxImmediateAttempts {
		n, err := unix.IoctlGetInt(conn.fd, unix.SIOCINQ)
		if err == nil {
			return n, true
		}
		if !syserr.Transient(err) {
			break
		}
	}
	return 0, false
}

// CloseWrite shuts down the sending side of the connection.
func (conn *Conn) CloseWrite() (err error) {
	for range maxImmediateAttempts {
		if err = unix.Shutdown(conn.fd, unix.SHUT_WR); !syserr.Transient(err) {
			break
		}
	}
	return os.NewSyscallError("shutdown", err)
}

// Send sends as much of data as the system accepts now and returns how many bytes that was. An error means that the
// connection is broken.
func (conn *Conn) Send(data []byte) (sent int, err error) {
	sent, _, err = conn.send(data)
	return sent, err
}

// send is Send that also reports whether the system was out of memory: then no event follows when it accepts more.
func (conn *Conn) send(data []byte) (sent int, noMemory bool, err error) {
	for sent < len(data) {
		n, err := unix.Write(conn.fd, data[sent:])
		switch {
		case err == nil:
			sent += n
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			return sent, false, nil
		case syserr.Transient(err):
			return sent, true, nil
		default:
			return sent, false, os.NewSyscallError("write", err)
		}
	}
	return sent, false, nil
}

// Write sends data and buffers what the system does not accept now. The connection is closed if it breaks meanwhile.
func (conn *Conn) Write(data []byte) {
	if conn.closed {
		return
	}
	if len(conn.unsent) > 0 {
		conn.unsent = append(conn.unsent, data...)
		return
	}
	sent, noMemory, err := conn.send(data)
	conn.unsent = append(conn.unsent, data[sent:]...)
	conn.afterSend(noMemory, err)
}

// Unsent returns the number of bytes of Write that the system has not accepted. It is valid in OnClose as well, where it
// is the number of bytes that were never accepted.
func (conn *Conn) Unsent() int { return len(conn.unsent) }

// flush sends what Write has buffered.
func (conn *Conn) flush() {
	conn.flushScheduled = false
	if conn.closed {
		return
	}
	sent, noMemory, err := conn.send(conn.unsent)
	conn.unsent = conn.unsent[:copy(conn.unsent, conn.unsent[sent:])]
	conn.afterSend(noMemory, err)
}

// afterSend has the remaining bytes sent later, or closes the connection if sending failed.
func (conn *Conn) afterSend(noMemory bool, err error) {
	switch {
	case err != nil:
		conn.loop.close(conn, err)
		return
	case len(conn.unsent) == 0:
		conn.wanted &^= unix.EPOLLOUT
		conn.unsent = nil
	case noMemory:
		conn.wanted &^= unix.EPOLLOUT // the socket counts as writable, so the event would be reported at once
		if !conn.flushScheduled {
			conn.flushScheduled = true
			conn.loop.After(retryPause, conn.flush)
		}
	default:
		conn.wanted |= unix.EPOLLOUT
	}
	conn.watch()
}
