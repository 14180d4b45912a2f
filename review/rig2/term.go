package main

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["term-in-stall"] = termInStall }

// termInStall: ingresses are told to end, one after another. Each stands still for less than 2 s just then.
func termInStall() bool {
	const killAfter = 3700 * time.Millisecond // 3 s for the longest deadline, and 0.7 s
	f := startFleet(portal, 3, 12, 96, 512, func(_, _ int, _ Arrival) Reply {
		return Reply{After: 60*time.Millisecond + time.Duration(rand.ExpFloat64()*float64(80*time.Millisecond))}
	})
	var counts tally
	var mu sync.Mutex
	lost := 0
	for round, in := range f.Ingresses {
		var open sync.WaitGroup
		time.Sleep(time.Second)
		told := time.Now().Add(1100 * time.Millisecond)
		killed := told.Add(killAfter + 20*time.Millisecond)
		for n := range 40 { // clients, each with a connection of its own
			open.Add(1)
			go func() {
				defer open.Done()
				front := &Front{addr: in.Listen}
				defer front.close()
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
				for time.Now().Before(killed) {
					id, sent := newID(), time.Now()
					result := front.once(f.Site.request("order-change", id, 100*round+n, "obrt", 3, 0, 6*time.Second, ""), 6500*time.Millisecond)
					counts.add(result.Kind)
					note("n%d order-change %s sent %s: %s", round, id, stamp(sent), result.Kind)
					if result.Kind == Unreachable || result.Kind == Crossed {
						return // it asks elsewhere
					}
					if (result.Kind == Closed || result.Kind == Late) && sent.Sub(told) > 700*time.Millisecond && sent.Before(killed) {
						mu.Lock()
						lost++
						mu.Unlock()
						note("n%d: %s, sent at %s, %.3f s after SIGTERM: %s at %s", round, id, stamp(sent), sent.Sub(told).Seconds(), result.Kind, stamp(result.At))
					}
					time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
				}
			}()
		}
		time.Sleep(time.Until(told.Add(-100 * time.Millisecond)))
		if trouble {
			in.signal(syscall.SIGSTOP)
		}
		time.Sleep(time.Until(told))
		in.signal(syscall.SIGTERM)
		note("n%d: SIGTERM", round)
		time.Sleep(time.Until(told.Add(1700 * time.Millisecond)))
		in.signal(syscall.SIGCONT)
		time.Sleep(time.Until(killed))
		say("n%d: had ended by itself: %v", round, in.gone())
		in.signal(syscall.SIGKILL)
		note("n%d: SIGKILL", round)
		open.Wait()
	}
	f.noteArrivals()
	say("requests: %v; %d requests that came later than 0.7 s after SIGTERM were never answered", counts.kinds, lost)
	return lost > 0
}
