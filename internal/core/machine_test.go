package core

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

func settings() policy.Settings {
	return policy.Settings{
		Self: 0, Gateways: 1, Zone: "room0", MaxUnits: 4, MaxAttempts: 3, MaxRetryAfterS: 0.5, AnswerSlackS: 0.01,
		Cancel: true, ParallelAttempts: true, Probes: true, LoadFromProbes: true,
		ColdStartShare: 0.2, ColdPeriodS: 10, OverloadMultiple: 3, OverloadWindowS: 1,
		Classes: []policy.Class{
			{Name: "read", TargetLatencyS: 1, DeadlineS: 2, Value: 1, LateValueShare: 0.2, Effect: policy.Safe},
			{Name: "put", TargetLatencyS: 1, DeadlineS: 4, Value: 3, Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 2},
			{Name: "pay", TargetLatencyS: 1, DeadlineS: 4, Value: 5, Effect: policy.Unsafe},
		},
		Plans: []policy.Plan{{Name: "basic", Rate: 10, Burst: 20, ValueFactor: 1, ExcessCostShare: 1},
			{Name: "open", ValueFactor: 1}},
	}
}

// world records what a machine wants done.
type world struct {
	sent      []sentTo
	cancelled map[AttemptID]bool
	withdrawn map[AttemptID]bool
	answers   map[*Call][]Answer
	probes    []string
}

type sentTo struct {
	a    AttemptID
	box  string
	call *Call
}

func newWorld() *world {
	return &world{cancelled: map[AttemptID]bool{}, withdrawn: map[AttemptID]bool{}, answers: map[*Call][]Answer{}}
}

func (w *world) Send(a AttemptID, box string, payload []byte, _ policy.Timing) {
	w.sent = append(w.sent, sentTo{a: a, box: box})
}
func (w *world) Cancel(a AttemptID, box string) { w.cancelled[a] = true }
func (w *world) Withdraw(a AttemptID, _ string) { w.withdrawn[a] = true }
func (w *world) Probe(box string)               { w.probes = append(w.probes, box) }
func (w *world) SendToPeer(int, []byte)         {}
func (w *world) Answered(c *Call)               { w.answers[c] = append(w.answers[c], c.Answer) }

func machine(t interface{ Fatal(...any) }, change func(*policy.Settings)) (*Machine, *world) {
	w, s := newWorld(), settings()
	if change != nil {
		change(&s)
	}
	m, err := NewMachine(s, 7, 1000, w)
	if err != nil {
		t.Fatal(err)
	}
	m.Servers(1000, boxes(0, 0, 0, 0), true)
	return m, w
}

func boxes(states ...policy.ServerState) (list []policy.Server) {
	for i, s := range states {
		list = append(list, policy.Server{ID: fmt.Sprint("box", i), Zone: fmt.Sprint("room", i/2), State: s, Weight: 1})
	}
	return list
}

// run lets time pass in steps as short as the module's own ticks.
func run(m *Machine, from, to float64) {
	for x := from; x <= to; x += 0.01 {
		m.Tick(x)
	}
}

func TestServedOnce(t *testing.T) {
	m, w := machine(t, nil)
	c := &Call{Customer: "ada", Plan: "basic", Class: 0, Units: 1, Payload: []byte("x")}
	m.Take(1000, c)
	if len(w.sent) != 1 || m.Held() != 1 {
		t.Fatalf("sent %v, held %d", w.sent, m.Held())
	}
	a := w.sent[0].a
	m.Result(1000.1, Result{Attempt: a, Status: policy.OK, Payload: []byte("+OK\r\n")})
	m.Result(1000.2, Result{Attempt: a, Status: policy.OK, Payload: []byte("+AGAIN\r\n")})
	run(m, 1000.2, 1003)
	if got := w.answers[c]; len(got) != 1 || got[0].Kind != Served || string(got[0].Payload) != "+OK\r\n" {
		t.Fatalf("%+v", got)
	}
	if m.Held() != 0 || m.Counts().LateResults != 1 {
		t.Fatalf("held %d, late %d", m.Held(), m.Counts().LateResults)
	}
}

// An answer that comes for an attempt of an earlier request in the same slot reaches nobody.
func TestLateAnswerMeetsNoOther(t *testing.T) {
	m, w := machine(t, nil)
	a := &Call{Customer: "ada", Plan: "basic", Class: 0, Units: 1}
	m.Take(1000, a)
	old := w.sent[0].a
	m.Gone(1000.1, a)
	if !w.cancelled[old] || m.Held() != 0 {
		t.Fatalf("a client gone should end its attempt: held %d", m.Held())
	}
	b := &Call{Customer: "eve", Plan: "basic", Class: 0, Units: 1}
	m.Take(1000.2, b)
	if now := w.sent[len(w.sent)-1].a; now.Slot != old.Slot || now == old {
		t.Fatalf("want the same slot under a new name: %v, %v", old, now)
	}
	m.Result(1000.3, Result{Attempt: old, Status: policy.OK, Payload: []byte("+ADA\r\n")})
	if len(w.answers[a])+len(w.answers[b]) != 0 {
		t.Fatalf("answers %v", w.answers)
	}
}

func TestUnitsAlone(t *testing.T) {
	m, w := machine(t, nil)
	ask := func(units float64) Answer {
		c := &Call{Customer: "ada", Plan: "basic", Class: 2, Units: units, QuotaOnly: true}
		m.Take(1000, c)
		if len(w.answers[c]) != 1 {
			t.Fatalf("%d answers", len(w.answers[c]))
		}
		return w.answers[c][0]
	}
	if a := ask(15); a.Kind != Admitted || a.Quota != (Quota{Rate: 10, Burst: 20, Remaining: 5, RetryAfterS: 1, ResetS: 1.5}) {
		t.Fatalf("%+v", a)
	}
	if a := ask(15); a.Kind != Refused || a.Quota.Remaining != 5 || a.Quota.RetryAfterS != 1 {
		t.Fatalf("%+v", a)
	}
	if a := ask(0); a.Kind != Admitted || a.Quota.Remaining != 5 {
		t.Fatalf("asking takes nothing: %+v", a)
	}
	c := &Call{Customer: "ada", Plan: "open", Class: 0, Units: 1, QuotaOnly: true}
	if m.Take(1000, c); w.answers[c][0].Kind != Admitted || len(w.sent) != 0 {
		t.Fatalf("a plan without a rate admits all: %+v", w.answers[c])
	}
}

func TestRepeatedKeyJoinsAndRepeats(t *testing.T) {
	m, w := machine(t, nil)
	put := func() *Call {
		return &Call{Customer: "ada", Plan: "open", Class: 1, Units: 1, Key: "k"}
	}
	a, b, c := put(), put(), put()
	m.Take(1000, a)
	m.Take(1000.1, b)
	m.Gone(1000.15, a) // its client is gone; the other one still waits
	m.Result(1000.2, Result{Attempt: w.sent[0].a, Status: policy.OK, Payload: []byte("+DONE\r\n")})
	m.Take(1000.3, c)
	if len(w.sent) != 1 || len(w.answers[a]) != 0 || len(w.answers[b]) != 1 || len(w.answers[c]) != 1 {
		t.Fatalf("sent %d, answers %v", len(w.sent), w.answers)
	}
	if string(w.answers[c][0].Payload) != "+DONE\r\n" || m.Counts().Joined != 1 || m.Counts().Repeated != 1 {
		t.Fatalf("%+v", w.answers[c])
	}
}

// A stop whose time is up leaves nobody without an answer, and calls nothing harmless that may have run.
func TestSettle(t *testing.T) {
	m, w := machine(t, nil)
	var calls []*Call
	for i := range 3 {
		c := &Call{Customer: "ada", Plan: "open", Class: i, Units: 1, Key: "k"}
		calls = append(calls, c)
		m.Take(1000, c)
	}
	m.Drain()
	late := &Call{Customer: "ada", Plan: "open", Class: 0, Units: 1}
	m.Take(1000.1, late)
	m.Settle(1000.2)
	for i, want := range []AnswerKind{Refused, Failed, Failed} {
		if a := w.answers[calls[i]]; len(a) != 1 || a[0].Kind != want {
			t.Errorf("class %d: %+v, want kind %d", i, a, want)
		}
	}
	if len(w.answers[late]) != 1 || w.answers[late][0].Kind != Refused || m.Held() != 0 {
		t.Errorf("late %+v, held %d", w.answers[late], m.Held())
	}
}

// Any order of events keeps the rules that a single instance can keep.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, w := machine(t, func(s *policy.Settings) { s.ParallelAttempts = rapid.Bool().Draw(t, "parallel") })
		now := 1000.0
		type fate struct {
			call    *Call
			due     float64
			gone    bool
			sent    int
			maybe   int // attempts that may have run, or are out
			joined  bool
			attempt map[AttemptID]bool
		}
		var all []*fate
		byAttempt := map[AttemptID]*fate{}
		drained := map[string]bool{}
		open := map[AttemptID]bool{}
		seen := 0
		check := func() {
			for ; seen < len(w.sent); seen++ {
				s := w.sent[seen]
				var f *fate
				for _, c := range all {
					if c.call.slot == s.a.Slot+1 && c.call.gen == s.a.Generation && !c.joined {
						f = c
					}
				}
				if f == nil {
					t.Fatal("a send for a request unknown")
				}
				if drained[s.box] {
					t.Fatalf("a send to %s, which is drained", s.box)
				}
				if len(w.answers[f.call]) > 0 || f.gone && f.call.Class != 1 {
					t.Fatal("a send after the final answer")
				}
				if f.call.Class == 2 && f.maybe > 0 {
					t.Fatal("an unsafe request that may have run was sent again")
				}
				f.sent++
				f.maybe++
				if f.sent > 3 {
					t.Fatal("more attempts than allowed")
				}
				byAttempt[s.a], open[s.a] = f, true
			}
			for _, f := range all {
				as := w.answers[f.call]
				if len(as) > 1 {
					t.Fatalf("%d answers to one call", len(as))
				}
				if len(as) == 1 && as[0].Kind == Refused && f.call.Class > 0 && f.maybe > 0 && !f.joined {
					t.Fatal("refused as harmless though it may have run")
				}
				if len(as) == 0 && !f.gone && now > f.due+0.03 {
					t.Fatalf("no answer %g s after the deadline", now-f.due)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				class := rapid.IntRange(0, 2).Draw(t, "class")
				c := &Call{Customer: fmt.Sprint("c", rapid.IntRange(0, 2).Draw(t, "client")), Plan: "basic", Class: class,
					Units: 1, Key: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "key"))}
				f := &fate{call: c, due: now + settings().Classes[class].DeadlineS, joined: true}
				all = append(all, f)
				held := m.Held()
				m.Take(now, c)
				f.joined = m.Held() == held && len(w.answers[c]) == 0
				if len(w.answers[c]) == 1 && w.answers[c][0].Kind == Served {
					f.joined = true // repeated
				}
				if f.joined && len(w.sent) > seen {
					t.Fatal("a joined call was sent")
				}
			case 2, 3:
				for a := range open {
					if w.cancelled[a] {
						delete(open, a)
					}
				}
				if len(open) == 0 {
					continue
				}
				var first AttemptID
				ok := false
				for a := range open {
					if !ok || a.Slot < first.Slot || a.Slot == first.Slot && (a.Generation < first.Generation || a.Generation == first.Generation && a.Index < first.Index) {
						first, ok = a, true
					}
				}
				delete(open, first)
				st := rapid.SampledFrom([]policy.Status{policy.OK, policy.Error, policy.Rejected, policy.ConnectFailed, policy.Reset}).Draw(t, "status")
				if st == policy.Rejected || st == policy.ConnectFailed {
					byAttempt[first].maybe--
				}
				m.Result(now, Result{Attempt: first, Status: st, Payload: []byte("+OK\r\n")})
			case 4:
				states := make([]policy.ServerState, 4)
				for i := range states {
					states[i] = rapid.SampledFrom([]policy.ServerState{policy.Up, policy.Up, policy.Draining, policy.Removed}).Draw(t, "state")
					drained[fmt.Sprint("box", i)] = states[i] != policy.Up
				}
				m.Servers(now, boxes(states...), true)
			case 5:
				if len(all) > 0 {
					f := all[rapid.IntRange(0, len(all)-1).Draw(t, "who")]
					if len(w.answers[f.call]) == 0 {
						f.gone = true
						m.Gone(now, f.call)
					}
				}
			case 6:
				end := now + rapid.Float64Range(0.01, 1).Draw(t, "pause")
				for ; now < end; now += 0.01 {
					m.Tick(now)
					check()
				}
			}
			check()
		}
		for end := now + 5; now < end; now += 0.01 {
			m.Tick(now)
			check()
		}
		if m.Held() != 0 {
			t.Fatalf("%d requests are still held", m.Held())
		}
		c := m.Counts()
		if c.Received != c.Served+c.Refused+c.Failed+c.Admitted+c.Disconnected || c.Overdue > 0 {
			t.Fatalf("the counts do not add up: %+v", c)
		}
	})
}

// BenchmarkModule and BenchmarkMachine take units for 1,000 clients in turn: what the core adds to the
// module's own work on one goroutine.
func BenchmarkModule(b *testing.B) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 16000, 8000
	act := &countingActions{}
	g, err := policy.New(s, 7, 1000, act)
	if err != nil {
		b.Fatal(err)
	}
	names := clientNames()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := 1000 + float64(i)*2e-6
		if i%10000 == 0 {
			g.Timer(now, 1)
		}
		g.Request(now, policy.Request{ID: fmt.Sprint(i), Class: "pay", Plan: "basic", Customer: names[i%len(names)],
			DeadlineAt: now + 2, GatewayCount: 1, Units: 1, QuotaOnly: true})
	}
}

func BenchmarkMachine(b *testing.B) {
	s := settings()
	s.Plans[0].Rate, s.Plans[0].Burst = 16000, 8000
	m, err := NewMachine(s, 7, 1000, discard{})
	if err != nil {
		b.Fatal(err)
	}
	names := clientNames()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := 1000 + float64(i)*2e-6
		m.Tick(now)
		m.Take(now, &Call{Customer: names[i%len(names)], Plan: "basic", Class: 2, Units: 1, QuotaOnly: true})
	}
}

func clientNames() []string {
	names := make([]string, 1000)
	for i := range names {
		names[i] = fmt.Sprint("client", i)
	}
	return names
}

type countingActions struct{ n int }

func (c *countingActions) Send(string, string, policy.Timing)     { c.n++ }
func (c *countingActions) Refuse(string, float64, policy.Refusal) { c.n++ }
func (c *countingActions) Fail(string)                            { c.n++ }
func (c *countingActions) Admit(string)                           { c.n++ }
func (c *countingActions) Cancel(string, int)                     { c.n++ }
func (c *countingActions) SetTimer(uint64, float64)               {}
func (c *countingActions) Probe(string)                           {}
func (c *countingActions) SendToPeer(int, []byte)                 {}
func (c *countingActions) Log(string)                             {}

type discard struct{}

func (discard) Send(AttemptID, string, []byte, policy.Timing) {}
func (discard) Cancel(AttemptID, string)                      {}
func (discard) Withdraw(AttemptID, string)                    {}
func (discard) Probe(string)                                  {}
func (discard) SendToPeer(int, []byte)                        {}
func (discard) Answered(*Call)                                {}

// After a stall a call's time counts from when it may have been sent: what is over is refused and never sent.
func TestTimeOverBeforeItWasLookedAt(t *testing.T) {
	for _, c := range []struct {
		age  float64
		sent bool
	}{{0, true}, {1.5, true}, {2, false}, {20, false}} {
		m, w := machine(t, nil)
		call := &Call{Customer: "ada", Plan: "basic", Class: 0, Units: 1, AgeS: c.age} // deadline 2 s
		m.Take(1000, call)
		if got := w.answers[call]; (len(w.sent) == 1) != c.sent || !c.sent && (len(got) != 1 || got[0].Kind != Refused || got[0].Reason != DeadlinePassed) {
			t.Errorf("sent %v s ago: %d attempts, answers %+v", c.age, len(w.sent), got)
		}
		run(m, 1000, 1002.2)
		if got := w.answers[call]; len(got) != 1 {
			t.Errorf("sent %v s ago: %d answers", c.age, len(got))
		}
	}
}

// stopped is a clock that is set by hand.
type stopped struct{ now float64 }

func (s *stopped) Now() float64 { return s.now }

type quiet struct{ *world }

func (q quiet) Send(a AttemptID, box string, payload []byte, timing policy.Timing) {
	q.world.Send(a, box, payload, timing)
}
func (quiet) UpdateServers([]policy.Server, bool) {}

// What lay in the sockets when the process goes on: lists of boxes are in force before anything is sent, messages
// of other instances are dropped, and results of attempts in time still count.
func TestLoopAfterAStall(t *testing.T) {
	clock, w := &stopped{1000}, newWorld()
	s := settings()
	s.Gateways, s.PeerMessages, s.PeerMessagesPerS = 2, true, 100
	l, err := NewLoop(s, 1, clock)
	if err != nil {
		t.Fatal(err)
	}
	l.Attach(quiet{w}, nil)
	step := func() {
		l.mu.Lock()
		l.in, l.spare = l.spare, l.in
		l.mu.Unlock()
		l.batch(&l.spare)
	}
	l.UpdateServers(boxes(policy.Up), true)
	step()
	for range 5 {
		clock.now += 0.02
		step()
	}
	settled := false
	l.settle = func() { // while it waits, all that lay in the sockets comes in
		settled = true
		l.QueueMessage(1, []byte("word from before"))
		l.UpdateServers(boxes(policy.Draining, policy.Up), true)
		clock.now += 0.03
	}
	clock.now += 4
	l.QueueMessage(1, []byte("word from before"))
	c := &Call{Customer: "ada", Plan: "open", Class: 1, Units: 1, Key: "k", Front: answered{w}}
	l.Submit([]*Call{c})
	step()
	if !settled || l.Status().DroppedMessages != 2 || l.machine.Counts().MessagesReceived != 0 {
		t.Errorf("settled %v, %d messages dropped, %d heard", settled, l.Status().DroppedMessages, l.machine.Counts().MessagesReceived)
	}
	if len(w.sent) != 1 || w.sent[0].box != "box1" {
		t.Errorf("sent %+v: the list that came meanwhile drains box0", w.sent)
	}
	settled = false
	for range 5 {
		clock.now += 0.02
		step()
	}
	if settled {
		t.Error("it settles although it did not stand still")
	}
}

type answered struct{ w *world }

func (a answered) Answered(calls []*Call) {
	for _, c := range calls {
		a.w.Answered(c)
	}
}

// The id of an open call fails a second one, which harms the first no more; it is free after the first's end.
func TestIDOfAnOpenCall(t *testing.T) {
	m, w := machine(t, nil)
	call := func() *Call { return &Call{ID: "x", Customer: "c", Plan: "open", Class: 0, Units: 1} }
	first, second, third := call(), call(), call()
	m.Take(1000, first)
	m.Take(1000, second)
	if a := w.answers[second]; len(a) != 1 || a[0].Kind != Failed || len(w.answers[first]) != 0 || len(w.sent) != 1 {
		t.Fatalf("second: %+v, first: %+v, %d sent", a, w.answers[first], len(w.sent))
	}
	m.Take(1000, call()) // the failed one has not freed the name
	if m.Counts().Failed != 2 {
		t.Fatalf("a third one is taken: %+v", m.Counts())
	}
	m.Result(1000.1, Result{Attempt: w.sent[0].a, Status: policy.OK})
	if a := w.answers[first]; len(a) != 1 || a[0].Kind != Served {
		t.Fatalf("first: %+v", a)
	}
	m.Take(1000.2, third)
	m.Gone(1000.3, third)
	if fourth := call(); true {
		m.Take(1000.4, fourth)
		if len(w.answers[fourth]) != 0 || len(m.open) != 1 {
			t.Fatalf("after the first's answer and the third's leaving: %+v", w.answers[fourth])
		}
	}
}

// Without a key a keyed call is its own: no repeat is joined to it, and no earlier answer is given to it.
func TestKeyedCallsWithoutAKeyAreNotJoined(t *testing.T) {
	m, w := machine(t, nil)
	for range 2 {
		m.Take(1000, &Call{Customer: "c", Plan: "open", Class: 1, Units: 1})
	}
	if len(w.sent) != 2 || m.Counts().Joined != 0 {
		t.Fatalf("%d sent, %+v", len(w.sent), m.Counts())
	}
	m.Result(1000.1, Result{Attempt: w.sent[0].a, Status: policy.OK})
	m.Take(1000.2, &Call{Customer: "c", Plan: "open", Class: 1, Units: 1})
	if len(w.sent) != 3 || m.Counts().Repeated != 0 {
		t.Fatalf("%d sent, %+v", len(w.sent), m.Counts())
	}
}

// Beyond the bound a call is refused at once, and others go on.
func TestBound(t *testing.T) {
	m, w := machine(t, nil)
	m.Bound(2)
	var calls []*Call
	for range 3 {
		calls = append(calls, &Call{Customer: "c", Plan: "open", Class: 0, Units: 1})
		m.Take(1000, calls[len(calls)-1])
	}
	if a := w.answers[calls[2]]; len(a) != 1 || a[0].Kind != Refused || a[0].Reason != Overloaded || len(w.sent) != 2 {
		t.Fatalf("%+v, %d sent", a, len(w.sent))
	}
}

// A second copy that still waits for its connection when the first is answered is taken back: sent on later, it would
// run for nobody.
func TestSecondCopyIsWithdrawn(t *testing.T) {
	m, w := machine(t, nil)
	c := &Call{Customer: "ada", Plan: "basic", Class: 0, Units: 1}
	m.Take(1000, c)
	run(m, 1000, 1000.9) // no answer: another box gets a copy
	if len(w.sent) != 2 {
		t.Fatalf("sent %v, want a second copy", w.sent)
	}
	first, second := w.sent[0].a, w.sent[1].a
	m.Result(1000.91, Result{Attempt: first, Status: policy.OK, Payload: []byte("+OK\r\n")})
	if !w.withdrawn[second] {
		t.Fatalf("the second copy stands: withdrawn %v", w.withdrawn)
	}
	m.Result(1000.92, Result{Attempt: second, Status: policy.NotSent})
	if len(w.answers[c]) != 1 || m.Held() != 0 {
		t.Fatalf("answers %v, held %d", w.answers[c], m.Held())
	}
}

// A request and the end of its connection that come in one turn, and a client that leaves in the turn in which a box
// becomes free for it: nothing is sent on for either.
func TestClientLeftInTheSameTurn(t *testing.T) {
	clock, w := &stopped{1000}, newWorld()
	s := settings()
	s.Classes[0].DeadlineS, s.Classes[0].TargetLatencyS = 60, 50
	l, err := NewLoop(s, 1, clock)
	if err != nil {
		t.Fatal(err)
	}
	l.Attach(quiet{w}, nil)
	turn := func() {
		l.swap()
		l.batch(&l.spare)
	}
	l.UpdateServers(boxes(policy.Up), true)
	turn()
	call := func() *Call {
		return &Call{Customer: "ada", Plan: "open", Class: 0, Units: 1, Front: answered{w}}
	}
	c := call()
	l.Submit([]*Call{c})
	l.Disconnected([]*Call{c})
	turn()
	if len(w.sent) != 0 || l.machine.Held() != 0 {
		t.Fatalf("sent %v for a client that has left, held %d", w.sent, l.machine.Held())
	}
	var calls []*Call
	for range 20 { // more than the box takes at once
		calls = append(calls, call())
	}
	l.Submit(calls)
	turn()
	n := len(w.sent)
	if n == 0 || n == len(calls) {
		t.Fatalf("%d of %d sent on, want some to wait", n, len(calls))
	}
	clock.now += 0.02
	l.Disconnected(calls)
	for _, a := range w.sent[:n] {
		l.QueueResults(Result{Attempt: a.a, Status: policy.OK, Payload: []byte("+OK\r\n")})
	}
	turn()
	if len(w.sent) != n || l.machine.Held() != 0 {
		t.Errorf("%d more sent on for clients that have left, held %d", len(w.sent)-n, l.machine.Held())
	}
	s2 := l.machine.Counts()
	if s2.Received != s2.Served+s2.Refused+s2.Failed+s2.Disconnected {
		t.Errorf("taken calls are not all accounted for: %+v", s2)
	}
}
