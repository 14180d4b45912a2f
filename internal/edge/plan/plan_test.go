package plan

import (
	"testing"

	"cometpond/internal/terms"
)

// Clients may hold a third of the descriptors for requests, and all parts together must stay under the limit with a
// connection for probes to each of so many backends, and some that are just being taken over.
func TestBudgetFitsTheMachine(t *testing.T) {
	const fixed, boxes, taken = 20, 20, 16
	for _, sockets := range []int{256, 384, 1024, 4096} {
		b := NewBudget(Machine{1, 64, sockets}, 20000, 64<<10)
		if 3*b.Clients < sockets {
			t.Errorf("%d descriptors: %d for clients, want a third at least", sockets, b.Clients)
		}
		if sum := b.Clients + b.Backends + fixed + boxes + taken; sum > sockets {
			t.Errorf("%d descriptors: %d in use at most", sockets, sum)
		}
		if b.Crowd.Most != b.Clients || b.Front.MaxConnections != b.Clients {
			t.Errorf("%d descriptors: the front has room for %d, the crowd for %d, want %d", sockets, b.Front.MaxConnections, b.Crowd.Most, b.Clients)
		}
	}
	for _, mb := range []float64{LeastMemoryMB, 32, 192} {
		b := NewBudget(Machine{1, mb, 384}, 20000, 64<<10)
		if b.HeapBytes <= 0 || float64(b.HeapBytes) > 0.7*mb*(1<<20) || b.Front.MaxInputBytes > int(mb)<<20/8 {
			t.Errorf("%v MB: heap %d, input %d", mb, b.HeapBytes, b.Front.MaxInputBytes)
		}
	}
	if b := NewBudget(Machine{1, 64, 384}, 10, 64<<10); b.Held != 10 {
		t.Errorf("%d requests held, the settings allow 10", b.Held)
	}
	for _, m := range []Machine{{0, 64, 384}, {1, LeastMemoryMB - 1, 384}, {1, 64, LeastSockets - 1}} {
		if m.Enough() {
			t.Errorf("%+v is enough", m)
		}
	}
}

func TestLinks(t *testing.T) {
	b := NewBudget(Machine{1, 64, 384}, 0, 64<<10)
	set := terms.Settings{ConnIdleS: 15, DialTimeoutS: 0.25, Multiplex: 100}
	l, openS := Links(set, b)
	if l.Pipeline != 1 || l.IdleTimeoutS >= 15 || l.IdleTimeoutS < 5 || openS != 0.25 {
		t.Errorf("two attempts may not be out at once: %+v, %v s to open", l, openS)
	}
	set.ParallelAttempts, set.DialTimeoutS = true, 0
	if l, openS = Links(set, b); l.Pipeline < 2 || l.Pipeline > 100 || openS <= 0 {
		t.Errorf("they may: %+v, %v s to open", l, openS)
	}
	set.Multiplex = 0
	if l, _ = Links(set, b); l.Pipeline != 1 {
		t.Errorf("not said how many: %d in line", l.Pipeline)
	}
}

func TestLeaving(t *testing.T) {
	l := Leaving{Since: 100, LongestS: 12} // killed at 103.7 at the earliest
	for _, c := range []struct {
		now        float64
		open, held int
		want       Step
	}{
		{100, 0, 0, Serve}, {100.4, 5, 5, Serve}, {102.6, 5, 5, Serve}, {102.6, 0, 0, Serve}, // clients go on with what they have
		{102.8, 5, 0, Retire}, {102.8, 0, 1, Retire}, {102.8, 0, 0, Exit}, {103.4, 3, 3, Retire}, {103.51, 3, 3, Exit},
	} {
		if got := l.Next(c.now, c.open, c.held); got != c.want {
			t.Errorf("at %v with %d connections and %d requests: %v, want %v", c.now, c.open, c.held, got, c.want)
		}
	}
	short := Leaving{Since: 100, LongestS: 0.5} // killed at 101.2 at the earliest
	if short.Next(100.1, 1, 1) != Serve || short.Next(100.4, 0, 0) != Serve || short.Next(100.9, 1, 1) != Retire || short.Next(101.01, 1, 1) != Exit {
		t.Errorf("short deadlines: %+v", short)
	}
}
