package core

import (
	"fmt"
	"math"

	"cometpond/internal/keys"
	"cometpond/policy"
)

// Counts are totals since the start.
type Counts struct {
	// Calls: each received call ends as one of the others. Disconnected are those whose client disconnected first.
	Received, Served, Refused, Failed, Admitted, Disconnected uint64
	// Calls that waited for the open request with their key, and calls that got its stored answer.
	Joined, Repeated uint64
	Overloaded       uint64 // refused because a queue was full or too many requests were open
	DeadlinePassed   uint64 // refused because a pause used up their time
	Overdue          uint64 // failed by the machine itself, past the deadline
	LateResults      uint64 // results of attempts that had already ended
	// Attempts that were started and that timed out, probes, and messages to and from other instances.
	Attempts, Timeouts, Probes, MessagesSent, MessagesReceived uint64
	// Refused requests, by the reason of the policy module.
	RefusedByReason [policy.RefusalCount]uint64
}

// maxOpenRequests bounds the open requests, unless SetMaxRequests sets a lower limit. A further call is refused at once.
const maxOpenRequests = 1 << 16

const shutdownDetail = "this instance is shutting down"

// Machine is the state of an instance: the policy module, the table of submission keys and the open requests. It has no
// clock; methods that handle events get the current time as an argument. It does no I/O, starts no goroutine, and is not
// safe for concurrent use.
// It gives each call exactly one final answer, whatever the policy module and the servers do, unless the client disconnects.
type Machine struct {
	gateway      *policy.Gateway
	keys         *keys.Table
	openIDs      map[string]struct{} // IDs of calls without an answer
	requestLimit int
	settings     policy.Settings
	plans        map[string]*policy.Plan
	effects      Effects
	now          float64
	slots        []slot
	freeSlots    []uint32
	openRequests int
	timers       timerHeap
	endedQueue   []endedAttempt // not yet reported to the policy module
	draining     bool
	counts       Counts
	observer     func(Event) // may be nil
}

// NewMachine returns the state of an instance at its start.
func NewMachine(settings policy.Settings, seed uint64, now float64, effects Effects) (*Machine, error) {
	mach := &Machine{settings: settings, effects: effects, now: now, plans: map[string]*policy.Plan{},
		openIDs: map[string]struct{}{}, requestLimit: maxOpenRequests}
	maxTTLS := 0.0
	for _, class := range settings.Classes {
		maxTTLS = max(maxTTLS, class.KeyTTLS)
	}
	mach.keys = keys.New(maxTTLS)
	for i := range settings.Plans {
		mach.plans[settings.Plans[i].Name] = &settings.Plans[i]
	}
	gateway, err := policy.New(settings, seed, now, (*policyActions)(mach))
	if err != nil {
		return nil, fmt.Errorf("policy module: %w", err)
	}
	mach.gateway = gateway
	return mach, nil
}

// SetMaxRequests sets how many requests may be open, at least 1 and at most maxOpenRequests.
func (mach *Machine) SetMaxRequests(limit int) {
	mach.requestLimit = min(max(limit, 1), maxOpenRequests)
}

// Counts returns the totals so far.
func (mach *Machine) Counts() Counts { return mach.counts }

// OpenRequests returns the number of requests without a final answer or with attempts in flight.
func (mach *Machine) OpenRequests() int { return mach.openRequests }

// begin starts the handling of an event: it sets the time, which never goes back.
func (mach *Machine) begin(now float64) { mach.now = max(mach.now, now) }

// end completes the handling of an event. It reports the attempts that ended meanwhile to the policy module, which must not
// be called while it calls the machine.
func (mach *Machine) end() {
	for i := 0; i < len(mach.endedQueue); i++ {
		mach.reportOutcome(mach.endedQueue[i])
	}
	clear(mach.endedQueue)
	mach.endedQueue = mach.endedQueue[:0]
}

// Submit handles a call. Its answer may be given before Submit returns.
func (mach *Machine) Submit(now float64, call *Call) {
	mach.begin(now)
	defer mach.end()
	mach.counts.Received++
	call.receivedAt = mach.now
	if call.done {
		mach.counts.Disconnected++
		return
	}
	if !mach.register(call) {
		return
	}
	remainingS := mach.remainingS(call)
	if mach.answerWithoutRequest(call, remainingS) {
		return
	}
	request := mach.policyRequest(call, remainingS)
	keyEntry, answered := mach.matchKey(call, &request)
	if !answered {
		mach.startRequest(call, request, keyEntry)
	}
}

// register checks a call and records its ID. It reports false if the call is invalid and has been answered.
func (mach *Machine) register(call *Call) bool {
	if call.Class < 0 || call.Class >= len(mach.settings.Classes) || mach.plans[call.Plan] == nil {
		mach.answer(call, Answer{Kind: Failed, Detail: "no such class or plan"})
		return false
	}
	if call.ID == "" {
		return true
	}
	if _, duplicate := mach.openIDs[call.ID]; duplicate {
		call.ID = "" // so that its answer does not release the ID of the open call
		mach.answer(call, Answer{Kind: Failed, Detail: "a request of this id is open, want a new id for each request"})
		return false
	}
	mach.openIDs[call.ID] = struct{}{}
	return true
}

// remainingS returns the time that is left for a call, in seconds.
func (mach *Machine) remainingS(call *Call) float64 {
	timeoutS := mach.settings.Classes[call.Class].DeadlineS
	if call.TimeoutS > 0 {
		timeoutS = min(timeoutS, call.TimeoutS)
	}
	return timeoutS - max(call.AgeS, 0)
}

// answerWithoutRequest answers a call that can't, or need not, become a request. It reports whether it did.
func (mach *Machine) answerWithoutRequest(call *Call, remainingS float64) bool {
	switch {
	case mach.draining:
		mach.refuse(call, 0, ShuttingDown, shutdownDetail)
	case remainingS <= 0:
		mach.counts.DeadlinePassed++
		mach.refuse(call, 0, DeadlinePassed, "the request's time was over before this instance read it")
	case mach.openRequests >= mach.requestLimit:
		mach.counts.Overloaded++
		mach.refuse(call, mach.settings.MaxRetryAfterS, Overloaded, "too many requests under way")
	case call.QuotaOnly && call.Units == 0 && mach.plans[call.Plan].Rate == 0:
		mach.answer(call, Answer{Kind: Admitted})
	default:
		return false
	}
	return true
}

// policyRequest returns a call as the policy module sees it, without an ID.
func (mach *Machine) policyRequest(call *Call, remainingS float64) policy.Request {
	request := policy.Request{Class: mach.settings.Classes[call.Class].Name, Plan: call.Plan, Customer: call.Customer,
		DeadlineAt: mach.now + remainingS, FirstGateway: call.FirstInstance, GatewayCount: call.InstanceCount, Units: call.Units,
		ClientRetry: call.Retry, QuotaOnly: call.QuotaOnly}
	if call.InstanceCount <= 0 {
		request.FirstGateway, request.GatewayCount = 0, mach.settings.Gateways
	}
	return request
}

// matchKey looks a call's submission key up. The call joins an open request of the key, or gets its stored answer; then
// answered is true. Otherwise the entry of the key is returned, nil without a key, and request gets what is known of earlier
// requests of the key.
func (mach *Machine) matchKey(call *Call, request *policy.Request) (entry *keys.Entry, answered bool) {
	class := &mach.settings.Classes[call.Class]
	if class.Effect != policy.Keyed || call.QuotaOnly || call.Key == "" {
		return nil, false
	}
	decision := mach.keys.Decide(mach.now, call.Customer, call.Key, class)
	switch decision.Action {
	case keys.Join:
		mach.counts.Joined++
		open := &mach.slots[decision.Entry.RequestRef]
		open.calls = append(open.calls, call)
		call.Payload = nil // the open request's own payload is sent
		call.slotRef, call.generation = uint32(decision.Entry.RequestRef)+1, open.generation
		return nil, true
	case keys.Replay:
		mach.counts.Repeated++
		mach.answer(call, Answer{Kind: Served, Payload: decision.Answer})
		return nil, true
	}
	request.HomeServer, request.EarlierServer, request.EarlierSentAt = decision.HomeServer, decision.EarlierServer, decision.EarlierSentAt
	return decision.Entry, false
}

// startRequest starts a request of the policy module for a call.
func (mach *Machine) startRequest(call *Call, request policy.Request, keyEntry *keys.Entry) {
	slotIndex := mach.newSlot()
	req := &mach.slots[slotIndex]
	req.calls = append(req.calls[:0], call)
	req.class, req.deadline, req.payload, req.keyEntry = call.Class, request.DeadlineAt, call.Payload, keyEntry
	req.earlierMayHaveRun = request.EarlierServer != ""
	if keyEntry != nil {
		keyEntry.RequestRef = uint64(slotIndex)
	}
	call.slotRef, call.generation = slotIndex+1, req.generation
	request.ID = req.id
	generation := req.generation
	mach.gateway.Request(mach.now, request)
	if req := &mach.slots[slotIndex]; req.generation == generation && req.used && !req.finished {
		// A fallback in case the policy module makes no decision; normally it answers by the deadline.
		mach.setTimer(request.DeadlineAt+mach.settings.AnswerSlackS,
			timer{kind: requestOverdue, slot: slotIndex, generation: generation})
	}
	mach.releaseSlot(slotIndex, generation)
}

// Disconnected handles that clients will not read the answers to their calls. A keyed request continues, so that a repeat
// finds its answer; any other request without a remaining call is abandoned. All are abandoned before the policy module
// learns of the capacity that becomes free, because it would use it for waiting requests of the same clients.
func (mach *Machine) Disconnected(now float64, calls ...*Call) {
	mach.begin(now)
	for _, call := range calls {
		mach.disconnect(call)
	}
	mach.end()
}

func (mach *Machine) disconnect(call *Call) {
	if call.done {
		return
	}
	if call.slotRef == 0 { // the client disconnected before Submit, which then starts the request only if it has a key
		call.done = call.Key == ""
		return
	}
	call.done = true
	mach.releaseID(call)
	mach.counts.Disconnected++
	mach.observeCall(ClientDisconnected, call)
	slotIndex := call.slotRef - 1
	req := &mach.slots[slotIndex]
	if req.generation != call.generation || req.finished {
		return
	}
	for i, other := range req.calls {
		if other == call {
			req.calls = append(req.calls[:i], req.calls[i+1:]...)
			break
		}
	}
	if req.keyEntry != nil || len(req.calls) > 0 {
		return
	}
	req.finished, req.payload = true, nil
	mach.gateway.RequestAbandoned(mach.now, req.id)
	for index := range req.attempts {
		mach.cancelAttempt(slotIndex, index)
	}
	mach.releaseSlot(slotIndex, call.generation)
}

// cancelAttempt cancels an attempt that has not ended.
func (mach *Machine) cancelAttempt(slotIndex uint32, index int) {
	req := &mach.slots[slotIndex]
	if index < 0 || index >= len(req.attempts) || req.attempts[index].ended {
		return
	}
	mach.effects.Cancel(AttemptID{slotIndex, req.generation, index}, req.attempts[index].server)
	mach.endAttempt(slotIndex, index, policy.Cancelled, nil)
}

// endAttempt marks an attempt as ended and queues its outcome for the policy module.
func (mach *Machine) endAttempt(slotIndex uint32, index int, status policy.Status, load *policy.Load) {
	req := &mach.slots[slotIndex]
	att := &req.attempts[index]
	att.ended = true
	mach.observeAttempt(AttemptEnded, req, index, status, 0)
	mach.endedQueue = append(mach.endedQueue, endedAttempt{slotIndex, req.generation, index, status, mach.now - att.sentAt, load})
}

// reportOutcome reports the end of an attempt to the key table and to the policy module.
func (mach *Machine) reportOutcome(ended endedAttempt) {
	req := &mach.slots[ended.slot]
	req.inFlight--
	switch ended.status {
	case policy.Rejected, policy.ConnectFailed, policy.NotSent:
		if req.possibleRuns--; req.possibleRuns == 0 && req.keyEntry != nil && !req.earlierMayHaveRun && !req.finished {
			mach.keys.MarkNotRun(req.keyEntry)
		}
	}
	server := req.attempts[ended.index].server
	switch ended.status {
	case policy.ConnectFailed:
		mach.keys.MarkUnreachable(mach.now, server)
	case policy.OK, policy.Error, policy.Rejected:
		mach.keys.MarkReachable(server)
	}
	mach.gateway.Outcome(mach.now, policy.Outcome{ID: req.id, Server: server, Attempt: ended.index, Status: ended.status,
		RequestEnded: req.finished, ElapsedS: ended.elapsedS, Load: ended.load})
	mach.releaseSlot(ended.slot, ended.generation)
}

// HandleResult handles the end of an attempt. A result of an attempt that has already ended is only counted.
func (mach *Machine) HandleResult(now float64, result Result) {
	mach.begin(now)
	defer mach.end()
	id := result.Attempt
	if int(id.Slot) >= len(mach.slots) || mach.slots[id.Slot].generation != id.Generation || !mach.slots[id.Slot].used ||
		id.Index < 0 || id.Index >= len(mach.slots[id.Slot].attempts) || mach.slots[id.Slot].attempts[id.Index].ended {
		mach.counts.LateResults++
		return
	}
	mach.endAttempt(id.Slot, id.Index, result.Status, result.Load) // before answerAll, which withdraws all others
	if result.Status == policy.OK {
		mach.answerAll(id.Slot, Answer{Kind: Served, Payload: result.Payload})
	}
}

// answerAll gives the same final answer to all calls of a request.
func (mach *Machine) answerAll(slotIndex uint32, ans Answer) {
	req := &mach.slots[slotIndex]
	if req.finished {
		return
	}
	req.finished, req.payload = true, nil // nothing more is sent
	if req.keyEntry != nil {
		if ans.Kind == Served {
			mach.keys.MarkServed(mach.now, req.keyEntry, ans.Payload)
		} else {
			mach.keys.MarkNotServed(mach.now, req.keyEntry)
		}
	}
	for _, call := range req.calls {
		mach.answer(call, ans)
	}
	for index := range req.attempts { // a parallel attempt may still wait for its connection
		if !req.attempts[index].ended {
			mach.effects.Withdraw(AttemptID{slotIndex, req.generation, index}, req.attempts[index].server)
		}
	}
	mach.releaseSlot(slotIndex, req.generation)
}

func (mach *Machine) refuse(call *Call, retryAfterS float64, reason RefusalReason, detail string) {
	mach.answer(call, Answer{Kind: Refused, RetryAfterS: retryAfterS, Reason: reason, Detail: detail})
}

// answer gives a call its final answer, unless it has one or its client has disconnected.
func (mach *Machine) answer(call *Call, ans Answer) {
	if call.done {
		return
	}
	call.done = true
	call.Payload = nil // as long as attempts need it, the slot holds it
	mach.releaseID(call)
	switch ans.Kind {
	case Served:
		mach.counts.Served++
	case Refused:
		mach.counts.Refused++
	case Failed:
		mach.counts.Failed++
	case Admitted:
		mach.counts.Admitted++
	}
	if call.QuotaOnly {
		ans.Quota = mach.quota(call)
	}
	call.Answer = ans
	mach.observeCall(CallAnswered, call)
	mach.effects.Answered(call)
}

// releaseID makes the ID of a call available for another call.
func (mach *Machine) releaseID(call *Call) {
	if call.ID != "" {
		delete(mach.openIDs, call.ID)
	}
}

// quota returns the quota of a call's customer as the policy module knows it now.
func (mach *Machine) quota(call *Call) Quota {
	plan := mach.plans[call.Plan]
	if plan == nil || plan.Rate == 0 {
		return Quota{Burst: math.Inf(1), Remaining: math.Inf(1)}
	}
	remaining, known := mach.gateway.RemainingUnits(mach.now, call.Customer)
	if !known {
		remaining = plan.Burst
	}
	return Quota{Rate: plan.Rate, Burst: plan.Burst, Remaining: max(remaining, 0),
		RetryAfterS: max(call.Units-remaining, 0) / plan.Rate, ResetS: (plan.Burst - remaining) / plan.Rate}
}

// UpdateServers applies a list of servers, either the whole list or only the changes.
func (mach *Machine) UpdateServers(now float64, list []policy.Server, whole bool) {
	mach.begin(now)
	defer mach.end()
	mach.keys.UpdateServers(mach.now, list, whole)
	mach.gateway.Servers(mach.now, list, whole)
}

// HandleProbeResult handles the end of a probe.
func (mach *Machine) HandleProbeResult(now float64, result policy.ProbeResult) {
	mach.begin(now)
	defer mach.end()
	switch result.Status {
	case policy.ConnectFailed:
		mach.keys.MarkUnreachable(mach.now, result.Server)
	case policy.OK:
		mach.keys.MarkReachable(result.Server)
	}
	mach.gateway.ProbeEnded(mach.now, result)
}

// HandleMessage handles a message of another instance.
func (mach *Machine) HandleMessage(now float64, from int, data []byte) {
	mach.begin(now)
	defer mach.end()
	mach.counts.MessagesReceived++
	mach.gateway.PeerMessage(mach.now, from, data)
}

// Drain has the machine refuse every later call.
func (mach *Machine) Drain() { mach.draining = true }

// ReturnUnits gives back the units for which a QuotaOnly call was admitted.
func (mach *Machine) ReturnUnits(now float64, call *Call) {
	mach.begin(now)
	defer mach.end()
	if call.QuotaOnly && call.done && call.Answer.Kind == Admitted {
		mach.gateway.ReturnUnits(mach.now, call.Customer, call.Units)
	}
}

// Shutdown ends all open requests when the time for draining is over. A request that did not run, or may run again without
// harm, is refused; any other one fails.
func (mach *Machine) Shutdown(now float64) {
	mach.begin(now)
	defer mach.end()
	for i := range mach.slots {
		req := &mach.slots[i]
		if !req.used || req.finished {
			continue
		}
		ans := Answer{Kind: Refused, Reason: ShuttingDown, Detail: shutdownDetail}
		if class := mach.settings.Classes[req.class]; (req.possibleRuns > 0 || req.earlierMayHaveRun) && class.Effect != policy.Safe &&
			!(class.Effect == policy.Keyed && class.KeyScope == policy.ScopeAll) {
			ans = Answer{Kind: Failed, Detail: shutdownDetail + "; the request may have run"}
		}
		mach.answerAll(uint32(i), ans)
		mach.gateway.RequestAbandoned(mach.now, req.id)
		for index := range req.attempts {
			mach.cancelAttempt(uint32(i), index)
		}
		mach.releaseSlot(uint32(i), req.generation)
	}
}
