package crowd

import "testing"

func TestShouldClose(t *testing.T) {
	limits := Standard(100, 2)
	for _, test := range []struct {
		name string
		conn Guest
		now  float64
		open int
		want bool
	}{
		{"no command, new", Guest{Since: 10}, 11.9, 1, false},
		{"no command, past its timeout, few connections", Guest{Since: 10}, 12.1, 1, true},
		{"idle, few connections", Guest{Asked: 1, Since: 0, LastS: 10}, 21, 50, false},
		{"idle for long, few connections", Guest{Asked: 1, Since: 0, LastS: 10}, 22.1, 50, true},
		{"idle, three quarters of the maximum", Guest{Asked: 1, LastS: 10}, 17.1, 75, true},
		{"idle, three quarters of the maximum, before its timeout", Guest{Asked: 1, LastS: 10}, 16.9, 75, false},
		{"idle, at the maximum", Guest{Asked: 9, LastS: 10}, 12.1, 100, true},
		{"between two requests, above the maximum", Guest{Asked: 9, LastS: 10}, 11.9, 200, false},
	} {
		if got := limits.Leaves(test.conn, test.now, test.open); got != test.want {
			t.Errorf("%s: close %v", test.name, got)
		}
	}
	if (Limits{}).Leaves(Guest{}, 1e9, 1e9) || (Limits{}).Evictable(Guest{}, 1e9) {
		t.Error("a connection is closed without limits")
	}
}

func TestEviction(t *testing.T) {
	limits := Standard(100, 2)
	order := []Guest{{Since: 1}, {Since: 3}, {Begun: true, Since: 0}, {Asked: 1, LastS: 2}, {Asked: 1, LastS: 5}, {Asked: 7, LastS: 1}, {Asked: 3, LastS: 4}}
	for i, a := range order {
		for k, b := range order {
			if limits.Before(a, b) != (i < k) {
				t.Errorf("%d before %d: %v", i, k, limits.Before(a, b))
			}
		}
	}
	for _, test := range []struct {
		conn Guest
		want bool
	}{{Guest{Since: 9.95}, false}, {Guest{Since: 9.8}, true}, {Guest{Begun: true, Since: 9.75}, false}, {Guest{Begun: true, Since: 9.65}, true}, {Guest{Asked: 1, LastS: 9.8}, false}, {Guest{Asked: 1, LastS: 9.7}, true},
		{Guest{Asked: 2, LastS: 9.2}, false}, {Guest{Asked: 2, LastS: 8.9}, true}} {
		if got := limits.Evictable(test.conn, 10); got != test.want {
			t.Errorf("%+v: evictable %v", test.conn, got)
		}
	}
}
