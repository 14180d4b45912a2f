package links

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"cometpond/internal/core"
	"cometpond/policy"
)

// The same histories at every run; -rapid.seed on the command line draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// till is the timing of an attempt that may be begun, and answered, until then.
func till(now, until float64) policy.Timing {
	return policy.Timing{StartWithinS: until - now, AnswerWithinS: until - now}
}

// wire records what a box wants done.
type wire struct {
	dials   int
	written map[*Link][]int // attempts by number, in order
	closing []*Link
	ended   map[int]policy.Status
}

func newWire() *wire { return &wire{written: map[*Link][]int{}, ended: map[int]policy.Status{}} }

func (w *wire) Dial() { w.dials++ }
func (w *wire) Write(l *Link, _ core.AttemptID, payload []byte) {
	w.written[l] = append(w.written[l], int(payload[0]))
}
func (w *wire) Close(l *Link) { w.closing = append(w.closing, l) }
func (w *wire) End(a core.AttemptID, s policy.Status) {
	if _, twice := w.ended[a.Index]; twice {
		panic("an attempt ended twice")
	}
	w.ended[a.Index] = s
}

// writing is Writing as a plain answer.
func writing(b *Box, now float64, l *Link, n int) bool {
	_, may := b.Writing(now, l, at(n))
	return may
}

func at(n int) core.AttemptID { return core.AttemptID{Index: n} }

// An attempt that waited for two connections at once is not left behind when both have opened.
func TestNothingIsLeftWaiting(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 2, Pipeline: 2}, w)
	for n := range 4 {
		b.Send(0, at(n), []byte{byte(n)}, till(0, 10))
	}
	x, y := b.Opened(0, nil, 1), b.Opened(0, nil, 1)
	if w.dials != 2 || len(w.written[x])+len(w.written[y]) != 4 {
		t.Fatalf("%d dials, written %v and %v", w.dials, w.written[x], w.written[y])
	}
	b.Send(0, at(4), []byte{4}, till(0, 10))
	if w.ended[4] != policy.Rejected {
		t.Fatalf("beyond the bounds: %v", w.ended)
	}
}

// A connection whose last live answer has come is closed if only given-up attempts are left on it.
func TestClosesBehindTheLastLiveAnswer(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 2}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	l := b.Opened(0, nil, 0)
	b.Send(0, at(1), []byte{1}, till(0, 10))
	b.Cancel(at(1))
	if len(w.closing) != 0 {
		t.Fatal("closed under a live attempt")
	}
	if a, k := b.Answered(0, l); k != Live || a != at(0) || len(w.closing) != 1 {
		t.Fatalf("%v %v, %d closed", a, k, len(w.closing))
	}
}

// Any order of events: bounds are kept, answers meet their own attempts, each attempt ends once, and none is
// left without a connection, a dial or an end.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWire()
		lim := Limits{Connections: rapid.IntRange(1, 3).Draw(t, "connections"), Pipeline: rapid.IntRange(1, 3).Draw(t, "pipeline")}
		b := New(lim, w)
		var open []*Link
		answered, given := map[int]bool{}, map[int]bool{}
		greetings := map[*Link]int{}
		dialed, sent := 0, 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				if sent < 200 {
					b.Send(0, at(sent), []byte{byte(sent)}, till(0, 10))
					sent++
				}
			case 2:
				if dialed < w.dials {
					dialed++
					n := rapid.IntRange(0, 2).Draw(t, "greetings")
					l := b.Opened(0, nil, n)
					greetings[l] = n
					open = append(open, l)
				}
			case 3:
				if dialed < w.dials && rapid.Bool().Draw(t, "fails") {
					dialed++
					b.DialFailed(0, policy.ConnectFailed)
				}
			case 4:
				if len(open) == 0 {
					continue
				}
				l := open[rapid.IntRange(0, len(open)-1).Draw(t, "link")]
				switch a, k := b.Answered(0, l); {
				case greetings[l] > 0:
					if greetings[l]--; k != Greeting {
						t.Fatalf("a greeting's answer was taken for %v", k)
					}
				case len(w.written[l]) == 0:
					if k != Unexpected {
						t.Fatalf("an answer to nothing was taken for %v", k)
					}
				default:
					first := w.written[l][0]
					w.written[l] = w.written[l][1:]
					if a.Index != first || (k == Late) != given[first] {
						t.Fatalf("the answer to %d went to %d as %v", first, a.Index, k)
					}
					answered[first] = true
				}
			case 5:
				if sent > 0 {
					n := rapid.IntRange(0, sent-1).Draw(t, "attempt")
					if _, over := w.ended[n]; !over && !answered[n] {
						given[n] = true
						b.Cancel(at(n))
					}
				}
			case 6:
				var l *Link
				if len(w.closing) > 0 {
					l, w.closing = w.closing[0], w.closing[1:]
				} else if len(open) > 0 && rapid.Bool().Draw(t, "breaks") {
					l = open[0]
				}
				for i, o := range open {
					if o == l {
						open = append(open[:i], open[i+1:]...)
						b.Closed(0, l, math.MaxInt64)
						break
					}
				}
			}
			if len(open)+w.dials-dialed > lim.Connections {
				t.Fatalf("%d open, %d being opened, %d allowed", len(open), w.dials-dialed, lim.Connections)
			}
			for _, l := range open {
				if len(w.written[l]) > lim.Pipeline {
					t.Fatalf("%d in line, %d allowed", len(w.written[l]), lim.Pipeline)
				}
			}
			if len(b.waiting) > 0 && len(open) == 0 && dialed == w.dials {
				t.Fatalf("%d wait for nothing", len(b.waiting))
			}
		}
		for ; dialed < w.dials; dialed++ {
			b.DialFailed(0, policy.ConnectFailed)
		}
		for len(open) > 0 {
			l := open[0]
			open = open[1:]
			b.Closed(0, l, math.MaxInt64)
			for ; dialed < w.dials; dialed++ {
				b.DialFailed(0, policy.ConnectFailed)
			}
		}
		for n := range sent {
			_, ended := w.ended[n]
			if ends := btoi(ended) + btoi(answered[n]); ends > 1 && !given[n] || ends == 0 && !given[n] {
				t.Fatalf("attempt %d has %d ends, given up: %v", n, ends, given[n])
			}
		}
		if b.Out() != 0 {
			t.Fatalf("%d attempts are left", b.Out())
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// What could not be written in time, or was given up before, is taken off its connection: no answer is awaited
// for it, the next answer meets the next attempt, and of its end it is told that it never ran.
func TestTooLateToWrite(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 8}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	l := b.Opened(0, nil, 1)
	for n, until := range []float64{1: 10, 2: 14.5, 3: 14.5, 4: 14.5} {
		if n > 0 {
			b.Send(0, at(n), []byte{byte(n)}, till(0, until))
		}
	}
	b.Cancel(at(2))
	for n, want := range []bool{false, false, false, true, true} {
		if got := writing(b, 14, l, n); got != want {
			t.Errorf("attempt %d: %v, want %v", n, got, want)
		}
	}
	if len(w.ended) != 2 || w.ended[0] != policy.ConnectFailed || w.ended[1] != policy.ConnectFailed {
		t.Fatalf("ended %v", w.ended)
	}
	for _, want := range []struct {
		a core.AttemptID
		k Kind
	}{{core.AttemptID{}, Greeting}, {at(3), Live}, {at(4), Live}, {core.AttemptID{}, Unexpected}} {
		if a, k := b.Answered(0, l); a != want.a || k != want.k {
			t.Fatalf("%v %v, want %v", a, k, want)
		}
	}
	b.Send(0, at(5), []byte{5}, till(0, 20))
	b.Closed(0, l, math.MaxInt64)
	if _, ended := w.ended[5]; writing(b, 14, l, 5) || ended || w.dials != 2 {
		t.Error("what was never written has an end, or no new connection")
	}
	again := b.Opened(0, nil, 0)
	if !writing(b, 14, again, 5) {
		t.Error("what was never written is not written on the new connection")
	}
	b.Closed(0, again, math.MaxInt64)
	if w.ended[5] != policy.Reset {
		t.Errorf("written, and the connection ended: %v", w.ended)
	}
}

// A connection that has answered is left alone for a while, and used all the same where no other can be had.
func TestRestsAfterAnAnswer(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 2, Pipeline: 1, ReuseDelayS: 1}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	x := b.Opened(0, nil, 0)
	b.Answered(2, x)
	b.Send(2.5, at(1), []byte{1}, till(2.5, 10))
	if w.dials != 2 || len(w.written[x]) != 1 {
		t.Fatalf("used while it rests: %d dials, written %v", w.dials, w.written[x])
	}
	y := b.Opened(2.5, nil, 0)
	b.Send(2.6, at(2), []byte{2}, till(2.6, 10))
	if len(w.written[x]) != 2 {
		t.Fatalf("no other can be had, and it is not used: %v", w.written[x])
	}
	b.Answered(2.7, x)
	b.Answered(2.7, y)
	b.Send(4, at(3), []byte{3}, till(4, 10))
	if w.dials != 2 || len(w.written[x]) != 3 {
		t.Fatalf("rested and not used: %d dials, written %v", w.dials, w.written[x])
	}
}

// A connection that has brought what nobody awaits, or has ended, is not written to: the attempt goes elsewhere.
func TestStaleBeforeWriting(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 2}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	x := b.Opened(0, nil, 0)
	if !writing(b, 0, x, 0) {
		t.Fatal("not written")
	}
	b.Send(0, at(1), []byte{1}, till(0, 10))
	if b.Stale(0, x, 1) {
		t.Fatal("stale under an attempt that is out: its answer may be what has come")
	}
	b.Answered(1, x)
	if !b.Stale(1, x, 1) || len(w.closing) != 1 {
		t.Fatalf("still in use, %d closed", len(w.closing))
	}
	b.Closed(1, x, math.MaxInt64)
	y := b.Opened(1, nil, 0)
	if !writing(b, 1, y, 1) || len(w.ended) != 0 {
		t.Fatalf("the attempt is lost: ended %v", w.ended)
	}
}

// To a box that drains goes nothing that was not written: neither what waits for a connection nor what stands in line.
func TestDrains(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 2, Pipeline: 1}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	x := b.Opened(0, nil, 0)
	b.Send(0, at(1), []byte{1}, till(0, 10)) // waits for the second connection
	b.Drain()
	if w.ended[1] != policy.NotSent {
		t.Fatalf("what waits for a connection: %v", w.ended)
	}
	if writing(b, 0, x, 0) || w.ended[0] != policy.NotSent {
		t.Fatalf("what stands in line: %v", w.ended)
	}
	if b.Send(0, at(2), []byte{2}, till(0, 10)); w.ended[2] != policy.NotSent {
		t.Fatalf("what is sent later: %v", w.ended)
	}
	b.Opened(0, nil, 0)
	if b.Listed(); w.dials != 2 {
		t.Fatalf("%d dials", w.dials)
	}
	b.Send(0, at(3), []byte{3}, till(0, 10))
	if !writing(b, 0, x, 3) {
		t.Fatal("listed again and not used")
	}
}

// Idle connections are closed before the box does so, and not used while that is under way.
func TestIdleConnectionsGo(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 1, IdleTimeoutS: 5}, w)
	b.Send(0, at(0), []byte{0}, till(0, 100))
	x := b.Opened(0, nil, 0)
	b.Sweep(20) // out: not idle
	b.Answered(20, x)
	if b.Sweep(24); len(w.closing) != 0 {
		t.Fatal("closed early")
	}
	b.Send(25.5, at(1), []byte{1}, till(25.5, 100))
	if len(w.closing) != 1 || len(w.written[x]) != 1 {
		t.Fatalf("written to a connection about to end: %v, %d closed", w.written[x], len(w.closing))
	}
	if b.Closed(25.6, x, math.MaxInt64); w.dials != 2 {
		t.Fatalf("%d dials, the attempt is left without one", w.dials)
	}
}

// A dial that fails ends what waited for it, though a busy connection stands: it may never answer.
func TestDialFailsBesideABusyConnection(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 2, Pipeline: 1}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	b.Opened(0, nil, 0)
	b.Send(0, at(1), []byte{1}, till(0, 10))
	if b.DialFailed(0.2, policy.ConnectFailed); w.ended[1] != policy.ConnectFailed {
		t.Fatalf("ended %v", w.ended)
	}
}

// A command of which the system took all but a byte never ran when its connection breaks: it goes out whole over another
// one. The one before it, taken whole, may have run.
func TestWrittenInPart(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 2}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	b.Send(0, at(1), []byte{1}, till(0, 10))
	x := b.Opened(0, nil, 0)
	for n, end := range []int64{100, 200} {
		if !writing(b, 0, x, n) {
			t.Fatalf("%d is not written", n)
		}
		x.Wrote(at(n), end)
	}
	b.Closed(0, x, 199)
	if _, ended := w.ended[1]; w.ended[0] != policy.Reset || ended || w.dials != 2 {
		t.Fatalf("ended %v, %d dials", w.ended, w.dials)
	}
	y := b.Opened(0, nil, 0)
	if len(w.written[y]) != 1 || !writing(b, 0, y, 1) {
		t.Fatalf("written %v", w.written[y])
	}
	y.Wrote(at(1), 100)
	if b.Closed(0, y, 100); w.ended[1] != policy.Reset {
		t.Fatalf("taken whole: %v", w.ended)
	}
}

// A box that is gone and listed again is another one, as is one that is reached elsewhere: no connection of before is used.
func TestListedAgain(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 2, Pipeline: 1}, w)
	b.Send(0, at(0), []byte{0}, till(0, 10))
	x := b.Opened(0, nil, 0)
	if !writing(b, 0, x, 0) {
		t.Fatal("not written")
	}
	b.Retire()
	b.Listed()
	b.Answered(1, x)
	if len(w.closing) != 1 {
		t.Fatal("the connection of before stays")
	}
	b.Closed(1, x, math.MaxInt64)
	b.Send(2, at(1), []byte{1}, till(2, 10)) // a dial is on its way when the box moves
	b.Renew()
	if b.Misdialed(); w.dials != 3 {
		t.Fatalf("%d dials, want another one to where the box is now", w.dials)
	}
	if y := b.Opened(2, nil, 0); len(w.written[y]) != 1 {
		t.Fatalf("written %v", w.written)
	}
}

// The box is not to blame.
func TestTooLateToBegin(t *testing.T) {
	w := newWire()
	b := New(Limits{Connections: 1, Pipeline: 1}, w)
	b.Send(0, at(0), []byte{0}, policy.Timing{StartWithinS: 0.2, AnswerWithinS: 10})
	l := b.Opened(0.3, w, 0)
	if _, may := b.Writing(0.3, l, at(0)); may {
		t.Error("begun after its time")
	}
	if w.ended[0] != policy.NotSent {
		t.Errorf("ended as %v, want not sent", w.ended[0])
	}
	b.Send(1, at(1), []byte{1}, policy.Timing{StartWithinS: 0.2, AnswerWithinS: 10})
	if left, may := b.Writing(1.1, l, at(1)); !may || left < 9.8 || left > 9.91 {
		t.Errorf("%v s are left for its answer, may begin %v", left, may)
	}
}
