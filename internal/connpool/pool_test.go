package connpool

import (
	"flag"
	"math"
	"testing"

	"pgregory.net/rapid"

	"cometpond/internal/core"
	"cometpond/policy"
)

// Every run draws the same histories; -rapid.seed on the command line draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// deadline is the timing of an attempt that must be started, and answered, by the time until.
func deadline(now, until float64) policy.Timing {
	return policy.Timing{StartWithinS: until - now, AnswerWithinS: until - now}
}

// record is what a pool has decided.
type record struct {
	dials   int
	written map[*Conn][]int // numbers of attempts, in order
	closing []*Conn
	ended   map[int]policy.Status
}

func newRecord() *record { return &record{written: map[*Conn][]int{}, ended: map[int]policy.Status{}} }

func (rec *record) Dial() { rec.dials++ }
func (rec *record) Write(conn *Conn, _ core.AttemptID, payload []byte) {
	rec.written[conn] = append(rec.written[conn], int(payload[0]))
}
func (rec *record) Close(conn *Conn) { rec.closing = append(rec.closing, conn) }
func (rec *record) End(attempt core.AttemptID, status policy.Status) {
	if _, twice := rec.ended[attempt.Index]; twice {
		panic("an attempt ended twice")
	}
	rec.ended[attempt.Index] = status
}

// startWrite is StartWrite without the remaining time.
func startWrite(pool *Pool, now float64, conn *Conn, n int) bool {
	_, ok := pool.StartWrite(now, conn, attempt(n))
	return ok
}

func attempt(n int) core.AttemptID { return core.AttemptID{Index: n} }

// Attempts that wait for two connections at once are all written when both have opened.
func TestAllWaitingAttemptsAreWritten(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 2, Pipeline: 2}, rec)
	for n := range 4 {
		pool.Send(0, attempt(n), []byte{byte(n)}, deadline(0, 10))
	}
	first, second := pool.Opened(0, nil, 1), pool.Opened(0, nil, 1)
	if rec.dials != 2 || len(rec.written[first])+len(rec.written[second]) != 4 {
		t.Fatalf("%d dials, written %v and %v", rec.dials, rec.written[first], rec.written[second])
	}
	pool.Send(0, attempt(4), []byte{4}, deadline(0, 10))
	if rec.ended[4] != policy.Rejected {
		t.Fatalf("beyond the limits: %v", rec.ended)
	}
}

// A connection is closed after the last reply to a live attempt if only cancelled attempts are left on it.
func TestConnectionWithOnlyCancelledAttemptsIsClosed(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 2}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	conn := pool.Opened(0, nil, 0)
	pool.Send(0, attempt(1), []byte{1}, deadline(0, 10))
	pool.Cancel(attempt(1))
	if len(rec.closing) != 0 {
		t.Fatal("closed while an attempt is in flight")
	}
	if a, kind := pool.MatchReply(0, conn); kind != AttemptReply || a != attempt(0) || len(rec.closing) != 1 {
		t.Fatalf("%v %v, %d closed", a, kind, len(rec.closing))
	}
}

// In any order of events the limits are kept, replies match their attempts, each attempt ends once, and none is left
// without a connection, a dial or an end.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := newRecord()
		limits := Limits{Connections: rapid.IntRange(1, 3).Draw(t, "connections"), Pipeline: rapid.IntRange(1, 3).Draw(t, "pipeline")}
		pool := New(limits, rec)
		var open []*Conn
		answered, cancelled := map[int]bool{}, map[int]bool{}
		greetings := map[*Conn]int{}
		dialed, sent := 0, 0
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				if sent < 200 {
					pool.Send(0, attempt(sent), []byte{byte(sent)}, deadline(0, 10))
					sent++
				}
			case 2:
				if dialed < rec.dials {
					dialed++
					n := rapid.IntRange(0, 2).Draw(t, "greetings")
					conn := pool.Opened(0, nil, n)
					greetings[conn] = n
					open = append(open, conn)
				}
			case 3:
				if dialed < rec.dials && rapid.Bool().Draw(t, "fails") {
					dialed++
					pool.DialFailed(0, policy.ConnectFailed)
				}
			case 4:
				if len(open) == 0 {
					continue
				}
				conn := open[rapid.IntRange(0, len(open)-1).Draw(t, "link")]
				switch a, kind := pool.MatchReply(0, conn); {
				case greetings[conn] > 0:
					if greetings[conn]--; kind != GreetingReply {
						t.Fatalf("the reply to a greeting was matched as %v", kind)
					}
				case len(rec.written[conn]) == 0:
					if kind != UnexpectedReply {
						t.Fatalf("an unexpected reply was matched as %v", kind)
					}
				default:
					first := rec.written[conn][0]
					rec.written[conn] = rec.written[conn][1:]
					if a.Index != first || (kind == LateReply) != cancelled[first] {
						t.Fatalf("the reply to %d was matched to %d as %v", first, a.Index, kind)
					}
					answered[first] = true
				}
			case 5:
				if sent > 0 {
					n := rapid.IntRange(0, sent-1).Draw(t, "attempt")
					if _, ended := rec.ended[n]; !ended && !answered[n] {
						cancelled[n] = true
						pool.Cancel(attempt(n))
					}
				}
			case 6:
				var conn *Conn
				if len(rec.closing) > 0 {
					conn, rec.closing = rec.closing[0], rec.closing[1:]
				} else if len(open) > 0 && rapid.Bool().Draw(t, "breaks") {
					conn = open[0]
				}
				for i, other := range open {
					if other == conn {
						open = append(open[:i], open[i+1:]...)
						pool.Closed(0, conn, math.MaxInt64)
						break
					}
				}
			}
			if len(open)+rec.dials-dialed > limits.Connections {
				t.Fatalf("%d open, %d being opened, limit %d", len(open), rec.dials-dialed, limits.Connections)
			}
			for _, conn := range open {
				if len(rec.written[conn]) > limits.Pipeline {
					t.Fatalf("%d attempts on one connection, limit %d", len(rec.written[conn]), limits.Pipeline)
				}
			}
			if len(pool.waiting) > 0 && len(open) == 0 && dialed == rec.dials {
				t.Fatalf("%d attempts wait, and no connection is open or being opened", len(pool.waiting))
			}
		}
		for ; dialed < rec.dials; dialed++ {
			pool.DialFailed(0, policy.ConnectFailed)
		}
		for len(open) > 0 {
			conn := open[0]
			open = open[1:]
			pool.Closed(0, conn, math.MaxInt64)
			for ; dialed < rec.dials; dialed++ {
				pool.DialFailed(0, policy.ConnectFailed)
			}
		}
		for n := range sent {
			_, ended := rec.ended[n]
			if ends := btoi(ended) + btoi(answered[n]); ends > 1 && !cancelled[n] || ends == 0 && !cancelled[n] {
				t.Fatalf("attempt %d has %d ends, cancelled: %v", n, ends, cancelled[n])
			}
		}
		if pool.InFlight() != 0 {
			t.Fatalf("%d attempts are left", pool.InFlight())
		}
	})
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// An attempt that could not be written in time, or was cancelled before, is taken off its connection: no reply is awaited
// for it, the next reply goes to the next attempt, and its end is reported as one that never ran.
func TestTooLateToWrite(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 8}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	conn := pool.Opened(0, nil, 1)
	for n, until := range []float64{1: 10, 2: 14.5, 3: 14.5, 4: 14.5} {
		if n > 0 {
			pool.Send(0, attempt(n), []byte{byte(n)}, deadline(0, until))
		}
	}
	pool.Cancel(attempt(2))
	for n, want := range []bool{false, false, false, true, true} {
		if got := startWrite(pool, 14, conn, n); got != want {
			t.Errorf("attempt %d: %v, want %v", n, got, want)
		}
	}
	if len(rec.ended) != 2 || rec.ended[0] != policy.ConnectFailed || rec.ended[1] != policy.ConnectFailed {
		t.Fatalf("ended %v", rec.ended)
	}
	for _, want := range []struct {
		attempt core.AttemptID
		kind    ReplyKind
	}{{core.AttemptID{}, GreetingReply}, {attempt(3), AttemptReply}, {attempt(4), AttemptReply}, {core.AttemptID{}, UnexpectedReply}} {
		if a, kind := pool.MatchReply(0, conn); a != want.attempt || kind != want.kind {
			t.Fatalf("%v %v, want %v", a, kind, want)
		}
	}
	pool.Send(0, attempt(5), []byte{5}, deadline(0, 20))
	pool.Closed(0, conn, math.MaxInt64)
	if _, ended := rec.ended[5]; startWrite(pool, 14, conn, 5) || ended || rec.dials != 2 {
		t.Error("an unwritten attempt has ended, or no new connection is opened for it")
	}
	next := pool.Opened(0, nil, 0)
	if !startWrite(pool, 14, next, 5) {
		t.Error("an unwritten attempt is not written on the new connection")
	}
	pool.Closed(0, next, math.MaxInt64)
	if rec.ended[5] != policy.Reset {
		t.Errorf("written, and the connection ended: %v", rec.ended)
	}
}

// A connection that has received a reply is not used for Limits.ReuseDelayS, unless no other connection is available.
func TestReuseDelay(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 2, Pipeline: 1, ReuseDelayS: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	first := pool.Opened(0, nil, 0)
	pool.MatchReply(2, first)
	pool.Send(2.5, attempt(1), []byte{1}, deadline(2.5, 10))
	if rec.dials != 2 || len(rec.written[first]) != 1 {
		t.Fatalf("used within the delay: %d dials, written %v", rec.dials, rec.written[first])
	}
	second := pool.Opened(2.5, nil, 0)
	pool.Send(2.6, attempt(2), []byte{2}, deadline(2.6, 10))
	if len(rec.written[first]) != 2 {
		t.Fatalf("not used although no other connection is available: %v", rec.written[first])
	}
	pool.MatchReply(2.7, first)
	pool.MatchReply(2.7, second)
	pool.Send(4, attempt(3), []byte{3}, deadline(4, 10))
	if rec.dials != 2 || len(rec.written[first]) != 3 {
		t.Fatalf("not used after the delay: %d dials, written %v", rec.dials, rec.written[first])
	}
}

// Nothing is written to a connection that has received unexpected data or has ended: the attempt moves to another one.
func TestStaleBeforeWriting(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 2}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	first := pool.Opened(0, nil, 0)
	if !startWrite(pool, 0, first, 0) {
		t.Fatal("not written")
	}
	pool.Send(0, attempt(1), []byte{1}, deadline(0, 10))
	if pool.ReplaceStale(0, first, 1) {
		t.Fatal("replaced while an attempt is in flight: the data may be its reply")
	}
	pool.MatchReply(1, first)
	if !pool.ReplaceStale(1, first, 1) || len(rec.closing) != 1 {
		t.Fatalf("still in use, %d closed", len(rec.closing))
	}
	pool.Closed(1, first, math.MaxInt64)
	second := pool.Opened(1, nil, 0)
	if !startWrite(pool, 1, second, 1) || len(rec.ended) != 0 {
		t.Fatalf("the attempt is lost: ended %v", rec.ended)
	}
}

// A draining server gets no unwritten attempt, whether it waits for a connection or is queued on one.
func TestDrain(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 2, Pipeline: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	conn := pool.Opened(0, nil, 0)
	pool.Send(0, attempt(1), []byte{1}, deadline(0, 10)) // waits for the second connection
	pool.Drain()
	if rec.ended[1] != policy.NotSent {
		t.Fatalf("attempt waiting for a connection: %v", rec.ended)
	}
	if startWrite(pool, 0, conn, 0) || rec.ended[0] != policy.NotSent {
		t.Fatalf("attempt queued on a connection: %v", rec.ended)
	}
	if pool.Send(0, attempt(2), []byte{2}, deadline(0, 10)); rec.ended[2] != policy.NotSent {
		t.Fatalf("attempt sent later: %v", rec.ended)
	}
	pool.Opened(0, nil, 0)
	if pool.Relist(); rec.dials != 2 {
		t.Fatalf("%d dials", rec.dials)
	}
	pool.Send(0, attempt(3), []byte{3}, deadline(0, 10))
	if !startWrite(pool, 0, conn, 3) {
		t.Fatal("listed again and not used")
	}
}

// Idle connections are closed before the server closes them, and are not used while they are being closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 1, IdleTimeoutS: 5}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 100))
	conn := pool.Opened(0, nil, 0)
	pool.CloseIdle(20) // an attempt is in flight: not idle
	pool.MatchReply(20, conn)
	if pool.CloseIdle(24); len(rec.closing) != 0 {
		t.Fatal("closed early")
	}
	pool.Send(25.5, attempt(1), []byte{1}, deadline(25.5, 100))
	if len(rec.closing) != 1 || len(rec.written[conn]) != 1 {
		t.Fatalf("written to a connection that is about to end: %v, %d closed", rec.written[conn], len(rec.closing))
	}
	if pool.Closed(25.6, conn, math.MaxInt64); rec.dials != 2 {
		t.Fatalf("%d dials, want one for the attempt that waits", rec.dials)
	}
}

// A failed dial ends the attempts that waited for it even if a busy connection is open: that one may never reply.
func TestDialFailsBesideABusyConnection(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 2, Pipeline: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	pool.Opened(0, nil, 0)
	pool.Send(0, attempt(1), []byte{1}, deadline(0, 10))
	if pool.DialFailed(0.2, policy.ConnectFailed); rec.ended[1] != policy.ConnectFailed {
		t.Fatalf("ended %v", rec.ended)
	}
}

// A command that was sent but for its last byte never ran when its connection breaks: it is sent whole over another one.
// The command before it, sent whole, may have run.
func TestPartlyWritten(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 2}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	pool.Send(0, attempt(1), []byte{1}, deadline(0, 10))
	first := pool.Opened(0, nil, 0)
	for n, end := range []int64{100, 200} {
		if !startWrite(pool, 0, first, n) {
			t.Fatalf("%d is not written", n)
		}
		first.SetEndOffset(attempt(n), end)
	}
	pool.Closed(0, first, 199)
	if _, ended := rec.ended[1]; rec.ended[0] != policy.Reset || ended || rec.dials != 2 {
		t.Fatalf("ended %v, %d dials", rec.ended, rec.dials)
	}
	second := pool.Opened(0, nil, 0)
	if len(rec.written[second]) != 1 || !startWrite(pool, 0, second, 1) {
		t.Fatalf("written %v", rec.written[second])
	}
	second.SetEndOffset(attempt(1), 100)
	if pool.Closed(0, second, 100); rec.ended[1] != policy.Reset {
		t.Fatalf("sent whole: %v", rec.ended)
	}
}

// An attempt that was written in part when its reply was no longer needed is not written again, and its payload is dropped.
func TestWithdrawnAttemptIsNotWrittenAgain(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	conn := pool.Opened(0, nil, 0)
	if !startWrite(pool, 0, conn, 0) {
		t.Fatal("not written")
	}
	conn.SetEndOffset(attempt(0), 100)
	if pool.Withdraw(attempt(0)); conn.queue[0].payload != nil {
		t.Fatal("the payload is kept")
	}
	if pool.Closed(1, conn, 50); rec.ended[0] != policy.NotSent || rec.dials != 1 || pool.InFlight() != 0 {
		t.Fatalf("ended %v, %d dials, %d in flight", rec.ended, rec.dials, pool.InFlight())
	}
}

// A server that was removed and is listed again is a new one, and so is a server with a new address: the connections
// opened before are not used.
func TestListedAgain(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 2, Pipeline: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, deadline(0, 10))
	old := pool.Opened(0, nil, 0)
	if !startWrite(pool, 0, old, 0) {
		t.Fatal("not written")
	}
	pool.Retire()
	pool.Relist()
	pool.MatchReply(1, old)
	if len(rec.closing) != 1 {
		t.Fatal("the old connection stays open")
	}
	pool.Closed(1, old, math.MaxInt64)
	pool.Send(2, attempt(1), []byte{1}, deadline(2, 10)) // the address changes while a connection is being opened
	pool.RetireConnections()
	if pool.DialedOldAddress(); rec.dials != 3 {
		t.Fatalf("%d dials, want another one to the new address", rec.dials)
	}
	if conn := pool.Opened(2, nil, 0); len(rec.written[conn]) != 1 {
		t.Fatalf("written %v", rec.written)
	}
}

// An attempt that is not written within its time to start ends as policy.NotSent: the server is not at fault.
func TestTooLateToStart(t *testing.T) {
	rec := newRecord()
	pool := New(Limits{Connections: 1, Pipeline: 1}, rec)
	pool.Send(0, attempt(0), []byte{0}, policy.Timing{StartWithinS: 0.2, AnswerWithinS: 10})
	conn := pool.Opened(0.3, rec, 0)
	if _, ok := pool.StartWrite(0.3, conn, attempt(0)); ok {
		t.Error("started after its time")
	}
	if rec.ended[0] != policy.NotSent {
		t.Errorf("ended as %v, want not sent", rec.ended[0])
	}
	pool.Send(1, attempt(1), []byte{1}, policy.Timing{StartWithinS: 0.2, AnswerWithinS: 10})
	if remaining, ok := pool.StartWrite(1.1, conn, attempt(1)); !ok || remaining < 9.8 || remaining > 9.91 {
		t.Errorf("%v s remain for its reply, may start %v", remaining, ok)
	}
}
