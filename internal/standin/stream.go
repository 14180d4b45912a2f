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
	addr, to string
	work     sync.WaitGroup

	mu    sync.Mutex // covers all below
	free  *sync.Cond // a direction goes on, or a connection ends
	rng   *rand.Rand
	ln    net.Listener
	pairs map[*pair]struct{}
	most  int     // bytes of a piece, 0: as they come
	rate  float64 // bytes a second of one connection and direction, 0: not bounded
	held  [2]bool
}

// pair is one connection and its other half.
type pair struct {
	ends  [2]net.Conn // the one that connected, the server
	ended bool
}

// mostPiece is the most that one read takes.
const mostPiece = 64 << 10

// NewTCPRelay listens on an address for a server; port 0 takes a free one.
func NewTCPRelay(addr, to string, seed uint64) (*TCPRelay, error) {
	s := &TCPRelay{addr: addr, to: to, rng: rand.New(rand.NewPCG(seed, 5)), pairs: map[*pair]struct{}{}}
	s.free = sync.NewCond(&s.mu)
	return s, s.Up()
}

// Addr is the address that the stream listens on.
func (s *TCPRelay) Addr() string { return s.addr }

// Up listens, again after Down.
func (s *TCPRelay) Up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	s.ln, s.addr = ln, ln.Addr().String()
	s.work.Add(1)
	go s.accept(ln)
	return nil
}

func (s *TCPRelay) accept(ln net.Listener) {
	defer s.work.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		to, err := net.DialTimeout("tcp", s.to, time.Second)
		if err != nil {
			reset(c)
			continue
		}
		p := &pair{ends: [2]net.Conn{c, to}}
		s.mu.Lock()
		if s.ln != ln { // taken down meanwhile
			s.mu.Unlock()
			s.end(p)
			continue
		}
		s.pairs[p] = struct{}{}
		s.work.Add(2)
		s.mu.Unlock()
		go s.carry(p, ToServer)
		go s.carry(p, ToClient)
	}
}

// end breaks both halves.
func (s *TCPRelay) end(p *pair) {
	s.mu.Lock()
	delete(s.pairs, p)
	p.ended = true
	s.free.Broadcast()
	s.mu.Unlock()
	reset(p.ends[0])
	reset(p.ends[1])
}

func (s *TCPRelay) carry(p *pair, d Direction) {
	defer s.work.Done()
	defer s.end(p)
	from, to := p.ends[d], p.ends[1-d]
	buf := make([]byte, mostPiece)
	for {
		n, err := from.Read(buf[:s.chunk()])
		if err != nil {
			return
		}
		for rest := buf[:n]; len(rest) > 0; {
			size, pause, ok := s.next(p, d, len(rest))
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

// chunk is how much is read at once: little where it trickles, so that the sender feels it.
func (s *TCPRelay) chunk() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate > 0 {
		return min(mostPiece, max(1, int(s.rate/50)))
	}
	return mostPiece
}

// next waits while the direction is held and draws the next piece.
func (s *TCPRelay) next(p *pair, d Direction, have int) (size int, pause time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held[d] && !p.ended {
		s.free.Wait()
	}
	if size = have; s.most > 0 { // many small ones, a few large
		size = min(have, 1+int(math.Exp(s.rng.Float64()*math.Log(float64(s.most)))))
		pause = time.Duration(s.rng.IntN(100)) * time.Microsecond
	}
	if s.rate > 0 {
		size = min(size, max(1, int(s.rate/50)))
		pause += time.Duration(float64(size) / s.rate * 1e9)
	}
	return size, pause, !p.ended
}

// SetMaxChunk cuts what passes into pieces of 1 to most bytes, 0: as they come.
func (s *TCPRelay) SetMaxChunk(most int) { s.set(func() { s.most = most }) }

// SetRate lets so many bytes a second pass on each connection and direction, 0: all.
func (s *TCPRelay) SetRate(rate float64) { s.set(func() { s.rate = rate }) }

// SetPaused stops a direction, or lets it go on.
func (s *TCPRelay) SetPaused(d Direction, on bool) { s.set(func() { s.held[d] = on }) }

func (s *TCPRelay) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.free.Broadcast()
}

// BreakConnections breaks all connections, wherever in a command or a reply they are.
func (s *TCPRelay) BreakConnections() {
	s.mu.Lock()
	var list []*pair
	for p := range s.pairs {
		list = append(list, p)
	}
	s.mu.Unlock()
	for _, p := range list {
		s.end(p)
	}
}

// Down breaks all connections and takes none.
func (s *TCPRelay) Down() {
	s.mu.Lock()
	if s.ln != nil {
		s.ln.Close()
		s.ln = nil
	}
	s.mu.Unlock()
	s.BreakConnections()
}

// Close takes the stream down and waits for its goroutines.
func (s *TCPRelay) Close() {
	s.Down()
	s.work.Wait()
}
