// Package policy decides for one gateway of a fleet that keeps every customer
// of a shared back end to its plan. It holds no clock, no randomness of its own
// and no network: time and seed come in as values, and what is to be done goes
// out through Actions. policy.go holds every decision; this file is its
// interface; message.go is the encoding of the messages between gateways.
package policy

// Effect tells whether a class of request may run more than once.
type Effect int

// The effects of a class.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped by a group of servers for a time
	Unsafe               // must not run twice
)

// KeyScope is the group of servers that drops the repeats of a keyed request.
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
	TargetLatencyS       float64 // an answer within this time earns its full worth
	TargetLatencyStretch float64 // the aim grows by this multiple of the request's own work
	DeadlineS            float64
	Value                float64
	LateValueShare       float64 // share of the worth after the aim
	Effect               Effect
	KeyScope             KeyScope
	KeyTTLS              float64
	Stream               bool
}

// Plan describes the quota that each customer of the plan holds over all gateways.
type Plan struct {
	Name            string
	Rate            float64 // units a second; 0: no such quota
	Burst           float64 // the most units the quota holds
	MaxParallel     int     // attempts out at once; 0: no such quota
	ValueFactor     float64 // factor on the worth
	ExtraValueShare float64 // share of the worth earned beyond the quota
	ExcessCostShare float64 // share of the worth that sending on beyond the quota costs
	CeilingRate     float64 // 0: no ceiling
	CeilingBurst    float64
	CeilingSlack    float64
}

// Settings are fixed for the life of a Gateway. Times are in seconds.
type Settings struct {
	Self, Gateways int
	Zone           string
	Classes        []Class
	Plans          []Plan

	MaxUnits         int
	UnitsFromAnswer  bool    // units are a guess, the true ones come with the answer
	PeerMessagesPerS float64 // messages a second that a gateway takes in

	PeerMessages, Probes, Cancel, ParallelAttempts, RetryAfter bool
	MaxAttempts                                                int
	MaxRetryAfterS                                             float64
	LoadFromProbes, LoadFromAnswers                            bool

	AnswerSlackS, ColdStartShare, ColdPeriodS, OverloadMultiple, OverloadWindowS float64

	TickS           float64 // the least time between two batches of events
	CrossZoneCost   float64
	WorstPlanWeight float64 // weight of the worst-served plan in the goal
}

// ServerState is what the list of servers says of a server.
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
	StartedAt float64 // when its process started; 0: long ago
}

// Request is a client's request that this gateway now owes one final answer.
type Request struct {
	ID, Class, Plan, Customer  string
	DeadlineAt                 float64 // clock time at which the client gives up
	FirstGateway, GatewayCount int     // the customer's gateways: Entries in a row from First
	Units                      float64
	ClientRetry                bool
	QuotaOnly                  bool    // asks for the units alone: ends in Admit or Refuse, never in Send
	HomeServer                 string  // server to whose group a keyed request is kept, "": any
	EarlierServer              string  // server where an earlier request of the same key may have run,
	EarlierSentAt              float64 // sent there at this time; "": none
}

// Status is the way an attempt or a probe ended.
type Status int

// The ways an attempt ends.
const (
	OK            Status = iota
	Error                // the server answered with an error; may have run
	Rejected             // turned away unseen; did not run
	Timeout              // no answer in time; may have run
	ConnectFailed        // never reached the server; did not run
	Reset                // the connection broke; may have run
	Cancelled            // called off; may have run
	NotSent              // not sent
)

var statusNames = [...]string{"ok", "error", "turned away", "timed out", "could not connect", "connection broke", "cancelled", "not sent"}

// String is the status in words.
func (s Status) String() string { return statusNames[s] }

// Load is a server's load report. Fields that were not reported are below 0.
type Load struct {
	InFlight, Queue, Util, ServiceMS, ServedPerS, FailedPerS float64
}

// Outcome ends one attempt. Over tells that the request needs no answer any more.
type Outcome struct {
	ID, Server   string
	Attempt      int
	Status       Status
	RequestEnded bool
	ElapsedS     float64
	Units        float64 // the true units, with TrueUp and OK
	Load         *Load
}

// ProbeResult ends one probe.
type ProbeResult struct {
	Server   string
	Status   Status
	ElapsedS float64
	Load     *Load
}

// Broadcast as the addressee of Tell means every other gateway.
const Broadcast = -1

// Refusal is why a request was refused. It is for logs and counts, and changes nothing else.
type Refusal int

// The reasons of a refusal.
const (
	OverQuota    Refusal = iota // the customer's quota or ceiling has no room
	OwnerSilent                 // the owner of the customer's count gave no word in time
	OutOfTime                   // too little time is left for one more attempt
	AttemptsUsed                // no further attempt is allowed
	NoServer                    // no server had room for it in time
	RefusalCount                // their number
)

var refusalNames = [RefusalCount]string{"over quota", "no word from the owner", "too little time left", "no further attempt allowed", "no server with room"}

// String is the reason in words.
func (r Refusal) String() string { return refusalNames[r] }

// Timing bounds an attempt, in seconds from now.
type Timing struct {
	StartWithinS  float64 // it is not begun later: for a connection it may have to wait
	AnswerWithinS float64 // nor is its answer awaited for longer
}

// Actions is what a Gateway asks of its ingress. Calls happen only while one of
// the Gateway's event methods runs, and in the order in which they are to take effect.
type Actions interface {
	Send(id, server string, timing Timing)           // starts the request's next attempt
	Refuse(id string, retryInS float64, why Refusal) // final answer: trying again is harmless
	Fail(id string)                                  // final answer: promises nothing
	Admit(id string)                                 // final answer to a Limit request: its units are taken
	Cancel(id string, attempt int)
	SetTimer(token uint64, delayS float64)
	Probe(server string)
	SendToPeer(gateway int, data []byte)
	Log(text string)
}
