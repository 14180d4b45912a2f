// Package keys decides how to handle a submission whose submission key may have been seen before. A group of servers
// (all servers, a zone, or a cell, depending on the class) drops repeats of a key for the key TTL. Repeats that reach
// different groups are not dropped. A repeat must therefore reach the group that the first submission reached, even
// through an instance that has never seen the key.
//
// Two rules achieve this. An instance that knows the key lets the repeat wait for the open request, replays its
// answer, or sends it only to the group where the request may have run. An instance that does not know the key sends
// it to the key's home group, which rendezvous hashing selects alike on every instance. The home of a key changes only
// after its group has been unavailable for so long that the servers no longer remember the key (see HomeServer).
//
// The package has no I/O, no clock and no goroutine. Times are seconds of the clock that the policy module uses. A
// Table is not safe for concurrent use.
package keys

import (
	"fmt"
	"slices"

	"github.com/zeebo/xxh3"

	"cometpond/policy"
)

// Constants with the suffix TTLs are multiples of the key TTL of a class.
const (
	// unlistedHoldTTLs is how long the list must name no usable server of a group before the home of its keys changes.
	// All instances receive the list, so they change together. Until then the keys of the group are refused.
	// After that, whatever ran there is older than any repeat that the servers would have dropped.
	unlistedHoldTTLs = 1.0
	// unreachableHoldTTLs applies instead where the list names servers but none accepts connections. Other instances
	// may still reach them, so only an outage that is much longer than the key TTL counts.
	unreachableHoldTTLs = 4.0
	// removedHoldTTLs is how long a server must be off the list before it is forgotten, in multiples of the longest key
	// TTL. By then its group is unavailable by either rule, and no key that ran there is remembered.
	removedHoldTTLs = 2 * unreachableHoldTTLs
	// maxKeys bounds the keys in a Table. The finished keys that are oldest are removed first.
	maxKeys = 1 << 18
	// maxAnswerBytes bounds the answers kept for replay. The oldest are removed first; their keys keep their group.
	maxAnswerBytes = 64 << 20
)

// Action is what to do with a submission.
type Action int

// The actions.
const (
	Start  Action = iota // start a new request with HomeServer, EarlierServer and EarlierSentAt of the Decision
	Join                 // wait for the answer of the open request with this key
	Replay               // reply with the stored answer
)

// Decision is the table's decision on a submission.
type Decision struct {
	Action        Action
	HomeServer    string  // Start: a server of the only group to use, "" for any group
	EarlierServer string  // Start: a server where an earlier request may have run, "" for none
	EarlierSentAt float64 // when that request was sent
	Answer        []byte  // Replay
	Entry         *Entry  // Start: to report the progress of the request with; Join: the entry of the open request
}

// Entry is the state of one key.
type Entry struct {
	RequestRef uint64 // set and read by the caller: identifies the open request

	key         string
	ttlS        float64
	open        bool // a request is open
	ranOn       string
	firstSentAt float64 // time of the first attempt that may have run
	answer      []byte
	served      bool
	endedAt     float64
}

// Table holds the known keys and the groups of servers.
type Table struct {
	entries     map[string]*Entry
	ended       []*Entry // oldest first
	answerBytes int
	servers     map[string]*server
	groups      map[policy.KeyScope][]*group
	maxTTLS     float64
}

type server struct {
	policy.Server
	unreachableSince float64 // 0: it accepts connections
	removedSince     float64 // 0: it is on the list
}

// group is a set of servers that drop repeats of the same keys.
type group struct {
	name          string
	hash          uint64
	upServers     []*server
	unlistedSince float64 // since when the list names no server of the group that is up, 0: it names one
}

// New returns an empty table. MaxTTLS is the longest time for which servers remember a key, in seconds.
func New(maxTTLS float64) *Table {
	return &Table{maxTTLS: maxTTLS, entries: map[string]*Entry{}, servers: map[string]*server{}, groups: map[policy.KeyScope][]*group{}}
}

// UpdateServers applies a list of servers. If whole is true, servers that the list does not name are removed.
func (tab *Table) UpdateServers(now float64, list []policy.Server, whole bool) {
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		srv := tab.servers[entry.ID]
		if srv == nil {
			srv = &server{}
			tab.servers[entry.ID] = srv
		}
		if entry.StartedAt > srv.StartedAt {
			srv.unreachableSince = 0 // a new process: failures of the old one do not count
		}
		srv.Server = entry
	}
	if whole {
		for id, srv := range tab.servers {
			if !listed[id] {
				srv.State = policy.Removed
			}
		}
	}
	for id, srv := range tab.servers {
		switch {
		case srv.State != policy.Removed:
			srv.removedSince = 0
		case srv.removedSince == 0:
			srv.removedSince = now
		case now-srv.removedSince > removedHoldTTLs*tab.maxTTLS:
			delete(tab.servers, id)
		}
	}
	for _, scope := range []policy.KeyScope{policy.ScopeZone, policy.ScopeCell} {
		tab.regroup(now, scope)
	}
}

// regroup rebuilds the groups of a scope but keeps the time since when each has had no server that is up. A group
// exists as long as any of its servers is known, so that the length of its outage can be measured.
func (tab *Table) regroup(now float64, scope policy.KeyScope) {
	byName := map[string]*group{}
	for _, grp := range tab.groups[scope] {
		grp.upServers = grp.upServers[:0]
		byName[grp.name] = grp
	}
	ids := make([]string, 0, len(tab.servers))
	for id := range tab.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	known := map[string]bool{}
	for _, id := range ids {
		srv := tab.servers[id]
		name := srv.Zone
		if scope == policy.ScopeCell {
			name = fmt.Sprintf("%s/%d", srv.Zone, srv.Cell)
		}
		known[name] = true
		grp := byName[name]
		if grp == nil {
			grp = &group{name: name, hash: xxh3.HashString(name)}
			byName[name] = grp
			tab.groups[scope] = append(tab.groups[scope], grp)
		}
		if srv.State == policy.Up {
			grp.upServers = append(grp.upServers, srv)
		}
	}
	for _, grp := range tab.groups[scope] {
		if len(grp.upServers) > 0 {
			grp.unlistedSince = 0
		} else if grp.unlistedSince == 0 {
			grp.unlistedSince = now
		}
	}
	// A group all of whose servers are forgotten has long been unavailable, so removing it changes no decision.
	tab.groups[scope] = slices.DeleteFunc(tab.groups[scope], func(grp *group) bool { return !known[grp.name] })
	slices.SortFunc(tab.groups[scope], func(a, b *group) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
}

// MarkReachable records that a server accepted a connection or answered.
func (tab *Table) MarkReachable(id string) {
	if srv := tab.servers[id]; srv != nil {
		srv.unreachableSince = 0
	}
}

// MarkUnreachable records that a server accepted no connection.
func (tab *Table) MarkUnreachable(now float64, id string) {
	if srv := tab.servers[id]; srv != nil && srv.unreachableSince == 0 {
		srv.unreachableSince = now
	}
}

// expired reports whether the group has had no usable server for so long that whatever it ran is older than the key
// TTL, so that its servers would drop no repeat any more.
func (grp *group) expired(now, ttlS float64) bool {
	if grp.unlistedSince > 0 {
		return now-grp.unlistedSince >= unlistedHoldTTLs*ttlS
	}
	unreachableSince := 0.0
	for _, srv := range grp.upServers {
		if srv.unreachableSince == 0 {
			return false
		}
		unreachableSince = max(unreachableSince, srv.unreachableSince)
	}
	return now-unreachableSince >= unreachableHoldTTLs*ttlS
}

// HomeServer returns a server of the home group of a key: the first group by rendezvous hashing that has not expired.
// It returns "" where all servers drop repeats together, or where every group has expired.
//
// A key whose home group has no server that is up but has not expired keeps its home and is refused: in another group
// it might run in addition to an earlier run in its home. One case is not covered: an instance that has never seen the
// key receives the repeat just after the home group came back, or while this instance alone cannot reach that group
// (docs/ingress.md).
func (tab *Table) HomeServer(now float64, key string, scope policy.KeyScope, ttlS float64) string {
	var home *group
	var highest uint64
	for _, grp := range tab.groups[scope] {
		if score := xxh3.HashStringSeed(key, grp.hash); (home == nil || score > highest) && !grp.expired(now, ttlS) {
			home, highest = grp, score
		}
	}
	if home == nil {
		return ""
	}
	if len(home.upServers) > 0 {
		return home.upServers[0].ID
	}
	for id, srv := range tab.servers { // any known server of the group: it only identifies the group
		if scope == policy.ScopeZone && srv.Zone == home.name ||
			scope == policy.ScopeCell && fmt.Sprintf("%s/%d", srv.Zone, srv.Cell) == home.name {
			return id
		}
	}
	return ""
}

// Decide decides on a submission of a client's key under a keyed class.
func (tab *Table) Decide(now float64, client, key string, class *policy.Class) Decision {
	tab.sweep(now)
	name := client + "\x00" + key
	entry := tab.entries[name]
	switch {
	case entry == nil:
	case entry.open:
		return Decision{Action: Join, Entry: entry}
	case entry.served && entry.answer != nil && now <= entry.firstSentAt+class.KeyTTLS:
		return Decision{Action: Replay, Answer: entry.answer, Entry: entry}
	case entry.ranOn != "" && now <= entry.firstSentAt+class.KeyTTLS:
		entry.open, entry.served = true, false
		tab.dropAnswer(entry)
		return Decision{Action: Start, HomeServer: entry.ranOn, EarlierServer: entry.ranOn, EarlierSentAt: entry.firstSentAt,
			Entry: entry}
	default:
		tab.remove(entry) // the key TTL is over, or it never ran
	}
	entry = &Entry{key: name, ttlS: class.KeyTTLS, open: true}
	tab.entries[name] = entry
	return Decision{Action: Start, HomeServer: tab.HomeServer(now, key, class.KeyScope, class.KeyTTLS), Entry: entry}
}

// MarkSent records that an attempt is sent to a server and may run from now on.
func (tab *Table) MarkSent(now float64, entry *Entry, serverID string) {
	if entry.ranOn == "" {
		entry.ranOn, entry.firstSentAt = serverID, now
	}
}

// MarkNotRun undoes the last MarkSent: the attempt is known not to have run, and it was the only one.
func (tab *Table) MarkNotRun(entry *Entry) { entry.ranOn, entry.firstSentAt = "", 0 }

// MarkServed records the answer to the open request. The table keeps the slice.
func (tab *Table) MarkServed(now float64, entry *Entry, answer []byte) {
	entry.served, entry.answer = true, answer
	tab.answerBytes += len(answer)
	tab.finish(now, entry)
}

// MarkNotServed records that the open request was refused or failed.
func (tab *Table) MarkNotServed(now float64, entry *Entry) { tab.finish(now, entry) }

func (tab *Table) finish(now float64, entry *Entry) {
	entry.open, entry.endedAt = false, now
	if entry.ranOn == "" && !entry.served {
		tab.remove(entry)
		return
	}
	tab.ended = append(tab.ended, entry)
	for i := 0; tab.answerBytes > maxAnswerBytes && i < len(tab.ended); i++ {
		if !tab.ended[i].open {
			tab.dropAnswer(tab.ended[i])
		}
	}
	tab.sweep(now)
}

// dropAnswer discards the stored answer of an entry. The entry keeps its group.
func (tab *Table) dropAnswer(entry *Entry) {
	tab.answerBytes -= len(entry.answer)
	entry.answer = nil
}

func (tab *Table) remove(entry *Entry) {
	tab.dropAnswer(entry)
	if tab.entries[entry.key] == entry {
		delete(tab.entries, entry.key)
	}
}

// sweep removes finished entries whose key TTL is over, and the oldest ones beyond maxKeys.
func (tab *Table) sweep(now float64) {
	swept := 0
	for swept < len(tab.ended) {
		entry := tab.ended[swept]
		removed := tab.entries[entry.key] != entry
		if !removed && !entry.open && now <= entry.firstSentAt+entry.ttlS && len(tab.entries) <= maxKeys {
			break
		}
		if !removed && !entry.open {
			tab.remove(entry)
		}
		swept++
	}
	if swept > 0 {
		tab.ended = tab.ended[swept:]
	}
}

// Len returns the number of keys in the table.
func (tab *Table) Len() int { return len(tab.entries) }
