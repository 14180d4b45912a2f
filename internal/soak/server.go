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

// behavior is how a server responds to commands.
type behavior int

const (
	healthy      behavior = iota
	unresponsive          // reads commands and answers none
	closing               // closes the connection on each command, without a reply
	busy                  // rejects commands with -BUSY
	slow
)

// server is one server behind the fleet. It has an address for each ingress, which identifies the sender of a command.
type server struct {
	name     string
	record   *Record
	backends []*standin.PlatformBackend
	start    time.Time

	mu       sync.Mutex
	behavior behavior
	rng      *rand.Rand
	closed   chan struct{} // closed with the server, which ends unanswered commands
}

// newServer starts a server with an address for each ingress.
func newServer(name string, ingresses int, seed uint64, r *Record) (*server, error) {
	s := &server{name: name, record: r, rng: rand.New(rand.NewPCG(seed, 3)), closed: make(chan struct{}), start: time.Now()}
	for n := range ingresses {
		b, err := standin.NewPlatformBackend(func(c net.Conn, q standin.ReceivedCommand) { s.serve(n, c, q) })
		if err != nil {
			s.close()
			return nil, err
		}
		s.backends = append(s.backends, b)
	}
	return s, nil
}

func (srv *server) close() {
	close(srv.closed)
	for _, b := range srv.backends {
		b.Close()
	}
}

func (srv *server) setBehavior(m behavior) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.behavior = m
}

// Service times.
const (
	meanServiceTime = 15 * time.Millisecond
	slowServiceTime = 300 * time.Millisecond
)

// serve records a command and answers it according to the server's behavior.
func (srv *server) serve(ingress int, c net.Conn, q standin.ReceivedCommand) {
	if len(q.Words) < 4 {
		_, _ = c.Write([]byte("-SYNTAX\r\n"))
		return
	}
	srv.mu.Lock()
	m, wait := srv.behavior, time.Duration(srv.rng.ExpFloat64()*float64(meanServiceTime))
	srv.mu.Unlock()
	a := Arrival{ID: q.Words[2], Ingress: ingress, Server: srv.name, At: time.Now(), Rejected: m == busy}
	for pair := range strings.SplitSeq(q.Words[3], ",") {
		if text, is := strings.CutPrefix(pair, "d="); is {
			ms, _ := strconv.ParseFloat(text, 64)
			a.WithinS = ms / 1000
		}
		if text, is := strings.CutPrefix(pair, "c="); is {
			a.Class = text
		}
	}
	srv.record.mu.Lock()
	srv.record.arrivals = append(srv.record.arrivals, a)
	srv.record.mu.Unlock()
	switch m {
	case unresponsive:
		<-srv.closed
		return
	case closing:
		c.Close()
		return
	case busy:
		_, _ = c.Write([]byte("-BUSY\r\n"))
		return
	case slow:
		wait = slowServiceTime
	}
	select {
	case <-time.After(wait):
		_, _ = c.Write(standin.ValueReply(q))
	case <-srv.closed:
	}
}

// host returns the server's entry in the list that one ingress receives.
func (srv *server) host(ingress int, health string) standin.PlatformHost {
	return standin.PlatformHost{Host: srv.name, Dial: srv.backends[ingress].Addr(), Site: "room-a", Health: health, Share: 1}
}

// portOf returns the port of an address. The address has to be valid.
func portOf(addr string) int {
	_, text, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(text)
	return n
}

func serverName(n int) string { return fmt.Sprintf("s-%03d", n) }
