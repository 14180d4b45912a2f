package core

import "cometpond/policy"

// EventKind is a step in the life of a request.
type EventKind uint8

// The kinds of events.
const (
	AttemptSent        EventKind = iota // an attempt was passed to the back end
	AttemptEnded                        // an attempt has ended with Status
	CallAnswered                        // a call has its final answer
	ClientDisconnected                  // the client of a call has disconnected and reads no answer
)

// Event describes one event to an observer. Fields that do not apply to the event are zero.
type Event struct {
	Kind     EventKind
	ID       string // of the call; if several calls wait for the same request, of the first one
	Customer string
	Attempt  int // of the request, from 0
	Server   string
	Status   policy.Status
	ElapsedS float64 // since the attempt was sent, or since the call was received
	TimeoutS float64 // maximum duration of the attempt, or Call.TimeoutS
	Answer   Answer
}

// Observe registers f, which is called at each event from within the machine's methods. It must be called before the first
// of them.
func (mach *Machine) Observe(f func(Event)) { mach.observer = f }

// observeAttempt passes an event of an attempt to the observer.
func (mach *Machine) observeAttempt(kind EventKind, req *slot, index int, status policy.Status, timeoutS float64) {
	if mach.observer == nil {
		return
	}
	event := Event{Kind: kind, Attempt: index, Server: req.attempts[index].server, Status: status,
		ElapsedS: mach.now - req.attempts[index].sentAt, TimeoutS: timeoutS}
	if len(req.calls) > 0 {
		event.ID, event.Customer = req.calls[0].ID, req.calls[0].Customer
	}
	mach.observer(event)
}

// observeCall passes an event of a call to the observer.
func (mach *Machine) observeCall(kind EventKind, call *Call) {
	if mach.observer != nil {
		mach.observer(Event{Kind: kind, ID: call.ID, Customer: call.Customer, ElapsedS: mach.now - call.receivedAt,
			TimeoutS: call.TimeoutS, Answer: call.Answer})
	}
}
