package standin

import "testing"

var params = Params{Cores: 2, QueueLength: 1, Speed: 1, ColdStartShare: 0.5, ColdPeriodS: 10, OverloadMultiple: 2, OverloadWindowS: 1}

// With two cores and a queue of one, requests run in order of arrival,
// and a request that finds the queue full is rejected.
func TestModelQueues(t *testing.T) {
	m := NewModel(params)
	for i, want := range []struct {
		done float64
		r    Outcome
	}{{2, Accepted}, {2, Accepted}, {3, Accepted}, {0, QueueFull}} {
		if done, r := m.Offer(1, 1); done != want.done || r != want.r {
			t.Errorf("offer %d: done at %g, %v; want %+v", i, done, r, want)
		}
	}
	if m.Util(1.5) != 1 || m.Waiting(1.5) != 1 || m.Util(2.5) != 0.5 || m.Util(3.5) != 0 {
		t.Errorf("utilization %g, waiting %d", m.Util(1.5), m.Waiting(1.5))
	}
	m.Slow(3)
	if done, _ := m.Offer(5, 1); done != 8 {
		t.Errorf("slow work is done at %g, want 8", done)
	}
}

// A cold server is slower, crashes once it is sent too much work, and stays down until it is restarted. A warm one never crashes.
func TestModelCrashesOnOverload(t *testing.T) {
	m := NewModel(params)
	m.Restart(1)
	if done, _ := m.Offer(1, 0.1); done != 1.2 {
		t.Errorf("cold work is done at %g, want 1.2", done)
	}
	crashedAt := 0
	for i := 1; i < 60 && !m.Crashed(); i++ {
		m.Offer(1+float64(i)*0.01, 0.1)
		crashedAt = i
	}
	// Two cores at half their capacity, twice that for a second, and a tolerance of two pieces: 2.2 seconds of work.
	if !m.Crashed() || crashedAt < 21 || crashedAt > 23 {
		t.Errorf("crashed %v after %d pieces", m.Crashed(), crashedAt)
	}
	if _, r := m.Offer(100, 0.1); r != Crashed {
		t.Error("a crashed server accepts work")
	}
	m.Restart(200)
	if _, r := m.Offer(200, 0.1); r != Accepted {
		t.Error("a restarted server does not accept work")
	}
	warm := NewModel(params)
	for range 100 {
		warm.Offer(1, 1)
	}
	if warm.Crashed() {
		t.Error("a warm server crashed")
	}
}
