// Package soak is a test rig that runs a fleet of real ingress processes on loopback under random faults drawn from a seed. It
// checks the outcome of every request against the platform's rules, using only what clients and servers saw on their sockets.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Outcome is the outcome of a request as its client saw it.
type Outcome int

// The outcomes.
const (
	Served           Outcome = iota
	ErrorReply               // the reply was a refusal or an error
	WrongValue               // the reply held the value of another request
	Disconnected             // the client closed its connection while the request was in flight
	ConnectionClosed         // the connection was closed before a complete reply
	TimedOut                 // no reply arrived, long after the deadline
	Unsent                   // the connection was closed before the request was written completely
)

// Request is one request as its client saw it.
type Request struct {
	ID       string
	Class    Class
	Ingress  int
	Process  int  // number of the ingress's process that held the connection
	First    bool // the first request on its connection
	Sent     time.Time
	Deadline time.Time
	Outcome  Outcome
	EndedAt  time.Time
	Text     string // of the reply, or the error that ended the connection
}

// Arrival is a command that reached a server completely.
type Arrival struct {
	ID       string
	Class    string
	Ingress  int // the ingress that sent it, known by the server's address
	Server   string
	At       time.Time
	WithinS  float64 // time remaining for the request, as the command states it
	Rejected bool    // the server turned the command away without running it
}

// Drain is the drain of a server, with the time at which each ingress was notified.
type Drain struct {
	Server     string
	NotifiedAt []time.Time // by ingress; zero: never
}

// Process records one process of an ingress.
type Process struct {
	Started, Terminated, Killed time.Time // zero: never; Killed is also the time of an exit after SIGTERM
	KilledAtOnce                bool      // without a SIGTERM before
	Exited                      error     // the error of a process that exited by itself; nil: without an error, or it did not exit
	ReadyAfter                  time.Duration
}

// Span is an interval of time.
type Span struct{ From, To time.Time }

func (s Span) overlaps(from, to time.Time) bool { return s.From.Before(to) && from.Before(s.To) }

// Record is everything that was observed during a run. Judge and the methods that add to it are safe for concurrent use.
type Record struct {
	IdleClients bool // idle connections used up the descriptors: new connections may be closed unread

	mu        sync.Mutex
	requests  []Request
	arrivals  []Arrival
	drains    []Drain
	processes [][]*Process // by ingress
	pauses    []Span       // of this process or of an ingress; times near them are not judged
	events    []string
	start     time.Time
}

// note adds an event with its time.
func (r *Record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf("%7.3f ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
}

// addPause adds an interval in which times are not judged.
func (r *Record) addPause(s Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pauses = append(r.pauses, s)
}

// unpaused reports whether no pause overlaps an interval.
func (r *Record) unpaused(from, to time.Time) bool {
	return !slices.ContainsFunc(r.pauses, func(s Span) bool { return s.overlaps(from, to) })
}

// Limits set by the platform. Each time limit is extended by tolerance.
const (
	tolerance              = 50 * time.Millisecond
	maxSendAfterDrain      = 2 * time.Second        // after an ingress was notified of a drain
	maxSendAfterDisconnect = 100 * time.Millisecond // after the client closed its connection
	deadlineTolerance      = 150 * time.Millisecond // of the remaining time that an attempt states to its server
	maxLateness            = 500 * time.Millisecond // a reply that is late by at most this breaks no rule, but has no value
	maxStartTime           = 10 * time.Second
)

// Violation is one violation of a rule.
type Violation struct{ Rule, Text string }

// Judge returns the violations of the rules, and how many requests were sent and served.
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

// seconds converts a time to seconds since the start of the run.
func (r *Record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// judgeRequest checks one request and the commands that reached servers for it.
func (r *Record) judgeRequest(q *Request, list []Arrival, broke func(rule, format string, args ...any)) {
	name := fmt.Sprintf("request %s (%s) to n%d at %.3f", q.ID, q.Class.Name, q.Ingress, r.seconds(q.Sent))
	processRecord := r.processes[q.Ingress][q.Process]
	ran := slices.ContainsFunc(list, func(a Arrival) bool { return !a.Rejected })
	leaving := !processRecord.Terminated.IsZero() && q.EndedAt.After(processRecord.Terminated)
	killed := processRecord.KilledAtOnce && !q.EndedAt.Before(processRecord.Killed)
	switch q.Outcome {
	case WrongValue:
		broke("lost", "%s was served with %q", name, q.Text)
	case TimedOut:
		broke("lost", "%s had no reply by %.3f, its deadline was %.3f", name, r.seconds(q.EndedAt), r.seconds(q.Deadline))
	case ConnectionClosed:
		switch {
		case killed:
		case len(list) > 0:
			broke("lost", "%s was sent to a server, then its connection was closed at %.3f: %s", name, r.seconds(q.EndedAt), q.Text)
		case leaving, r.IdleClients && q.First: // closed unread: the client can safely send the request elsewhere
		default:
			broke("lost", "%s: its connection was closed at %.3f: %s", name, r.seconds(q.EndedAt), q.Text)
		}
	case Served, ErrorReply:
		if late := q.EndedAt.Sub(q.Deadline); late > maxLateness+tolerance && r.unpaused(q.Deadline, q.EndedAt) {
			broke("lost", "%s was answered %.3f s after its deadline", name, late.Seconds())
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
			broke("duplicate", "%s reached servers %d times", name, n)
		}
	}
	for _, a := range list {
		if q.Outcome == Disconnected && a.At.Sub(q.EndedAt) > maxSendAfterDisconnect+tolerance && r.unpaused(q.EndedAt, a.At) {
			broke("lost", "%s was sent to a server %.3f s after its client had disconnected", name, a.At.Sub(q.EndedAt).Seconds())
		}
		if remaining := q.Deadline.Sub(a.At); a.WithinS > (remaining+deadlineTolerance+tolerance).Seconds() && r.unpaused(q.Sent, a.At) {
			broke("deadline", "%s announced to %s a deadline in %.3f s when its client had %.3f s left", name, a.Server, a.WithinS, remaining.Seconds())
		}
	}
	if q.Outcome == ErrorReply && ran && q.Class.Unsafe && len(q.Text) > 5 && q.Text[:5] == "-BUSY" {
		broke("lost", "%s was refused with -BUSY, which promises that it did not run, but it had run", name)
	}
}

// judgeDrains checks that no ingress kept sending to a draining server.
func (r *Record) judgeDrains(broke func(rule, format string, args ...any)) {
	for _, d := range r.drains {
		for _, a := range r.arrivals {
			if a.Server != d.Server || d.NotifiedAt[a.Ingress].IsZero() {
				continue
			}
			if late := a.At.Sub(d.NotifiedAt[a.Ingress]); late > maxSendAfterDrain+tolerance &&
				r.unpaused(d.NotifiedAt[a.Ingress].Add(maxSendAfterDrain), a.At) {
				broke("drain", "request %s was sent by n%d to %s %.3f s after the ingress was notified of its drain", a.ID, a.Ingress, a.Server, late.Seconds())
			}
		}
	}
}

// judgeProcesses checks that no process crashed or started too slowly.
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
