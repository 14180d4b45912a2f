package endpoints

import (
	"maps"
	"strconv"

	"cometpond/policy"
)

// Timing of the requests to discovery, in seconds. The sums of these values keep three limits that the platform sets:
//
//   - A change that discovery has when it comes back counts as known to the ingress at once, and requests to a server that
//     drains must stop within a time for which the shortest known setting is 0.25 s. A request that discovery has received
//     while it was down is never answered. So while none is answered, a new one starts every silenceTimeoutS, however long
//     discovery has been down.
//   - A change must be requested within 6 s after discovery has it and can be reached, even if the long poll that is open
//     then and the two requests after it get no answer.
//   - It must be requested within 4 s after the address of discovery has changed, even if three requests get no answer.
const (
	longPollS       = 2.0  // how long discovery may hold a long poll open; a change that the poll missed counts as known 2 s after that
	answerTimeoutS  = 0.7  // timeout of a request, in addition to the time for which it may be held open
	connectTimeoutS = 0.5  // timeout of a new connection, which may outlast the request for which it is opened
	silenceTimeoutS = 0.15 // longest silence before and within the answer with the full list: discovery answers at once if it is up
	retryDelayS     = 0.05 // delay after a failed request; less if the request itself has taken some of silenceTimeoutS
	patientTimeoutS = 2.0  // timeout of the request that waits for slow answers
)

// Poller decides which request to discovery comes next and how an answer is applied. It has no I/O and no clock.
type Poller struct {
	version    uint64                 // version of the last list
	synced     bool                   // version is from the current address and no change was missed since: the next request is a long poll
	failures   int                    // failed requests in a row
	unanswered int                    // those of them that asked for the full list
	delayS     float64                // delay before the next request
	servers    map[string]knownServer // all servers of the lists so far, by id
}

// knownServer is what a Poller keeps of a server.
type knownServer struct {
	startedAtS float64 // when its last known process started
	usable     bool    // requests may be sent to it
}

// NewPoller returns a poller that starts with a known list; the zero List for none.
func NewPoller(known List) *Poller {
	poller := &Poller{servers: map[string]knownServer{}}
	poller.HandleList(known)
	poller.Reset()
	return poller
}

// Request is a request to discovery. Times are in seconds.
type Request struct {
	Path            string
	DelayS          float64 // delay before the request
	SilenceTimeoutS float64 // timeout for the first byte of the answer, and for each part of it after the one before
	TimeoutS        float64 // timeout for the complete answer
}

// fullListPath is the path of the full list.
const fullListPath = "/api/targets"

// Reset makes the next request ask for the full list without delay: the address of discovery has changed, or lists from
// the same address may not be up to date any more.
func (poller *Poller) Reset() {
	poller.synced, poller.failures, poller.unanswered, poller.delayS = false, 0, 0, 0
}

// NextRequest returns the request to send next. It has a delay only after a failure, because discovery continues a long
// poll only if the next request follows at once.
func (poller *Poller) NextRequest() Request {
	if !poller.synced {
		return Request{Path: fullListPath, DelayS: poller.delayS, SilenceTimeoutS: silenceTimeoutS, TimeoutS: answerTimeoutS}
	}
	const timeoutS = longPollS + answerTimeoutS
	path := fullListPath + "?since=" + strconv.FormatUint(poller.version, 10) + "&timeout_ms=" + strconv.Itoa(longPollS*1000)
	return Request{Path: path, SilenceTimeoutS: timeoutS, TimeoutS: timeoutS}
}

// PatientRequest returns a request to send beside those of NextRequest while these ask for the full list in vain: discovery may
// be up and slow, or this end may be, so that they are given up too early. It reports false if none is needed. One such request
// is to be in flight at a time; its failure is not passed to HandleFailure.
func (poller *Poller) PatientRequest() (request Request, needed bool) {
	return Request{Path: fullListPath, SilenceTimeoutS: patientTimeoutS, TimeoutS: patientTimeoutS}, poller.unanswered > 0
}

// HandleList processes a valid list and returns the list to apply. Changes are applied even if the full list was requested,
// but in that case they don't answer the request, so the full list is requested again after a delay.
//
// A list with a lower version than the last one is either outdated or comes from a discovery server that restarted its
// numbering. It is applied with one exception: a server that drains or is removed does not come back by it, unless the
// server has restarted since.
func (poller *Poller) HandleList(list List) List {
	older := list.Version < poller.version
	answered := list.Full || poller.synced
	poller.Reset()
	if answered {
		poller.synced = list.Full || !older
	} else {
		poller.failures, poller.delayS = 1, retryDelayS
	}
	poller.version = list.Version
	if list.Full && !older {
		for id, known := range poller.servers { // those that the full list doesn't name are removed
			poller.servers[id] = knownServer{known.startedAtS, false}
		}
	}
	for i := range list.Servers {
		server := &list.Servers[i]
		known, isKnown := poller.servers[server.ID]
		if isKnown && older && !known.usable && server.State == policy.Up && server.StartedAt <= known.startedAtS {
			server.State = policy.Draining
		}
		poller.servers[server.ID] = knownServer{max(known.startedAtS, server.StartedAt), server.State == policy.Up}
	}
	if len(poller.servers) > 2*maxHosts {
		maps.DeleteFunc(poller.servers, func(_ string, known knownServer) bool { return !known.usable })
	}
	return list
}

// HandleFailure records that a request of NextRequest brought no valid list within a time in seconds. The next request asks
// for the full list, because changes may have been missed.
func (poller *Poller) HandleFailure(tookS float64) {
	poller.failures++
	if !poller.synced {
		poller.unanswered++
	}
	poller.synced = false
	poller.delayS = min(max(silenceTimeoutS-tookS, 0), retryDelayS)
}

// Failures returns the number of failed requests in a row.
func (poller *Poller) Failures() int { return poller.failures }
