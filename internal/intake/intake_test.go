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

var lim = Limits{FreeBytes: 10, TotalBytes: 100, ReserveBytes: 60, UnauthenticatedBytes: 30, MaxOvertakeS: 2}

// ask is Ask where no other is to go on.
func ask(t *testing.T, p *Pool, now float64, id uint64, bytes int) Decision {
	t.Helper()
	v, others := p.Acquire(now, id, bytes)
	if len(others) > 0 {
		t.Fatalf("%v go on as well", others)
	}
	return v
}

func TestSmallestFirstUntilAged(t *testing.T) {
	p := New(lim)
	for id, bytes := range map[uint64]int{1: 10, 2: 60, 3: 40} { // 10 is free of asking
		if v := ask(t, p, 0, id, bytes); v != Proceed {
			t.Fatalf("connection %d: %v", id, v)
		}
	}
	if ask(t, p, 0, 4, 50) != Wait || ask(t, p, 1, 5, 20) != Wait || ask(t, p, 1, 4, 50) != Wait {
		t.Fatal("there is no room left")
	}
	if got := p.Release(1, 3); !reflect.DeepEqual(got, []uint64{5}) { // the smaller passes
		t.Fatal(got)
	}
	if ask(t, p, 1.9, 6, 20) != Proceed {
		t.Fatal("room for 20, and none has waited long")
	}
	if v, others := p.Acquire(2, 7, 11); v != Wait || !reflect.DeepEqual(others, []uint64{4}) { // 4 has waited for 2 s: nobody passes it now, and the reserve lets it go on
		t.Fatal("passed one that has waited long enough")
	}
	if got := p.Counts(); got.GrantedBytes != 60+20+20+50 || got.Waiting != 1 {
		t.Fatalf("%+v", got)
	}
}

func TestStrangers(t *testing.T) {
	p := New(lim)
	if p.HoldUnauthenticated(1, 16) != Proceed || p.HoldUnauthenticated(2, 14) != Proceed || p.HoldUnauthenticated(3, 1) != Disconnect || p.HoldUnauthenticated(1, 17) != Disconnect {
		t.Fatal("30 in all")
	}
	if p.HoldUnauthenticated(1, 0) != Proceed || p.HoldUnauthenticated(3, 16) != Proceed {
		t.Fatal("16 are free again")
	}
	p.Remove(0, 3)
	if p.Counts().UnauthenticatedBytes != 14 {
		t.Fatalf("%+v", p.Counts())
	}
}

// Connections that each hold one argument and wait for the next do not hold each other up for ever.
func TestNoDeadlock(t *testing.T) {
	p := New(lim)
	if ask(t, p, 0, 1, 50) != Proceed || ask(t, p, 0, 2, 50) != Proceed || ask(t, p, 0, 1, 90) != Wait || ask(t, p, 0, 2, 90) != Wait {
		t.Fatal("no room for the second arguments")
	}
	if got := p.Tick(1.9); got != nil {
		t.Fatal(got)
	}
	if got := p.Tick(2); !reflect.DeepEqual(got, []uint64{1}) {
		t.Fatal(got)
	}
	if got := p.Release(2, 1); !reflect.DeepEqual(got, []uint64{2}) {
		t.Fatal(got)
	}
	if p.Release(3, 2); p.Counts() != (Counts{}) {
		t.Fatalf("%+v", p.Counts())
	}
}

// Whatever connections do: no more is held than the limits say, the books add up, and once all that hold end
// one after the other, everyone that waits is granted.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, now := New(lim), 0.0
		held, waits := map[uint64]int{}, map[uint64]int{}
		grant := func(ids []uint64) {
			for _, id := range ids {
				if waits[id] == 0 {
					t.Fatalf("%d was granted and did not wait", id)
				}
				held[id] = waits[id]
				delete(waits, id)
			}
		}
		check := func() {
			sum := 0
			for _, n := range held {
				sum += n
			}
			c := p.Counts()
			if c.GrantedBytes != sum || c.Waiting != len(waits) || sum > lim.TotalBytes+lim.ReserveBytes {
				t.Fatalf("%+v, held %v, waiting %v", c, held, waits)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 1).Draw(t, "time")
			id := rapid.Uint64Range(1, 6).Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				bytes := held[id] + rapid.IntRange(1, 60-held[id]/2).Draw(t, "bytes")
				if waits[id] > 0 || bytes > 60 {
					break
				}
				v, others := p.Acquire(now, id, bytes)
				grant(others)
				if v == Proceed {
					if bytes > lim.FreeBytes && bytes > held[id] {
						held[id] = bytes
					}
				} else {
					waits[id] = bytes
				}
			case 2:
				if waits[id] == 0 {
					delete(held, id)
					grant(p.Release(now, id))
				}
			case 3:
				delete(held, id)
				delete(waits, id)
				grant(p.Remove(now, id))
			}
			grant(p.Tick(now))
			check()
		}
		for range 100 {
			now += 2
			grant(p.Tick(now))
			for id := range held {
				if waits[id] == 0 {
					delete(held, id)
					grant(p.Release(now, id))
				}
			}
			check()
		}
		if len(waits) > 0 || p.Counts() != (Counts{}) {
			t.Fatalf("left: %v, %+v", waits, p.Counts())
		}
	})
}
