package plan

// Timing of a shutdown, in seconds. The platform kills the process no sooner than killDelayS after the longest deadline of
// a request, counted from the signal.
const (
	maxDeadlineS    = 3.0  // longest deadline that counts: a longer one does not postpone the kill
	killDelayS      = 0.7  // from the longest deadline to the kill
	closeIdleS      = 1.0  // so long before the kill, idle connections begin to be closed
	exitLeadS       = 0.25 // so long before the kill, open requests get a final answer and the process exits
	newConnectionsS = 0.45 // new connections keep arriving for so long after the signal
)

// Step is what an ingress does at a moment of its shutdown.
type Step int

// The steps of a shutdown.
const (
	Serve     Step = iota // serve as usual
	CloseIdle             // close each connection as soon as it is idle
	Exit                  // answer open requests, with a refusal if they have not run and an error if they may have, and exit
)

// Shutdown decides the steps of a graceful shutdown. Clients keep using the connections they have. A client whose connection
// is closed may be sent to this ingress again until the platform has noticed that it is down, which takes seconds. The
// ingress therefore serves for as long as new requests can still be answered before the kill. Times are in seconds on one
// clock.
type Shutdown struct {
	StartS    float64 // when the signal arrived
	DeadlineS float64 // the longest deadline of a request
}

// killAt is the earliest time at which the process is killed.
func (sd Shutdown) killAt() float64 { return sd.StartS + min(sd.DeadlineS, maxDeadlineS) + killDelayS }

// NextStep returns what to do now, given the number of open client connections and of unanswered requests.
func (sd Shutdown) NextStep(now float64, connections, requests int) Step {
	switch remainingS := sd.killAt() - now; {
	case remainingS < exitLeadS:
		return Exit
	case remainingS > closeIdleS || now-sd.StartS < newConnectionsS:
		return Serve
	case requests == 0 && connections == 0:
		return Exit
	}
	return CloseIdle
}
