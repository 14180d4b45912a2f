package idleconn

import "testing"

func TestShouldClose(t *testing.T) {
	limits := DefaultLimits(100, 2)
	for _, test := range []struct {
		name string
		conn Connection
		now  float64
		open int
		want bool
	}{
		{"no command, new", Connection{OpenedAtS: 10}, 11.9, 1, false},
		{"no command, past its timeout, few connections", Connection{OpenedAtS: 10}, 12.1, 1, true},
		{"idle, few connections", Connection{Commands: 1, OpenedAtS: 0, LastUsedAtS: 10}, 21, 50, false},
		{"idle for long, few connections", Connection{Commands: 1, OpenedAtS: 0, LastUsedAtS: 10}, 22.1, 50, true},
		{"idle, three quarters of the maximum", Connection{Commands: 1, LastUsedAtS: 10}, 17.1, 75, true},
		{"idle, three quarters of the maximum, before its timeout", Connection{Commands: 1, LastUsedAtS: 10}, 16.9, 75, false},
		{"idle, at the maximum", Connection{Commands: 9, LastUsedAtS: 10}, 12.1, 100, true},
		{"between two requests, above the maximum", Connection{Commands: 9, LastUsedAtS: 10}, 11.9, 200, false},
	} {
		if got := limits.ShouldClose(test.conn, test.now, test.open); got != test.want {
			t.Errorf("%s: close %v", test.name, got)
		}
	}
	if (Limits{}).ShouldClose(Connection{}, 1e9, 1e9) || (Limits{}).Evictable(Connection{}, 1e9) {
		t.Error("a connection is closed without limits")
	}
}

func TestEviction(t *testing.T) {
	limits := DefaultLimits(100, 2)
	order := []Connection{{OpenedAtS: 1}, {OpenedAtS: 3}, {CommandStarted: true, OpenedAtS: 0},
		{Commands: 1, LastUsedAtS: 2}, {Commands: 1, LastUsedAtS: 5}, {Commands: 7, LastUsedAtS: 1}, {Commands: 3, LastUsedAtS: 4}}
	for i, a := range order {
		for k, b := range order {
			if limits.EvictedBefore(a, b) != (i < k) {
				t.Errorf("%d before %d: %v", i, k, limits.EvictedBefore(a, b))
			}
		}
	}
	for _, test := range []struct {
		conn Connection
		want bool
	}{{Connection{OpenedAtS: 9.95}, false},
		{Connection{OpenedAtS: 9.8}, true}, {Connection{CommandStarted: true, OpenedAtS: 9.75}, false}, {Connection{CommandStarted: true, OpenedAtS: 9.65}, true},
		{Connection{Commands: 1, LastUsedAtS: 9.8}, false}, {Connection{Commands: 1, LastUsedAtS: 9.7}, true},
		{Connection{Commands: 2, LastUsedAtS: 9.2}, false}, {Connection{Commands: 2, LastUsedAtS: 8.9}, true}} {
		if got := limits.Evictable(test.conn, 10); got != test.want {
			t.Errorf("%+v: evictable %v", test.conn, got)
		}
	}
}
