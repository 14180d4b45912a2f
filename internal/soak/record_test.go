package soak

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// Judge has to report each violation under its rule, and report nothing for requests that keep the rules.
func TestJudge(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	pay := Class{Name: "pay", Unsafe: true}
	status := Class{Name: "status"}
	request := func(change func(*Request)) Request {
		q := Request{ID: "1", Class: status, Sent: at(10), Deadline: at(11), EndedAt: at(10.5)}
		change(&q)
		return q
	}
	arrival := func(s, within float64) Arrival { return Arrival{ID: "1", Server: "s-1", At: at(s), WithinS: within} }
	for _, c := range []struct {
		name     string
		request  Request
		arrivals []Arrival
		change   func(r *Record)
		want     string // the rule that is broken, "" for none
	}{
		{"served", request(func(*Request) {}), []Arrival{arrival(10.1, 0.8)}, nil, ""},
		{"another's value", request(func(q *Request) { q.Outcome = WrongValue }), nil, nil, "lost"},
		{"no answer", request(func(q *Request) { q.Outcome, q.EndedAt = TimedOut, at(12.6) }), nil, nil, "lost"},
		{"late and without value", request(func(q *Request) { q.EndedAt = at(11.5) }), nil, nil, ""},
		{"too late", request(func(q *Request) { q.EndedAt = at(11.6) }), nil, nil, "lost"},
		{"too late near a pause", request(func(q *Request) { q.EndedAt = at(11.6) }), nil, func(r *Record) { r.addPause(Span{at(11.1), at(11.2)}) }, ""},
		{"closed while in flight", request(func(q *Request) { q.Outcome = ConnectionClosed }), []Arrival{arrival(10.1, 0.8)}, nil, "lost"},
		{"closed unread", request(func(q *Request) { q.Outcome = ConnectionClosed }), nil, nil, "lost"},
		{"closed unread after SIGTERM", request(func(q *Request) { q.Outcome = ConnectionClosed }), nil, func(r *Record) { r.processes[0][0].Terminated = at(9) }, ""},
		{"closed while in flight after SIGTERM", request(func(q *Request) { q.Outcome = ConnectionClosed }), []Arrival{arrival(10.1, 0.8)},
			func(r *Record) { r.processes[0][0].Terminated = at(9) }, "lost"},
		{"closed by SIGKILL", request(func(q *Request) { q.Outcome = ConnectionClosed }), []Arrival{arrival(10.1, 0.8)},
			func(r *Record) { r.processes[0][0].Killed, r.processes[0][0].KilledAtOnce = at(10.4), true }, ""},
		{"closed unread among idle connections", request(func(q *Request) { q.Outcome, q.First = ConnectionClosed, true }), nil, func(r *Record) { r.IdleClients = true }, ""},
		{"closed among idle connections, not the first request", request(func(q *Request) { q.Outcome = ConnectionClosed }), nil, func(r *Record) { r.IdleClients = true }, "lost"},
		{"sent right after the client disconnected", request(func(q *Request) { q.Outcome = Disconnected }), []Arrival{arrival(10.6, 0.3)}, nil, ""},
		{"sent long after the client disconnected", request(func(q *Request) { q.Outcome = Disconnected }), []Arrival{arrival(10.7, 0.3)}, nil, "lost"},
		{"too long a deadline", request(func(*Request) {}), []Arrival{arrival(10.1, 1.2)}, nil, "deadline"},
		{"unsafe, twice", request(func(q *Request) { q.Class = pay }), []Arrival{arrival(10.1, 0.8), arrival(10.2, 0.7)}, nil, "duplicate"},
		{"safe, twice", request(func(*Request) {}), []Arrival{arrival(10.1, 0.8), arrival(10.2, 0.7)}, nil, ""},
		{"unsafe, rejected once", request(func(q *Request) { q.Class = pay }),
			[]Arrival{{ID: "1", Server: "s-1", At: at(10.1), WithinS: 0.8, Rejected: true}, arrival(10.2, 0.7)}, nil, ""},
		{"refused and had run", request(func(q *Request) { q.Class, q.Outcome, q.Text = pay, ErrorReply, "-BUSY 500" }), []Arrival{arrival(10.1, 0.8)}, nil, "lost"},
		{"failed and had run", request(func(q *Request) { q.Class, q.Outcome, q.Text = pay, ErrorReply, "-ERR it may have run" }), []Arrival{arrival(10.1, 0.8)}, nil, ""},
		{"before the drain's time", request(func(*Request) {}), []Arrival{arrival(10.1, 0.8)},
			func(r *Record) { r.drains = []Drain{{"s-1", []time.Time{at(8.1)}}} }, ""},
		{"after the drain's time", request(func(*Request) {}), []Arrival{arrival(10.1, 0.8)},
			func(r *Record) { r.drains = []Drain{{"s-1", []time.Time{at(8)}}} }, "drain"},
		{"never notified", request(func(*Request) {}), []Arrival{arrival(10.1, 0.8)},
			func(r *Record) { r.drains = []Drain{{"s-1", []time.Time{{}}}} }, ""},
		{"crash", request(func(*Request) {}), nil, func(r *Record) { r.processes[0][0].Exited = errors.New("exit status 2") }, "crash"},
		{"slow start", request(func(*Request) {}), nil, func(r *Record) { r.processes[0][0].ReadyAfter = 11 * time.Second }, "ready"},
	} {
		r := &Record{start: start, requests: []Request{c.request}, arrivals: c.arrivals, processes: [][]*Process{{{Started: start}}}}
		if c.change != nil {
			c.change(r)
		}
		breaks, sent, _ := r.Judge()
		var got []string
		for _, b := range breaks {
			got = append(got, b.Rule)
		}
		if strings.Join(got, " ") != c.want || sent != 1 {
			t.Errorf("%s: broken %q, want %q: %v", c.name, got, c.want, breaks)
		}
	}
}
