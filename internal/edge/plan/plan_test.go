package plan

import (
	"testing"

	"cometpond/internal/settings"
)

// Clients need a third of the descriptors for connections with requests. All components together must stay within the
// limit, including a probe connection to each server and some connections that an event loop is taking over.
func TestBudgetFitsTheResources(t *testing.T) {
	const fixed, servers, takenOver = 20, 20, 16
	for _, sockets := range []int{256, 384, 1024, 4096} {
		budget := NewBudget(Resources{1, 64, sockets}, 20000, 64<<10)
		if 3*budget.ClientConnections < sockets {
			t.Errorf("%d descriptors: %d for clients, want at least a third", sockets, budget.ClientConnections)
		}
		if sum := budget.ClientConnections + budget.ServerConnections + fixed + servers + takenOver; sum > sockets {
			t.Errorf("%d descriptors: up to %d in use", sockets, sum)
		}
		if budget.IdleConnections.MaxConnections != budget.ClientConnections || budget.Front.MaxConnections != budget.ClientConnections {
			t.Errorf("%d descriptors: the front accepts %d clients, the idle limit is for %d, want %d", sockets,
				budget.Front.MaxConnections, budget.IdleConnections.MaxConnections, budget.ClientConnections)
		}
	}
	for _, mb := range []float64{MinMemoryMB, 32, 192} {
		budget := NewBudget(Resources{1, mb, 384}, 20000, 64<<10)
		if budget.HeapBytes <= 0 || float64(budget.HeapBytes) > 0.7*mb*(1<<20) || budget.Front.MaxInputBytes > int(mb)<<20/8 {
			t.Errorf("%v MB: heap %d, input %d", mb, budget.HeapBytes, budget.Front.MaxInputBytes)
		}
		if budget.WorkBytes < 32*64<<10 || 2*(budget.WorkBytes+budget.Front.MaxInputBytes) > int(budget.HeapBytes) {
			t.Errorf("%v MB: %d bytes of work, %d of input, heap %d", mb, budget.WorkBytes, budget.Front.MaxInputBytes, budget.HeapBytes)
		}
		for _, sockets := range []int{MinSockets, 256, 1024} { // each connection keeps two reads at most without asking
			budget := NewBudget(Resources{1, mb, sockets}, 20000, 64<<10)
			if reads := 2 * budget.ClientConnections * budget.Front.ReadBytes; reads > int(mb)<<20/6 || budget.Front.ReadBytes < 1<<10 {
				t.Errorf("%v MB, %d descriptors: reads of %d bytes, %d in all", mb, sockets, budget.Front.ReadBytes, reads)
			}
		}
	}
	if budget := NewBudget(Resources{1, 64, 384}, 10, 64<<10); budget.OpenRequests != 10 {
		t.Errorf("%d open requests, the settings allow 10", budget.OpenRequests)
	}
	for _, resources := range []Resources{{0, 64, 384}, {1, MinMemoryMB - 1, 384}, {1, 64, MinSockets - 1}} {
		if resources.Sufficient() {
			t.Errorf("%+v is accepted as sufficient", resources)
		}
	}
}

func TestConnectionLimits(t *testing.T) {
	budget := NewBudget(Resources{1, 64, 384}, 0, 64<<10)
	settings := settings.Settings{ConnIdleTimeoutS: 15, DialTimeoutS: 0.25, AttemptsPerConnection: 100}
	limits, dialTimeoutS := ConnectionLimits(settings, budget)
	if limits.Pipeline != 1 || limits.IdleTimeoutS >= 15 || limits.IdleTimeoutS < 5 || dialTimeoutS != 0.25 {
		t.Errorf("no parallel attempts allowed: %+v, dial timeout %v s", limits, dialTimeoutS)
	}
	settings.ParallelAttempts, settings.DialTimeoutS = true, 0
	if limits, dialTimeoutS = ConnectionLimits(settings, budget); limits.Pipeline < 2 || limits.Pipeline > 100 || dialTimeoutS <= 0 {
		t.Errorf("parallel attempts allowed: %+v, dial timeout %v s", limits, dialTimeoutS)
	}
	settings.AttemptsPerConnection = 0
	if limits, _ = ConnectionLimits(settings, budget); limits.Pipeline != 1 {
		t.Errorf("no number of attempts per connection in the settings: pipeline %d", limits.Pipeline)
	}
}

func TestShutdown(t *testing.T) {
	shutdown := Shutdown{StartS: 100, DeadlineS: 12} // killed at 103.7 at the earliest
	for _, test := range []struct {
		now                   float64
		connections, requests int
		want                  Step
	}{
		{100, 0, 0, Serve}, {100.4, 5, 5, Serve}, {102.6, 5, 5, Serve}, {102.6, 0, 0, Serve}, // clients keep using their connections
		{102.8, 5, 0, CloseIdle}, {102.8, 0, 1, CloseIdle}, {102.8, 0, 0, Exit}, {103.4, 3, 3, CloseIdle}, {103.51, 3, 3, Exit},
	} {
		if got := shutdown.NextStep(test.now, test.connections, test.requests); got != test.want {
			t.Errorf("at %v with %d connections and %d requests: %v, want %v", test.now, test.connections, test.requests, got, test.want)
		}
	}
	short := Shutdown{StartS: 100, DeadlineS: 0.5} // killed at 101.2 at the earliest
	if short.NextStep(100.1, 1, 1) != Serve || short.NextStep(100.4, 0, 0) != Serve || short.NextStep(100.9, 1, 1) != CloseIdle ||
		short.NextStep(101.01, 1, 1) != Exit {
		t.Errorf("short deadlines: %+v", short)
	}
}
