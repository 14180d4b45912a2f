// Package soak plays a fleet of real ingress processes on loopback through troubles drawn from a seed, and judges from the
// sockets alone what became of every request. It is a rig.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome int

// The ends.
const (
	Served           Outcome = iota
	ErrorReply               // with a refusal or a failure
	WrongValue               // with a value that is another request's
	Disconnected             // the client closed its connection while it waited
	ConnectionClosed         // the connection ended with no whole answer
	TimedOut                 // there was no answer, long after its time
	Unsent                   // the connection ended before the request was written whole
)

// Request is one request as its client saw it.
type Request struct {
	ID       string
	Class    Class
	Ingress  int
	Process  int  // of the ingress: which of its processes the connection was to
	First    bool // on its connection
	Sent     time.Time
	Deadline time.Time
	Outcome  Outcome
	EndedAt  time.Time
	Text     string // of an answer that is no value, or what ended the connection
}

// Arrival is a command that reached a server whole.
type Arrival struct {
	ID       string
	Class    string
	Ingress  int // whose address of the server it came to
	Server   string
	At       time.Time
	WithinS  float64 // as the command says
	Rejected bool    // away unseen: it has not run
}

// Drain is a server that takes nothing new, as each ingress was told.
type Drain struct {
	Server     string
	NotifiedAt []time.Time // by ingress; zero: never
}

// Process is one process of an ingress.
type Process struct {
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
	IdleClients bool // idle clients filled the descriptors: new connections may be shut unread

	mu        sync.Mutex
	requests  []Request
	arrivals  []Arrival
	drains    []Drain
	processes [][]*Process // by ingress
	pauses    []Span       // this process, or an ingress, stood still: times are not judged there
	events    []string
	start     time.Time
}

func (r *Record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *Record) addPause(s Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses = append(r.pauses, s)
}

func (r *Record) unpaused(from, to time.Time) bool {
	return !slices.ContainsFunc(r.pauses, func(s Span) bool { return s.overlaps(from, to) })
}

// Limits of the platform's page, every time limit being longer by its slack.
const (
	tolerance              = 50 * time.Millisecond
	maxSendAfterDrain      = 2 * time.Second        // after a drain was told
	maxSendAfterDisconnect = 100 * time.Millisecond // a client that has closed its connection has gone
	deadlineTolerance      = 150 * time.Millisecond // of the time that an attempt tells its server
	maxLateness            = 500 * time.Millisecond // an answer may be late by so much and only earns nothing
	maxStartTime           = 10 * time.Second
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
		if q.Outcome == Served {
			served++
		}
		r.judgeRequest(q, byID[q.ID], broke)
	}
	r.judgeDrains(broke)
	r.judgeProcesses(broke)
	return breaks, sent, served
}

func (r *Record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *Record) judgeRequest(q *Request, list []Arrival, broke func(rule, format string, args ...any)) {
	name := fmt.Sprintf("request %s (%s) to n%d at %.3f", q.ID, q.Class.Name, q.Ingress, r.seconds(q.Sent))
	life := r.processes[q.Ingress][q.Process]
	ran := slices.ContainsFunc(list, func(a Arrival) bool { return !a.Rejected })
	leaving := !life.Terminated.IsZero() && q.EndedAt.After(life.Terminated)
	killed := life.KilledAtOnce && !q.EndedAt.Before(life.Killed)
	switch q.Outcome {
	case WrongValue:
		broke("lost", "%s was served with %q", name, q.Text)
	case TimedOut:
		broke("lost", "%s had no answer by %.3f, its time was over at %.3f", name, r.seconds(q.EndedAt), r.seconds(q.Deadline))
	case ConnectionClosed:
		switch {
		case killed:
		case len(list) > 0:
			broke("lost", "%s was sent on to a server, then its connection ended at %.3f: %s", name, r.seconds(q.EndedAt), q.Text)
		case leaving, r.IdleClients && q.First: // unread: its client asks elsewhere
		default:
			broke("lost", "%s: its connection ended at %.3f: %s", name, r.seconds(q.EndedAt), q.Text)
		}
	case Served, ErrorReply:
		if late := q.EndedAt.Sub(q.Deadline); late > maxLateness+tolerance && r.unpaused(q.Deadline, q.EndedAt) {
			broke("lost", "%s was answered %.3f s after its time", name, late.Seconds())
		}
	}
	if q.Class.Unsafe {
		n := 0
		for _, a := range list {
			if !a.Rejected {
				n++
			}
		}
		if n > 1 {
			broke("duplicate", "%s came to servers %d times", name, n)
		}
	}
	for _, a := range list {
		if q.Outcome == Disconnected && a.At.Sub(q.EndedAt) > maxSendAfterDisconnect+tolerance && r.unpaused(q.EndedAt, a.At) {
			broke("lost", "%s was sent on %.3f s after its client had left", name, a.At.Sub(q.EndedAt).Seconds())
		}
		if left := q.Deadline.Sub(a.At); a.WithinS > (left+deadlineTolerance+tolerance).Seconds() && r.unpaused(q.Sent, a.At) {
			broke("deadline", "%s told %s %.3f s when its client had %.3f s left", name, a.Server, a.WithinS, left.Seconds())
		}
	}
	if q.Outcome == ErrorReply && ran && q.Class.Unsafe && len(q.Text) > 5 && q.Text[:5] == "-BUSY" {
		broke("lost", "%s was refused with a promise of no effect, and had run", name)
	}
}

func (r *Record) judgeDrains(broke func(rule, format string, args ...any)) {
	for _, d := range r.drains {
		for _, a := range r.arrivals {
			if a.Server != d.Server || d.NotifiedAt[a.Ingress].IsZero() {
				continue
			}
			if late := a.At.Sub(d.NotifiedAt[a.Ingress]); late > maxSendAfterDrain+tolerance && r.unpaused(d.NotifiedAt[a.Ingress].Add(maxSendAfterDrain), a.At) {
				broke("drain", "request %s was sent by n%d to %s %.3f s after its drain was told", a.ID, a.Ingress, a.Server, late.Seconds())
			}
		}
	}
}

func (r *Record) judgeProcesses(broke func(rule, format string, args ...any)) {
	for n, lives := range r.processes {
		for i, l := range lives {
			if l.Exited != nil {
				broke("crash", "n%d, process %d: %v", n, i+1, l.Exited)
			}
			if l.ReadyAfter > maxStartTime {
				broke("ready", "n%d, process %d: ready after %v", n, i+1, l.ReadyAfter)
			}
		}
	}
}
