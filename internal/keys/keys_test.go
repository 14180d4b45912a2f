package keys

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cometpond/policy"
)

// A fixed seed makes every run test the same histories; -rapid.seed on the command line selects others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var signClass = &policy.Class{Name: "sign", Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 7.5}

func serversByZone(states ...policy.ServerState) []policy.Server {
	var list []policy.Server
	for i, s := range states {
		list = append(list, policy.Server{ID: fmt.Sprint("box", i), Zone: fmt.Sprint("room", i/2), State: s})
	}
	return list
}

func zoneOf(id string) string { return "room" + fmt.Sprint(int(id[3]-'0')/2) }

func newTable() *Table {
	tab := New(2)
	tab.UpdateServers(0, serversByZone(0, 0, 0, 0, 0, 0), true)
	return tab
}

// Two instances that have exchanged nothing choose the same home zone for a key, and the keys spread over all zones.
func TestHomeIsTheSameOnAllInstances(t *testing.T) {
	a, b := newTable(), newTable()
	seen := map[string]int{}
	for i := range 300 {
		k := fmt.Sprint("key", i)
		ha, hb := a.Decide(1, "ada", k, signClass).HomeServer, b.Decide(5, "ada", k, signClass).HomeServer
		if zoneOf(ha) != zoneOf(hb) {
			t.Fatalf("home of %s: %s on one instance, %s on the other", k, ha, hb)
		}
		seen[zoneOf(ha)]++
	}
	for z, n := range seen {
		if len(seen) != 3 || n < 60 {
			t.Fatalf("%s is the home of %d of 300 keys, %d zones have keys", z, n, len(seen))
		}
	}
}

func TestKnownKey(t *testing.T) {
	tab := newTable()
	r := tab.Decide(1, "ada", "k", signClass)
	if r.Action != Start || r.EarlierServer != "" || r.HomeServer == "" {
		t.Fatalf("%+v", r)
	}
	if j := tab.Decide(1.1, "ada", "k", signClass); j.Action != Join || j.Entry != r.Entry {
		t.Fatalf("repeat while the request is open: %+v", j)
	}
	if o := tab.Decide(1.1, "eve", "k", signClass); o.Action != Start {
		t.Fatalf("the same key of another client must start its own request: %+v", o)
	}
	tab.MarkSent(1.2, r.Entry, r.HomeServer)
	tab.MarkServed(2, r.Entry, []byte("+OK\r\n"))
	if a := tab.Decide(8.6, "ada", "k", signClass); a.Action != Replay || string(a.Answer) != "+OK\r\n" {
		t.Fatalf("repeat after the answer: %+v", a)
	}
	if a := tab.Decide(8.8, "ada", "k", signClass); a.Action != Start || a.EarlierServer != "" {
		t.Fatalf("after the key TTL the key must be new: %+v", a)
	}
}

// A request that may have run is repeated only in the same group, and its decision carries the time of the first attempt,
// which the policy module needs to stop before the key TTL is over.
func TestFailedKeyKeepsToItsGroup(t *testing.T) {
	tab := newTable()
	r := tab.Decide(1, "ada", "k", signClass)
	other := "box0"
	if zoneOf(r.HomeServer) == "room0" {
		other = "box2"
	}
	tab.MarkSent(1, r.Entry, other) // as if the home had changed between the decision and the attempt
	tab.MarkNotServed(4, r.Entry)
	if a := tab.Decide(5, "ada", "k", signClass); a.Action != Start || a.EarlierServer != other || a.EarlierSentAt != 1 {
		t.Fatalf("%+v", a)
	} else {
		tab.MarkSent(5, a.Entry, "box1")
		tab.MarkNotServed(6, a.Entry)
	}
	if a := tab.Decide(8.4, "ada", "k", signClass); a.EarlierServer != other || a.EarlierSentAt != 1 {
		t.Fatalf("the key TTL must count from the first attempt: %+v", a)
	}
	fresh := tab.Decide(1, "ada", "never", signClass)
	tab.MarkSent(1, fresh.Entry, fresh.HomeServer)
	tab.MarkNotRun(fresh.Entry)
	tab.MarkNotServed(2, fresh.Entry)
	if a := tab.Decide(3, "ada", "never", signClass); a.EarlierServer != "" || a.Entry == fresh.Entry {
		t.Fatalf("a request that never ran must be forgotten: %+v", a)
	}
}

// The home of a key changes only once its group has been unavailable for the key TTL, and not while one server of the
// group can be reached.
func TestUnavailableHome(t *testing.T) {
	tab := newTable()
	key := ""
	for i := 0; key == ""; i++ {
		if k := fmt.Sprint("key", i); zoneOf(tab.HomeServer(0, k, signClass.KeyScope, 7.5)) == "room0" {
			key = k
		}
	}
	home := func(now float64) string { return zoneOf(tab.HomeServer(now, key, signClass.KeyScope, 7.5)) }
	tab.UpdateServers(10, serversByZone(policy.Draining, policy.Removed, 0, 0, 0, 0), true)
	if home(17.4) != "room0" || home(17.6) == "room0" {
		t.Fatalf("group without listed servers: home %s then %s, want room0 for 7.5 s", home(17.4), home(17.6))
	}
	next := home(17.6)
	tab.UpdateServers(20, serversByZone(0, policy.Removed, 0, 0, 0, 0), true)
	if home(20) != "room0" {
		t.Fatal("the home must be back with the first server of its group")
	}
	tab.MarkUnreachable(30, "box0")
	tab.MarkUnreachable(31, "box0")
	if home(59) != "room0" || home(61) != next {
		t.Fatalf("group with an unreachable server: home %s then %s, want room0 for 30 s", home(59), home(61))
	}
	tab.MarkReachable("box0")
	if home(61) != "room0" {
		t.Fatal("the home must be back once its server is reachable")
	}
	tab.UpdateServers(70, serversByZone(2, 2, 2, 2, 2, 2), true)
	if tab.HomeServer(90, key, signClass.KeyScope, 7.5) != "" {
		t.Fatal("a home was chosen though no group is left")
	}
}

func TestScopes(t *testing.T) {
	tab := newTable()
	if h := tab.HomeServer(0, "k", policy.ScopeAll, 7.5); h != "" {
		t.Fatalf("a key of scope all must have no home: %s", h)
	}
	tab.UpdateServers(1, []policy.Server{{ID: "a", Zone: "z", Cell: 1}, {ID: "b", Zone: "z", Cell: 2}}, true)
	seen := map[string]bool{}
	for i := range 50 {
		seen[tab.HomeServer(20, fmt.Sprint(i), policy.ScopeCell, 7.5)] = true
	}
	if len(seen) != 2 {
		t.Fatalf("want both cells as homes: %v", seen)
	}
}

// In any order of events on two instances, a key that ran in one zone is not sent to another zone within the key TTL: not by an
// instance that knows the key, and not by one that does not know it as long as the list of servers does not change.
func TestNoKeyInTwoZones(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type lastRun struct {
			zone string
			at   float64
		}
		tables := []*Table{newTable(), newTable()}
		ran := map[string]lastRun{}
		open := map[*Entry]int{}
		entries := map[int][]*Entry{}
		now := 1.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 1.5).Draw(t, "pause")
			i := rapid.IntRange(0, 1).Draw(t, "instance")
			key := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
			if len(entries[i]) > 0 && rapid.Bool().Draw(t, "end") {
				entry := entries[i][0]
				entries[i] = entries[i][1:]
				if delete(open, entry); rapid.Bool().Draw(t, "served") && entry.ranOn != "" {
					tables[i].MarkServed(now, entry, []byte("x"))
				} else {
					tables[i].MarkNotServed(now, entry)
				}
				continue
			}
			decision := tables[i].Decide(now, "ada", key, signClass)
			if decision.Action != Start {
				continue
			}
			if open[decision.Entry] > 0 {
				t.Fatalf("two requests of one key are open on one instance")
			}
			open[decision.Entry]++
			entries[i] = append(entries[i], decision.Entry)
			if decision.EarlierServer != "" && now > decision.EarlierSentAt+signClass.KeyTTLS {
				t.Fatalf("an earlier run is reported after its key TTL")
			}
			serverID := decision.HomeServer
			if last, ok := ran[key]; ok && now <= last.at+signClass.KeyTTLS && last.zone != zoneOf(serverID) {
				t.Fatalf("key %s ran in %s at %g and was sent to %s at %g", key, last.zone, last.at, zoneOf(serverID), now)
			}
			if rapid.Bool().Draw(t, "runs") {
				tables[i].MarkSent(now, decision.Entry, serverID)
				ran[key] = lastRun{zoneOf(serverID), now}
			}
		}
	})
}

// Stored answers are bounded in bytes, and finished entries are removed after the key TTL.
func TestBounds(t *testing.T) {
	tab := newTable()
	big := make([]byte, maxAnswerBytes/4+1)
	for i := range 8 {
		r := tab.Decide(1, "ada", fmt.Sprint(i), signClass)
		tab.MarkSent(1, r.Entry, r.HomeServer)
		tab.MarkServed(1, r.Entry, big)
	}
	if tab.answerBytes > maxAnswerBytes {
		t.Fatalf("%d bytes of answers stored", tab.answerBytes)
	}
	if r := tab.Decide(2, "ada", "0", signClass); r.Action != Start || r.EarlierServer == "" {
		t.Fatalf("an entry without its answer must keep its group: %+v", r)
	}
	if r := tab.Decide(2, "ada", "7", signClass); r.Action != Replay {
		t.Fatalf("the newest answer must be kept: %+v", r)
	}
	tab.Decide(20, "ada", "new", signClass)
	if tab.Len() != 2 || tab.answerBytes != 0 { // "0" is open again
		t.Fatalf("%d keys, %d bytes after the key TTL of all entries", tab.Len(), tab.answerBytes)
	}
}

// Servers whose addresses keep changing must not accumulate: a server off the list is forgotten, with its group, once no
// key that ran there can be remembered. Until then the group is kept and expires at its time.
func TestChangingAddressesAreForgotten(t *testing.T) {
	const ttl = 2.0
	table, now := New(ttl), 1000.0
	peak := 0
	for i := range 100_000 {
		now += 0.01
		if i%100 == 0 {
			var list []policy.Server
			for k := range 100 {
				list = append(list, policy.Server{ID: fmt.Sprint("box", i+k), Zone: fmt.Sprint("room", (i+k)/1000), Cell: i / 100})
			}
			table.UpdateServers(now, list, true)
		}
		peak = max(peak, len(table.servers))
	}
	if limit := int(100*(removedHoldTTLs*ttl+1)) + 300; peak > limit {
		t.Errorf("%d servers known at once, want %d at most", peak, limit)
	}
	if n := len(table.groups[policy.ScopeZone]) + len(table.groups[policy.ScopeCell]); n > 40 {
		t.Errorf("%d groups known, want 40 at most", n)
	}
	table = New(ttl)
	table.UpdateServers(0, []policy.Server{{ID: "a", Zone: "x"}, {ID: "b", Zone: "y"}}, true)
	key := ""
	for i := 0; key == ""; i++ { // a key whose home is zone x
		if k := fmt.Sprint(i); table.HomeServer(0, k, policy.ScopeZone, ttl) == "a" {
			key = k
		}
	}
	table.UpdateServers(1, []policy.Server{{ID: "b", Zone: "y"}}, true)
	for _, c := range []struct {
		at   float64
		want string
	}{{1.5, "a"}, {3.5, "b"}, {1 + removedHoldTTLs*ttl + 1, "b"}} {
		table.UpdateServers(c.at, []policy.Server{{ID: "b", Zone: "y"}}, true)
		if got := table.HomeServer(c.at, key, policy.ScopeZone, ttl); got != c.want {
			t.Errorf("at %v the home of the key is %q, want %q", c.at, got, c.want)
		}
	}
	if len(table.servers) != 1 {
		t.Errorf("%d servers known, want the one that is listed", len(table.servers))
	}
}
