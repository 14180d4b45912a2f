package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is one way through a Stream.
type Direction int

// The directions.
const (
	ToServer Direction = iota // from the one that connected
	ToClient                  // to it
)

// TCPRelay stands in front of a TCP server and carries its connections, as a network may: in pieces, slowly, with
// a direction that stops for a while, or broken in the middle of a command or of a reply.
type TCPRelay struct {
	addr, target string
	goroutines   sync.WaitGroup

	mu       sync.Mutex // covers all below
	resumed  *sync.Cond // a direction goes on, or a connection ends
	rng      *rand.Rand
	listener net.Listener
	pairs    map[*pair]struct{}
	maxChunk int     // bytes of a piece, 0: as they come
	rate     float64 // bytes a second of one connection and direction, 0: not bounded
	paused   [2]bool
}

// pair is one connection and its other half.
type pair struct {
	ends  [2]net.Conn // the one that connected, the server
	ended bool
}

// maxReadBytes is the most that one read takes.
const maxReadBytes = 64 << 10

// NewTCPRelay listens on an address for a server; port 0 takes a free one.
func NewTCPRelay(addr, to string, seed uint64) (*TCPRelay, error) {
	s := &TCPRelay{addr: addr, target: to, rng: rand.New(rand.NewPCG(seed, 5)), pairs: map[*pair]struct{}{}}
	s.resumed = sync.NewCond(&s.mu)
	return s, s.Up()
}

// Addr is the address that the stream listens on.
func (relay *TCPRelay) Addr() string { return relay.addr }

// Up listens, again after Down.
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
		if relay.listener != ln { // taken down meanwhile
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

// closePair breaks both halves.
func (relay *TCPRelay) closePair(p *pair) {
	relay.mu.Lock()
	delete(relay.pairs, p)
	p.ended = true
	relay.resumed.Broadcast()
	relay.mu.Unlock()
	closeWithReset(p.ends[0])
	closeWithReset(p.ends[1])
}

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

// readSize is how much is read at once: little where it trickles, so that the sender feels it.
func (relay *TCPRelay) readSize() int {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	if relay.rate > 0 {
		return min(maxReadBytes, max(1, int(relay.rate/50)))
	}
	return maxReadBytes
}

// nextChunk waits while the direction is held and draws the next piece.
func (relay *TCPRelay) nextChunk(p *pair, d Direction, have int) (size int, pause time.Duration, ok bool) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	for relay.paused[d] && !p.ended {
		relay.resumed.Wait()
	}
	if size = have; relay.maxChunk > 0 { // many small ones, a few large
		size = min(have, 1+int(math.Exp(relay.rng.Float64()*math.Log(float64(relay.maxChunk)))))
		pause = time.Duration(relay.rng.IntN(100)) * time.Microsecond
	}
	if relay.rate > 0 {
		size = min(size, max(1, int(relay.rate/50)))
		pause += time.Duration(float64(size) / relay.rate * 1e9)
	}
	return size, pause, !p.ended
}

// SetMaxChunk cuts what passes into pieces of 1 to most bytes, 0: as they come.
func (relay *TCPRelay) SetMaxChunk(most int) { relay.set(func() { relay.maxChunk = most }) }

// SetRate lets so many bytes a second pass on each connection and direction, 0: all.
func (relay *TCPRelay) SetRate(rate float64) { relay.set(func() { relay.rate = rate }) }

// SetPaused stops a direction, or lets it go on.
func (relay *TCPRelay) SetPaused(d Direction, on bool) { relay.set(func() { relay.paused[d] = on }) }

func (relay *TCPRelay) set(f func()) {
	relay.mu.Lock()
	defer relay.mu.Unlock()
	f()
	relay.resumed.Broadcast()
}

// BreakConnections breaks all connections, wherever in a command or a reply they are.
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

// Down breaks all connections and takes none.
func (relay *TCPRelay) Down() {
	relay.mu.Lock()
	if relay.listener != nil {
		relay.listener.Close()
		relay.listener = nil
	}
	relay.mu.Unlock()
	relay.BreakConnections()
}

// Close takes the stream down and waits for its goroutines.
func (relay *TCPRelay) Close() {
	relay.Down()
	relay.goroutines.Wait()
}
