package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["stall"] = stall
	cases["outage"] = outage
}

// tally counts how requests ended.
type tally struct {
	mu    sync.Mutex
	kinds map[Kind]int
}

func (t *tally) add(k Kind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds = map[Kind]int{}
	}
	t.kinds[k]++
}

// load sends requests to one ingress at an even rate until stop is closed, and returns when all have ended.
func (f *Fleet) load(ingress int, perSecond float64, class, plan string, customers int, wait time.Duration, counts *tally, stop chan struct{}) {
	var open sync.WaitGroup
	defer open.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		open.Add(1)
		go func() {
			defer open.Done()
			id := newID()
			sent := time.Now()
			text := f.Site.request(class, id, 100*len(plan)+n%customers, plan, len(f.Ingresses), 0, wait, "")
			result := f.Fronts[ingress].do(text, wait+600*time.Millisecond)
			counts.add(result.Kind)
			note("n%d %s %s sent %s: %s", ingress, class, id, stamp(sent), result.Kind)
		}()
	}
}

// slowSocket is the allowance of the protocol page: every time limit is longer by 50 ms.
const slowSocket = 50 * time.Millisecond

// checkDrain counts the sends of each ingress to a draining host later than the rule allows. at is when it was told.
func (f *Fleet) checkDrain(ingress, host int, at time.Time) (late int) {
	last := at.Add(time.Duration(f.Site.DrainS*float64(time.Second)) + slowSocket)
	var worst time.Duration
	for _, a := range f.Backends[ingress][host].Arrivals() {
		if after := a.FirstByte.Sub(last); after > 0 {
			late++
			worst = max(worst, after)
			note("n%d sent %s to %s at %s, %.3f s after the last allowed moment", ingress, a.ID, a.Backend, stamp(a.FirstByte), after.Seconds())
		}
	}
	say("n%d: told at %s that %s drains, sends allowed until %s: %d too late, at most by %.3f s", ingress, stamp(at), hostName(host), stamp(last), late, worst.Seconds())
	return late
}

// noteCalls writes the calls of discovery to the record.
func (f *Fleet) noteCalls() {
	for i, d := range f.Discovery {
		d.mu.Lock()
		for _, call := range d.calls {
			note("n%d called discovery at %s", i, call)
		}
		d.mu.Unlock()
	}
}

// stall: three of four ingresses stand still now and then. Each time a backend begins to drain meanwhile.
func stall() bool {
	const rounds, hosts = 8, 20
	f := startFleet(portal, 4, hosts, 96, 512, func(_, _ int, _ Arrival) Reply {
		return Reply{After: 40*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(30*time.Millisecond))}
	})
	var counts tally
	stop, done := make(chan struct{}), make(chan bool)
	for i := range f.Ingresses {
		go func() {
			f.load(i, 30, "usage-view", "obrt", 20, 1200*time.Millisecond, &counts, stop)
			done <- true
		}()
		go func() {
			f.load(i, 20, "order-change", "obrt", 20, 6*time.Second, &counts, stop)
			done <- true
		}()
	}
	time.Sleep(3 * time.Second)
	type telling struct{ host, version int }
	var told []telling
	for host := range rounds {
		length := time.Second + time.Duration(rand.IntN(400))*time.Millisecond
		if trouble {
			for _, in := range f.Ingresses[:3] {
				in.signal(syscall.SIGSTOP)
			}
			note("n0, n1 and n2 stand still for %.3f s", length.Seconds())
		}
		time.Sleep(length / 8)
		version := 0
		for _, d := range f.Discovery {
			version = d.Set(hostName(host), "DRAINING")
		}
		told = append(told, telling{host, version})
		time.Sleep(length - length/8)
		for _, in := range f.Ingresses[:3] {
			in.signal(syscall.SIGCONT)
		}
		note("n0, n1 and n2 go on")
		time.Sleep(3200*time.Millisecond + time.Duration(rand.IntN(800))*time.Millisecond)
	}
	close(stop)
	for range 2 * len(f.Ingresses) {
		<-done
	}
	f.noteArrivals()
	late := 0
	for i, d := range f.Discovery {
		for _, t := range told {
			if at, ok := d.WrittenAt(t.version); ok {
				late += f.checkDrain(i, t.host, at)
			}
		}
	}
	f.noteCalls()
	say("requests: %v", counts.kinds)
	return late > 0
}

// outage: discovery is down for 13 s, four times. At each return it tells that two backends drain.
func outage() bool {
	const rounds, hosts = 4, 14
	f := startFleet(rayon, 3, hosts, 96, 512, func(_, _ int, _ Arrival) Reply {
		return Reply{After: 30*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(20*time.Millisecond))}
	})
	var counts tally
	stop, done := make(chan struct{}), make(chan bool)
	for i := range f.Ingresses {
		go func() {
			f.load(i, 100, "zone-check", "chaine", 20, 2*time.Second, &counts, stop)
			done <- true
		}()
	}
	time.Sleep(2 * time.Second)
	type telling struct {
		host int
		at   []time.Time
	}
	var told []telling
	for round := range rounds {
		for _, d := range f.Discovery {
			d.SetDown(trouble)
		}
		note("discovery is down: %v", trouble)
		time.Sleep(13*time.Second + time.Duration(rand.IntN(1000))*time.Millisecond)
		for n := range 2 {
			t := telling{host: 2*round + n}
			for _, d := range f.Discovery {
				d.Set(hostName(t.host), "DRAINING")
				t.at = append(t.at, time.Now())
			}
			told = append(told, t)
		}
		for _, d := range f.Discovery {
			d.SetDown(false)
		}
		note("discovery is back")
		time.Sleep(3 * time.Second)
	}
	close(stop)
	for range f.Ingresses {
		<-done
	}
	f.noteArrivals()
	late := 0
	for i := range f.Discovery {
		for _, t := range told {
			late += f.checkDrain(i, t.host, t.at[i])
		}
	}
	f.noteCalls()
	say("requests: %v", counts.kinds)
	return late > 0
}
