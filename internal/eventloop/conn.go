package eventloop

import (
	"fmt"
	"io"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"cometpond/internal/syserr"
)

// Conn is a connection. Its methods are for its loop's goroutine, unless they say otherwise.
type Conn struct {
	loop   *Loop
	fd     int
	serial int32
	value  any
	closed bool

	want, have uint32    // events that are to be watched, and that are
	added      bool      // to the epoll set
	since      time.Time // when they could first not be set
	retrying   bool      // they are about to be set

	out     []byte // what the system has not taken yet
	waiting bool   // for memory, to write it
}

// Loop is the loop that serves the connection. It may be called from any goroutine.
func (c *Conn) Loop() *Loop { return c.loop }

// Context is the value of SetContext or Enroll.
func (c *Conn) Context() any { return c.value }

// SetContext keeps a value of the handler's.
func (c *Conn) SetContext(value any) { c.value = value }

// Close has the connection closed, soon. It may be called from any goroutine.
func (c *Conn) Close() { _ = c.loop.Execute(func() { c.loop.close(c, nil) }) }

// watch sets the events that are wanted, now or as soon as the system lets it.
func (c *Conn) watch() {
	if c.closed || c.added && c.want == c.have || c.retrying {
		return
	}
	op := unix.EPOLL_CTL_MOD
	if !c.added {
		op = unix.EPOLL_CTL_ADD
	}
	err := c.loop.control(op, c.fd, c.want, c.serial)
	if err == nil {
		c.added, c.have, c.since = true, c.want, time.Time{}
		return
	}
	if c.since.IsZero() {
		c.since = time.Now()
	}
	// ENOSPC: this user watches as many descriptors as the system allows.
	if passes := syserr.Transient(err) || err == unix.ENOSPC; !passes || time.Since(c.since) > registerFor {
		c.loop.close(c, fmt.Errorf("%w: %w", errUnwatched, os.NewSyscallError("epoll_ctl", err)))
		return
	}
	c.retrying = true
	if c.loop.unwatched = append(c.loop.unwatched, c); len(c.loop.unwatched) == 1 {
		c.loop.After(retryPause, c.loop.watchAgain)
	}
}

// event carries out what the system tells of a connection.
func (c *Conn) event(events uint32) {
	if events&unix.EPOLLOUT != 0 {
		c.flush()
	}
	ended := events&(unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0
	reading := c.want&unix.EPOLLIN != 0
	switch {
	case c.closed:
	case ended && (c.loop.group.ends || !reading):
		c.loop.close(c, c.fault())
	case reading && (ended || events&unix.EPOLLIN != 0): // one that is broken tells so when it is read
		c.read()
	}
}

// fault is what broke a connection that is not read, io.EOF if its other end has ended it.
func (c *Conn) fault() error {
	if n, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && n != 0 {
		return os.NewSyscallError("read", unix.Errno(n))
	}
	return io.EOF
}

func (c *Conn) read() {
	l := c.loop
	n, err := unix.Read(c.fd, l.buf)
	switch {
	case err != nil && syserr.Transient(err): // the loop is told again
	case err != nil:
		l.close(c, os.NewSyscallError("read", err))
	case n == 0:
		l.close(c, io.EOF)
	case l.group.ends && time.Since(l.wokeAt) > oldEvents && c.hasEnded():
		l.close(c, c.fault())
	default:
		if l.group.handler.OnData(c, l.buf[:n]) == Close {
			l.close(c, nil)
		}
	}
}

// oldEvents is how old the system's word on a connection may be, until it is asked again whether its other end has ended it.
const oldEvents = 10 * time.Millisecond

// hasEnded tells whether the other end has ended the connection, or its sending, though bytes lie unread before that.
func (c *Conn) hasEnded() bool {
	look := []unix.PollFd{{Fd: int32(c.fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0
}

// PauseReading leaves what comes in unread, so that the other end waits. The connection is closed meanwhile if it breaks,
// and with Options.EndsFirst at its other end's end.
func (c *Conn) PauseReading() {
	c.want &^= unix.EPOLLIN
	c.watch()
}

// ResumeReading takes PauseReading back.
func (c *Conn) ResumeReading() {
	c.want |= unix.EPOLLIN
	c.watch()
}

// triesMost bounds how often a call that needs no waiting is made again at once.
const triesMost = 10

// HasUnread tells whether something of the other end's lies unread, be it its end. Where the system can't tell, it says yes.
func (c *Conn) HasUnread() bool {
	var one [1]byte
	for range triesMost {
		_, _, err := unix.Recvfrom(c.fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN:
			return false
		case err == nil || !syserr.Transient(err):
			return true
		}
	}
	return true
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() (err error) {
	for range triesMost {
		if err = unix.Shutdown(c.fd, unix.SHUT_WR); !syserr.Transient(err) {
			break
		}
	}
	return os.NewSyscallError("shutdown", err)
}

// Send hands the system as much of b as it takes now, and tells how much that was. An error means that the connection is
// broken.
func (c *Conn) Send(b []byte) (sent int, err error) {
	sent, _, err = c.send(b)
	return sent, err
}

// send is Send that also tells whether the system had no memory for it: then nobody tells when it takes more.
func (c *Conn) send(b []byte) (sent int, short bool, err error) {
	for sent < len(b) {
		n, err := unix.Write(c.fd, b[sent:])
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

// Write sends b, and keeps what the system does not take now until it does. A connection that breaks meanwhile is closed.
func (c *Conn) Write(b []byte) {
	if c.closed {
		return
	}
	if len(c.out) > 0 {
		c.out = append(c.out, b...)
		return
	}
	sent, short, err := c.send(b)
	c.out = append(c.out, b[sent:]...)
	c.sent(short, err)
}

// Unsent is how many bytes of Write the system has not taken yet, or never will: it holds in OnClose as well.
func (c *Conn) Unsent() int { return len(c.out) }

// flush sends on what Write has kept.
func (c *Conn) flush() {
	c.waiting = false
	if c.closed {
		return
	}
	sent, short, err := c.send(c.out)
	c.out = c.out[:copy(c.out, c.out[sent:])]
	c.sent(short, err)
}

// sent looks after what is left to be sent.
func (c *Conn) sent(short bool, err error) {
	switch {
	case err != nil:
		c.loop.close(c, err)
		return
	case len(c.out) == 0:
		c.want &^= unix.EPOLLOUT
		c.out = nil
	case short:
		c.want &^= unix.EPOLLOUT // it would be told at once
		if !c.waiting {
			c.waiting = true
			c.loop.After(retryPause, c.flush)
		}
	default:
		c.want |= unix.EPOLLOUT
	}
	c.watch()
}
