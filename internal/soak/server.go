package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"cometpond/internal/standin"
)

// mood is how a server behaves.
type mood int

const (
	well   mood = iota
	hangs       // takes commands and answers none
	resets      // closes connections under commands, with no answer
	busy        // turns commands away
	slow
)

// server is one server of the fleet: an address for each ingress, so that it is known who sent what.
type server struct {
	name   string
	record *Record
	at     []*standin.PlatformBackend
	start  time.Time

	mu   sync.Mutex
	mood mood
	rng  *rand.Rand
	gone chan struct{} // closed with the server: what hangs ends
}

func newServer(name string, ingresses int, seed uint64, r *Record) (*server, error) {
	s := &server{name: name, record: r, rng: rand.New(rand.NewPCG(seed, 3)), gone: make(chan struct{}), start: time.Now()}
	for n := range ingresses {
		b, err := standin.NewPlatformBackend(func(c net.Conn, q standin.ReceivedCommand) { s.serve(n, c, q) })
		if err != nil {
			s.close()
			return nil, err
		}
		s.at = append(s.at, b)
	}
	return s, nil
}

func (s *server) close() {
	close(s.gone)
	for _, b := range s.at {
		b.Close()
	}
}

func (s *server) set(m mood) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mood = m
}

// Times of service.
const (
	serviceMean = 15 * time.Millisecond
	serviceSlow = 300 * time.Millisecond
)

func (s *server) serve(ingress int, c net.Conn, q standin.ReceivedCommand) {
	if len(q.Words) < 4 {
		_, _ = c.Write([]byte("-SYNTAX\r\n"))
		return
	}
	s.mu.Lock()
	m, wait := s.mood, time.Duration(s.rng.ExpFloat64()*float64(serviceMean))
	s.mu.Unlock()
	a := Arrival{ID: q.Words[2], Ingress: ingress, Server: s.name, At: time.Now(), Turned: m == busy}
	for pair := range strings.SplitSeq(q.Words[3], ",") {
		if text, is := strings.CutPrefix(pair, "d="); is {
			ms, _ := strconv.ParseFloat(text, 64)
			a.WithinS = ms / 1000
		}
		if text, is := strings.CutPrefix(pair, "c="); is {
			a.Class = text
		}
	}
	s.record.mu.Lock()
	s.record.arrivals = append(s.record.arrivals, a)
	s.record.mu.Unlock()
	switch m {
	case hangs:
		<-s.gone
		return
	case resets:
		c.Close()
		return
	case busy:
		_, _ = c.Write([]byte("-BUSY\r\n"))
		return
	case slow:
		wait = serviceSlow
	}
	select {
	case <-time.After(wait):
		_, _ = c.Write(standin.ValueReply(q))
	case <-s.gone:
	}
}

// host is the server's entry in the list that one ingress gets.
func (s *server) host(ingress int, health string) standin.PlatformHost {
	return standin.PlatformHost{Host: s.name, Dial: s.at[ingress].Addr(), Site: "room-a", Health: health, Share: 1}
}

// portOf is the port of an address that this package has made.
func portOf(addr string) int {
	_, text, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(text)
	return n
}

func serverName(n int) string { return fmt.Sprintf("s-%03d", n) }
