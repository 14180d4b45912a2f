package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a TCPRelay.
type Direction int

// The directions.
const (
	ToServer Direction = iota // from the client to the server
	ToClient                  // from the server to the client
)

// TCPRelay forwards connections to a TCP server and simulates network faults: data in small chunks, a low rate, a paused
// direction, and connections that break in the middle of a command or of a reply.
type TCPRelay struct {
	addr, target string
	goroutines   sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	resumed  *sync.Cond // signals that a setting changed or a connection ended
	rng      *rand.Rand
	listener net.Listener
	pairs    map[*pair]struct{}
	maxChunk int     // maximum chunk in bytes, 0: no limit
	rate     float64 // bytes per second of each connection and direction, 0: no limit
	paused   [2]bool
}

// pair is a client's connection with the matching connection to the server.
type pair struct {
	ends  [2]net.Conn // to the client, to the server
	ended bool
}

// maxReadBytes is the maximum size of one read.
const maxReadBytes = 64 << 10

// NewTCPRelay starts a relay to a server on an address; port 0 selects a free port.
func NewTCPRelay(addr, to string, seed uint64) (*TCPRelay, error) {
	s := &TCPRelay{addr: addr, target: to, rng: rand.New(rand.NewPCG(seed, 5)), pairs: map[*pair]struct{}{}}
	s.resumed = sync.NewCond(&s.mu)
	return s, s.Up()
}

// Addr returns the address that the relay listens on.
func (relay *TCPRelay) Addr() string { return relay.addr }

// Up starts to listen, also after Down.
func (relay *TCPRelay) Up() error {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.listener != nil {
		return nil
	}
	ln, err := net.Listen("tcp", relay.addr)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	relay.listener, relay.addr = ln, ln.Addr().String()
	relay.goroutines.Add(1)
	go relay.accept(ln)
	return nil
}

// accept connects each client to the server until the listener is closed.
func (relay *TCPRelay) accept(ln net.Listener) {
	defer relay.goroutines.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		to, err := net.DialTimeout("tcp", relay.target, time.Second)
		if err != nil {
			closeWithReset(c)
			continue
		}
		p := &pair{ends: [2]net.Conn{c, to}}
		relay.mu.Lock()
		if relay.listener != ln { // Down was called meanwhile
			relay.mu.Unlock()
			relay.closePair(p)
			continue
		}
		relay.pairs[p] = struct{}{}
		relay.goroutines.Add(2)
		relay.mu.Unlock()
		go relay.forward(p, ToServer)
		go relay.forward(p, ToClient)
	}
}

// closePair resets both connections of a pair.
func (relay *TCPRelay) closePair(p *pair) {
	relay.mu.Lock()
	delete(relay.pairs, p)
	p.ended = true
	relay.resumed.Broadcast()
	relay.mu.Unlock()
	closeWithReset(p.ends[0])
	closeWithReset(p.ends[1])
}

// forward copies one direction of a pair until either connection ends.
func (relay *TCPRelay) forward(p *pair, d Direction) {
	defer relay.goroutines.Done()
	defer relay.closePair(p)
	from, to := p.ends[d], p.ends[1-d]
	buf := make([]byte, maxReadBytes)
	for {
		n, err := from.Read(buf[:relay.readSize()])
		if err != nil {
			return
		}
		for rest := buf[:n]; len(rest) > 0; {
			size, pause, ok := relay.nextChunk(p, d, len(rest))
			if !ok {
				return
			}
			if pause > 0 {
				time.Sleep(pause)
			}
			if _, err := to.Write(rest[:size]); err != nil {
				return
			}
			rest = rest[size:]
		}
	}
}

// readSize returns the maximum size of the next read. It is small at a low rate, so that the sender meets backpressure.
func (relay *TCPRelay) readSize() int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.rate > 0 {
		return min(maxReadBytes, max(1, int(relay.rate/50)))
	}
	return maxReadBytes
}

// nextChunk waits while the direction is paused, and returns the size of the next chunk and the delay before it. ok is false
// if the connection has ended.
func (relay *TCPRelay) nextChunk(p *pair, d Direction, have int) (size int, pause time.Duration, ok bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for relay.paused[d] && !p.ended {
		relay.resumed.Wait()
	}
	if size = have; relay.maxChunk > 0 { // many small chunks, a few large ones
		size = min(have, 1+int(math.Exp(relay.rng.Float64()*math.Log(float64(relay.maxChunk)))))
		pause = time.Duration(relay.rng.IntN(100)) * time.Microsecond
	}
	if relay.rate > 0 {
		size = min(size, max(1, int(relay.rate/50)))
		pause += time.Duration(float64(size) / relay.rate * 1e9)
	}
	return size, pause, !p.ended
}

// SetMaxChunk splits the data into chunks of 1 to most bytes; 0: no splitting.
func (relay *TCPRelay) SetMaxChunk(most int) { relay.set(func() { relay.maxChunk = most }) }

// SetRate limits each connection and direction to a number of bytes per second; 0: no limit.
func (relay *TCPRelay) SetRate(rate float64) { relay.set(func() { relay.rate = rate }) }

// SetPaused pauses or resumes a direction.
func (relay *TCPRelay) SetPaused(d Direction, on bool) { relay.set(func() { relay.paused[d] = on }) }

// set changes a setting and wakes the connections that wait.
func (relay *TCPRelay) set(f func()) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	f()
	relay.resumed.Broadcast()
}

// BreakConnections resets all connections, even in the middle of a command or of a reply.
func (relay *TCPRelay) BreakConnections() {
	relay.mu.Lock()
	var list []*pair
	for p := range relay.pairs {
		list = append(list, p)
	}
	relay.mu.Unlock()
	for _, p := range list {
		relay.closePair(p)
	}
}

// Down resets all connections and stops listening.
func (relay *TCPRelay) Down() {
	relay.mu.Lock()
	if relay.listener != nil {
		relay.listener.Close()
		relay.listener = nil
	}
	relay.mu.Unlock()
	relay.BreakConnections()
}

// Close takes the relay down and waits for its goroutines.
func (relay *TCPRelay) Close() {
	relay.Down()
	relay.goroutines.Wait()
}
