package stall

import "testing"

func TestWatch(t *testing.T) {
	var w Watch
	if w.Look(1000) || w.Look(1000.2) || w.Age(999, 1000.2, false) != 0 {
		t.Fatal("stood still from the start")
	}
	if !w.Look(1004.2) {
		t.Fatal("4 s between two looks are no stall")
	}
	for _, c := range []struct{ readAt, now, want float64 }{
		{1000.1, 1004.25, 4.05}, // read just before: what it brings may have come right after
		{999, 1004.25, 4.05},    // was idle
		{1003, 1004.25, 1.25},   // read while others stood still
		{1004.22, 1004.25, 0},   // read since
		{999, 1004.8, 0},        // long after: nothing can have lain in its socket
	} {
		if got := w.Age(c.readAt, c.now, false); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("read at %v, now %v: %v, want %v", c.readAt, c.now, got, c.want)
		}
	}
	if got := w.Age(1000.1, 1009, true); got < 8.7 {
		t.Errorf("parked through the stall: %v", got)
	}
	if !w.Look(1004.6) || w.Age(1000, 1004.61, false) < 4.3 {
		t.Error("a second stall before the first was over forgets the first")
	}
	if w.Look(1004.7) || w.Look(1004.9) || w.Look(1005.1) || w.Look(1005.3) || !w.Look(1010) || w.Age(0, 1010, false) > 5 {
		t.Error("a later stall begins where it begins")
	}
}
