package intake

import (
	"flag"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var testLimits = Limits{FreeBytes: 10, TotalBytes: 100, ReserveBytes: 60, UnauthenticatedBytes: 30, MaxOvertakeS: 2}

// acquire acquires memory and fails the test if other connections are granted by it.
func acquire(t *testing.T, pool *Pool, now float64, id uint64, bytes int) Decision {
	t.Helper()
	decision, others := pool.Acquire(now, id, bytes)
	if len(others) > 0 {
		t.Fatalf("%v were granted as well", others)
	}
	return decision
}

func TestSmallestFirstUntilTheOldestIsOverdue(t *testing.T) {
	pool := New(testLimits)
	for id, bytes := range map[uint64]int{1: 10, 2: 60, 3: 40} { // connection 1 needs no grant for 10 bytes
		if decision := acquire(t, pool, 0, id, bytes); decision != Proceed {
			t.Fatalf("connection %d: decision %v, want it to continue", id, decision)
		}
	}
	if acquire(t, pool, 0, 4, 50) != Wait || acquire(t, pool, 1, 5, 20) != Wait || acquire(t, pool, 1, 4, 50) != Wait {
		t.Fatal("no bytes are left: all must wait")
	}
	if got := pool.Release(1, 3); !reflect.DeepEqual(got, []uint64{5}) { // the smaller request overtakes the older one
		t.Fatal(got)
	}
	if acquire(t, pool, 1.9, 6, 20) != Proceed {
		t.Fatal("20 bytes are free and no connection is overdue: must be granted")
	}
	// Connection 4 has waited for 2 s: no other may overtake it, and the reserve is used for it.
	if decision, others := pool.Acquire(2, 7, 11); decision != Wait || !reflect.DeepEqual(others, []uint64{4}) {
		t.Fatal("a connection that is overdue was overtaken")
	}
	if got := pool.Counts(); got.GrantedBytes != 60+20+20+50 || got.Waiting != 1 {
		t.Fatalf("%+v", got)
	}
}

func TestUnauthenticatedConnections(t *testing.T) {
	pool := New(testLimits)
	if pool.HoldUnauthenticated(1, 16) != Proceed || pool.HoldUnauthenticated(2, 14) != Proceed ||
		pool.HoldUnauthenticated(3, 1) != Disconnect || pool.HoldUnauthenticated(1, 17) != Disconnect {
		t.Fatal("the limit of 30 bytes over all connections is not kept")
	}
	if pool.HoldUnauthenticated(1, 0) != Proceed || pool.HoldUnauthenticated(3, 16) != Proceed {
		t.Fatal("16 bytes must be free again")
	}
	pool.Remove(0, 3)
	if pool.Counts().UnauthenticatedBytes != 14 {
		t.Fatalf("%+v", pool.Counts())
	}
}

// Connections that hold memory for one argument and wait for the next must not block each other for ever.
func TestNoDeadlock(t *testing.T) {
	pool := New(testLimits)
	if acquire(t, pool, 0, 1, 50) != Proceed || acquire(t, pool, 0, 2, 50) != Proceed ||
		acquire(t, pool, 0, 1, 90) != Wait || acquire(t, pool, 0, 2, 90) != Wait {
		t.Fatal("the second arguments exceed the total: both must wait")
	}
	if got := pool.Tick(1.9); got != nil {
		t.Fatal(got)
	}
	if got := pool.Tick(2); !reflect.DeepEqual(got, []uint64{1}) {
		t.Fatal(got)
	}
	if got := pool.Release(2, 1); !reflect.DeepEqual(got, []uint64{2}) {
		t.Fatal(got)
	}
	if pool.Release(3, 2); pool.Counts() != (Counts{}) {
		t.Fatalf("%+v", pool.Counts())
	}
}

// Whatever the connections do, the grants stay within the limits and the counts agree with the model. Once all connections
// with a grant release it one after the other, every waiting connection is granted.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, now := New(testLimits), 0.0
		granted, waiting := map[uint64]int{}, map[uint64]int{}
		grant := func(ids []uint64) {
			for _, id := range ids {
				if waiting[id] == 0 {
					t.Fatalf("connection %d was granted although it did not wait", id)
				}
				granted[id] = waiting[id]
				delete(waiting, id)
			}
		}
		check := func() {
			sum := 0
			for _, n := range granted {
				sum += n
			}
			c := pool.Counts()
			if c.GrantedBytes != sum || c.Waiting != len(waiting) || sum > testLimits.TotalBytes+testLimits.ReserveBytes {
				t.Fatalf("%+v, granted %v, waiting %v", c, granted, waiting)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 1).Draw(t, "time")
			id := rapid.Uint64Range(1, 6).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				bytes := granted[id] + rapid.IntRange(1, 60-granted[id]/2).Draw(t, "bytes")
				if waiting[id] > 0 || bytes > 60 {
					break
				}
				decision, others := pool.Acquire(now, id, bytes)
				grant(others)
				if decision == Proceed {
					if bytes > testLimits.FreeBytes && bytes > granted[id] {
						granted[id] = bytes
					}
				} else {
					waiting[id] = bytes
				}
			case 2:
				if waiting[id] == 0 {
					delete(granted, id)
					grant(pool.Release(now, id))
				}
			case 3:
				delete(granted, id)
				delete(waiting, id)
				grant(pool.Remove(now, id))
			}
			grant(pool.Tick(now))
			check()
		}
		for range 100 {
			now += 2
			grant(pool.Tick(now))
			for id := range granted {
				if waiting[id] == 0 {
					delete(granted, id)
					grant(pool.Release(now, id))
				}
			}
			check()
		}
		if len(waiting) > 0 || pool.Counts() != (Counts{}) {
			t.Fatalf("never granted: %v, %+v", waiting, pool.Counts())
		}
	})
}
