package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// request is one request of a client, and what became of it.
type request struct {
	verb, id, customer, class string
	plan                      string // "": basic
	waitMS                    int
	key, body                 string

	sentAt     time.Time // when its last byte had been written
	answeredAt time.Time
	answer     answer
	err        error // the connection ended without a whole answer
}

// words returns the request as a command.
func (q *request) words() []string {
	list := "c=" + q.class + ",t=" + cmp.Or(q.plan, "basic") + ",d=" + strconv.Itoa(q.waitMS)
	if q.key != "" {
		list += ",k=" + q.key
	}
	words := []string{q.verb, q.customer, q.id, list + ",units=1,spread=1,first=0"}
	if q.body != "" {
		words = append(words, q.body)
	}
	return words
}

// newID returns 16 hex digits.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newCustomer returns a customer's number, below 2^33.
func newCustomer() string { return fmt.Sprintf("%016x", rand.Uint64N(1<<33)) }

// front deals out requests over connections to one ingress, as the platform's front does: it keeps its connections, and opens
// further ones when all are busy.
type front struct {
	rec  *record
	addr string
	most int // connections

	mu   sync.Mutex
	idle []*frontConn
	open int
}

type frontConn struct {
	net.Conn
	r    *bufio.Reader
	used bool
}

// take returns a connection for one request; nil if there are as many as a front may hold.
func (f *front) take(fresh bool) (*frontConn, error) {
	f.mu.Lock()
	if n := len(f.idle); n > 0 && !fresh {
		conn := f.idle[n-1]
		f.idle = f.idle[:n-1]
		f.mu.Unlock()
		return conn, nil
	}
	if f.open >= f.most {
		f.mu.Unlock()
		return nil, nil
	}
	f.open++
	f.mu.Unlock()
	conn, err := net.DialTimeout("tcp", f.addr, time.Second)
	if err != nil {
		f.mu.Lock()
		f.open--
		f.mu.Unlock()
		return nil, err
	}
	return &frontConn{Conn: conn, r: bufio.NewReaderSize(conn, 4<<10)}, nil
}

// put gives a connection back.
func (f *front) put(conn *frontConn, sound bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sound {
		conn.used = true
		f.idle = append(f.idle, conn)
	} else {
		f.open--
		conn.Close()
	}
}

// do sends a request and waits for its final answer, for patience beyond its time. It reports false if no connection was free.
func (f *front) do(q *request, patience time.Duration) bool {
	for attempt := range 2 {
		conn, err := f.take(attempt > 0)
		if conn == nil && err == nil {
			return false
		} else if err != nil {
			q.err = err
			return true
		}
		_, err = conn.Write(command(q.words()...))
		if err == nil {
			err = awaitDelivery(conn.Conn)
		}
		q.sentAt = time.Now()
		if err == nil {
			f.rec.note(q.sentAt, "client sent %s c=%s d=%d", q.id, q.class, q.waitMS)
			conn.SetReadDeadline(q.sentAt.Add(time.Duration(q.waitMS)*time.Millisecond + patience))
			q.answer, err = readAnswer(conn.r)
			q.answeredAt = time.Now()
		}
		again := conn.used && err != nil && attempt == 0
		if q.err = err; err == nil {
			text := q.answer.text
			f.rec.note(q.answeredAt, "client answered %s %s", q.id, text[:min(len(text), 70)])
		} else {
			f.rec.note(time.Now(), "client no-answer %s %v", q.id, err)
		}
		f.put(conn, err == nil)
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() || !again {
			break // it crossed no end of a resting connection
		}
	}
	return true
}

// awaitDelivery waits until the machine at the other end has acknowledged all bytes that were written, so that the request has
// been taken.
func awaitDelivery(conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	for until := time.Now().Add(200 * time.Millisecond); ; {
		var left int32
		var errno syscall.Errno
		if err := raw.Control(func(fd uintptr) {
			_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&left)))
		}); err != nil {
			return err
		}
		if errno != 0 || left == 0 || time.Now().After(until) {
			return nil
		}
		time.Sleep(200 * time.Microsecond)
	}
}

// load sends requests at random times, at a mean rate, until stop. Each is handed to done with its result.
func (f *front) load(rate float64, stop time.Time, next func() *request, patience time.Duration, done func(*request)) {
	var running sync.WaitGroup
	for at := time.Now(); at.Before(stop); at = at.Add(time.Duration(rand.ExpFloat64() / rate * 1e9)) {
		time.Sleep(time.Until(at))
		running.Add(1)
		go func() {
			defer running.Done()
			q := next()
			if f.do(q, patience) {
				done(q)
			}
		}()
	}
	running.Wait()
}
