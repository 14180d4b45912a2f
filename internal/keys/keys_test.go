package keys

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cometpond/policy"
)

// The same histories at every run; -rapid.seed on the command line draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var sign = &policy.Class{Name: "sign", Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 7.5}

func rooms(states ...policy.ServerState) []policy.Server {
	var list []policy.Server
	for i, s := range states {
		list = append(list, policy.Server{ID: fmt.Sprint("box", i), Zone: fmt.Sprint("room", i/2), State: s})
	}
	return list
}

func zoneOf(id string) string { return "room" + fmt.Sprint(int(id[3]-'0')/2) }

func fleet() *Table {
	t := New(2)
	t.Servers(0, rooms(0, 0, 0, 0, 0, 0), true)
	return t
}

// Two instances that know nothing of each other send the same key to the same room, and keys spread.
func TestHomeIsTheSameEverywhere(t *testing.T) {
	a, b := fleet(), fleet()
	seen := map[string]int{}
	for i := range 300 {
		k := fmt.Sprint("key", i)
		ha, hb := a.Take(1, "ada", k, sign).Home, b.Take(5, "ada", k, sign).Home
		if zoneOf(ha) != zoneOf(hb) {
			t.Fatalf("%s: %s and %s", k, ha, hb)
		}
		seen[zoneOf(ha)]++
	}
	for z, n := range seen {
		if len(seen) != 3 || n < 60 {
			t.Fatalf("%s holds %d of 300 keys, of %d rooms", z, n, len(seen))
		}
	}
}

func TestKnownKey(t *testing.T) {
	tab := fleet()
	r := tab.Take(1, "ada", "k", sign)
	if r.Action != Go || r.Ran != "" || r.Home == "" {
		t.Fatalf("%+v", r)
	}
	if j := tab.Take(1.1, "ada", "k", sign); j.Action != Join || j.Entry != r.Entry {
		t.Fatalf("under way: %+v", j)
	}
	if o := tab.Take(1.1, "eve", "k", sign); o.Action != Go {
		t.Fatalf("another client's key is another key: %+v", o)
	}
	tab.Sent(1.2, r.Entry, r.Home)
	tab.Served(2, r.Entry, []byte("+OK\r\n"))
	if a := tab.Take(8.6, "ada", "k", sign); a.Action != Repeat || string(a.Answer) != "+OK\r\n" {
		t.Fatalf("answered: %+v", a)
	}
	if a := tab.Take(8.8, "ada", "k", sign); a.Action != Go || a.Ran != "" {
		t.Fatalf("past the memory of the boxes it is new: %+v", a)
	}
}

// What may have run goes nowhere but to the same group, with the time that the module needs to stop in time.
func TestFailedKeyKeepsToItsGroup(t *testing.T) {
	tab := fleet()
	r := tab.Take(1, "ada", "k", sign)
	other := "box0"
	if zoneOf(r.Home) == "room0" {
		other = "box2"
	}
	tab.Sent(1, r.Entry, other) // as if the home had moved meanwhile
	tab.Unserved(4, r.Entry)
	if a := tab.Take(5, "ada", "k", sign); a.Action != Go || a.Ran != other || a.RanAt != 1 {
		t.Fatalf("%+v", a)
	} else {
		tab.Sent(5, a.Entry, "box1")
		tab.Unserved(6, a.Entry)
	}
	if a := tab.Take(8.4, "ada", "k", sign); a.Ran != other || a.RanAt != 1 {
		t.Fatalf("the memory counts from the first send: %+v", a)
	}
	n := tab.Take(1, "ada", "never", sign)
	tab.Sent(1, n.Entry, n.Home)
	tab.NeverRan(n.Entry)
	tab.Unserved(2, n.Entry)
	if a := tab.Take(3, "ada", "never", sign); a.Ran != "" || a.Entry == n.Entry {
		t.Fatalf("what never ran is forgotten: %+v", a)
	}
}

// The home moves only once a dark group's memory is over, and not at all while one box of it can be reached.
func TestDarkHome(t *testing.T) {
	tab := fleet()
	key := ""
	for i := 0; key == ""; i++ {
		if k := fmt.Sprint("key", i); zoneOf(tab.Home(0, k, sign.KeyScope, 7.5)) == "room0" {
			key = k
		}
	}
	home := func(now float64) string { return zoneOf(tab.Home(now, key, sign.KeyScope, 7.5)) }
	tab.Servers(10, rooms(policy.Draining, policy.Removed, 0, 0, 0, 0), true)
	if home(17.4) != "room0" || home(17.6) == "room0" {
		t.Fatalf("by the list: %s then %s, want room0 until 7.5 s are over", home(17.4), home(17.6))
	}
	next := home(17.6)
	tab.Servers(20, rooms(0, policy.Removed, 0, 0, 0, 0), true)
	if home(20) != "room0" {
		t.Fatal("the home comes back with its first box")
	}
	tab.Unreachable(30, "box0")
	tab.Unreachable(31, "box0")
	if home(59) != "room0" || home(61) != next {
		t.Fatalf("by its own connections: %s then %s", home(59), home(61))
	}
	tab.Reached("box0")
	if home(61) != "room0" {
		t.Fatal("reached again")
	}
	tab.Servers(70, rooms(2, 2, 2, 2, 2, 2), true)
	if tab.Home(90, key, sign.KeyScope, 7.5) != "" {
		t.Fatal("no group left")
	}
}

func TestScopes(t *testing.T) {
	tab := fleet()
	if h := tab.Home(0, "k", policy.ScopeAll, 7.5); h != "" {
		t.Fatalf("one memory for all needs no home: %s", h)
	}
	tab.Servers(1, []policy.Server{{ID: "a", Zone: "z", Cell: 1}, {ID: "b", Zone: "z", Cell: 2}}, true)
	seen := map[string]bool{}
	for i := range 50 {
		seen[tab.Home(20, fmt.Sprint(i), policy.ScopeCell, 7.5)] = true
	}
	if len(seen) != 2 {
		t.Fatalf("cells as homes: %v", seen)
	}
}

// Any order of events on two instances: a key that has run in one room within its memory is never led to
// another by an instance that knows of it, and by one that does not as long as the list stands still.
func TestNoKeyInTwoRooms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type run struct {
			zone string
			at   float64
		}
		tabs := []*Table{fleet(), fleet()}
		ran := map[string]run{}
		live := map[*Entry]int{}
		entries := map[int][]*Entry{}
		now := 1.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 1.5).Draw(t, "pause")
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			if len(entries[i]) > 0 && rapid.Bool().Draw(t, "end") {
				e := entries[i][0]
				entries[i] = entries[i][1:]
				if delete(live, e); rapid.Bool().Draw(t, "served") && e.ran != "" {
					tabs[i].Served(now, e, []byte("x"))
				} else {
					tabs[i].Unserved(now, e)
				}
				continue
			}
			r := tabs[i].Take(now, "ada", key, sign)
			if r.Action != Go {
				continue
			}
			if live[r.Entry] > 0 {
				t.Fatalf("two requests of one key under way at one instance")
			}
			live[r.Entry]++
			entries[i] = append(entries[i], r.Entry)
			if r.Ran != "" && now > r.RanAt+sign.KeyTTLS {
				t.Fatalf("led to a memory that is over")
			}
			box := r.Home
			if was, ok := ran[key]; ok && now <= was.at+sign.KeyTTLS && was.zone != zoneOf(box) {
				t.Fatalf("key %s ran in %s at %g, led to %s at %g", key, was.zone, was.at, zoneOf(box), now)
			}
			if rapid.Bool().Draw(t, "runs") {
				tabs[i].Sent(now, r.Entry, box)
				ran[key] = run{zoneOf(box), now}
			}
		}
	})
}

// What is kept is bounded in entries and bytes; what has ended is forgotten in time.
func TestBounds(t *testing.T) {
	tab := fleet()
	big := make([]byte, mostBytes/4+1)
	for i := range 8 {
		r := tab.Take(1, "ada", fmt.Sprint(i), sign)
		tab.Sent(1, r.Entry, r.Home)
		tab.Served(1, r.Entry, big)
	}
	if tab.bytes > mostBytes {
		t.Fatalf("%d bytes kept", tab.bytes)
	}
	if r := tab.Take(2, "ada", "0", sign); r.Action != Go || r.Ran == "" {
		t.Fatalf("an answer given up still leaves the group: %+v", r)
	}
	if r := tab.Take(2, "ada", "7", sign); r.Action != Repeat {
		t.Fatalf("the newest answers stay: %+v", r)
	}
	tab.Take(20, "ada", "new", sign)
	if tab.Len() != 2 || tab.bytes != 0 { // "0" is under way again
		t.Fatalf("%d keys, %d bytes after all have lapsed", tab.Len(), tab.bytes)
	}
}

// Boxes that leave the list for good are forgotten once no key that ran there can be remembered, and their
// groups with them; until then the group is kept and found dark by its time.
func TestAddressesThatChangeForEver(t *testing.T) {
	const ttl = 2.0
	table, now := New(ttl), 1000.0
	most := 0
	for i := range 100_000 {
		now += 0.01
		if i%100 == 0 {
			var list []policy.Server
			for k := range 100 {
				list = append(list, policy.Server{ID: fmt.Sprint("box", i+k), Zone: fmt.Sprint("room", (i+k)/1000), Cell: i / 100})
			}
			table.Servers(now, list, true)
		}
		most = max(most, len(table.boxes))
	}
	if bound := int(100*(goneHold*ttl+1)) + 300; most > bound {
		t.Errorf("%d boxes kept at once, want %d at most", most, bound)
	}
	if n := len(table.groups[policy.ScopeZone]) + len(table.groups[policy.ScopeCell]); n > 40 {
		t.Errorf("%d groups kept", n)
	}
	table = New(ttl)
	table.Servers(0, []policy.Server{{ID: "a", Zone: "x"}, {ID: "b", Zone: "y"}}, true)
	key := ""
	for i := 0; key == ""; i++ { // a key whose home is room x
		if k := fmt.Sprint(i); table.Home(0, k, policy.ScopeZone, ttl) == "a" {
			key = k
		}
	}
	table.Servers(1, []policy.Server{{ID: "b", Zone: "y"}}, true)
	for _, c := range []struct {
		at   float64
		want string
	}{{1.5, "a"}, {3.5, "b"}, {1 + goneHold*ttl + 1, "b"}} {
		table.Servers(c.at, []policy.Server{{ID: "b", Zone: "y"}}, true)
		if got := table.Home(c.at, key, policy.ScopeZone, ttl); got != c.want {
			t.Errorf("at %v the key belongs to %q, want %q", c.at, got, c.want)
		}
	}
	if len(table.boxes) != 1 {
		t.Errorf("%d boxes known, want the one that is listed", len(table.boxes))
	}
}
