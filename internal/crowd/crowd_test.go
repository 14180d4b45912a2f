package crowd

import "testing"

func TestWhoLeaves(t *testing.T) {
	l := DefaultLimits(100, 2)
	for _, c := range []struct {
		name string
		g    Connection
		now  float64
		open int
		want bool
	}{
		{"silent, new", Connection{OpenedAtS: 10}, 11.9, 1, false},
		{"silent, past its time in an empty house", Connection{OpenedAtS: 10}, 12.1, 1, true},
		{"idle, room", Connection{Commands: 1, OpenedAtS: 0, LastUsedAtS: 10}, 21, 50, false},
		{"idle for long, room", Connection{Commands: 1, OpenedAtS: 0, LastUsedAtS: 10}, 22.1, 50, true},
		{"idle, half way to full", Connection{Commands: 1, LastUsedAtS: 10}, 17.1, 75, true},
		{"idle, half way to full, not yet", Connection{Commands: 1, LastUsedAtS: 10}, 16.9, 75, false},
		{"idle, full", Connection{Commands: 9, LastUsedAtS: 10}, 12.1, 100, true},
		{"between two requests, full", Connection{Commands: 9, LastUsedAtS: 10}, 11.9, 200, false},
	} {
		if got := l.ShouldClose(c.g, c.now, c.open); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
	if (Limits{}).ShouldClose(Connection{}, 1e9, 1e9) || (Limits{}).Evictable(Connection{}, 1e9) {
		t.Error("without limits all may stay")
	}
}

func TestWhoEvictable(t *testing.T) {
	l := DefaultLimits(100, 2)
	order := []Connection{{OpenedAtS: 1}, {OpenedAtS: 3}, {CommandStarted: true, OpenedAtS: 0}, {Commands: 1, LastUsedAtS: 2}, {Commands: 1, LastUsedAtS: 5}, {Commands: 7, LastUsedAtS: 1}, {Commands: 3, LastUsedAtS: 4}}
	for i, a := range order {
		for k, b := range order {
			if l.EvictedBefore(a, b) != (i < k) {
				t.Errorf("%d before %d: %v", i, k, l.EvictedBefore(a, b))
			}
		}
	}
	for _, c := range []struct {
		g    Connection
		want bool
	}{{Connection{OpenedAtS: 9.95}, false}, {Connection{OpenedAtS: 9.8}, true}, {Connection{CommandStarted: true, OpenedAtS: 9.75}, false}, {Connection{CommandStarted: true, OpenedAtS: 9.65}, true}, {Connection{Commands: 1, LastUsedAtS: 9.8}, false}, {Connection{Commands: 1, LastUsedAtS: 9.7}, true},
		{Connection{Commands: 2, LastUsedAtS: 9.2}, false}, {Connection{Commands: 2, LastUsedAtS: 8.9}, true}} {
		if got := l.Evictable(c.g, 10); got != c.want {
			t.Errorf("%+v: %v", c.g, got)
		}
	}
}
