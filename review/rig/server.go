package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// server is a stand-in of a server of the platform.
type server struct {
	rec    *record
	name   string
	addr   string
	oneWay time.Duration // of the network between it and the ingress

	work  func(words []string) time.Duration // how long a request takes; below 0: it is never answered
	extra func() time.Duration               // how long after a good answer a second copy of it follows; below 0: none does
	begun func(words []string, at time.Time) // called when a request begins
	value func(words []string) string        // the value of a request
	busy  float64                            // share of the requests that it turns away, as with a full queue

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	most   int // connections open at once
	copies int // second copies sent
}

// startServer serves requests on a loopback address until the program ends.
func startServer(s *server) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.addr, s.conns = l.Addr().String(), map[net.Conn]struct{}{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.most = max(s.most, len(s.conns))
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return nil
}

// serve carries out the requests of one connection. Each begins when its last byte has arrived, and they are answered in order.
func (s *server) serve(conn net.Conn) {
	type arrival struct {
		words []string
		at    time.Time
	}
	type job struct {
		words  []string
		doneAt time.Time
		never  bool
		busy   bool
	}
	type output struct {
		data []byte
		at   time.Time
	}
	arrivals, jobs, outputs := make(chan arrival, 1024), make(chan job, 1024), make(chan output, 1024)
	closed := make(chan struct{})
	var mu sync.Mutex
	waiting := 0
	go func() { // the network towards the ingress
		for out := range outputs {
			time.Sleep(time.Until(out.at.Add(s.oneWay)))
			conn.Write(out.data)
		}
	}()
	go func() { // the requests that have arrived, in order
		for a := range arrivals {
			time.Sleep(time.Until(a.at.Add(s.oneWay)))
			now := time.Now()
			busy, work := rand.Float64() < s.busy, time.Duration(0)
			if busy {
				s.rec.note(now, "server %s turned-away %s", s.name, a.words[2])
			} else {
				s.begun(a.words, now)
				work = s.work(a.words)
			}
			mu.Lock()
			waiting++
			mu.Unlock()
			jobs <- job{a.words, now.Add(work), work < 0, busy}
		}
		close(jobs)
	}()
	go func() { // the answers, in order
		for j := range jobs {
			if j.never {
				<-closed
				continue
			}
			select {
			case <-time.After(time.Until(j.doneAt)):
			case <-closed:
				continue
			}
			value := s.value(j.words)
			data := []byte(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value))
			if j.busy {
				data = []byte("-BUSY\r\n")
			}
			mu.Lock()
			waiting--
			mu.Unlock()
			send := func(data []byte) {
				select {
				case <-closed:
				default:
					outputs <- output{data, time.Now()}
				}
			}
			send(data)
			if s.extra == nil || j.busy {
				continue
			}
			if after := s.extra(); after >= 0 {
				time.AfterFunc(after, func() {
					mu.Lock()
					defer mu.Unlock()
					if waiting == 0 { // a second copy only when nothing else waits on the connection
						s.mu.Lock()
						s.copies++
						s.mu.Unlock()
						s.rec.note(time.Now(), "server %s second-copy %s", s.name, j.words[2])
						send(data)
					}
				})
			}
		}
	}()
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		words, err := readCommand(r)
		if err != nil {
			break
		}
		if len(words) < 4 {
			conn.Write([]byte("-ERR unknown command\r\n"))
			continue
		}
		arrivals <- arrival{words, time.Now()}
	}
	close(closed)
	close(arrivals)
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}
