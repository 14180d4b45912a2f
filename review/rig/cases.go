package main

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// between returns a random duration.
func between(low, high time.Duration) time.Duration {
	return low + time.Duration(rand.Int64N(int64(high-low)+1))
}

// value is the value that a server makes for a request: it names the request.
func value(words []string) string { return "value-of-" + words[2] }

// startServers starts n servers and returns their entries of the list.
func startServers(st *stage, n int, make func(i int) *server) ([]*server, []host, error) {
	var servers []*server
	var hosts []host
	for i := range n {
		s := make(i)
		s.rec, s.name = st.rec, fmt.Sprintf("s-%08x", 0x5be20000+i)
		if s.value == nil {
			s.value = value
		}
		name, begun := s.name, s.begun
		s.begun = func(words []string, at time.Time) {
			st.rec.note(at, "server %s run %s d=%s", name, words[2], field(words[3], "d"))
			if begun != nil {
				begun(words, at)
			}
		}
		if err := startServer(s); err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		hosts = append(hosts, host{Host: s.name, Dial: s.addr, Site: "room-a", Class: "std", Block: 1 + i/4, Health: "SERVING", Share: 1})
	}
	return servers, hosts, nil
}

// foreign: servers send second copies of some good answers. Nobody may be served with a value that was made for another
// request, nothing may count as served that never ran, and a request that must not be repeated may not run twice.
func foreign(st *stage) (int, error) {
	const sockets, rate = 256, 140
	var mu sync.Mutex
	runs := map[string]int{}
	servers, hosts, err := startServers(st, 12, func(int) *server {
		s := &server{oneWay: 700 * time.Microsecond, busy: 0.15,
			work: func([]string) time.Duration { return between(200*time.Millisecond, 600*time.Millisecond) },
			begun: func(words []string, _ time.Time) {
				mu.Lock()
				defer mu.Unlock()
				runs[words[2]]++
			}}
		if st.trouble {
			s.extra = func() time.Duration {
				if rand.Float64() < 0.1 {
					return between(time.Millisecond, 4*time.Millisecond)
				}
				return -1
			}
		}
		return s
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"order", 1.5, 4, "fragile"}},
		memoryMB: 64, sockets: sockets, stopSendingWithinS: 2, parallelTries: true, known: hosts})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	served := map[string]string{}
	foreign, refused := 0, 0
	f := &front{rec: st.rec, addr: in.listen, most: sockets / 3}
	f.load(rate, time.Now().Add(30*time.Second), func() *request {
		return &request{verb: "SVC.SUBMIT", id: newID(), customer: newCustomer(), class: "order", waitMS: 4000}
	}, time.Second, func(q *request) {
		mu.Lock()
		defer mu.Unlock()
		if !q.answer.served {
			refused++
			return
		}
		if served[q.id] = q.answer.text; q.answer.text != value(q.words()) {
			if foreign++; foreign == 1 {
				st.rec.say("BROKEN: request %s was served with %q", q.id, q.answer.text)
			}
		}
	})
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	neverRan, twice := 0, 0
	for id := range served {
		if runs[id] == 0 {
			if neverRan++; neverRan == 1 {
				st.rec.say("BROKEN: request %s was served and never ran", id)
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			if twice++; twice == 1 {
				st.rec.say("BROKEN: request %s, which must not be repeated, ran %d times", id, n)
			}
		}
	}
	most, copies := 0, 0
	for _, s := range servers {
		s.mu.Lock()
		most, copies = max(most, s.most), copies+s.copies
		s.mu.Unlock()
	}
	st.rec.say("served %d, refused or failed %d; second copies %d; connections to one server %d at most", len(served), refused, copies, most)
	st.rec.say("served with another's value %d, served and never ran %d, ran twice %d", foreign, neverRan, twice)
	if foreign+neverRan+twice > 0 {
		return broken, nil
	}
	return held, nil
}

// memory: a few clients send hundreds of commands at once. The ingress has to stay under its memory.
func memory(st *stage) (int, error) {
	const sockets, memoryMB = 256, 48
	_, hosts, err := startServers(st, 12, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(80*time.Millisecond, 320*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: memoryMB, sockets: sockets, stopSendingWithinS: 2, parallelTries: true, known: hosts})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	most := 0
	ended := make(chan struct{})
	go func() {
		tick := time.NewTicker(5 * time.Millisecond)
		defer tick.Stop()
		for range tick.C {
			select {
			case <-ended:
				return
			default:
			}
			if kb := in.memoryKB("RssAnon:"); kb > most+256 {
				most = kb
				st.rec.note(time.Now(), "platform sees %d kB of memory, %d kB with files", kb, in.memoryKB("VmRSS:"))
			}
		}
	}()
	stop := time.Now().Add(8 * time.Second)
	if st.trouble {
		body := strings.Repeat("x", 60<<10)
		for range 4 {
			go func() {
				time.Sleep(3 * time.Second)
				conn, err := net.Dial("tcp", in.listen)
				if err != nil {
					return
				}
				defer conn.Close()
				go func() {
					r := bufio.NewReader(conn)
					for {
						if _, err := readAnswer(r); err != nil {
							return
						}
					}
				}()
				for range 300 {
					q := &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500, body: body}
					if _, err := conn.Write(command(q.words()...)); err != nil {
						st.rec.note(time.Now(), "bad client: %v", err)
						return
					}
				}
				st.rec.note(time.Now(), "bad client has sent 300 commands")
				time.Sleep(3 * time.Second)
			}()
		}
	}
	f := &front{rec: st.rec, addr: in.listen, most: sockets / 3}
	f.load(50, stop, func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500}
	}, time.Second, func(*request) {})
	close(ended)
	st.rec.say("memory at most %d kB (without files) of %d kB allowed", most, memoryMB<<10)
	if most > memoryMB<<10 {
		st.rec.say("BROKEN: the platform kills the ingress")
	}
	if most > memoryMB<<10 {
		return broken, nil
	}
	return held, nil
}

// late is how long after its time a request may still get its final answer.
const late = 500*time.Millisecond + 50*time.Millisecond

// withheld: a client sends hundreds of commands at once, and half of the servers leave one class unanswered.
func withheld(st *stage) (int, error) {
	const sockets, commands, firstOrder, orders = 256, 300, 40, 8
	_, hosts, err := startServers(st, 4, func(i int) *server {
		return &server{work: func(words []string) time.Duration {
			if st.trouble && i%2 == 0 && field(words[3], "c") == "order" {
				return -1
			}
			return between(10*time.Millisecond, 20*time.Millisecond)
		}}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{
		classes:  []class{{"lookup", 1, 2.5, "retryable"}, {"order", 4, 6, "fragile"}},
		memoryMB: 64, sockets: sockets, stopSendingWithinS: 2, parallelTries: true, known: hosts})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", in.listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	var all []byte
	var requests []*request
	for i := range commands {
		q := &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 1000}
		if i >= firstOrder && i < firstOrder+orders {
			q = &request{verb: "SVC.SUBMIT", id: newID(), customer: newCustomer(), class: "order", waitMS: 6000}
		}
		q.body = strings.Repeat("x", 500)
		requests = append(requests, q)
		all = append(all, command(q.words()...)...)
	}
	if _, err := conn.Write(all); err != nil {
		return 0, err
	}
	sentAt := time.Now()
	st.rec.say("client sent %d commands at once, %d bytes", len(requests), len(all))
	for i, q := range requests {
		st.rec.note(sentAt, "client sent %d %s c=%s d=%d", i, q.id, q.class, q.waitMS)
	}
	r := bufio.NewReader(conn)
	counts := map[string]int{}
	result := held
	for i, q := range requests {
		conn.SetReadDeadline(time.Now().Add(15 * time.Second))
		a, err := readAnswer(r)
		at := time.Now()
		if err != nil {
			st.rec.say("no answer to command %d: %v", i, err)
			break
		}
		counts[kindOf(a)]++
		st.rec.note(at, "client answered %d %s %s", i, q.id, a.text[:min(len(a.text), 60)])
		// The first command waits for no answer before its own, so that no excuse applies to it.
		if wait := time.Duration(q.waitMS) * time.Millisecond; i == 0 && at.Sub(sentAt) > wait+late {
			st.rec.say("BROKEN: command 0 waits %d ms and had its answer %.0f ms after it was sent", q.waitMS, at.Sub(sentAt).Seconds()*1000)
			result = broken
		}
	}
	st.rec.say("answers by kind: %v", counts)
	return result, nil
}

// slowDiscovery: discovery answers each call a little late. The ingress starts with an old list; a server on it drains.
func slowDiscovery(st *stage) (int, error) {
	const sockets, grace = 256, 250 * time.Millisecond
	var drainingRuns atomic.Int64
	_, hosts, err := startServers(st, 6, func(i int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	old := append([]host{}, hosts...)
	hosts[0].Health = "DRAINING"
	delay := time.Duration(0)
	if st.trouble {
		delay = 300 * time.Millisecond
	}
	disco, err := startDiscovery(st.rec, 43, hosts, delay)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: 64, sockets: sockets, stopSendingWithinS: grace.Seconds(), parallelTries: true, known: old})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	started := time.Now()
	f := &front{rec: st.rec, addr: in.listen, most: sockets / 3}
	f.load(60, started.Add(10*time.Second), func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500}
	}, time.Second, func(*request) {})
	st.rec.say("runs %d", drainingRuns.Load())
	last := 0.0
	n := 0
	bound := st.rec.ms(started) + 6000 + grace.Seconds()*1000 + 50
	for _, line := range st.rec.lines {
		var at float64
		var name, id string
		if k, _ := fmt.Sscanf(line, "%f server %s run %s", &at, &name, &id); k == 3 && name == hosts[0].Host {
			last = math.Max(last, at)
			if at > bound {
				n++
			}
		}
	}
	st.rec.say("last request to the draining server at %.0f ms, bound %.0f ms, later than that %d", last, bound, n)
	if n > 0 {
		return broken, nil
	}
	return held, nil
}

// starve: clients stop in the middle of long requests and stay; another client sends a long request.
func starve(st *stage) (int, error) {
	const sockets, memoryMB, badClients = 256, 32, 60
	var begunMu sync.Mutex
	begun := map[string]time.Time{}
	_, hosts, err := startServers(st, 4, func(i int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) },
			begun: func(words []string, at time.Time) {
				begunMu.Lock()
				defer begunMu.Unlock()
				begun[words[2]] = at
			}}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"lookup", 0.5, 1.2, "retryable"}},
		memoryMB: memoryMB, sockets: sockets, stopSendingWithinS: 2, parallelTries: true, known: hosts})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	body := strings.Repeat("x", 50<<10)
	if st.trouble {
		for range badClients {
			conn, err := net.Dial("tcp", in.listen)
			if err != nil {
				return 0, err
			}
			defer conn.Close()
			q := &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500, body: body}
			whole := command(q.words()...)
			conn.Write(whole[:len(whole)/8])
		}
		st.rec.say("%d clients have stopped in the middle of a request", badClients)
	}
	time.Sleep(100 * time.Millisecond)
	var mu sync.Mutex
	inTime, tooLate, beganLate := 0, 0, 0
	f := &front{rec: st.rec, addr: in.listen, most: sockets / 3}
	f.load(20, time.Now().Add(1500*time.Millisecond), func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 600 + rand.IntN(601), body: body}
	}, 3*time.Second, func(q *request) {
		mu.Lock()
		defer mu.Unlock()
		wait := time.Duration(q.waitMS) * time.Millisecond
		begunMu.Lock()
		at, began := begun[q.id]
		begunMu.Unlock()
		if began && at.Sub(q.sentAt) > wait {
			beganLate++
		}
		if q.err == nil && q.answeredAt.Sub(q.sentAt) <= wait+late {
			inTime++
			return
		}
		if tooLate++; tooLate == 1 {
			st.rec.say("BROKEN: request %s waits %d ms and had its answer after %.0f ms (%v)", q.id, q.waitMS,
				q.answeredAt.Sub(q.sentAt).Seconds()*1000, q.err)
		}
	})
	st.rec.say("answered in time %d, later or not %d; begun at a server after the client's time was over %d", inTime, tooLate, beganLate)
	if tooLate > 0 {
		return broken, nil
	}
	return held, nil
}

// gone: a client sends hundreds of long commands at once and goes.
func gone(st *stage) (int, error) {
	const sockets = 256
	var mu sync.Mutex
	var closedAt time.Time
	later, before := 0, 0
	mine := map[string]bool{}
	_, hosts, err := startServers(st, 4, func(i int) *server {
		return &server{work: func([]string) time.Duration { return between(80*time.Millisecond, 320*time.Millisecond) },
			begun: func(words []string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				if !mine[words[2]] {
					return
				}
				if !closedAt.IsZero() && at.Sub(closedAt) > 150*time.Millisecond {
					later++
					if later == 1 {
						st.rec.say("BROKEN: request %s began %.0f ms after its client had closed", words[2], at.Sub(closedAt).Seconds()*1000)
					}
				} else {
					before++
				}
			}}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: 192, sockets: sockets, stopSendingWithinS: 2, parallelTries: true, known: hosts})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	conn, err := net.Dial("tcp", in.listen)
	if err != nil {
		return 0, err
	}
	count, size := 600, 60<<10
	if !st.trouble {
		count = 20
	}
	body := strings.Repeat("x", size)
	conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	sent := 0
	for range count {
		q := &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500, body: body}
		mu.Lock()
		mine[q.id] = true
		mu.Unlock()
		if _, err := conn.Write(command(q.words()...)); err != nil {
			break
		}
		sent++
	}
	conn.Close()
	mu.Lock()
	closedAt = time.Now()
	mu.Unlock()
	st.rec.say("client has sent %d commands and closed", sent)
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	st.rec.say("begun before or within 0.15 s %d, later %d", before, later)
	if later > 0 {
		return broken, nil
	}
	return held, nil
}

// kindOf names an answer in a summary.
func kindOf(a answer) string {
	switch {
	case a.served:
		return "served"
	case strings.HasPrefix(a.text, "-BUSY"):
		return "refused"
	}
	return "failed"
}
