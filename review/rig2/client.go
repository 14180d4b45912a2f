package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is how a request ended at its client.
type Kind string

// The ways in which a request ends.
const (
	Served      Kind = "served"
	Refused     Kind = "refused"
	Failed      Kind = "failed"
	Closed      Kind = "closed without an answer"
	Late        Kind = "no answer"
	Unreachable Kind = "no connection"
	Crossed     Kind = "the connection had ended"
)

// Result is the end of one request.
type Result struct {
	Kind  Kind
	Value string
	At    time.Time
}

// Front keeps connections to one ingress, as clients do: a request takes one that rests, or a new one.
type Front struct {
	addr string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	c      net.Conn
	r      *bufio.Reader
	usedAt time.Time
}

// do sends a request and waits for its answer, at most for the given time.
func (f *Front) do(text []byte, wait time.Duration) Result {
	for try := 0; ; try++ {
		f.mu.Lock()
		var cc *clientConn
		if n := len(f.idle); n > 0 && try == 0 {
			cc, f.idle = f.idle[n-1], f.idle[:n-1]
		}
		f.mu.Unlock()
		rested := cc != nil
		if cc == nil {
			c, err := net.DialTimeout("tcp", f.addr, time.Second)
			if err != nil {
				note("no connection to %s: %v", f.addr, err)
				return Result{Kind: Unreachable, At: time.Now()}
			}
			cc = &clientConn{c: c, r: bufio.NewReader(c)}
		}
		_ = cc.c.SetDeadline(time.Now().Add(wait))
		_, err := cc.c.Write(text)
		var result Result
		if err == nil {
			result, err = readAnswer(cc.r)
		}
		if err == nil {
			_ = cc.c.SetDeadline(time.Time{})
			cc.usedAt = time.Now()
			f.mu.Lock()
			f.idle = append(f.idle, cc)
			for len(f.idle) > 0 && time.Since(f.idle[0].usedAt) > 5*time.Second { // clients close what they no longer need
				f.idle[0].c.Close()
				f.idle = f.idle[1:]
			}
			f.mu.Unlock()
			return result
		}
		cc.c.Close()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return Result{Kind: Late, At: time.Now()}
		}
		if rested && try == 0 {
			continue // the close crossed the request: once more, on another connection
		}
		return Result{Kind: Closed, At: time.Now()}
	}
}

// once is do without a second sending: a request whose connection ends without a byte, and had served before, has Crossed if the
// ingress had ended the connection before it could read the request.
func (f *Front) once(text []byte, wait time.Duration) Result {
	f.mu.Lock()
	var cc *clientConn
	if n := len(f.idle); n > 0 {
		cc, f.idle = f.idle[n-1], f.idle[:n-1]
	}
	f.mu.Unlock()
	if cc != nil && unread(cc.c) {
		cc.c.Close()
		return Result{Kind: Crossed, At: time.Now()}
	}
	if cc == nil {
		c, err := net.DialTimeout("tcp", f.addr, time.Second)
		if err != nil {
			return Result{Kind: Unreachable, At: time.Now()}
		}
		cc = &clientConn{c: c, r: bufio.NewReader(c)}
	}
	_ = cc.c.SetDeadline(time.Now().Add(wait))
	_, err := cc.c.Write(text)
	var result Result
	if err == nil {
		result, err = readAnswer(cc.r)
	}
	if err != nil {
		cc.c.Close()
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			return Result{Kind: Late, At: time.Now()}
		}
		return Result{Kind: Closed, At: time.Now()}
	}
	_ = cc.c.SetDeadline(time.Time{})
	f.mu.Lock()
	f.idle = append(f.idle, cc)
	f.mu.Unlock()
	return result
}

// close ends the connections that rest.
func (f *Front) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, cc := range f.idle {
		cc.c.Close()
	}
	f.idle = nil
}

// readAnswer reads one answer to a request.
func readAnswer(r *bufio.Reader) (Result, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return Result{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "-BUSY"):
		return Result{Kind: Refused, Value: line, At: time.Now()}, nil
	case strings.HasPrefix(line, "$") && line != "$-1":
		n, err := strconv.Atoi(line[1:])
		if err != nil {
			return Result{}, err
		}
		b := make([]byte, n+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return Result{}, err
		}
		return Result{Kind: Served, Value: string(b[:n]), At: time.Now()}, nil
	}
	return Result{Kind: Failed, Value: line, At: time.Now()}, nil
}

var idMu sync.Mutex
var lastID uint64

// newID returns an id that was never used before.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%016x", lastID*0x9e3779b97f4a7c15)
}

// customer returns the name of the n-th customer.
func customer(n int) string { return fmt.Sprintf("%016x", 0x10000000+n*0x3d5) }
