// Package links decides which connection to a box carries an attempt, when one more is opened or one is
// closed, and what the end of a connection proves of the attempts on it. It has no I/O, no clock and no
// goroutine; internal/backend carries out what it asks for.
//
// Answers come in the order of the commands, so a connection that holds an attempt given up may be held up
// by it: it takes no more, and is closed once it holds nothing else, so that the box can stop the work.
package links

import (
	"cmp"
	"math"
	"slices"

	"cometpond/internal/core"
	"cometpond/policy"
)

// Effects is what a Box wants done. Its methods are called while one of the Box's methods runs.
type Effects interface {
	Dial() // open a connection: ends in Opened or DialFailed
	// Write has the payload written in the order of the calls. Right before, Writing tells whether it still may.
	Write(l *Link, a core.AttemptID, payload []byte)
	Close(l *Link)                              // ends in Closed
	End(a core.AttemptID, status policy.Status) // the attempt has ended without an answer
}

// Limits bound what a Box uses. Times are in seconds on one clock with those of the methods.
type Limits struct {
	Connections int // open or being opened at once, 1 at least
	Pipeline    int // attempts awaited on one of them, 1 at least
	// RestS is how long a connection is not used after an answer while another one can be had: more than belongs
	// to the answer may still come, and would be taken for the next one's.
	ReuseDelayS  float64
	IdleTimeoutS float64 // a connection that has stood idle for so long is closed and not used any more, 0: none is
}

// Box is the connections to one box. It is not safe for concurrent use.
type Box struct {
	lim     Limits
	fx      Effects
	links   []*Link
	dialing int
	waiting []*flight // for a connection
	flights map[core.AttemptID]*flight
	retired bool
	drains  bool // nothing new goes to the box
}

// Link is one open connection.
type Link struct {
	Conn any // the caller's

	flights []*flight // in the order of the answers to come
	setups  int       // of them, this end's own greeting
	dead    int       // of them, given up
	usedAt  float64   // when it was opened or last answered
	rests   bool      // it has answered, and may have more to say
	last    bool      // it belongs to what the box was before: nothing new goes over it
	closed  bool
}

// flight is what one answer on a link is awaited for.
type flight struct {
	attempt core.AttemptID
	payload []byte
	startBy float64 // not to be written after this time
	until   float64 // its answer is of no use after this time
	link    *Link
	setup   bool
	dead    bool
	written bool  // or about to be
	end     int64 // of the bytes that its connection is to carry, those up to its last one; then it may run
}

// New returns a box without connections.
func New(lim Limits, fx Effects) *Box {
	return &Box{lim: lim, fx: fx, flights: map[core.AttemptID]*flight{}}
}

// Bound changes how many connections there may be; those that stand go on.
func (b *Box) Bound(connections int) { b.lim.Connections = max(1, connections) }

// Send starts an attempt: over an idle connection, else a new one, else one that rests, else in line behind the
// fewest. With no room at all it ends at once as Full: the box has not seen it.
func (b *Box) Send(now float64, a core.AttemptID, payload []byte, timing policy.Timing) {
	f := &flight{attempt: a, payload: payload, startBy: now + min(timing.StartWithinS, timing.AnswerWithinS), until: now + timing.AnswerWithinS}
	b.flights[a] = f
	b.place(now, f)
}

func (b *Box) place(now float64, f *flight) {
	a := f.attempt
	idle, resting, next := b.pick(now)
	switch {
	case b.drains:
		delete(b.flights, a)
		b.fx.End(a, policy.NotSent)
	case idle != nil:
		b.write(idle, f)
	case len(b.links)+b.dialing < b.lim.Connections:
		b.waiting = append(b.waiting, f)
		b.dial()
	case resting != nil:
		b.write(resting, f)
	case next != nil:
		b.write(next, f)
	case len(b.waiting) < (b.dialing+b.closing())*b.lim.Pipeline:
		b.waiting = append(b.waiting, f)
	default:
		delete(b.flights, a)
		b.fx.End(a, policy.Rejected)
	}
}

// closing counts the connections whose end is on its way: each leaves room for a new one.
func (b *Box) closing() (n int) {
	for _, l := range b.links {
		if l.closed {
			n++
		}
	}
	return n
}

func (b *Box) dial() {
	b.dialing++
	b.fx.Dial()
}

// pick returns a connection with nothing out, the one with nothing out that has rested the longest of those that
// still should, and the one with least out that has room.
func (b *Box) pick(now float64) (idle, resting, next *Link) {
	for _, l := range b.links {
		n := len(l.flights) - l.setups
		switch {
		case l.closed || l.last || l.dead > 0:
		case n == 0 && b.lim.IdleTimeoutS > 0 && now-l.usedAt > b.lim.IdleTimeoutS:
			b.close(l) // the box may be closing it, which would reset whatever is written now
		case n == 0 && l.rests && now-l.usedAt < b.lim.ReuseDelayS:
			if resting == nil || l.usedAt < resting.usedAt {
				resting = l
			}
		case n == 0:
			return l, nil, nil
		case n < b.lim.Pipeline && (next == nil || n < len(next.flights)-next.setups):
			next = l
		}
	}
	return nil, resting, next
}

func (b *Box) write(l *Link, f *flight) {
	f.link = l
	l.flights = append(l.flights, f)
	b.fx.Write(l, f.attempt, f.payload)
}

// Writing tells whether an attempt's payload is to be written now, and how many seconds it has. One that was given
// up meanwhile, whose time is over, or whose box drains is taken off its connection: the box never sees it.
func (b *Box) Writing(now float64, l *Link, a core.AttemptID) (leftS float64, may bool) {
	i := slices.IndexFunc(l.flights, func(f *flight) bool { return !f.setup && f.attempt == a })
	if i < 0 {
		return 0, false // its connection has ended
	}
	f := l.flights[i]
	if !f.dead && now <= f.startBy && !b.drains {
		f.written, f.end = true, math.MaxInt64
		return f.until - now, true
	}
	l.flights = slices.Delete(l.flights, i, i+1)
	switch {
	case f.dead:
		l.dead--
	case b.drains || now <= f.until: // the box is not to blame
		delete(b.flights, a)
		b.fx.End(a, policy.NotSent)
	default:
		delete(b.flights, a)
		b.fx.End(a, policy.ConnectFailed)
	}
	b.spent(l)
	b.share(now)
	return 0, false
}

// Out is the number of attempts on a connection that await their answer.
func (l *Link) Out() int { return len(l.flights) - l.setups - l.dead }

// Wrote tells where an attempt that Writing let through ends among the bytes that its connection is to carry.
func (l *Link) Wrote(a core.AttemptID, end int64) {
	if i := slices.IndexFunc(l.flights, func(f *flight) bool { return !f.setup && f.attempt == a }); i >= 0 {
		l.flights[i].end = end
	}
}

// Stale takes the word that a connection has brought something nobody awaits, or has ended, before the attempts on
// it were written. They go over another connection; the box has not seen them. False: others are out on it.
func (b *Box) Stale(now float64, l *Link, unwritten int) bool {
	if len(l.flights) != unwritten || l.closed {
		return false
	}
	flights := l.flights
	l.flights, l.dead = nil, 0
	b.close(l)
	for _, f := range flights {
		if f.link = nil; !f.dead {
			b.place(now, f)
		}
	}
	return true
}

// spent closes a connection on which nothing but what was given up is out, or that is not to be used again.
func (b *Box) spent(l *Link) {
	if l.dead > 0 && l.dead == len(l.flights) || (l.last || b.retired) && len(l.flights) == 0 {
		b.close(l)
	}
}

func (b *Box) close(l *Link) {
	if !l.closed {
		l.closed = true
		b.fx.Close(l)
	}
}

// share gives what waits to connections: one each as they open, and the rest in line once no more is to come.
func (b *Box) share(now float64) {
	for len(b.waiting) > 0 {
		idle, resting, next := b.pick(now)
		if idle == nil && b.dialing == 0 {
			idle = cmp.Or(resting, next)
		}
		if idle == nil {
			break
		}
		f := b.waiting[0]
		b.waiting[0] = nil
		b.waiting = b.waiting[1:]
		b.write(idle, f)
	}
}

// Opened puts a new connection to use. Greetings is how many answers of this end's own come first.
func (b *Box) Opened(now float64, conn any, greetings int) *Link {
	l := &Link{Conn: conn, setups: greetings, usedAt: now}
	for range greetings {
		l.flights = append(l.flights, &flight{setup: true})
	}
	b.dialing--
	b.links = append(b.links, l)
	b.share(now)
	return l
}

// DialFailed ends what waited for a connection that can't be had, unless another one will do: it never ran. Status is
// policy.ConnectFailed, or policy.Moot where the box is not to blame.
func (b *Box) DialFailed(now float64, status policy.Status) {
	b.dialing--
	b.share(now)
	// Those that another dial, or one to come, will not carry can't wait for a busy connection: it may never answer.
	most := (b.dialing + b.closing()) * b.lim.Pipeline
	for len(b.waiting) > most {
		f := b.waiting[len(b.waiting)-1]
		b.waiting = b.waiting[:len(b.waiting)-1]
		delete(b.flights, f.attempt)
		b.fx.End(f.attempt, status)
	}
}

// Withdraw takes back an attempt whose answer nobody needs any more: one that was not written ends as Moot, the
// box never sees it. One that was runs to its end.
func (b *Box) Withdraw(a core.AttemptID) {
	if f := b.flights[a]; f != nil && !f.written {
		b.Cancel(a)
		b.fx.End(a, policy.NotSent)
	}
}

// Cancel gives an attempt up; nothing more is told of it.
func (b *Box) Cancel(a core.AttemptID) {
	f := b.flights[a]
	if f == nil {
		return
	}
	delete(b.flights, a)
	f.dead = true
	if l := f.link; l != nil {
		// One that was not written is taken off by Writing, and the connection serves on.
		if l.dead++; f.written && l.dead == len(l.flights) {
			b.close(l)
		}
		return
	}
	for i, w := range b.waiting {
		if w == f {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// Kind is what an answer belongs to.
type Kind int

// The kinds.
const (
	Unexpected Kind = iota // nothing was awaited: the connection can't be trusted any more
	Greeting               // this end's own
	Late                   // an attempt that was given up
	Live                   // an attempt, which has ended with this answer
)

// Answered matches the next answer on a connection to what it was awaited for.
func (b *Box) Answered(now float64, l *Link) (core.AttemptID, Kind) {
	if len(l.flights) == 0 {
		return core.AttemptID{}, Unexpected
	}
	f := l.flights[0]
	l.flights = l.flights[1:]
	l.usedAt, l.rests = now, true
	kind := Live
	switch {
	case f.setup:
		l.setups--
		kind = Greeting
	case f.dead:
		l.dead--
		kind = Late
	default:
		delete(b.flights, f.attempt)
	}
	b.spent(l)
	b.share(now)
	return f.attempt, kind
}

// Closed ends what was out on a connection: each attempt whose last byte was among those that the system took may have
// run. What was not written, or in part only, never ran; it goes on with others, or with a new one, as does what waits.
func (b *Box) Closed(now float64, l *Link, taken int64) {
	l.closed = true
	for i, o := range b.links {
		if o == l {
			b.links = append(b.links[:i], b.links[i+1:]...)
			break
		}
	}
	flights := l.flights
	l.flights = nil
	for _, f := range flights {
		switch {
		case f.setup || f.dead:
		case f.written && f.end <= taken:
			delete(b.flights, f.attempt)
			b.fx.End(f.attempt, policy.Reset)
		default:
			f.link, f.written = nil, false
			b.place(now, f)
		}
	}
	if len(b.waiting) > b.dialing*b.lim.Pipeline && len(b.links)+b.dialing < b.lim.Connections {
		b.dial()
	}
}

// Drain ends all that has not been written: nothing new goes to the box. Listed takes that back.
func (b *Box) Drain() {
	b.drains = true
	waiting := b.waiting
	b.waiting = nil
	for _, f := range waiting {
		delete(b.flights, f.attempt)
		b.fx.End(f.attempt, policy.NotSent)
	}
}

// Sweep closes connections that have stood idle for too long.
func (b *Box) Sweep(now float64) {
	for _, l := range b.links {
		if b.lim.IdleTimeoutS > 0 && len(l.flights) == 0 && now-l.usedAt > b.lim.IdleTimeoutS {
			b.close(l)
		}
	}
}

// Retire is Drain that closes connections as they become idle: the box is no longer listed.
func (b *Box) Retire() {
	b.Drain()
	b.retired = true
	b.Renew()
}

// Renew has nothing new go over the connections that stand: the box is reached elsewhere from now on, or is another one.
func (b *Box) Renew() {
	for _, l := range b.links {
		l.last = true
		b.spent(l)
	}
}

// Misdialed takes the word that a connection came up to where the box was before: it is not used.
func (b *Box) Misdialed() {
	b.dialing--
	if len(b.waiting) > b.dialing*b.lim.Pipeline && len(b.links)+b.dialing < b.lim.Connections {
		b.dial()
	}
}

// Forgettable tells that nothing is left of a retired box: no connection, none being opened, and no attempt.
func (b *Box) Forgettable() bool {
	return b.retired && len(b.links) == 0 && b.dialing == 0 && len(b.flights) == 0
}

// Listed takes Retire and Drain back.
func (b *Box) Listed() { b.retired, b.drains = false, false }

// Out is the number of attempts without an end.
func (b *Box) Out() int { return len(b.flights) }

// Links counts the open connections, those with nothing out, and the attempts on them that were given up.
func (b *Box) Links() (open, idle, dead int) {
	for _, l := range b.links {
		open++
		dead += l.dead
		if len(l.flights) == 0 {
			idle++
		}
	}
	return open, idle, dead
}
