// Package core owns the decisions of an instance. Machine is the state: the policy module, the table of
// submission keys and the life of each request, with no I/O and no clock. Loop is the one goroutine that
// drives it: it takes events in batches from bounded queues, reads the clock once a batch and hands on what
// is to be done. It knows neither a protocol nor a socket; fronts, backends and peers are interfaces here.
package core

import (
	"context"
	"math"
	"sync"
	"time"

	"cometpond/internal/stall"
	"cometpond/policy"
)

// Backend carries attempts to boxes. Its methods are called by the core's goroutine and must not block.
// Each Send ends in one Loop.Done, unless it was cancelled; each Probe in one Loop.Probed. What could not be
// written in its time is not written any more, and ends as policy.ConnectFailed, or as policy.Moot if its answer might
// still be awaited.
type Backend interface {
	Send(a AttemptID, box string, payload []byte, timing policy.Timing)
	Cancel(a AttemptID, box string)
	Withdraw(a AttemptID, box string) // what was not written ends as policy.Moot, what was goes on
	Probe(box string)
	// Servers tells which boxes there are; connections to others are closed once they are idle.
	UpdateServers(list []policy.Server, whole bool)
}

// Peers carries messages to other instances, which may be lost: to one, or to all of them with policy.Broadcast.
// It must not block.
type Peers interface {
	SendToPeer(instance int, data []byte)
}

// Bounds of the queues into the loop.
const (
	mostCalls = 1 << 14 // calls waiting; one more is refused at once
	mostHeard = 1 << 12 // messages of other instances waiting; one more is dropped, as the network may
	batchMost = 512     // calls between two readings of the clock
	idleWait  = time.Hour
)

// Loop drives a Machine. Its methods may be called from any goroutine; none blocks.
type Loop struct {
	clock   Clock
	machine *Machine
	backend Backend
	peers   Peers

	mu       sync.Mutex
	in       inbox
	closed   bool
	overfull uint64
	dropped  uint64
	counts   Counts
	held     int
	wake     chan struct{}

	// turn is held by whoever drives the machine: Run's goroutine, or a front's that hands calls in while
	// nobody else does. It covers all below.
	turn    sync.Mutex
	running bool
	next    float64 // when Run's goroutine will look again by itself
	fronts  []frontBatch
	spare   inbox
	watch   stall.Watch
	settle  func() // waits until what lies in the sockets has come in
}

type inbox struct {
	calls   []*Call
	gone    []*Call
	back    []*Call
	results []Result
	probes  []policy.ProbeResult
	heard   []message
	lists   []serverList
	drain   bool
}

type message struct {
	from int
	data []byte
}

type serverList struct {
	list  []policy.Server
	whole bool
	taken chan<- struct{}
}

type frontBatch struct {
	front Front
	calls []*Call
}

// Clock is a source of seconds that only goes forward.
type Clock interface {
	Now() float64
}

// wallClock counts monotonically from the wall clock at its start, so that instances share it to about as
// far as their machines' clocks agree, and steps of the wall clock meanwhile do not matter.
type wallClock struct {
	base  float64
	start time.Time
}

// NewClock returns a clock of seconds since 1970, taken once and counted on monotonically.
func NewClock() Clock {
	now := time.Now()
	return wallClock{float64(now.UnixNano()) / 1e9, now}
}

func (c wallClock) Now() float64 { return c.base + time.Since(c.start).Seconds() }

// NewLoop returns a loop that Run drives. Backend and peers may be set later, before Run, with Attach.
func NewLoop(s policy.Settings, seed uint64, clock Clock) (*Loop, error) {
	l := &Loop{clock: clock, wake: make(chan struct{}, 1)}
	l.settle = func() { time.Sleep(time.Duration(stall.SettleS * 1e9)) }
	m, err := NewMachine(s, seed, clock.Now(), (*effects)(l))
	if err != nil {
		return nil, err
	}
	l.machine = m
	return l, nil
}

// Attach sets what carries out attempts and messages. It must come before Run.
func (l *Loop) Attach(b Backend, p Peers) { l.backend, l.peers = b, p }

// SetMaxRequests sets how many requests may be under way at once, 1 at least. It must come before Run.
func (l *Loop) SetMaxRequests(most int) { l.machine.Bound(most) }

// Observe has f called at each event in the life of a request, by whoever drives the machine. It must come before Run.
func (l *Loop) Observe(f func(Event)) { l.machine.Observe(f) }

func (l *Loop) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Submit hands calls in and returns how many were taken, the first ones; the queue has no room for the
// rest, and the caller refuses them. After the loop's end it takes none. The calls may be ruled on at once, on
// the caller's goroutine, which must hold no lock that a Front, a Backend or Peers take.
func (l *Loop) Submit(calls []*Call) int {
	l.mu.Lock()
	n := min(len(calls), mostCalls-len(l.in.calls))
	if l.closed || n < 0 {
		n = 0
	}
	l.in.calls = append(l.in.calls, calls[:n]...)
	l.overfull += uint64(len(calls) - n)
	l.mu.Unlock()
	if n > 0 && !l.drive() {
		l.notify()
	}
	return n
}

// drive takes in what has come on the caller's goroutine, which saves waking another; false if that is left to
// Run's goroutine: it is at work, or has not looked at the clock for so long that it may have to settle first.
func (l *Loop) drive() bool {
	if !l.turn.TryLock() {
		return false
	}
	defer l.turn.Unlock()
	if !l.running || l.watch.Stood(l.clock.Now()) {
		return false
	}
	l.swap()
	l.batch(&l.spare)
	return l.machine.Next() >= l.next
}

// swap takes the inbox, and tells what was counted so far.
func (l *Loop) swap() {
	l.mu.Lock()
	l.in, l.spare = l.spare, l.in
	l.counts, l.held = l.machine.Counts(), l.machine.Held()
	l.mu.Unlock()
}

// Disconnected tells that the client of a taken call will not read its answer.
func (l *Loop) Disconnected(calls []*Call) {
	l.mu.Lock()
	l.in.gone = append(l.in.gone, calls...)
	l.mu.Unlock()
	l.notify()
}

// ReturnUnits hands back what calls for units alone were admitted for.
func (l *Loop) ReturnUnits(calls []*Call) {
	l.mu.Lock()
	l.in.back = append(l.in.back, calls...)
	l.mu.Unlock()
	l.notify()
}

// QueueResults tells how attempts ended. The loop copies the slice.
func (l *Loop) QueueResults(results ...Result) {
	l.mu.Lock()
	l.in.results = append(l.in.results, results...)
	l.mu.Unlock()
	l.notify()
}

// HandleResults is Done that may rule on what follows at once, on the caller's goroutine, which must hold no lock that a
// Front, a Backend or Peers take.
func (l *Loop) HandleResults(results []Result) {
	l.mu.Lock()
	l.in.results = append(l.in.results, results...)
	l.mu.Unlock()
	if !l.drive() {
		l.notify()
	}
}

// QueueProbeResult tells how a probe ended.
func (l *Loop) QueueProbeResult(p policy.ProbeResult) {
	l.mu.Lock()
	l.in.probes = append(l.in.probes, p)
	l.mu.Unlock()
	l.notify()
}

// QueueMessage hands in a message of another instance; the loop keeps data. With too many waiting it is dropped.
func (l *Loop) QueueMessage(from int, data []byte) {
	l.mu.Lock()
	if len(l.in.heard) < mostHeard {
		l.in.heard = append(l.in.heard, message{from, data})
	} else {
		l.dropped++
	}
	l.mu.Unlock()
	l.notify()
}

// UpdateServers hands in the list of boxes. The channel that it returns is closed once the list is in force.
func (l *Loop) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	taken := make(chan struct{})
	l.mu.Lock()
	l.in.lists = append(l.in.lists, serverList{list, whole, taken})
	l.mu.Unlock()
	l.notify()
	return taken
}

// Drain has later calls refused while those under way go on.
func (l *Loop) Drain() {
	l.mu.Lock()
	l.in.drain = true
	l.mu.Unlock()
	l.notify()
}

// Status is what the loop last counted.
type Status struct {
	Counts
	OpenRequests    int    // requests under way
	QueuedCalls     int    // calls not yet looked at
	DroppedMessages uint64 // messages of other instances for which the queue had no room
}

// Status returns the counts as of the last batch.
func (l *Loop) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Counts: l.counts, OpenRequests: l.held, QueuedCalls: len(l.in.calls), DroppedMessages: l.dropped}
	s.Overloaded += l.overfull
	return s
}

// ServerEstimates is what the module holds of each server now. It waits for the machine's turn, so it is for a trace alone.
func (l *Loop) ServerEstimates() []policy.ServerEstimate {
	l.turn.Lock()
	defer l.turn.Unlock()
	return l.machine.gate.ServerEstimates(l.clock.Now())
}

// Run drives the machine until ctx is over, then settles what is left. It returns once every call that was
// taken has its answer.
func (l *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	l.turn.Lock()
	l.running = true
	for ctx.Err() == nil {
		l.swap()
		if l.batch(&l.spare) {
			l.turn.Unlock() // others may have waited for it
			l.turn.Lock()
			continue
		}
		now, wait := l.clock.Now(), idleWait
		if l.next = l.machine.Next(); !math.IsInf(l.next, 1) {
			wait = time.Duration(max(l.next-now, 0) * 1e9)
		}
		l.turn.Unlock()
		timer.Reset(wait)
		select {
		case <-l.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		l.turn.Lock()
	}
	defer l.turn.Unlock()
	l.running = false
	l.batch(&l.spare)
	l.mu.Lock()
	l.closed = true
	rest := l.in
	l.in = inbox{}
	l.mu.Unlock()
	l.batch(&rest)
	l.machine.Settle(l.clock.Now())
	l.flush()
	l.mu.Lock()
	l.counts, l.held = l.machine.Counts(), l.machine.Held()
	l.mu.Unlock()
}

// batch takes in all that has come and carries out what is due; false if there was nothing.
func (l *Loop) batch(in *inbox) bool {
	m, now := l.machine, l.clock.Now()
	if l.watch.Look(now) {
		now = l.recover(in)
	}
	some := len(in.calls)+len(in.gone)+len(in.back)+len(in.results)+len(in.probes)+len(in.heard)+len(in.lists) > 0 ||
		in.drain || m.Next() <= now
	if !some {
		return false
	}
	for _, s := range in.lists {
		m.Servers(now, s.list, s.whole)
		if l.backend != nil {
			l.backend.UpdateServers(s.list, s.whole)
		}
		close(s.taken)
	}
	if len(in.gone) > 0 { // before anything is sent on for them
		m.Gone(now, in.gone...)
	}
	for _, r := range in.results {
		m.Result(now, r)
	}
	for _, p := range in.probes {
		m.Probed(now, p)
	}
	for _, h := range in.heard {
		m.Peer(now, h.from, h.data)
	}
	m.Tick(now)
	if in.drain {
		m.Drain()
	}
	for _, c := range in.back {
		m.Return(now, c)
	}
	for i, c := range in.calls {
		if i > 0 && i%batchMost == 0 {
			l.flush()
			now = l.clock.Now()
			m.Tick(now)
		}
		m.Take(now, c)
	}
	l.flush()
	in.reset()
	return true
}

// recover is what comes first after this process stood still: all that lay in the sockets comes in, lists of
// boxes are in force before anything is decided, and what other instances told is dropped.
func (l *Loop) recover(in *inbox) (now float64) {
	l.settle()
	l.mu.Lock()
	in.calls = append(in.calls, l.in.calls...)
	in.gone = append(in.gone, l.in.gone...)
	in.back = append(in.back, l.in.back...)
	in.results = append(in.results, l.in.results...)
	in.probes = append(in.probes, l.in.probes...)
	in.lists = append(in.lists, l.in.lists...)
	in.drain = in.drain || l.in.drain
	l.dropped += uint64(len(in.heard) + len(l.in.heard))
	l.in.reset()
	l.mu.Unlock()
	clear(in.heard)
	in.heard = in.heard[:0]
	now = l.clock.Now()
	l.watch.Look(now)
	return now
}

// reset empties an inbox and keeps its room, but nothing that it pointed to.
func (in *inbox) reset() {
	clear(in.calls)
	clear(in.gone)
	clear(in.back)
	clear(in.results)
	clear(in.heard)
	clear(in.lists)
	*in = inbox{calls: in.calls[:0], gone: in.gone[:0], back: in.back[:0], results: in.results[:0], probes: in.probes[:0],
		heard: in.heard[:0], lists: in.lists[:0]}
}

// flush hands the answers of a batch to their fronts.
func (l *Loop) flush() {
	for i := range l.fronts {
		f := &l.fronts[i]
		if len(f.calls) > 0 {
			f.front.Answered(f.calls)
			clear(f.calls)
			f.calls = f.calls[:0]
		}
	}
}

// effects is the Loop as its Machine sees it.
type effects Loop

func (l *effects) Send(a AttemptID, box string, payload []byte, timing policy.Timing) {
	l.backend.Send(a, box, payload, timing)
}
func (l *effects) Cancel(a AttemptID, box string) { l.backend.Cancel(a, box) }
func (l *effects) Withdraw(a AttemptID, box string) {
	l.backend.Withdraw(a, box)
}
func (l *effects) Probe(box string) { l.backend.Probe(box) }

func (l *effects) SendToPeer(instance int, data []byte) {
	if l.peers != nil {
		l.peers.SendToPeer(instance, data)
	}
}

func (l *effects) Answered(c *Call) {
	for i := range l.fronts {
		if l.fronts[i].front == c.Front {
			l.fronts[i].calls = append(l.fronts[i].calls, c)
			return
		}
	}
	l.fronts = append(l.fronts, frontBatch{c.Front, []*Call{c}})
}
