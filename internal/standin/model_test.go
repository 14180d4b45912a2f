package standin

import "testing"

var params = Params{Cores: 2, QueueLength: 1, Speed: 1, ColdStartShare: 0.5, ColdPeriodS: 10, OverloadMultiple: 2, OverloadWindowS: 1}

// Two cores, one place to wait: what comes first is served first, and what finds no place is turned away.
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
		t.Errorf("use %g, waiting %d", m.Util(1.5), m.Waiting(1.5))
	}
	m.Slow(3)
	if done, _ := m.Offer(5, 1); done != 8 {
		t.Errorf("slow work is done at %g, want 8", done)
	}
}

// A cold box is slower, falls over once it is sent too much, and stays down until it is restarted.
func TestModelFallsOver(t *testing.T) {
	m := NewModel(params)
	m.Restart(1)
	if done, _ := m.Offer(1, 0.1); done != 1.2 {
		t.Errorf("cold work is done at %g, want 1.2", done)
	}
	fell := 0
	for i := 1; i < 60 && !m.Crashed(); i++ {
		m.Offer(1+float64(i)*0.01, 0.1)
		fell = i
	}
	// Two cores at half their capacity, twice that for a second, and two pieces of slack: 2.2 seconds of work.
	if !m.Crashed() || fell < 21 || fell > 23 {
		t.Errorf("fallen %v after %d pieces", m.Crashed(), fell)
	}
	if _, r := m.Offer(100, 0.1); r != Crashed {
		t.Error("a box that fell over serves again")
	}
	m.Restart(200)
	if _, r := m.Offer(200, 0.1); r != Accepted {
		t.Error("a restarted box does not serve")
	}
	warm := NewModel(params)
	for range 100 {
		warm.Offer(1, 1)
	}
	if warm.Crashed() {
		t.Error("a warm box fell over")
	}
}
