package main

import (
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: some answers of backends are followed by a second copy some milliseconds later, if nothing waits on the
// connection then. At one of three ingresses as many requests are open as clients may hold connections for.
func secondAnswer() bool {
	const sockets, hosts, length = 256, 14, 45 * time.Second
	var mu sync.Mutex
	f := startFleet(chaguanas, 3, hosts, 96, sockets, 0, func(_, _ int, _ Arrival) Reply {
		r := Reply{After: 60*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(100*time.Millisecond))}
		if rand.IntN(4) == 0 && trouble {
			r.Copy = time.Duration(1+rand.IntN(9)) * time.Millisecond
		}
		return r
	})
	var counts tally
	var open sync.WaitGroup
	var foreign []string
	end := time.Now().Add(length)
	client := func(ingress, n int) {
		defer open.Done()
		for time.Now().Before(end) {
			id, class, wait := newID(), "job-status", 2500*time.Millisecond
			if rand.IntN(4) == 0 {
				class, wait = "sign-submit", 12*time.Second
			}
			who := 5000*ingress + n*50 + rand.IntN(50)
			text := f.Site.request(class, id, who, "premium", len(f.Ingresses), 0, wait, "")
			sent := time.Now()
			result := f.Fronts[ingress].do(text, wait+600*time.Millisecond)
			counts.add(result.Kind)
			note("n%d %s %s sent %s: %s", ingress, class, id, stamp(sent), result.Kind)
			if result.Kind == Served && result.Value != valueOf(id) {
				mu.Lock()
				foreign = append(foreign, id+" "+class)
				mu.Unlock()
				note("%s was served with %q", id, result.Value)
			}
			if result.Kind == Refused {
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
	for i, clients := range []int{80, 10, 10} {
		for n := range clients {
			open.Add(1)
			go client(i, n)
		}
	}
	open.Wait()
	f.noteArrivals()
	copies, arrived := 0, map[string]bool{}
	for i := range f.Ingresses {
		for _, b := range f.Backends[i] {
			b.mu.Lock()
			copies += b.copies
			b.mu.Unlock()
			for _, a := range b.Arrivals() {
				arrived[a.ID] = true
			}
		}
	}
	never := 0
	for _, f := range foreign {
		if !arrived[f[:16]] {
			never++
			note("%s was served and never reached a backend", f)
		}
	}
	say("requests: %v, %.0f a second at n0; %d second copies", counts.kinds, float64(len(f.arrivals(0)))/length.Seconds(), copies)
	say("%d requests were served with the value of another one; %d of these never reached a backend", len(foreign), never)
	return len(foreign) > 0
}
