// Package intake decides how much unfinished input the connections of an instance may hold in memory, and
// who waits when there is no room for more. It has no I/O, no clock and no goroutine.
//
// A command announces its size before its bytes come. A connection that needs more than Limits.Free for it
// asks first and is read no further until it is granted: bytes that wait stay in the sockets. What is
// granted is enough for the whole argument, so that a grant ends by itself; the smallest go first, but none
// passes one that has waited for Limits.PassS. Arguments are asked for one after the other, so those that
// hold one and wait for the next could hold each other up: the one that has waited longest may then use
// Limits.Reserve, which is kept for one at a time.
package intake

import (
	"container/heap"
	"slices"
)

// Limits bound what is held. Bytes, each 1 at least.
type Limits struct {
	FreeBytes            int     // a connection that has logged in holds so much without asking
	TotalBytes           int     // of all that asked
	ReserveBytes         int     // beyond Total, for one at a time: the largest command
	UnauthenticatedBytes int     // of all that have not logged in
	MaxOvertakeS         float64 // seconds after which a waiting connection is passed by none
}

// Decision is the answer to a connection that wants to hold input.
type Decision int

// The verdicts.
const (
	Proceed    Decision = iota // read on
	Wait                       // read no more until granted
	Disconnect                 // there is no room for strangers
)

// Pool is the state of all connections that hold more than they may unasked. It is not safe for concurrent use.
type Pool struct {
	lim       Limits
	held      map[uint64]int // granted, by connection
	used      int            // of Total
	reserved  uint64         // the connection that has the reserve, 0: none
	inReserve int            // bytes of its grants that are
	strangers map[uint64]int
	strange   int
	waiting   map[uint64]*waiter
	bySize    sizes
	byAge     []*waiter // in the order in which they came; those that have gone on are skipped
}

type waiter struct {
	id    uint64
	bytes int // in all, with what it holds
	more  int
	since float64
	index int // in bySize, -1: waits no more
}

// New returns an empty pool.
func New(lim Limits) *Pool {
	return &Pool{lim: lim, held: map[uint64]int{}, strangers: map[uint64]int{}, waiting: map[uint64]*waiter{}}
}

// HoldUnauthenticated tells whether a connection that has not logged in may hold so many bytes.
func (p *Pool) HoldUnauthenticated(id uint64, bytes int) Decision {
	now := p.strange - p.strangers[id] + bytes
	if now > p.lim.UnauthenticatedBytes {
		return Disconnect
	}
	p.strange = now
	if p.strangers[id] = bytes; bytes == 0 {
		delete(p.strangers, id)
	}
	return Proceed
}

// Acquire tells whether a connection, not 0, may hold so many bytes in all. After Wait it is among those that a
// later call returns, unless it leaves first. It returns the others that may go on by now.
func (p *Pool) Acquire(now float64, id uint64, bytes int) (Decision, []uint64) {
	if bytes <= p.lim.FreeBytes || bytes <= p.held[id] {
		return Proceed, nil
	}
	if p.waiting[id] != nil {
		return Wait, nil
	}
	w := &waiter{id: id, bytes: bytes, more: bytes - p.held[id], since: now}
	p.waiting[id] = w
	heap.Push(&p.bySize, w)
	p.byAge = append(p.byAge, w)
	granted := p.Tick(now)
	if i := slices.Index(granted, id); i >= 0 {
		return Proceed, slices.Delete(granted, i, i+1)
	}
	return Wait, granted
}

// Release takes back all that a connection held: its commands are whole. It returns those that may go on.
func (p *Pool) Release(now float64, id uint64) []uint64 {
	if p.held[id] == 0 {
		return nil
	}
	p.free(id)
	return p.Tick(now)
}

// Remove forgets a connection. It returns those that may go on.
func (p *Pool) Remove(now float64, id uint64) []uint64 {
	_ = p.HoldUnauthenticated(id, 0)
	if w := p.waiting[id]; w != nil {
		p.drop(w)
	} else if p.held[id] == 0 {
		return nil
	}
	p.free(id)
	return p.Tick(now)
}

// free returns what a connection holds to the room.
func (p *Pool) free(id uint64) {
	n := p.held[id]
	if p.reserved == id {
		n -= p.inReserve
		p.reserved, p.inReserve = 0, 0
	}
	p.used -= n
	delete(p.held, id)
}

func (p *Pool) drop(w *waiter) {
	heap.Remove(&p.bySize, w.index)
	delete(p.waiting, w.id)
}

// Tick returns the connections that may go on by now. It is to be called once a second while any waits.
func (p *Pool) Tick(now float64) (granted []uint64) {
	for len(p.bySize) > 0 {
		for p.byAge[0].index < 0 {
			p.byAge[0] = nil
			p.byAge = p.byAge[1:]
		}
		w, oldest := p.bySize[0], p.byAge[0]
		aged := now-oldest.since >= p.lim.MaxOvertakeS
		if aged {
			w = oldest
		}
		spare := aged && p.reserved == 0
		if mine := p.waiting[p.reserved]; mine != nil { // who has the reserve has it until its command is whole
			w, spare = mine, true
		}
		switch {
		case p.used+w.more <= p.lim.TotalBytes:
			p.used += w.more
		case spare && p.inReserve+w.more <= p.lim.ReserveBytes:
			p.reserved = w.id
			p.inReserve += w.more
		default:
			return granted
		}
		p.held[w.id] = w.bytes
		p.drop(w)
		granted = append(granted, w.id)
	}
	if len(p.bySize) == 0 {
		p.byAge = nil
	}
	return granted
}

// Counts are what a pool holds now.
type Counts struct {
	GrantedBytes         int // bytes granted, on the reserve too
	UnauthenticatedBytes int // bytes of those that have not logged in
	Waiting              int // connections
}

// Counts returns what is held now.
func (p *Pool) Counts() Counts { return Counts{p.used + p.inReserve, p.strange, len(p.waiting)} }

// sizes is a heap of waiters, the smallest first and of equals the one that came first.
type sizes []*waiter

func (s sizes) Len() int { return len(s) }
func (s sizes) Less(i, j int) bool {
	if s[i].more != s[j].more {
		return s[i].more < s[j].more
	}
	return s[i].since < s[j].since
}
func (s sizes) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}
func (s *sizes) Push(x any) {
	w := x.(*waiter)
	w.index = len(*s)
	*s = append(*s, w)
}
func (s *sizes) Pop() any {
	old := *s
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*s, w.index = old[:len(old)-1], -1
	return w
}
