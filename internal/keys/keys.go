// Package keys decides what becomes of a submission whose key may have been seen before. Groups of boxes
// (all of them, a room, or a cell) drop repeats of a key for a time; nobody drops them across groups. So a
// repeat must reach the group that the first one reached, even through an instance that never heard of it.
//
// Two rules do that. An instance that knows the key joins the repeat to the request under way, repeats its
// answer, or keeps to the group where it may have run. One that does not know it sends the key to its home:
// the group that comes first for this key by rendezvous hashing, the same at every instance. The home moves
// on only when the group has been dark so long that its memory is over (see Home).
//
// The package has no I/O, no clock and no goroutine: time comes in as seconds of the clock that the policy
// module uses. A Table is not safe for concurrent use.
package keys

import (
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"cometpond/policy"
)

// Constants, with their reasons. Times are multiples of a class's key memory.
const (
	// listHold is how long the list must name no usable box of a group before its keys move on. All
	// instances hear the list, so they move together; until then the keys of the group are refused, and
	// what ran there before is older than any repeat that the boxes would have dropped.
	listHold = 1.0
	// ownHold is the same where the list still names boxes but none takes a connection. Other instances may
	// still reach them, so only an outage far longer than the memory counts.
	ownHold = 4.0
	// goneHold is how long a box must be off the list before it is forgotten, in times the longest memory of
	// keys: by then its group is dark by either measure, and no key that ran there is remembered.
	goneHold = 2 * ownHold
	// most is how many keys are remembered; the oldest that have ended go first.
	most = 1 << 18
	// mostBytes bounds the answers kept for repeats; the oldest go first, their group is still known.
	mostBytes = 64 << 20
)

// Action is what to do with a submission.
type Action int

// The actions.
const (
	Go     Action = iota // a request of its own, with the Ruling's Home, Ran and RanAt
	Join                 // it gets the answer of the request under way
	Repeat               // it gets the answer that was given before
)

// Ruling is what the table says of a submission.
type Ruling struct {
	Action Action
	Home   string  // Go: a box of the group to keep to, "" for any
	Ran    string  // Go: a box where an earlier one may have run, "" for none
	RanAt  float64 // when that was sent
	Answer []byte  // Repeat
	Entry  *Entry  // Go: to be told of the request; Join: the one under way
}

// Entry is what is known of one key.
type Entry struct {
	Ref uint64 // for the caller's use: which request is under way

	key    string
	ttl    float64
	live   bool // a request is under way
	ran    string
	first  float64 // first send that may have run
	answer []byte
	served bool
	endAt  float64
}

// Table remembers keys and knows the groups of boxes.
type Table struct {
	entries map[string]*Entry
	ended   []*Entry // oldest first
	bytes   int
	boxes   map[string]*box
	groups  map[policy.KeyScope][]*group
	longest float64 // memory of keys, seconds
}

type box struct {
	policy.Server
	lostAt float64 // since when it takes no connection, 0: it does
	goneAt float64 // since when it is off the list, 0: it is on it
}

// group is the boxes that share a memory of keys.
type group struct {
	name    string
	hash    uint64
	boxes   []*box
	unnamed float64 // since when the list names none that is up, 0: it does
}

// New returns an empty table. Longest is the longest time for which boxes remember a key, seconds.
func New(longest float64) *Table {
	return &Table{longest: longest, entries: map[string]*Entry{}, boxes: map[string]*box{}, groups: map[policy.KeyScope][]*group{}}
}

// Servers takes in the list of boxes, as the policy module does.
func (t *Table) Servers(now float64, list []policy.Server, whole bool) {
	seen := map[string]bool{}
	for _, s := range list {
		seen[s.ID] = true
		b := t.boxes[s.ID]
		if b == nil {
			b = &box{}
			t.boxes[s.ID] = b
		}
		if s.StartedAt > b.StartedAt {
			b.lostAt = 0 // a new process: nothing is known against it
		}
		b.Server = s
	}
	if whole {
		for id, b := range t.boxes {
			if !seen[id] {
				b.State = policy.Removed
			}
		}
	}
	for id, b := range t.boxes {
		switch {
		case b.State != policy.Removed:
			b.goneAt = 0
		case b.goneAt == 0:
			b.goneAt = now
		case now-b.goneAt > goneHold*t.longest:
			delete(t.boxes, id)
		}
	}
	for _, scope := range []policy.KeyScope{policy.ScopeZone, policy.ScopeCell} {
		t.regroup(now, scope)
	}
}

// regroup makes the groups anew and keeps since when each has been without a box that is up. A group stays while
// any of its boxes is known, so that its darkness can be measured.
func (t *Table) regroup(now float64, scope policy.KeyScope) {
	byName := map[string]*group{}
	for _, g := range t.groups[scope] {
		g.boxes = g.boxes[:0]
		byName[g.name] = g
	}
	ids := make([]string, 0, len(t.boxes))
	for id := range t.boxes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	named := map[string]bool{}
	for _, id := range ids {
		b := t.boxes[id]
		name := b.Zone
		if scope == policy.ScopeCell {
			name = fmt.Sprintf("%s/%d", b.Zone, b.Cell)
		}
		named[name] = true
		g := byName[name]
		if g == nil {
			g = &group{name: name, hash: xxh3.HashString(name)}
			byName[name] = g
			t.groups[scope] = append(t.groups[scope], g)
		}
		if b.State == policy.Up {
			g.boxes = append(g.boxes, b)
		}
	}
	for _, g := range t.groups[scope] {
		if len(g.boxes) > 0 {
			g.unnamed = 0
		} else if g.unnamed == 0 {
			g.unnamed = now
		}
	}
	// A group whose boxes are all forgotten has long been dark: not known is the same.
	t.groups[scope] = slices.DeleteFunc(t.groups[scope], func(g *group) bool { return !named[g.name] })
	slices.SortFunc(t.groups[scope], func(a, b *group) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

// Reached notes that a box took a connection or answered.
func (t *Table) Reached(id string) {
	if b := t.boxes[id]; b != nil {
		b.lostAt = 0
	}
}

// Unreachable notes that a box took no connection.
func (t *Table) Unreachable(now float64, id string) {
	if b := t.boxes[id]; b != nil && b.lostAt == 0 {
		b.lostAt = now
	}
}

// dark tells whether a group's memory of keys is surely over for repeats: it has had no usable box for so
// long that whatever it ran is older than the memory.
func (g *group) dark(now, ttl float64) bool {
	if g.unnamed > 0 {
		return now-g.unnamed >= listHold*ttl
	}
	last := 0.0
	for _, b := range g.boxes {
		if b.lostAt == 0 {
			return false
		}
		last = max(last, b.lostAt)
	}
	return now-last >= ownHold*ttl
}

// Home is a box of the group that a key belongs to: the first by rendezvous hashing that is not dark. It
// is "" where one memory serves all, or where no group has a box that is up.
//
// A key whose group is without boxes but not yet dark stays there and is refused: elsewhere it might run
// beside what ran there before. Not covered: an instance that never heard of the key, asked for the repeat
// just after the home came back or while it alone can't reach the group (docs/ingress.md).
func (t *Table) Home(now float64, key string, scope policy.KeyScope, ttl float64) string {
	var best *group
	var high uint64
	for _, g := range t.groups[scope] {
		if score := xxh3.HashStringSeed(key, g.hash); (best == nil || score > high) && !g.dark(now, ttl) {
			best, high = g, score
		}
	}
	if best == nil {
		return ""
	}
	if len(best.boxes) > 0 {
		return best.boxes[0].ID
	}
	for id, b := range t.boxes { // any box that was of the group: it stands for the group alone
		if scope == policy.ScopeZone && b.Zone == best.name ||
			scope == policy.ScopeCell && fmt.Sprintf("%s/%d", b.Zone, b.Cell) == best.name {
			return id
		}
	}
	return ""
}

// Take rules on a submission of a client's key under a keyed class.
func (t *Table) Take(now float64, client, key string, c *policy.Class) Ruling {
	t.sweep(now)
	name := client + "\x00" + key
	e := t.entries[name]
	switch {
	case e == nil:
	case e.live:
		return Ruling{Action: Join, Entry: e}
	case e.served && e.answer != nil && now <= e.first+c.KeyTTLS:
		return Ruling{Action: Repeat, Answer: e.answer, Entry: e}
	case e.ran != "" && now <= e.first+c.KeyTTLS:
		e.live, e.served = true, false
		t.drop(e)
		return Ruling{Action: Go, Home: e.ran, Ran: e.ran, RanAt: e.first, Entry: e}
	default:
		t.forget(e) // its memory is over, or it never ran
	}
	e = &Entry{key: name, ttl: c.KeyTTLS, live: true}
	t.entries[name] = e
	return Ruling{Action: Go, Home: t.Home(now, key, c.KeyScope, c.KeyTTLS), Entry: e}
}

// Sent notes that an attempt goes to a box and may run from now on.
func (t *Table) Sent(now float64, e *Entry, box string) {
	if e.ran == "" {
		e.ran, e.first = box, now
	}
}

// NeverRan takes back the last Sent: the attempt is known not to have run, and it was the only one.
func (t *Table) NeverRan(e *Entry) { e.ran, e.first = "", 0 }

// Served notes the answer of the request under way. The table keeps the bytes.
func (t *Table) Served(now float64, e *Entry, answer []byte) {
	e.served, e.answer = true, answer
	t.bytes += len(answer)
	t.end(now, e)
}

// Unserved notes that the request under way was refused or failed.
func (t *Table) Unserved(now float64, e *Entry) { t.end(now, e) }

func (t *Table) end(now float64, e *Entry) {
	e.live, e.endAt = false, now
	if e.ran == "" && !e.served {
		t.forget(e)
		return
	}
	t.ended = append(t.ended, e)
	for i := 0; t.bytes > mostBytes && i < len(t.ended); i++ {
		if !t.ended[i].live {
			t.drop(t.ended[i])
		}
	}
	t.sweep(now)
}

// drop gives up an answer; the group is still known.
func (t *Table) drop(e *Entry) {
	t.bytes -= len(e.answer)
	e.answer = nil
}

func (t *Table) forget(e *Entry) {
	t.drop(e)
	if t.entries[e.key] == e {
		delete(t.entries, e.key)
	}
}

// sweep forgets what has ended and is past the memory of the boxes, and the oldest beyond the bound.
func (t *Table) sweep(now float64) {
	n := 0
	for n < len(t.ended) {
		e := t.ended[n]
		gone := t.entries[e.key] != e
		if !gone && !e.live && now <= e.first+e.ttl && len(t.entries) <= most {
			break
		}
		if !gone && !e.live {
			t.forget(e)
		}
		n++
	}
	if n > 0 {
		t.ended = t.ended[n:]
	}
}

// Len is the number of keys remembered.
func (t *Table) Len() int { return len(t.entries) }
