package main

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Arrival is one request that has arrived whole at a backend.
type Arrival struct {
	Backend   string
	Customer  string
	ID        string
	Class     string
	Left      time.Duration // what the ingress said it would wait: d
	FirstByte time.Time
	LastByte  time.Time
}

// Reply is what a backend does with a request.
type Reply struct {
	After time.Duration // time at work
	Line  string        // an error line in place of a value, without its end
}

// Backend is a stand-in for a backend of the platform. It speaks RESP2 as the protocol page says: requests on a connection
// are begun at once and answered in order, and the value of an answer names its request.
type Backend struct {
	Name    string
	ln      net.Listener
	handle  func(Arrival) Reply
	mu      sync.Mutex
	conns   map[net.Conn]bool
	arrived []Arrival
}

func startBackend(name string, handle func(Arrival) Reply) *Backend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("backend: %v", err)
	}
	b := &Backend{Name: name, ln: ln, handle: handle, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

// Addr is the address on which the backend listens.
func (b *Backend) Addr() string { return b.ln.Addr().String() }

// Arrivals returns the requests that have arrived so far.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrived...)
}

// Close ends the backend and its connections.
func (b *Backend) Close() {
	b.ln.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// answer is the place of one answer in the order of a connection.
type answer struct {
	ready chan struct{}
	text  []byte
}

func (b *Backend) serve(c net.Conn) {
	order := make(chan *answer, 1024)
	closed := make(chan struct{})
	defer func() {
		close(closed)
		close(order)
		c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	go func() {
		for a := range order {
			select {
			case <-a.ready:
			case <-closed:
				return
			}
			_, _ = c.Write(a.text)
		}
	}()
	var in []byte
	var first time.Time
	buf := make([]byte, 32<<10)
	for {
		n, err := c.Read(buf)
		now := time.Now()
		if err != nil {
			return
		}
		if len(in) == 0 {
			first = now
		}
		in = append(in, buf[:n]...)
		for len(in) > 0 {
			words, used, ok := parseCommand(in)
			if !ok {
				return
			}
			if used == 0 {
				break
			}
			in = append([]byte(nil), in[used:]...)
			a := &answer{ready: make(chan struct{})}
			order <- a
			b.begin(a, words, first, now)
			first = now
		}
	}
}

// begin starts the work on one command.
func (b *Backend) begin(a *answer, words []string, first, last time.Time) {
	say := func(text string) {
		a.text = []byte(text)
		close(a.ready)
	}
	switch {
	case words[0] == "PING":
		say("+PONG\r\n")
		return
	case words[0] == "INFO":
		say("$24\r\nutil=0.50,latency_ms=100\r\n")
		return
	case words[0] == "CLIENT" || words[0] == "SELECT":
		say("+OK\r\n")
		return
	case len(words) < 4 || words[0] != "SVC.QUERY" && words[0] != "SVC.SUBMIT":
		say("-SYNTAX\r\n")
		return
	}
	arrival := Arrival{Backend: b.Name, Customer: words[1], ID: words[2], FirstByte: first, LastByte: last}
	for pair := range strings.SplitSeq(words[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "c":
			arrival.Class = value
		case "d":
			ms, _ := strconv.ParseFloat(value, 64)
			arrival.Left = time.Duration(ms * float64(time.Millisecond))
		}
	}
	b.mu.Lock()
	b.arrived = append(b.arrived, arrival)
	b.mu.Unlock()
	reply := b.handle(arrival)
	text := "*3\r\n" + bulk(valueOf(arrival.ID)) + "$-1\r\n$-1\r\n"
	if reply.Line != "" {
		text = reply.Line + "\r\n"
	}
	time.AfterFunc(reply.After, func() { say(text) })
}

// valueOf is the value that a backend makes for a request.
func valueOf(id string) string { return "value for " + id }

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// command encodes a command as an array of bulk strings.
func command(words ...string) []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(words))
	for _, w := range words {
		out.WriteString(bulk(w))
	}
	return []byte(out.String())
}

// parseCommand parses the command at the start of in. It returns 0 used bytes for an incomplete one, and false for none.
func parseCommand(in []byte) (words []string, used int, ok bool) {
	number := func(kind byte) (n int, more, valid bool) {
		if used >= len(in) {
			return 0, true, true
		}
		end := bytes.Index(in[used:], []byte("\r\n"))
		if end < 0 {
			return 0, true, in[used] == kind && len(in)-used < 32
		}
		n, err := strconv.Atoi(string(in[used+1 : used+end]))
		valid = err == nil && in[used] == kind && n >= 0
		used += end + 2
		return n, false, valid
	}
	count, more, valid := number('*')
	if !valid || more {
		return nil, 0, valid
	}
	for range count {
		size, more, valid := number('$')
		if !valid || more {
			return nil, 0, valid
		}
		if used+size+2 > len(in) {
			return nil, 0, true
		}
		words = append(words, string(in[used:used+size]))
		used += size + 2
	}
	return words, used, len(words) > 0
}

// unread reports whether bytes, or an end, wait on a connection to be read.
func unread(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	_ = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err != syscall.EAGAIN
	})
	return waiting
}
