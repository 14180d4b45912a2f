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

// A command that does not arrive loses its memory as soon as it has had its time and another command needs it.
func TestSlowestGrantIsRevokedForOthers(t *testing.T) {
	limits := testLimits
	limits.MaxWaitS = 0.5
	pool := New(limits)
	if acquire(t, pool, 0, 1, 50) != Proceed || acquire(t, pool, 0.2, 2, 50) != Proceed || acquire(t, pool, 0.3, 3, 40) != Wait {
		t.Fatal("two commands fit")
	}
	if got := pool.Tick(0.4); got != nil || pool.TakeSkipped() != nil {
		t.Fatal("revoked too early")
	}
	if got := pool.Tick(0.5); !reflect.DeepEqual(got, []uint64{3}) || !reflect.DeepEqual(pool.TakeSkipped(), []uint64{1}) {
		t.Fatal(got)
	}
	if acquire(t, pool, 0.8, 4, 40) != Proceed { // the second one has had its time as well
		t.Fatal("must not wait for a command that has had its time")
	}
	if got := pool.TakeSkipped(); !reflect.DeepEqual(got, []uint64{2}) || pool.Tracks(2) || !pool.Tracks(4) {
		t.Fatal(got)
	}
}

// A command that has waited for its time gives up, and with it the memory of its earlier arguments.
func TestWaitIsLimited(t *testing.T) {
	limits := testLimits
	limits.MaxWaitS = 0.5
	pool := New(limits)
	if acquire(t, pool, 0, 1, 60) != Proceed || acquire(t, pool, 0, 2, 30) != Proceed || acquire(t, pool, 0.01, 2, 60) != Wait ||
		acquire(t, pool, 0.01, 1, 90) != Wait {
		t.Fatal("their second arguments do not fit")
	}
	pool.Tick(0.51)
	if got := pool.TakeSkipped(); len(got) == 0 || pool.Counts().Waiting != 0 {
		t.Fatalf("%v skip, %+v", got, pool.Counts())
	}
}

// With a limit on waits nobody waits for longer, the grants stay within the limits, and only those lose a grant or give up
// that have had their time.
func TestLimitedWaitsAgainstModel(t *testing.T) {
	limits := testLimits
	limits.MaxWaitS = 0.5
	rapid.Check(t, func(t *rapid.T) {
		pool, now := New(limits), 0.0
		granted, grantedAt := map[uint64]int{}, map[uint64]float64{}
		waiting, waitingSince := map[uint64]int{}, map[uint64]float64{}
		settle := func(ids []uint64) {
			for _, id := range ids {
				if waiting[id] == 0 {
					t.Fatalf("connection %d was granted although it did not wait", id)
				}
				if granted[id] == 0 {
					grantedAt[id] = now
				}
				granted[id] = waiting[id]
				delete(waiting, id)
			}
			for _, id := range pool.TakeSkipped() {
				if waiting[id] > 0 && now-waitingSince[id] < limits.MaxWaitS || waiting[id] == 0 && now-grantedAt[id] < limits.MaxWaitS {
					t.Fatalf("connection %d skips its command too early", id)
				}
				delete(waiting, id)
				delete(granted, id)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.Float64Range(0, 0.3).Draw(t, "time")
			id := rapid.Uint64Range(1, 8).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0, 1:
				bytes := granted[id] + rapid.IntRange(11, 40).Draw(t, "bytes")
				if waiting[id] > 0 || bytes > 60 {
					break
				}
				waiting[id], waitingSince[id] = bytes, now
				decision, others := pool.Acquire(now, id, bytes)
				if decision == Proceed {
					others = append(others, id)
				}
				settle(others)
			case 2:
				if waiting[id] == 0 {
					delete(granted, id)
					settle(pool.Release(now, id))
				}
			}
			settle(pool.Tick(now))
			sum := 0
			for _, bytes := range granted {
				sum += bytes
			}
			if counts := pool.Counts(); counts.GrantedBytes != sum || counts.Waiting != len(waiting) || sum > limits.TotalBytes+limits.ReserveBytes {
				t.Fatalf("%+v, granted %v, waiting %v", counts, granted, waiting)
			}
			for id := range waiting {
				if now-waitingSince[id] >= limits.MaxWaitS {
					t.Fatalf("connection %d has waited since %v, it is %v", id, waitingSince[id], now)
				}
			}
		}
	})
}
