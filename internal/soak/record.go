// Package soak plays a fleet of real ingress processes on loopback through troubles drawn from a seed, and judges from the
// sockets alone what became of every request. It is a rig.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// End is how a request ended for its client.
type End int

// The ends.
const (
	Served   End = iota
	Answered     // with a refusal or a failure
	Wrong        // with a value that is another request's
	Left         // the client closed its connection while it waited
	Ended        // the connection ended with no whole answer
	Silent       // there was no answer, long after its time
	Unsent       // the connection ended before the request was written whole
)

// Request is one request as its client saw it.
type Request struct {
	ID       string
	Class    Class
	Ingress  int
	Life     int  // of the ingress: which of its processes the connection was to
	First    bool // on its connection
	Sent     time.Time
	Deadline time.Time
	End      End
	EndedAt  time.Time
	Text     string // of an answer that is no value, or what ended the connection
}

// Arrival is a command that reached a server whole.
type Arrival struct {
	ID      string
	Class   string
	Ingress int // whose address of the server it came to
	Server  string
	At      time.Time
	WithinS float64 // as the command says
	Turned  bool    // away unseen: it has not run
}

// Drain is a server that takes nothing new, as each ingress was told.
type Drain struct {
	Server string
	Told   []time.Time // by ingress; zero: never
}

// Life is one process of an ingress.
type Life struct {
	Started, Terminated, Killed time.Time // zero: it was not
	KilledAtOnce                bool      // with no SIGTERM before
	Exited                      error     // how it ended by itself, nil: well or not at all
	ReadyAfter                  time.Duration
}

// Span is a stretch of time.
type Span struct{ From, To time.Time }

func (s Span) overlaps(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Record is what a run showed. Its methods are safe for concurrent use.
type Record struct {
	Crowd bool // idle clients filled the descriptors: new connections may be shut unread

	mu       sync.Mutex
	requests []Request
	arrivals []Arrival
	drains   []Drain
	lives    [][]*Life // by ingress
	blurred  []Span    // this process, or an ingress, stood still: times are not judged there
	events   []string
	start    time.Time
}

func (r *Record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *Record) blur(s Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blurred = append(r.blurred, s)
}

func (r *Record) clear(from, to time.Time) bool {
	return !slices.ContainsFunc(r.blurred, func(s Span) bool { return s.overlaps(from, to) })
}

// Limits of the platform's page, every time limit being longer by its slack.
const (
	slack         = 50 * time.Millisecond
	stopSending   = 2 * time.Second        // after a drain was told
	afterLeaving  = 100 * time.Millisecond // a client that has closed its connection has gone
	deadlineSlack = 150 * time.Millisecond // of the time that an attempt tells its server
	lateMost      = 500 * time.Millisecond // an answer may be late by so much and only earns nothing
	readyMost     = 10 * time.Second
)

// Violation is one broken rule.
type Violation struct{ Rule, Text string }

// Judge tells which rules were broken, and how many requests were sent and served.
func (r *Record) Judge() (breaks []Violation, sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	broke := func(rule, format string, args ...any) {
		breaks = append(breaks, Violation{rule, fmt.Sprintf(format, args...)})
	}
	byID := map[string][]Arrival{}
	for _, a := range r.arrivals {
		byID[a.ID] = append(byID[a.ID], a)
	}
	for i := range r.requests {
		q := &r.requests[i]
		sent++
		if q.End == Served {
			served++
		}
		r.judgeRequest(q, byID[q.ID], broke)
	}
	r.judgeDrains(broke)
	r.judgeLives(broke)
	return breaks, sent, served
}

func (r *Record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *Record) judgeRequest(q *Request, list []Arrival, broke func(rule, format string, args ...any)) {
	name := fmt.Sprintf("request %s (%s) to n%d at %.3f", q.ID, q.Class.Name, q.Ingress, r.at(q.Sent))
	life := r.lives[q.Ingress][q.Life]
	ran := slices.ContainsFunc(list, func(a Arrival) bool { return !a.Turned })
	leaving := !life.Terminated.IsZero() && q.EndedAt.After(life.Terminated)
	killed := life.KilledAtOnce && !q.EndedAt.Before(life.Killed)
	switch q.End {
	case Wrong:
		broke("lost", "%s was served with %q", name, q.Text)
	case Silent:
		broke("lost", "%s had no answer by %.3f, its time was over at %.3f", name, r.at(q.EndedAt), r.at(q.Deadline))
	case Ended:
		switch {
		case killed:
		case len(list) > 0:
			broke("lost", "%s was sent on to a server, then its connection ended at %.3f: %s", name, r.at(q.EndedAt), q.Text)
		case leaving, r.Crowd && q.First: // unread: its client asks elsewhere
		default:
			broke("lost", "%s: its connection ended at %.3f: %s", name, r.at(q.EndedAt), q.Text)
		}
	case Served, Answered:
		if late := q.EndedAt.Sub(q.Deadline); late > lateMost+slack && r.clear(q.Deadline, q.EndedAt) {
			broke("lost", "%s was answered %.3f s after its time", name, late.Seconds())
		}
	}
	if q.Class.Unsafe {
		n := 0
		for _, a := range list {
			if !a.Turned {
				n++
			}
		}
		if n > 1 {
			broke("duplicate", "%s came to servers %d times", name, n)
		}
	}
	for _, a := range list {
		if q.End == Left && a.At.Sub(q.EndedAt) > afterLeaving+slack && r.clear(q.EndedAt, a.At) {
			broke("lost", "%s was sent on %.3f s after its client had left", name, a.At.Sub(q.EndedAt).Seconds())
		}
		if left := q.Deadline.Sub(a.At); a.WithinS > (left+deadlineSlack+slack).Seconds() && r.clear(q.Sent, a.At) {
			broke("deadline", "%s told %s %.3f s when its client had %.3f s left", name, a.Server, a.WithinS, left.Seconds())
		}
	}
	if q.End == Answered && ran && q.Class.Unsafe && len(q.Text) > 5 && q.Text[:5] == "-BUSY" {
		broke("lost", "%s was refused with a promise of no effect, and had run", name)
	}
}

func (r *Record) judgeDrains(broke func(rule, format string, args ...any)) {
	for _, d := range r.drains {
		for _, a := range r.arrivals {
			if a.Server != d.Server || d.Told[a.Ingress].IsZero() {
				continue
			}
			if late := a.At.Sub(d.Told[a.Ingress]); late > stopSending+slack && r.clear(d.Told[a.Ingress].Add(stopSending), a.At) {
				broke("drain", "request %s was sent by n%d to %s %.3f s after its drain was told", a.ID, a.Ingress, a.Server, late.Seconds())
			}
		}
	}
}

func (r *Record) judgeLives(broke func(rule, format string, args ...any)) {
	for n, lives := range r.lives {
		for i, l := range lives {
			if l.Exited != nil {
				broke("crash", "n%d, process %d: %v", n, i+1, l.Exited)
			}
			if l.ReadyAfter > readyMost {
				broke("ready", "n%d, process %d: ready after %v", n, i+1, l.ReadyAfter)
			}
		}
	}
}
