// Package policy makes the decisions of one gateway of a fleet that keeps every
// customer of a shared back end within its plan: admission against quotas,
// choice of server, retries, and slow start of new servers. It does no I/O and
// reads neither a clock nor a source of randomness: the time and a seed are
// passed in, and everything that has to be done is requested through Actions.
// All decisions are made in policy.go; this file is the interface, state.go
// holds the state, and message.go encodes the messages between gateways.
package policy

// Effect says whether a class of request may be executed more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may be executed any number of times
	Keyed                // a group of servers drops repeats of the same key for a limited time
	Unsafe               // must not be executed twice
)

// KeyScope is the group of servers within which repeats of a keyed request are dropped.
type KeyScope int

// The scopes of a key.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of request. Times are in seconds.
type Class struct {
	Name                 string
	TargetLatencyS       float64 // an answer within this time earns the full value
	TargetLatencyStretch float64 // extends the target by this multiple of the class's mean latency
	DeadlineS            float64
	Value                float64
	LateValueShare       float64 // share of the value that an answer after the target still earns
	Effect               Effect
	KeyScope             KeyScope
	KeyTTLS              float64
	Stream               bool
}

// Plan describes the quota that each customer of the plan has over all gateways.
type Plan struct {
	Name            string
	Rate            float64 // units per second; 0: no rate quota
	Burst           float64 // maximum number of units that the quota accumulates
	MaxParallel     int     // maximum number of attempts in flight; 0: no such quota
	ValueFactor     float64 // factor on the value of a request
	ExtraValueShare float64 // share of the value that requests beyond the quota earn
	ExcessCostShare float64 // share of the value that forwarding beyond the quota costs
	CeilingRate     float64 // hard cap in units per second; 0: no ceiling
	CeilingBurst    float64
	CeilingSlack    float64 // tolerated overshoot of the ceiling, in units
}

// Settings stay the same for the lifetime of a Gateway. Times are in seconds.
type Settings struct {
	Self, Gateways int // index of this gateway and size of the fleet
	Zone           string
	Classes        []Class
	Plans          []Plan

	MaxUnits         int     // of one request
	UnitsFromAnswer  bool    // Request.Units is an estimate; the answer reports the actual units
	PeerMessagesPerS float64 // peer messages per second that a gateway can receive

	// What the deployment allows: messages between gateways, load probes, cancelling an attempt,
	// several attempts of a request at the same time, and refusals that name a time to retry.
	PeerMessages, Probes, Cancel, ParallelAttempts, RetryAfter bool
	MaxAttempts                                                int
	MaxRetryAfterS                                             float64
	LoadFromProbes, LoadFromAnswers                            bool // which responses carry load reports

	// A server starts at ColdStartShare of its capacity and reaches all of it after ColdPeriodS. It
	// fails when it is sent OverloadMultiple times its capacity within OverloadWindowS.
	AnswerSlackS, ColdStartShare, ColdPeriodS, OverloadMultiple, OverloadWindowS float64

	TickS           float64 // minimum time between two batches of events
	CrossZoneCost   float64
	WorstPlanWeight float64 // weight of the worst-served plan in the objective
}

// ServerState is the state of a server according to the list of servers.
type ServerState int

// The states of a server.
const (
	Up ServerState = iota
	Draining
	Removed
)

// Server is an entry of the list of servers.
type Server struct {
	ID, Zone  string
	Cell      int
	State     ServerState
	Weight    float64
	StartedAt float64 // when its process started, in seconds; 0: long ago
}

// Request is a client's request, to which this gateway owes exactly one final answer.
type Request struct {
	ID, Class, Plan, Customer  string
	DeadlineAt                 float64 // time at which the client gives up, in seconds
	FirstGateway, GatewayCount int     // the customer's gateways: GatewayCount in a row from FirstGateway
	Units                      float64
	ClientRetry                bool
	QuotaOnly                  bool    // asks for units only: ends in Admit or Refuse, never in Send
	HomeServer                 string  // a keyed request is kept within this server's group; "": any
	EarlierServer              string  // server on which an earlier request with the same key may have run,
	EarlierSentAt              float64 // and when that request was sent there; "": none
}

// Status is how an attempt or a probe ended.
type Status int

// The ways in which an attempt ends.
const (
	OK            Status = iota
	Error                // the server answered with an error; may have run
	Rejected             // rejected by the server before execution; did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // the server was not reached; did not run
	Reset                // the connection broke; may have run
	Cancelled            // cancelled by the gateway; may have run
	NotSent              // never written to the server; did not run
)

var statusNames = [...]string{"ok", "error", "turned away", "timed out", "could not connect",
	"connection broke", "cancelled", "not sent"}

// String returns the name of the status.
func (s Status) String() string { return statusNames[s] }

// Load is a server's load report. Fields that were not reported are negative.
type Load struct {
	InFlight, Queue, Util, ServiceMS, ServedPerS, FailedPerS float64
}

// Outcome reports the end of one attempt.
type Outcome struct {
	ID, Server   string
	Attempt      int
	Status       Status
	RequestEnded bool // the request needs no answer any more
	ElapsedS     float64
	Units        float64 // the actual units, with UnitsFromAnswer and OK
	Load         *Load
}

// ProbeResult reports the end of one probe.
type ProbeResult struct {
	Server   string
	Status   Status
	ElapsedS float64
	Load     *Load
}

// Broadcast as the recipient of SendToPeer means every other gateway.
const Broadcast = -1

// Refusal is the reason for which a request was refused. It serves logs and
// counters and has no influence on decisions.
type Refusal int

// The reasons of a refusal.
const (
	OverQuota    Refusal = iota // the customer's quota or ceiling is exhausted
	OwnerSilent                 // the owner of the customer's quota did not respond in time
	OutOfTime                   // too little time is left for one more attempt
	AttemptsUsed                // no further attempt is allowed
	NoServer                    // no server had capacity for it in time
	RefusalCount                // the number of reasons
)

var refusalNames = [RefusalCount]string{"over quota", "no word from the owner", "too little time left",
	"no further attempt allowed", "no server with room"}

// String returns the name of the reason.
func (r Refusal) String() string { return refusalNames[r] }

// Timing bounds an attempt, in seconds from now.
type Timing struct {
	StartWithinS  float64 // longest wait for a connection; the attempt is not started later
	AnswerWithinS float64 // its answer is awaited for this long
}

// Actions is what a Gateway requests of its ingress. The methods are called only
// while one of the Gateway's event methods runs, in the order in which the
// actions have to take effect.
type Actions interface {
	Send(id, server string, timing Timing)           // starts the request's next attempt
	Refuse(id string, retryInS float64, why Refusal) // final answer: the client may safely retry
	Fail(id string)                                  // final answer: may have been executed
	Admit(id string)                                 // final answer to a QuotaOnly request: its units are taken
	Cancel(id string, attempt int)
	SetTimer(token uint64, delayS float64)
	Probe(server string)
	SendToPeer(gateway int, data []byte)
	Log(text string)
}
