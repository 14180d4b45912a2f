package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["halfway"] = halfway }

// halfway: clients write long requests in pieces. Ingresses stand still for less than 2 s while these arrive.
func halfway() bool {
	const rounds, clients, size, pieces, pause, stallFor = 8, 10, 48 << 10, 10, 70 * time.Millisecond, 1900 * time.Millisecond
	f := startFleet(portal, 3, 12, 96, 512, func(_, _ int, _ Arrival) Reply {
		return Reply{After: 60*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(80*time.Millisecond))}
	})
	var counts tally
	var mu sync.Mutex
	lost, ended := 0, map[string]int{}
	body := strings.Repeat("x", size)
	write := func(ingress, n int) {
		c, err := net.DialTimeout("tcp", f.Ingresses[ingress].Listen, time.Second)
		if err != nil {
			counts.add(Unreachable)
			return
		}
		defer c.Close()
		id := newID()
		text := f.Site.request("order-change", id, n, "obrt", len(f.Ingresses), 0, 6*time.Second, body)
		began := time.Now()
		for i := range pieces {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := c.Write(text[i*len(text)/pieces : (i+1)*len(text)/pieces]); err != nil {
				counts.add("ended while it was written")
				note("n%d %s ended while it was written: %v", ingress, id, err)
				return
			}
		}
		written := time.Now()
		_ = c.SetReadDeadline(written.Add(6*time.Second + 600*time.Millisecond))
		result, err := readAnswer(bufio.NewReader(c))
		if err != nil {
			result = Result{Kind: Closed, Value: err.Error()}
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				result.Kind = Late
			}
			mu.Lock()
			lost++
			ended[err.Error()]++
			mu.Unlock()
		}
		counts.add(result.Kind)
		note("n%d %s written from %s to %s: %s at %s %.40q", ingress, id, stamp(began), stamp(written), result.Kind, stamp(time.Now()), result.Value)
	}
	time.Sleep(2 * time.Second)
	for round := range rounds {
		var open sync.WaitGroup
		for i := range f.Ingresses {
			for n := range clients {
				open.Add(1)
				go func() {
					defer open.Done()
					time.Sleep(time.Duration(rand.IntN(500)) * time.Millisecond)
					write(i, 1000*round+100*i+n)
				}()
			}
		}
		time.Sleep(600 * time.Millisecond)
		if trouble {
			for _, in := range f.Ingresses[:2] {
				in.signal(syscall.SIGSTOP)
			}
			note("n0 and n1 stand still")
			time.Sleep(stallFor)
			for _, in := range f.Ingresses[:2] {
				in.signal(syscall.SIGCONT)
			}
			note("n0 and n1 go on")
		}
		open.Wait()
		time.Sleep(1500 * time.Millisecond)
	}
	f.noteArrivals()
	say("requests: %v", counts.kinds)
	say("%d requests that were written whole got no answer: %s", lost, strings.TrimPrefix(fmt.Sprint(ended), "map"))
	return lost > 0
}
