// Package intake bounds the memory that unfinished input takes over all connections of an instance, and decides which
// connections wait when the limit is reached. It has no I/O, no clock and no goroutine.
//
// A command announces its size before its bytes arrive. A connection that needs more than Limits.FreeBytes for it asks
// the Pool first, and is not read until the Pool grants the memory; meanwhile its bytes stay in the socket buffer. A
// grant covers the whole argument, so it does not depend on a further grant to be released. The smallest requests
// are granted first, but none overtakes a connection that has waited for Limits.MaxOvertakeS. A command requests the
// memory of its arguments one after the other, so connections that hold memory for one argument while they wait for
// the next could block each other. Therefore the connection that has waited longest may use Limits.ReserveBytes,
// which is kept for one connection at a time.
//
// With Limits.MaxWaitS no connection waits for longer: a client that announces a command and does not send it must not keep
// others unread. A connection whose command has not arrived that long after its grant loses the grant as soon as another
// one needs it, and one that has waited that long gives up. The commands of both are skipped: read without being kept,
// and refused. Connections that skip a command hold no memory.
package intake

import (
	"container/heap"
	"math"
	"slices"
)

// Limits bound the input memory. Each number of bytes is at least 1.
type Limits struct {
	FreeBytes            int     // that an authenticated connection may hold without a grant
	TotalBytes           int     // of all grants, without the reserve
	ReserveBytes         int     // beyond TotalBytes, for one connection at a time: the size of the largest command
	UnauthenticatedBytes int     // of all connections that have not authenticated
	MaxOvertakeS         float64 // seconds after which no other connection overtakes a waiting one
	MaxWaitS             float64 // seconds that a connection may wait, or keep a grant that another one needs; 0: no limit
}

// Decision is the answer to a connection that needs memory for input.
type Decision int

// The decisions.
const (
	Proceed    Decision = iota // continue to read
	Wait                       // do not read until granted
	Disconnect                 // close the connection: the memory for unauthenticated connections is used up
)

// Pool holds the grants of all connections and the connections that wait for one. It is not safe for concurrent use.
type Pool struct {
	lim                  Limits
	granted              map[uint64]int     // bytes by connection
	grantedAt            map[uint64]float64 // time of a connection's first grant for its current command
	skipped              []uint64           // connections that must skip their command, for TakeSkipped
	used                 int                // bytes of TotalBytes in use
	reserveHolder        uint64             // the connection that uses the reserve, 0: none
	reserveUsed          int                // bytes of the reserve in use
	unauthenticated      map[uint64]int     // bytes by connection
	unauthenticatedBytes int
	waiting              map[uint64]*waiter
	bySize               sizeHeap
	byAge                []*waiter // in the order of arrival; may still contain waiters that have been granted or removed
}

type waiter struct {
	id    uint64
	total int // bytes that the connection needs, with those that it holds
	more  int // bytes that it needs in addition
	since float64
	index int // in bySize, -1: no longer waiting
}

// New returns an empty pool.
func New(lim Limits) *Pool {
	return &Pool{lim: lim, granted: map[uint64]int{}, grantedAt: map[uint64]float64{}, unauthenticated: map[uint64]int{}, waiting: map[uint64]*waiter{}}
}

// HoldUnauthenticated decides whether a connection that has not authenticated may hold that many bytes, and records
// them if so. With 0 bytes it forgets the connection.
func (pool *Pool) HoldUnauthenticated(id uint64, bytes int) Decision {
	newTotal := pool.unauthenticatedBytes - pool.unauthenticated[id] + bytes
	if newTotal > pool.lim.UnauthenticatedBytes {
		return Disconnect
	}
	pool.unauthenticatedBytes = newTotal
	if pool.unauthenticated[id] = bytes; bytes == 0 {
		delete(pool.unauthenticated, id)
	}
	return Proceed
}

// Acquire decides whether a connection, whose id is not 0, may hold that many bytes in total. After Wait, a later call
// of a method of the pool returns the connection once it is granted, unless it is removed first. Acquire also returns
// the other connections that may continue now.
func (pool *Pool) Acquire(now float64, id uint64, bytes int) (Decision, []uint64) {
	if bytes <= pool.lim.FreeBytes || bytes <= pool.granted[id] {
		return Proceed, nil
	}
	if pool.waiting[id] != nil {
		return Wait, nil
	}
	w := &waiter{id: id, total: bytes, more: bytes - pool.granted[id], since: now}
	pool.waiting[id] = w
	heap.Push(&pool.bySize, w)
	pool.byAge = append(pool.byAge, w)
	granted := pool.Tick(now)
	if i := slices.Index(granted, id); i >= 0 {
		return Proceed, slices.Delete(granted, i, i+1)
	}
	return Wait, granted
}

// Release takes back all that a connection was granted, because its commands are complete. It returns the connections
// that may continue now.
func (pool *Pool) Release(now float64, id uint64) []uint64 {
	if pool.granted[id] == 0 {
		return nil
	}
	pool.releaseGrant(id)
	return pool.Tick(now)
}

// Renew has the time that a granted command may take to arrive begin anew, because another command uses the grant.
func (pool *Pool) Renew(now float64, id uint64) {
	if _, granted := pool.grantedAt[id]; granted {
		pool.grantedAt[id] = now
	}
}

// Remove forgets a connection. It returns the connections that may continue now.
func (pool *Pool) Remove(now float64, id uint64) []uint64 {
	_ = pool.HoldUnauthenticated(id, 0)
	if w := pool.waiting[id]; w != nil {
		pool.removeWaiter(w)
	} else if pool.granted[id] == 0 {
		return nil
	}
	pool.releaseGrant(id)
	return pool.Tick(now)
}

// releaseGrant returns the bytes of a connection to the total and to the reserve.
func (pool *Pool) releaseGrant(id uint64) {
	bytes := pool.granted[id]
	if pool.reserveHolder == id {
		bytes -= pool.reserveUsed
		pool.reserveHolder, pool.reserveUsed = 0, 0
	}
	pool.used -= bytes
	delete(pool.granted, id)
	delete(pool.grantedAt, id)
}

func (pool *Pool) removeWaiter(w *waiter) {
	heap.Remove(&pool.bySize, w.index)
	delete(pool.waiting, w.id)
}

// TakeSkipped returns the connections that must skip their command, because they have waited too long or have lost their
// grant to others, and forgets them. They hold nothing any more. It must be called after each method that can grant.
func (pool *Pool) TakeSkipped() []uint64 {
	skipped := pool.skipped
	pool.skipped = nil
	return skipped
}

// Tracks reports whether a connection holds a grant or waits for one.
func (pool *Pool) Tracks(id uint64) bool { return pool.granted[id] > 0 || pool.waiting[id] != nil }

// Tick grants what is possible now and returns the connections that may continue. It must be called once a second
// while any connection waits, and when one has waited for Limits.MaxWaitS.
func (pool *Pool) Tick(now float64) (granted []uint64) {
	granted = pool.grantWaiting(now)
	if pool.lim.MaxWaitS <= 0 {
		return granted
	}
	for len(pool.bySize) > 0 && pool.revokeSlowest(now) {
		granted = append(granted, pool.grantWaiting(now)...)
	}
	for _, w := range slices.Clone(pool.bySize) {
		if now-w.since >= pool.lim.MaxWaitS {
			pool.removeWaiter(w)
			pool.releaseGrant(w.id)
			pool.skipped = append(pool.skipped, w.id)
		}
	}
	return append(granted, pool.grantWaiting(now)...)
}

// revokeSlowest takes back the oldest grant, if its command has had Limits.MaxWaitS to arrive, and reports whether it did.
// Connections that wait for more keep their grant until they give up.
func (pool *Pool) revokeSlowest(now float64) bool {
	slowest, oldest := uint64(0), math.Inf(1)
	for id, at := range pool.grantedAt {
		if pool.waiting[id] == nil && (at < oldest || at == oldest && id < slowest) {
			slowest, oldest = id, at
		}
	}
	if slowest == 0 || now-oldest < pool.lim.MaxWaitS {
		return false
	}
	pool.releaseGrant(slowest)
	pool.skipped = append(pool.skipped, slowest)
	return true
}

// grantWaiting grants what is possible now and returns the connections that may continue.
func (pool *Pool) grantWaiting(now float64) (granted []uint64) {
	for len(pool.bySize) > 0 {
		for pool.byAge[0].index < 0 {
			pool.byAge[0] = nil
			pool.byAge = pool.byAge[1:]
		}
		next, oldest := pool.bySize[0], pool.byAge[0]
		overdue := now-oldest.since >= pool.lim.MaxOvertakeS
		if overdue {
			next = oldest
		}
		mayUseReserve := overdue && pool.reserveHolder == 0
		if holder := pool.waiting[pool.reserveHolder]; holder != nil { // it keeps the reserve until its command is complete
			next, mayUseReserve = holder, true
		}
		switch {
		case pool.used+next.more <= pool.lim.TotalBytes:
			pool.used += next.more
		case mayUseReserve && pool.reserveUsed+next.more <= pool.lim.ReserveBytes:
			pool.reserveHolder = next.id
			pool.reserveUsed += next.more
		default:
			return granted
		}
		pool.granted[next.id] = next.total
		if _, granted := pool.grantedAt[next.id]; !granted {
			pool.grantedAt[next.id] = now
		}
		pool.removeWaiter(next)
		granted = append(granted, next.id)
	}
	if len(pool.bySize) == 0 {
		pool.byAge = nil
	}
	return granted
}

// Counts are the current figures of a pool.
type Counts struct {
	GrantedBytes         int // bytes granted, with those of the reserve
	UnauthenticatedBytes int // bytes held by connections that have not authenticated
	Waiting              int // connections that wait for a grant
}

// Counts returns the current figures.
func (pool *Pool) Counts() Counts {
	return Counts{pool.used + pool.reserveUsed, pool.unauthenticatedBytes, len(pool.waiting)}
}

// sizeHeap is a heap of waiters: the smallest request first, and of equal ones the one that came first.
type sizeHeap []*waiter

func (h sizeHeap) Len() int { return len(h) }
func (h sizeHeap) Less(i, j int) bool {
	if h[i].more != h[j].more {
		return h[i].more < h[j].more
	}
	return h[i].since < h[j].since
}
func (h sizeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *sizeHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *sizeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h, last.index = old[:len(old)-1], -1
	return last
}
