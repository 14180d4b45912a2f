package pause

import "testing"

func TestDetector(t *testing.T) {
	var det Detector
	if det.Update(1000) || det.Update(1000.2) || det.InputAge(999, 1000.2, false) != 0 {
		t.Fatal("a pause was detected at the start")
	}
	if !det.Update(1004.2) {
		t.Fatal("4 s between two updates were not detected as a pause")
	}
	for _, c := range []struct{ readAt, now, want float64 }{
		{1000.1, 1004.25, 4.05}, // read just before the pause: the data may have come right after that read
		{999, 1004.25, 4.05},    // idle before the pause
		{1003, 1004.25, 1.25},   // read during the pause that the detector saw
		{1004.22, 1004.25, 0},   // read since the pause
		{999, 1004.8, 0},        // so long after the pause that no data from it can be unread
	} {
		if got := det.InputAge(c.readAt, c.now, false); got < c.want-1e-9 || got > c.want+1e-9 {
			t.Errorf("read at %v, now %v: age %v, want %v", c.readAt, c.now, got, c.want)
		}
	}
	if got := det.InputAge(1000.1, 1009, true); got < 8.7 {
		t.Errorf("connection parked during the pause: age %v, want at least 8.7", got)
	}
	if !det.Update(1004.6) || det.InputAge(1000, 1004.61, false) < 4.3 {
		t.Error("a second pause right after the first did not extend it")
	}
	if det.Update(1004.7) || det.Update(1004.9) || det.Update(1005.1) || det.Update(1005.3) ||
		!det.Update(1010) || det.InputAge(0, 1010, false) > 5 {
		t.Error("a later pause did not count from its own start")
	}
}
