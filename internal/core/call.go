package core

// AnswerKind is the kind of the final answer to a call.
type AnswerKind uint8

// The kinds of final answers.
const (
	Served   AnswerKind = iota // Payload is the reply of the server
	Refused                    // did not run, or may run again without harm
	Failed                     // may or may not have run
	Admitted                   // answer to a QuotaOnly call: the units are taken
)

// Call is one request that a front has received from a client. The front sets the exported fields up to Tag and must not
// touch the call until it gets it back with its answer, except to pass it to Loop.Disconnected. Each accepted call whose
// client has not disconnected is given back exactly once.
type Call struct {
	ID            string // unique among the open calls, "" for none. A second open call of the same ID fails.
	Customer      string
	FirstInstance int     // the customer's instances are InstanceCount in a row from this one
	InstanceCount int     // 0: all instances
	Retry         bool    // the client says that this is a retry
	Plan          string  // name of the customer's plan
	Class         int     // index among the classes of the settings
	Units         float64 // above 0; may be 0 with QuotaOnly, which asks for the quota and takes nothing
	QuotaOnly     bool    // takes units and sends nothing to a server
	Key           string  // submission key, for keyed classes; "": the call is not matched with repeats
	Payload       []byte  // what is sent to the server; nil again once the call is answered
	TimeoutS      float64 // time in which the client wants the answer, seconds; 0 or beyond the class's deadline: that deadline
	AgeS          float64 // maximum age when the call is submitted, above 0 after a pause; counts towards the deadline
	Front         Front   // gets the answer
	Tag           any     // for the front's use

	Answer Answer // the final answer, set before the call is given back

	slotRef    uint32 // index of the request's slot plus 1; 0: none
	generation uint32
	done       bool // is answered, or the client has disconnected
	receivedAt float64
}

// ReceivedAt returns when the machine received the call, on its clock.
func (call *Call) ReceivedAt() float64 { return call.receivedAt }

// RefusalReason is the reason of a refusal.
type RefusalReason uint8

// The reasons of a refusal.
const (
	NoCapacity     RefusalReason = iota // decision of the policy module: over quota, or no server has capacity in time
	Overloaded                          // too many open requests on this instance
	ShuttingDown                        // this instance is shutting down
	DeadlinePassed                      // the deadline had passed before this instance handled the call
)

// Quota is the plan and the remaining units of a customer at the time of an answer, in units and seconds.
type Quota struct {
	Rate, Burst         float64 // Burst is +Inf for a plan without a rate
	Remaining           float64 // units
	RetryAfterS, ResetS float64 // time until the requested units are available, and until the quota is full
}

// Answer is the final answer to a call.
type Answer struct {
	Kind        AnswerKind
	Payload     []byte
	RetryAfterS float64       // with Refused: minimum time before a retry, 0 for no advice
	Reason      RefusalReason // with Refused
	Detail      string        // with Refused and Failed: explanation for the client's operator
	Quota       Quota         // with QuotaOnly calls
}

// Front receives calls with their answers. Answered is called on the goroutine that drives the Machine and must not block
// or keep the slice.
type Front interface {
	Answered(calls []*Call)
}
