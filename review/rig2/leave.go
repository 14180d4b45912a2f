package main

import (
	"bufio"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["leave"] = leave }

// leave: a client sends many commands at once and goes.
func leave() bool {
	const rounds, commands, size = 5, 300, 8 << 10
	var mu sync.Mutex
	draw := rand.New(rand.NewPCG(7, 11))
	f := startFleet(chaguanas, 2, 12, 96, 512, func(_, _ int, a Arrival) Reply {
		mu.Lock()
		defer mu.Unlock()
		return Reply{After: 80*time.Millisecond + time.Duration(draw.ExpFloat64()*float64(250*time.Millisecond))}
	})
	var counts tally
	stop, done := make(chan struct{}), make(chan bool)
	for i := range f.Ingresses {
		go func() {
			f.load(i, 20, "job-status", "premium", 20, 2500*time.Millisecond, &counts, stop)
			done <- true
		}()
	}
	time.Sleep(2 * time.Second)
	body := strings.Repeat("x", size)
	type leaver struct {
		ids  map[string]bool
		left time.Time
	}
	var leavers []leaver
	for range rounds {
		l := leaver{ids: map[string]bool{}}
		var text []byte
		for n := range commands {
			id := newID()
			l.ids[id] = true
			text = append(text, f.Site.request("image-fetch", id, 5000+rand.IntN(1000)*1000+n, "premium", 2, 0, 6*time.Second, body)...)
		}
		c, err := net.Dial("tcp", f.Ingresses[0].Listen)
		if err != nil {
			cannotRun("client: %v", err)
		}
		_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		sent, err := c.Write(text)
		note("a client has sent %d bytes of %d in %d commands (%v)", sent, len(text), commands, err)
		if !trouble { // it stays until all is answered
			answers := 0
			_ = c.SetReadDeadline(time.Now().Add(7 * time.Second))
			for r := bufio.NewReader(c); answers < commands; answers++ {
				if _, err := readAnswer(r); err != nil {
					break
				}
			}
			note("it has read %d answers", answers)
		}
		c.Close()
		l.left = time.Now()
		note("it has closed its connection")
		leavers = append(leavers, l)
		time.Sleep(7 * time.Second)
	}
	close(stop)
	for range f.Ingresses {
		<-done
	}
	f.noteArrivals()
	broken := false
	for _, l := range leavers {
		begun, late, worst := 0, 0, time.Duration(0)
		for _, b := range f.Backends[0] {
			for _, a := range b.Arrivals() {
				if !l.ids[a.ID] {
					continue
				}
				begun++
				if after := a.FirstByte.Sub(l.left); after > 100*time.Millisecond+slowSocket {
					late++
					worst = max(worst, after)
					note("%s began at %s on %s, %.3f s after its client had closed", a.ID, stamp(a.FirstByte), a.Backend, after.Seconds())
				}
			}
		}
		say("client left at %s: %d attempts begun, %d of them more than 0.15 s later, the last %.3f s later", stamp(l.left), begun, late, worst.Seconds())
		broken = broken || late > 0
	}
	say("requests of the others: %v", counts.kinds)
	return broken
}
