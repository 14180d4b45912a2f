package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The plays of this file try entries of the list of open issues.

// name64 is the hash by which gateways name a customer to one another.
func name64(name string) uint64 {
	x := uint64(14695981039346656037)
	for i := range len(name) {
		x = (x ^ uint64(name[i])) * 1099511628211
	}
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// collide: two customers of different plans share 32 bits of their hash. The ceiling of the second has to hold.
func collide(st *stage) (int, error) {
	const rate, burst, slack = 10.0, 20.0, 4.0
	var first, second string
	for seen := map[uint32]string{}; second == ""; {
		customer := newCustomer()
		key := uint32(name64(customer) >> 32)
		if other := seen[key]; other != "" && other != customer {
			first, second = other, customer
		}
		seen[key] = customer
	}
	if !st.trouble {
		first = newCustomer()
	}
	var mu sync.Mutex
	store, lowest, units := burst, burst, 0.0
	var last time.Time
	_, hosts, err := startServers(st, 4, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) },
			begun: func(words []string, at time.Time) {
				mu.Lock()
				defer mu.Unlock()
				if words[1] != second {
					return
				}
				if !last.IsZero() {
					store = min(burst, store+rate*at.Sub(last).Seconds())
				}
				last = at
				store--
				units++
				lowest = min(lowest, store)
			}}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"order", 1, 2.5, "fragile"}},
		memoryMB: 64, sockets: 256, stopSendingWithinS: 2, parallelTries: true, known: hosts,
		plans: []map[string]any{plan("basic", 0, 0, 0, 0, 0), plan("premium", 5, 10, rate, burst, slack)}})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	f := &front{rec: st.rec, addr: in.listen, most: 80}
	f.do(&request{verb: "SVC.SUBMIT", id: newID(), customer: first, class: "order", waitMS: 2500}, time.Second)
	f.load(60, time.Now().Add(6*time.Second), func() *request {
		return &request{verb: "SVC.SUBMIT", id: newID(), customer: second, class: "order", plan: "premium", waitMS: 2500}
	}, time.Second, func(*request) {})
	mu.Lock()
	defer mu.Unlock()
	bound := -slack - rate*0.15
	st.rec.say("customers %s and %s; units sent on %.0f; store of the ceiling at least %.1f, allowed %.1f", first, second, units, lowest, bound)
	if lowest < bound {
		return broken, nil
	}
	return held, nil
}

// twoProcesses: a second ingress is started at the address of a running one. It has to end with an error.
func twoProcesses(st *stage) (int, error) {
	_, hosts, err := startServers(st, 4, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	d := deployment{classes: []class{{"order", 1, 2.5, "fragile"}}, memoryMB: 64, sockets: 256, stopSendingWithinS: 2, parallelTries: true, known: hosts}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, d)
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	d.listen = in.listen
	second, err := startIngress(st.rec, st.repo, st.dir, disco.addr, d)
	if err != nil {
		return 0, err
	}
	defer second.stop()
	select {
	case <-second.done:
		st.rec.say("the second process has ended with %v", second.cmd.ProcessState)
		return held, nil
	case <-time.After(10 * time.Second):
		st.rec.say("BROKEN: the second process still runs")
		return broken, nil
	}
}

// sameID: a client sends the id of another client's open request to another ingress.
func sameID(st *stage) (int, error) {
	var runs atomic.Int64
	_, hosts, err := startServers(st, 4, func(int) *server {
		return &server{work: func([]string) time.Duration { return time.Second }, begun: func([]string, time.Time) { runs.Add(1) }}
	})
	if err != nil {
		return 0, err
	}
	disco, err := startDiscovery(st.rec, 41, hosts, 0)
	if err != nil {
		return 0, err
	}
	d := deployment{classes: []class{{"order", 1.5, 2.5, "fragile"}}, memoryMB: 64, sockets: 256, stopSendingWithinS: 2, parallelTries: true, known: hosts}
	var fronts []*front
	for range 2 {
		in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, d)
		if err != nil {
			return 0, err
		}
		defer in.stop()
		if err := in.awaitReady(); err != nil {
			return 0, err
		}
		fronts = append(fronts, &front{rec: st.rec, addr: in.listen, most: 80})
	}
	id := newID()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		fronts[0].do(&request{verb: "SVC.SUBMIT", id: id, customer: newCustomer(), class: "order", waitMS: 2500}, time.Second)
	}()
	time.Sleep(200 * time.Millisecond)
	other := id
	if !st.trouble {
		other = newID()
	}
	q := &request{verb: "SVC.SUBMIT", id: other, customer: newCustomer(), class: "order", waitMS: 2500}
	fronts[1].do(q, time.Second)
	both.Wait()
	st.rec.say("runs %d, the second client's answer: %q", runs.Load(), q.answer.text)
	if st.trouble && q.answer.served {
		st.rec.say("BROKEN: served as though its request had run")
		return broken, nil
	}
	return held, nil
}

// moveDiscovery writes a configuration with another address of discovery and sends SIGHUP.
func (in *ingress) moveDiscovery(from, to string) error {
	text, err := os.ReadFile(in.config)
	if err != nil {
		return err
	}
	text = bytes.ReplaceAll(text, []byte(from), []byte(to))
	if err := os.WriteFile(in.config+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(in.config+".new", in.config); err != nil {
		return err
	}
	in.rec.say("new configuration, SIGHUP")
	return in.cmd.Process.Signal(syscall.SIGHUP)
}

// olderList: after a drain was told, discovery moves to a place that hears the changes some seconds later. It answers watches with
// whole lists.
func olderList(st *stage) (int, error) {
	const grace = 250 * time.Millisecond
	_, hosts, err := startServers(st, 6, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	draining := hosts[0].Host
	v41 := append([]host{}, hosts...)
	v42 := append([]host{}, hosts...)
	v42[1].Health = "DRAINING"
	v43 := append([]host{}, v42...)
	v43[0].Health = "DRAINING"
	ahead, err := startDiscovery(st.rec, 43, v43, 0)
	if err != nil {
		return 0, err
	}
	lagging, err := startDiscovery(st.rec, 41, v41, 0)
	if err != nil {
		return 0, err
	}
	if !st.trouble {
		lagging = ahead
	}
	in, err := startIngress(st.rec, st.repo, st.dir, ahead.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: 64, sockets: 256, stopSendingWithinS: grace.Seconds(), parallelTries: true, known: v41})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	f := &front{rec: st.rec, addr: in.listen, most: 80}
	go func() {
		time.Sleep(2 * time.Second)
		in.moveDiscovery(ahead.addr, lagging.addr)
		if !st.trouble {
			return
		}
		time.Sleep(1500 * time.Millisecond)
		lagging.set(42, v42, false)
		time.Sleep(2500 * time.Millisecond)
		lagging.set(43, v43, false)
	}()
	f.load(60, time.Now().Add(7*time.Second), func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500}
	}, time.Second, func(*request) {})
	n, last := st.lateRuns(draining, 2000)
	st.rec.say("requests to the draining server later than 2 s after it was told %d, the last at %.0f ms", n, last)
	if n > 0 {
		return broken, nil
	}
	return held, nil
}

// lateRuns counts the requests that a server began after a time of the record.
func (st *stage) lateRuns(name string, after float64) (n int, last float64) {
	st.rec.mu.Lock()
	defer st.rec.mu.Unlock()
	for _, line := range st.rec.lines {
		var at float64
		var server, id string
		if k, _ := fmt.Sscanf(line, "%f server %s run %s", &at, &server, &id); k == 3 && server == name && at > after {
			n, last = n+1, max(last, at)
		}
	}
	return n, last
}

// hangingDiscovery: after SIGHUP, connections to the new discovery hang while they are opened, for 3 s.
func hangingDiscovery(st *stage) (int, error) {
	const grace = 250 * time.Millisecond
	_, hosts, err := startServers(st, 6, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	old := append([]host{}, hosts...)
	before, err := startDiscovery(st.rec, 41, old, 0)
	if err != nil {
		return 0, err
	}
	drained := append([]host{}, hosts...)
	drained[0].Health = "DRAINING"
	after, err := startDiscovery(st.rec, 42, drained, 0)
	if err != nil {
		return 0, err
	}
	// A listener with the shortest queue, which is full: further connections hang while they are opened.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return 0, err
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return 0, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	hanging := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	var held2 []net.Conn
	for range 3 {
		if conn, err := net.DialTimeout("tcp", hanging, 200*time.Millisecond); err == nil {
			held2 = append(held2, conn)
		}
	}
	st.rec.say("connections that fill the queue: %d", len(held2))
	in, err := startIngress(st.rec, st.repo, st.dir, before.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: 64, sockets: 256, stopSendingWithinS: grace.Seconds(), parallelTries: true, known: old})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	var opened atomic.Int64
	f := &front{rec: st.rec, addr: in.listen, most: 80}
	go func() {
		time.Sleep(1500 * time.Millisecond)
		target := after.addr
		if st.trouble {
			target = hanging
		}
		in.moveDiscovery(before.addr, target)
		if !st.trouble {
			opened.Store(time.Now().UnixMicro())
			return
		}
		time.Sleep(3 * time.Second)
		opened.Store(time.Now().UnixMicro())
		st.rec.say("connections are accepted again")
		for { // from here on a relay to the discovery that works
			nfd, _, err := syscall.Accept(fd)
			if err != nil {
				return
			}
			file := os.NewFile(uintptr(nfd), "")
			conn, err := net.FileConn(file)
			file.Close()
			if err != nil {
				continue
			}
			go func() {
				up, err := net.Dial("tcp", after.addr)
				if err != nil {
					conn.Close()
					return
				}
				go func() { up.(*net.TCPConn).ReadFrom(conn); up.Close() }()
				conn.(*net.TCPConn).ReadFrom(up)
				conn.Close()
			}()
		}
	}()
	f.load(60, time.Now().Add(12*time.Second), func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500}
	}, time.Second, func(*request) {})
	could := st.rec.ms(time.UnixMicro(opened.Load()))
	bound := could + 6000 + grace.Seconds()*1000 + 50
	n, _ := st.lateRuns(hosts[0].Host, bound)
	_, last := st.lateRuns(hosts[0].Host, 0)
	st.rec.say("discovery could be reached at %.0f ms; last request to the draining server at %.0f ms; later than %.0f ms: %d", could, last, bound, n)
	if n > 0 {
		return broken, nil
	}
	return held, nil
}

// crowd: idle clients fill the descriptors while discovery is silent; a server has begun to drain when it is back.
func crowd(st *stage) (int, error) {
	const sockets, grace = 256, 250 * time.Millisecond
	_, hosts, err := startServers(st, 6, func(int) *server {
		return &server{work: func([]string) time.Duration { return between(20*time.Millisecond, 60*time.Millisecond) }}
	})
	if err != nil {
		return 0, err
	}
	old := append([]host{}, hosts...)
	drained := append([]host{}, hosts...)
	drained[0].Health = "DRAINING"
	disco, err := startDiscovery(st.rec, 41, old, 0)
	if err != nil {
		return 0, err
	}
	in, err := startIngress(st.rec, st.repo, st.dir, disco.addr, deployment{classes: []class{{"lookup", 1, 2.5, "retryable"}},
		memoryMB: 64, sockets: sockets, stopSendingWithinS: grace.Seconds(), parallelTries: true, known: old, descriptors: sockets})
	if err != nil {
		return 0, err
	}
	defer in.stop()
	if err := in.awaitReady(); err != nil {
		return 0, err
	}
	stop := time.Now().Add(11 * time.Second)
	var opened atomic.Int64
	if st.trouble {
		for range 300 {
			go func() {
				for time.Now().Before(stop) {
					conn, err := net.DialTimeout("tcp", in.listen, time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					opened.Add(1)
					conn.SetReadDeadline(stop)
					conn.Read(make([]byte, 256))
					conn.Close()
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	go func() {
		time.Sleep(time.Second)
		disco.set(41, old, true)
		time.Sleep(4 * time.Second)
		disco.set(42, drained, false)
		st.rec.say("discovery is back, a server drains")
	}()
	back := st.rec.ms(time.Now()) + 5000
	var answered, none atomic.Int64
	f := &front{rec: st.rec, addr: in.listen, most: sockets / 3}
	f.load(60, stop, func() *request {
		return &request{verb: "SVC.QUERY", id: newID(), customer: newCustomer(), class: "lookup", waitMS: 2500}
	}, time.Second, func(q *request) {
		if q.err != nil {
			none.Add(1)
		} else {
			answered.Add(1)
		}
	})
	n, _ := st.lateRuns(hosts[0].Host, back+6000+grace.Seconds()*1000+50)
	_, last := st.lateRuns(hosts[0].Host, 0)
	st.rec.say("idle connections opened %d; usual requests answered %d, not answered %d", opened.Load(), answered.Load(), none.Load())
	st.rec.say("discovery was back at %.0f ms; last request to the draining server at %.0f ms; beyond the bound: %d", back, last, n)
	if n > 0 {
		return broken, nil
	}
	return held, nil
}
