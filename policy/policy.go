package policy

// This file makes all decisions; api.go is its interface. Every customer is hashed onto a ring of
// gateways. One gateway, the owner, counts the customer's window against the whole quota. The other
// gateways (members) report their counts to the owner in batches, admit only their split of the
// remaining units that the owner last reported, and fall back to a local window when the owner does
// not respond. See docs/design.md.

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// The suffix S means seconds. A share is a fraction of 1.
const (
	// Ring of gateways.
	ringPointsPerGateway = 512
	ringMaxPoints        = 8192 // approximate upper bound for the whole ring; limits the points per gateway

	// Reports from members to owners.
	reportIntervalS   = 0.1  // minimum time between two regular reports to the same owner
	reportShare       = 0.45 // share of PeerMessagesPerS that a gateway's own reports may use
	urgentReportShare = 0.5  // of its even split of what remains: a member that admits more reports at once
	askAgainShare     = 0.5  // share of PeerMessagesPerS that may ask again after the owner has refused
	freshReplyS       = 0.5  // a member splits a reply of at most this age; with an older one it asks again
	askTimeoutS       = 0.08 // time after which the owner is asked again while requests wait for it
	reportTimeoutS    = 0.3  // the same for reports without a waiting request
	maxUnansweredAsks = 3    // after this many the local window decides

	// Unresponsive peers, and pauses of this process.
	maxUnansweredReports = 2   // unanswered reports after which a peer is silent and is skipped on the ring
	silentPeerRetryS     = 1.0 // time for which it is skipped
	peerReachableS       = 2.0 // a peer that was heard from within this time is reachable
	minPauseS            = 0.1 // without an event for so long, this gateway itself was paused
	minTakeoverPauseS    = 0.3 // after so long a pause, peers may have used the next gateway on the ring

	// Quotas, ledgers and keys.
	maxReserveShare       = 0.5  // upper bound for the part of a ceiling that is reserved for grants
	unlimitedMessagesPerS = 1e6  // stands for no limit of PeerMessagesPerS
	replyLagS             = 0.05 // added to the age of a reply
	keyWindowMarginS      = 0.2  // an ingress may be paused for 0.15 s between reading its clock and sending
	demandDecayS          = 1.5  // time constant of the average demand of a customer
	highValueShare        = 0.18 // of the burst, left by the lowest-value class to higher ones
	memberActiveS         = 10.0 // a member that has not reported on a customer for so long has no demand
	memberInFlightS       = 3.0  // a member's reported attempts in flight count for so long
	youngLedgerS          = 2.0  // a ledger younger than this adopts the remaining units that members report
	forgetAfterS          = 60.0 // customers that are unused for so long are removed

	// Timer and load probes.
	tickS            = 0.02 // interval at which the queue and the attempts are checked
	probeIntervalS   = 1.0  // per server, where only probes carry load reports
	probesPerRequest = 0.25 // upper bound

	// Concurrency limit. The limits per server are sums over all gateways.
	initialServerLimit  = 3.0  // attempts in flight per server
	initialLatencyShare = 0.15 // share of its target that a class is assumed to need before its latency is known
	maxServerLimit      = 64.0 // attempts in flight per server
	limitIncrease       = 0.1  // attempts that one fast answer adds to the limit
	limitDecreaseShare  = 0.03 // share of one server's limit that a slow answer removes
	highQueueing        = 0.22 // the limit shrinks while answers queue for more than this share of their target
	lowQueueing         = 0.15 // the limit may grow while they queue for less than this share
	minServerLimit      = 3.0  // attempts in flight per server

	// Choice of a server. Weights are in attempts in flight unless stated otherwise.
	minCandidates      = 2    // healthy servers that are considered for a request, at least
	allCandidatesFleet = 12   // a fleet of up to this many gateways considers all servers
	utilFreshS         = 3.0  // a load report counts for so long
	utilWeight         = 2.0  // of full utilization of a server's cores
	serverShareWeight  = 1.0  // factor on a server's part of the limit, which is divided by its latency ratio
	crossZoneWeight    = 25.0 // of a CrossZoneCost of 1
	reusedServerWeight = 4.0  // of a server that the request was already sent to

	// Suspicion of servers, and hedging of attempts.
	suspicionDecayS     = 4.0  // time constant at which a suspicion decays
	suspicionWeight     = 30.0 // factor on the squared suspicion in the cost of a server
	errorSuspicion      = 0.5  // raised by one error
	timeoutSuspicion    = 0.01 // raised by a timeout, e-fold with each mean latency up to errorSuspicion
	recoveryGossipLevel = 0.05 // an answer of a server that is suspected more than this is gossiped
	hedgeSuspicion      = 0.3  // attempts at servers that are suspected more than this are hedged early
	hedgeLatencies      = 4.0  // other attempts are hedged after this many mean latencies

	// Server updates passed between gateways (gossip).
	maxGossipKept       = 64
	maxGossipPerMessage = 6
	maxGossipAgeS       = 2.0
	gossipIntervalS     = 0.2 // minimum age difference of updates; also the shortest silence that counts

	// Latency, silence and time left on arrival.
	baseLatencyAnswers = 10    // answers after which the lowest mean latency counts as work that did not queue
	lowUtil            = 0.8   // with cores less utilized than this the limit may grow
	silentLatencies    = 6.0   // a server that answers nothing for so many mean latencies is suspected
	minCommonArrivals  = 10    // requests of a class that must be known before client retries are recognized
	deadlineBinCount   = 101   // histogram bins for the share of the deadline that is left on arrival
	hedgeTargetShare   = 0.4   // share of the target latency before which no attempt is hedged
	connectRetryS      = 0.5   // a server that refuses connections is not used for this time at least
	timeoutWeight      = 0.15  // weight of one timeout in a server's latency ratio and in the limit
	loadDecayS         = 1.0   // time constant of the average load that this gateway puts on a server
	minAnswerTimeoutS  = 0.004 // an answer is awaited for this time at least
)

// New returns a gateway in its initial state. The list of servers is passed to Servers afterwards.
func New(settings Settings, seed uint64, now float64, actions Actions) (*Gateway, error) {
	if actions == nil {
		return nil, errors.New("no actions given")
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	gw := &Gateway{settings: settings, actions: actions, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		now: now, createdAt: now, classesByName: map[string]*classState{}, plansByName: map[string]*planState{},
		servers: map[string]*trackedServer{}, serversByHash: map[uint16]*trackedServer{},
		requests: map[string]*requestState{}, customers: map[uint32]*customerState{},
		peers: make([]peerState, settings.Gateways), warmWorkRateAt: now}
	gw.bootID = uint8(gw.rng.Uint32())
	for i := range gw.peers {
		gw.peers[i].heardAt = math.Inf(-1)
	}
	gw.reportTokens, gw.reportTokensAt = 2, now
	gw.limit = initialServerLimit / float64(settings.Gateways) // for one server
	gw.settings.PeerMessagesPerS = cmp.Or(max(settings.PeerMessagesPerS, 0), unlimitedMessagesPerS)
	gw.buildTables(min(ringPointsPerGateway, max(8, ringMaxPoints/settings.Gateways)))
	gw.actions.SetTimer(1, tickS)
	return gw, nil
}

// newClass returns the initial state of a class.
func newClass(class Class, i int) *classState {
	return &classState{Class: class, index: i, latencyS: initialLatencyShare * class.TargetLatencyS}
}

// newServer returns the initial state of a server when it is first listed.
func newServer(gw *Gateway) *trackedServer {
	n := len(gw.classes)
	return &trackedServer{latencyRatio: 1, utilAt: math.Inf(-1), suspicions: make([]suspicion, n),
		classOKAt: make([]float64, n)}
}

// newCustomer returns the initial state of a customer when it is first seen: its window is full, but its
// split of the ceiling was empty when this gateway started and has been filling since.
func (gw *Gateway) newCustomer(key uint32, plan *planState) *customerState {
	customer := &customerState{key: key, plan: plan, primary: gw.settings.Self, remaining: plan.Burst,
		remainingAt: gw.now, usedAt: gw.now, ceilingAt: gw.createdAt, reserveAt: gw.createdAt}
	gw.customers[key] = customer
	return customer
}

// ---- Life of a request ----

// Request handles the arrival of a client's request.
func (gw *Gateway) Request(now float64, arrival Request) {
	gw.advance(now)
	class := gw.classesByName[arrival.Class]
	if gw.requests[arrival.ID] != nil {
		return
	} else if class == nil {
		gw.actions.Fail(arrival.ID)
		return
	}
	request := &requestState{Request: arrival, class: class, plan: gw.plansByName[arrival.Plan],
		home: gw.servers[arrival.HomeServer], ranOn: gw.servers[arrival.EarlierServer],
		ranAt: arrival.EarlierSentAt}
	request.targetAt = now + class.TargetLatencyS + class.TargetLatencyStretch*class.latencyS
	if class.isClientRetry(arrival.DeadlineAt - now) {
		request.targetAt = min(request.targetAt,
			arrival.DeadlineAt-class.DeadlineS+class.TargetLatencyS+class.TargetLatencyStretch*class.latencyS)
	}
	request.targetAt = min(request.targetAt, arrival.DeadlineAt)
	factor := 1.0
	if request.plan != nil {
		factor, request.customer = request.plan.ValueFactor, gw.customerOf(arrival)
		gw.countDemand(request.customer, arrival.Units)
	}
	if request.targetAt < now+class.latencyS {
		factor *= class.LateValueShare
	}
	// Units measure both the work and the value of a request, so they cancel out.
	request.priority = class.Value * factor
	request.valueDeficit = 1 - class.Value/max(gw.maxClassValue, 1e-9)
	gw.probeTokens = min(gw.probeTokens+probesPerRequest, 2)
	gw.requests[arrival.ID] = request
	gw.liveRequests = append(gw.liveRequests, request)
	decision := allow
	if request.customer != nil {
		decision = gw.decideQuota(request)
	}
	switch {
	case decision == deny:
		gw.refuse(request, OverQuota)
	case !gw.mayAttempt(request): // a client retry can arrive with no time left at all
		gw.refuse(request, OutOfTime)
	case decision == askOwner:
		gw.awaitOwner(request)
	default:
		gw.admit(request, false)
		gw.dispatch(request)
	}
}

// isClientRetry reports whether a request is a client's retry rather than its first request. First
// requests of a class all arrive with the same time left, the most common one; a retry arrives with
// what is left of the deadline of the first request. This avoids answers that come too late to count.
// It would be wrong for clients that choose a new deadline for each request.
func (class *classState) isClientRetry(left float64) bool {
	bin := class.countArrival(left)
	return class.arrivals[class.commonBin] > minCommonArrivals &&
		max(bin-class.commonBin, class.commonBin-bin) > 1
}

// dispatch sends the request to a server, or queues it when no server has capacity. A request for units
// only ends here, and keeps the units that were charged.
func (gw *Gateway) dispatch(request *requestState) {
	if request.QuotaOnly {
		request.charged = false
		gw.actions.Admit(request.ID)
		gw.finish(request)
	} else if !gw.mayAttempt(request) {
		gw.refuse(request, gw.whyNoAttempt(request))
	} else if server := gw.chooseServer(request); server != nil {
		gw.send(request, server)
	} else {
		gw.queue = append(gw.queue, request)
	}
}

func (gw *Gateway) send(request *requestState, server *trackedServer) {
	server.recentLoad = server.recentLoad*math.Exp((server.lastSentAt-gw.now)/loadDecayS) +
		min(server.latencyRatio*request.class.latencyS/loadDecayS, 1)
	gw.beginAttempt(request, server)
	if gw.capacityShare(server) < 1 {
		server.coldSends = append(server.coldSends, sentWork{gw.now, request.class.latencyS})
	} else {
		gw.warmWorkRate += request.class.latencyS / (demandDecayS * float64(max(1, len(gw.listedServers))))
	}
	answer := max(request.giveUpAt()-gw.now, minAnswerTimeoutS)
	gw.actions.Send(request.ID, server.ID,
		Timing{StartWithinS: min(answer, gw.repeatWindowS(request)), AnswerWithinS: answer})
}

// refuse ends the request: as safe to retry if it cannot have been executed or a repeat does no harm,
// and as failed otherwise.
func (gw *Gateway) refuse(request *requestState, why Refusal) {
	if request.answered {
		return
	}
	mayHaveRun := request.ranOn != nil || request.inFlight > 0
	if mayHaveRun && (request.class.Effect == Unsafe ||
		request.class.Effect == Keyed && request.class.KeyScope != ScopeAll) {
		gw.actions.Fail(request.ID)
	} else {
		gw.actions.Refuse(request.ID, gw.settings.MaxRetryAfterS, why)
	}
	for i := range request.attempts {
		if attempt := &request.attempts[i]; gw.settings.Cancel && !attempt.ended && !attempt.cancelled {
			attempt.cancelled = true
			gw.actions.Cancel(request.ID, i)
		}
	}
	gw.finish(request)
}

// Outcome handles the end of an attempt.
func (gw *Gateway) Outcome(now float64, outcome Outcome) {
	gw.advance(now)
	request, attempt := gw.endAttempt(outcome)
	if request == nil {
		return
	}
	gw.applyLoad(attempt.server, outcome.Load)
	gw.learn(request, attempt, outcome)
	if notRun := outcome.Status == Rejected || outcome.Status == ConnectFailed ||
		outcome.Status == NotSent; !notRun && request.ranOn == nil {
		request.ranOn, request.ranAt = attempt.server, attempt.sentAt
	}
	if outcome.Status == OK && gw.settings.UnitsFromAnswer && request.charged && outcome.Units > 0 {
		gw.charge(request.customer, outcome.Units-request.Units)
	}
	if request.answered || outcome.RequestEnded || outcome.Status == OK {
		gw.finish(request)
	} else if request.inFlight == 0 && !request.streaming {
		gw.dispatch(request)
	}
	gw.drainQueue()
}

// giveUpAt is the time from which an answer is not worth the servers' work any more. After the target,
// it allows the share of the remaining time that corresponds to the value that a late answer earns.
func (request *requestState) giveUpAt() float64 {
	return request.targetAt + request.class.LateValueShare*max(request.DeadlineAt-request.targetAt, 0)
}

// mayAttempt reports whether one more attempt is allowed, and likely to be answered in time.
func (gw *Gateway) mayAttempt(request *requestState) bool {
	if len(request.attempts) >= max(1, gw.settings.MaxAttempts) ||
		gw.now+request.class.latencyS > request.giveUpAt() {
		return false
	}
	return request.ranOn == nil || request.class.Effect == Safe ||
		request.class.Effect == Keyed && gw.repeatWindowS(request) >= 0
}

// repeatWindowS is the time for which servers still drop a repeat of the request. A repeat must begin
// within it.
func (gw *Gateway) repeatWindowS(request *requestState) float64 {
	if request.class.Effect != Keyed || request.ranOn == nil {
		return math.Inf(1)
	}
	return request.ranAt + request.class.KeyTTLS - keyWindowMarginS - gw.now
}

// whyNoAttempt is the reason for which mayAttempt returned false.
func (gw *Gateway) whyNoAttempt(request *requestState) Refusal {
	if gw.now+request.class.latencyS > request.giveUpAt() {
		return OutOfTime
	}
	return AttemptsUsed
}

// drainQueue sends queued requests in the order of their value per work, and refuses those that cannot
// meet their target any more.
func (gw *Gateway) drainQueue() {
	if len(gw.queue) == 0 {
		return
	}
	slices.SortStableFunc(gw.queue, func(a, b *requestState) int { return cmp.Compare(b.priority, a.priority) })
	gw.queue = slices.DeleteFunc(gw.queue, func(request *requestState) bool {
		if !request.answered && gw.now+request.class.latencyS <= request.targetAt && gw.mayAttempt(request) {
			server := gw.chooseServer(request)
			if server != nil {
				gw.send(request, server)
			}
			return server != nil
		}
		gw.refuse(request, NoServer)
		return true
	})
}

// Timer handles the expiry of a timer. It does all work that is not triggered by another event.
func (gw *Gateway) Timer(now float64, token uint64) {
	gw.advance(now)
	if token != 1 {
		return
	}
	gw.actions.SetTimer(1, tickS)
	gw.drainQueue()
	gw.checkAttempts()
	gw.sendProbe()
	gw.checkUnanswered()
	gw.flushReports()
	if now > gw.nextCleanupAt {
		gw.nextCleanupAt = now + forgetAfterS/4
		gw.forgetUnused(forgetAfterS)
	}
}

// ---- Quotas and the messages between members and owners ----

// isResponsive reports whether a peer answers. Several unanswered reports in a row remove it from the
// ring for a while.
func (gw *Gateway) isResponsive(gateway int) bool {
	peer := &gw.peers[gateway]
	return gateway == gw.settings.Self || peer.unanswered < maxUnansweredReports ||
		gw.now-peer.unansweredAt > silentPeerRetryS
}

// ownerOf returns the gateway that counts the customer's units.
func (gw *Gateway) ownerOf(customer *customerState) int {
	switch {
	case !gw.settings.PeerMessages || customer.gatewayCount == 1:
		return gw.settings.Self
	case customer.gatewayCount == 0 || gw.isResponsive(customer.primary):
		return customer.primary
	}
	return gw.ringWalk(customer, true)
}

// decideQuota decides on a request when it arrives. The owner uses its count; a member uses its split
// of the remaining units that it last received. A member cannot decide when its split is smaller than
// one request or the last reply is too old: the request then waits for the owner's reply.
func (gw *Gateway) decideQuota(request *requestState) quotaDecision {
	customer, plan := request.customer, request.plan
	if gw.ownerOf(customer) == gw.settings.Self &&
		gw.ownerFits(gw.ledgerOf(customer), customer, request.Units, request.valueDeficit) &&
		(gw.ceilingFits(customer, request.Units) || gw.reserveFits(customer, request.Units)) {
		return allow
	} else if gw.ownerOf(customer) == gw.settings.Self {
		return deny
	}
	remaining, age, ownDemand :=
		gw.memberRemaining(customer), gw.now-customer.remainingAt, gw.currentDemand(customer)
	switch {
	case len(customer.awaitingOwner) > 0:
		return askOwner
	case gw.now < customer.refuseUntil:
		return deny
	case plan.MaxParallel > 0 && (age > freshReplyS ||
		customer.inFlight+customer.othersInFlight+1 >= plan.MaxParallel), !gw.ceilingFits(customer, request.Units):
		return askOwner
	}
	// used: units admitted here that the owner has not acknowledged yet
	need, used := request.Units, max(customer.admitted-customer.acked, 0)
	if ownDemand+customer.othersDemand > plan.Rate {
		need += request.valueDeficit * highValueShare * plan.Burst
	}
	switch stale := !customer.remainingKnown || age > freshReplyS; {
	case plan.Rate == 0:
		return allow
	case stale && (need+used)*float64(customer.gatewayCount) <=
		used+min(remaining, remaining-(customer.othersDemand-plan.Rate)*age):
		return allow // holds even if all of the customer's gateways decide the same at this moment
	case !stale && need+used <= max((remaining+used)*ownDemand/max(ownDemand+customer.othersDemand, 1e-9),
		remaining+used-2*customer.othersDemand*(age+replyLagS)):
		return allow
	case request.Units > remaining && age < reportIntervalS:
		return deny
	}
	return askOwner
}

// ownerFits reports whether the owner's count allows the units. While the customer's demand exceeds its
// rate, a request of a class of lower value must leave more units to classes of higher value.
func (gw *Gateway) ownerFits(ledger *quotaLedger, customer *customerState, units, valueDeficit float64) bool {
	plan := customer.plan
	if plan.MaxParallel > 0 && customer.inFlight+ledger.inFlightExcept(gw.now, -1) >= plan.MaxParallel {
		return false
	} else if plan.Rate == 0 {
		return true
	}
	if gw.currentDemand(customer)+ledger.currentDemand(gw.now) > plan.Rate {
		units += valueDeficit * highValueShare * plan.Burst
	}
	return units <= ledger.remaining
}

// hearsMostPeers reports whether most peers were heard from recently. If so, a silent peer is down, and
// this gateway is not partitioned from the fleet.
func (gw *Gateway) hearsMostPeers() bool {
	n := 0
	for i := range gw.peers {
		if i != gw.settings.Self && gw.now-gw.peers[i].heardAt < peerReachableS {
			n++
		}
	}
	return 2*n >= gw.settings.Gateways-1 && n > 0
}

// ledgerOf returns the owner's count, brought up to the present. Units accrue at the plan's rate. For a
// stand-in that no member has reported to and that hears few peers they accrue only at its own part of
// the rate, as it may be partitioned while others serve the customer. None accrue for the time in which
// this gateway was paused.
func (gw *Gateway) ledgerOf(customer *customerState) *quotaLedger {
	if customer.ledger == nil {
		customer.ledger = &quotaLedger{remaining: gw.memberRemaining(customer), updatedAt: gw.now,
			createdAt: gw.now, members: map[int]*memberState{}}
	}
	ledger, rate := customer.ledger, customer.plan.Rate
	if customer.primary != gw.settings.Self && len(ledger.members) == 0 && !gw.hearsMostPeers() {
		rate /= float64(customer.gatewayCount)
	}
	elapsed := gw.now - ledger.updatedAt
	if gw.settings.PeerMessages && customer.gatewayCount != 1 && ledger.updatedAt < gw.takeoverPauseEndedAt {
		elapsed = max(elapsed-gw.takeoverPauseS, 0) // others counted meanwhile, and will report
	}
	ledger.remaining, ledger.updatedAt = min(customer.plan.Burst, ledger.remaining+rate*elapsed), gw.now
	return ledger
}

// admit charges an admitted request to quota and ceiling. For a prepaid request the owner has already
// charged the ceiling's reserve.
func (gw *Gateway) admit(request *requestState, prepaid bool) {
	customer := request.customer
	if customer == nil {
		return
	}
	switch {
	case prepaid:
	case gw.ceilingFits(customer, request.Units):
		customer.ceilingUnits -= request.Units
	default:
		customer.reserveUnits -= request.Units
	}
	request.charged = true
	gw.charge(customer, request.Units)
}

func (gw *Gateway) charge(customer *customerState, units float64) {
	if gw.ownerOf(customer) == gw.settings.Self {
		ledger := gw.ledgerOf(customer)
		ledger.remaining = max(ledger.remaining-units, min(ledger.remaining, 0))
	}
	customer.admitted += units
	if customer.admitted > customer.acked || units < 0 {
		// A sudden burst is reported at once: otherwise each gateway would admit a batch of it from the
		// same outdated remaining units.
		urgent := gw.ownerOf(customer) != gw.settings.Self && customer.unansweredSince == 0 &&
			customer.admitted-customer.acked >
				urgentReportShare*gw.memberRemaining(customer)/float64(max(1, customer.gatewayCount))
		if gw.markForReport(customer, urgent); urgent {
			gw.flushReports()
		}
	}
}

// markForReport includes the customer in the next report to its owner.
func (gw *Gateway) markForReport(customer *customerState, urgent bool) {
	owner := gw.ownerOf(customer)
	if owner == gw.settings.Self {
		customer.acked = customer.admitted
		return
	}
	if !customer.reportDue || customer.reportTo != owner {
		gw.scheduleReport(customer, owner)
	}
	gw.peers[owner].urgent = gw.peers[owner].urgent || urgent
}

// awaitOwner holds the request until the customer's owner has replied.
func (gw *Gateway) awaitOwner(request *requestState) {
	customer := request.customer
	customer.awaitingOwner, request.awaitsOwner = append(customer.awaitingOwner, request), true
	if len(customer.awaitingOwner) > 1 {
		return // it is included in the next report
	}
	customer.timeouts, customer.unansweredSince = 0, gw.now
	gw.awaitReply(customer)
	gw.markForReport(customer, true)
	gw.flushReports()
}

// flushReports sends the reports that are due. Each gateway receives about as many reports as it sends,
// so it keeps its own reports to a share of what one can receive. Replies come on top.
func (gw *Gateway) flushReports() {
	share := gw.settings.PeerMessagesPerS * reportShare
	gw.reportTokens = min(max(2, share*reportIntervalS*2), gw.reportTokens+share*(gw.now-gw.reportTokensAt))
	gw.reportTokensAt = gw.now
	gw.peersDue = slices.DeleteFunc(gw.peersDue, func(i int) bool {
		peer := &gw.peers[i]
		if peer.urgent && gw.reportTokens >= 1 ||
			gw.reportTokens >= 2 && gw.now-peer.reportedAt >= reportIntervalS {
			gw.reportTokens--
			gw.sendReports(i)
		}
		peer.inPeersDue = len(peer.reports) > 0
		return !peer.inPeersDue
	})
}

// sendReports reports to a peer about the customers that it owns.
func (gw *Gateway) sendReports(gateway int) {
	peer, n := &gw.peers[gateway], 0
	b := gw.newMessage()
	for _, customer := range peer.reports {
		if len(b)+msgRecordBytes > msgMaxBytes {
			break
		}
		if n++; customer.reportTo != gateway || !customer.reportDue {
			continue
		}
		customer.reportDue = false
		rec := quotaRecord{Key: customer.key, PlanIndex: customer.plan.index,
			RemainingKnown: customer.remainingKnown, FromReserve: gateway == customer.primary,
			Total: customer.admitted, Remaining: gw.memberRemaining(customer),
			DemandRate: gw.currentDemand(customer), InFlight: customer.inFlight,
			Unacked: max(customer.admitted-customer.acked, 0)}
		customer.reportedAwaiting = len(customer.awaitingOwner)
		for k, request := range customer.awaitingOwner {
			if rec.Requested += request.Units; k == 0 {
				rec.FirstRequested, rec.ValueDeficit = request.Units, request.valueDeficit
			}
		}
		b = appendRecord(b, rec)
		if customer.unansweredSince == 0 || customer.reportedAwaiting > 0 {
			customer.unansweredSince = gw.now
		}
		gw.awaitReply(customer)
	}
	peer.reports = slices.Delete(peer.reports, 0, n)
	peer.reportedAt, peer.urgent = gw.now, peer.urgent && len(peer.reports) > 0
	gw.sendToPeer(gateway, b)
}

// sendToPeer sends a message with quota records, and fills its free space with recent server updates.
func (gw *Gateway) sendToPeer(gateway int, b []byte) {
	if len(b) == msgHeaderBytes {
		return
	}
	b[msgCountOffset] = byte((len(b) - msgHeaderBytes) / msgRecordBytes)
	for i := len(gw.gossip) - 1; i >= max(0, len(gw.gossip)-maxGossipPerMessage) &&
		len(b)+msgUpdateBytes <= msgMaxBytes; i-- {
		if update := gw.gossip[i]; gw.now-update.at < maxGossipAgeS {
			b = appendServerUpdate(b, update, gw.now)
		}
	}
	gw.actions.SendToPeer(gateway, b)
}

// checkUnanswered handles reports without a reply. They are sent again; after a second timeout they go
// to the next gateway on the ring, and after a third one the local window decides. While this gateway
// itself was paused, no peer counts as silent.
func (gw *Gateway) checkUnanswered() {
	for _, customer := range gw.awaitingReply {
		timeout := reportTimeoutS
		if len(customer.awaitingOwner) > 0 {
			timeout = askTimeoutS
		}
		if customer.unansweredSince > 0 && gw.now-max(customer.unansweredSince, gw.pauseEndedAt) > timeout {
			if !customer.reportDue { // the report was sent
				peer := &gw.peers[customer.reportTo]
				peer.unanswered, peer.unansweredAt = peer.unanswered+1, gw.now
			}
			customer.timeouts++
			customer.unansweredSince, customer.reportedAwaiting = 0, 0
			if customer.timeouts >= maxUnansweredAsks {
				customer.timeouts = 0
				gw.resolve(customer, len(customer.awaitingOwner),
					func(request *requestState) bool { return gw.localWindowFits(customer, request.Units) }, false)
			} else {
				gw.markForReport(customer, len(customer.awaitingOwner) > 0)
				if len(customer.awaitingOwner) > 0 {
					customer.unansweredSince = gw.now
				}
			}
		}
		customer.inAwaitingReply = customer.unansweredSince > 0
	}
	gw.awaitingReply = slices.DeleteFunc(gw.awaitingReply,
		func(customer *customerState) bool { return !customer.inAwaitingReply })
}

// localWindowFits decides when no owner replies, by the count of this gateway alone. Only its part of
// the rate is used, as the other gateways may go on serving the same customer.
func (gw *Gateway) localWindowFits(customer *customerState, units float64) bool {
	plan, n := customer.plan, float64(customer.gatewayCount)
	if plan.MaxParallel > 0 && customer.inFlight+customer.othersInFlight >= plan.MaxParallel {
		return false
	}
	customer.localUnits = min(max(plan.Burst/n, float64(gw.settings.MaxUnits)),
		customer.localUnits+plan.Rate/n*(gw.now-customer.localAt))
	customer.localAt = gw.now
	if plan.Rate > 0 && units > min(customer.localUnits, gw.memberRemaining(customer)) {
		return false
	}
	customer.localUnits -= units
	return true
}

// resolve decides on the first n requests that wait for the owner.
func (gw *Gateway) resolve(customer *customerState, n int, fits func(*requestState) bool, prepaid bool) {
	resolved := customer.awaitingOwner[:n]
	customer.awaitingOwner = slices.Clone(customer.awaitingOwner[n:])
	for _, request := range resolved {
		switch request.awaitsOwner = false; {
		case request.answered:
		case fits(request) && (prepaid || gw.ceilingFits(customer, request.Units)):
			gw.admit(request, prepaid)
			gw.dispatch(request)
		default:
			gw.refuse(request, OverQuota)
		}
	}
}

// PeerMessage handles a message of another gateway. All reports in it are answered at once, in one
// message.
func (gw *Gateway) PeerMessage(now float64, from int, data []byte) {
	gw.advance(now)
	bootID, seq, recs, updates, ok := parseMessage(data, now)
	if !ok || from < 0 || from >= len(gw.peers) || from == gw.settings.Self {
		return
	}
	peer := &gw.peers[from]
	if peer.isStale(bootID, seq) {
		return
	}
	peer.unanswered, peer.heardAt = 0, now
	gw.messageRate, gw.messageRateAt = gw.messageRate*math.Exp(gw.messageRateAt-now)+1, now
	for _, update := range updates {
		gw.applyUpdate(update)
	}
	b := gw.newMessage()
	for _, rec := range recs {
		customer := gw.customers[rec.Key]
		switch {
		case rec.PlanIndex >= len(gw.plans):
		case rec.FromOwner && customer != nil && customer.reportTo == from:
			gw.applyOwnerReply(customer, rec)
		case !rec.FromOwner:
			if customer == nil {
				customer = gw.newCustomer(rec.Key, gw.plans[rec.PlanIndex])
			}
			customer.usedAt = now
			b = appendRecord(b, gw.answerReport(customer, from, rec))
		}
	}
	gw.sendToPeer(from, b)
	gw.flushReports()
}

// answerReport applies a member's report and returns the owner's reply. Requested units that are granted
// are reserved at once; the member's next report shows which of them it used.
func (gw *Gateway) answerReport(customer *customerState, from int, rec quotaRecord) quotaRecord {
	ledger := gw.ledgerOf(customer)
	member := ledger.members[from]
	if member == nil || member.bootID != gw.peers[from].bootID {
		if rec.RemainingKnown && gw.now-ledger.createdAt < youngLedgerS {
			// After a restart or a change of the owner, the ledger is restored from what members received.
			ledger.remaining = min(ledger.remaining, max(rec.Remaining+rec.Unacked, 0))
		}
		member = &memberState{bootID: gw.peers[from].bootID, total: rec.Total - rec.Unacked}
		ledger.members[from] = member
	}
	ledger.remaining = max(ledger.remaining-ledger.applyReport(member, rec, gw.now), min(ledger.remaining, 0))
	reply := quotaRecord{Key: customer.key, PlanIndex: customer.plan.index, FromOwner: true,
		RemainingKnown: true}
	if rec.Requested > 0 {
		grant := 0.0
		for _, units := range []float64{rec.Requested, rec.FirstRequested} {
			if customer.plan.MaxParallel > 0 {
				units = rec.FirstRequested
			}
			if gw.ownerFits(ledger, customer, units, rec.ValueDeficit) {
				grant = units
				break
			}
		}
		if grant > 0 {
			ledger.remaining -= grant
			member.total += grant
			member.inFlight++
			if reply.FromReserve = rec.FromReserve && gw.reserveFits(customer, grant); reply.FromReserve {
				customer.reserveUnits -= grant
			}
		} else {
			budget := gw.settings.PeerMessagesPerS * askAgainShare
			reply.RetryAfterS = float64(ledger.activeMembers(gw.now)) / max(budget, 1) *
				min(gw.messageRate/max(budget, 1), 3)
		}
		reply.Requested = rec.Requested
	}
	reply.Total, reply.Remaining, reply.InFlight =
		member.total, ledger.remaining, customer.inFlight+ledger.inFlightExcept(gw.now, from)
	reply.DemandRate = max(ledger.currentDemand(gw.now)-member.demandRate, 0) + gw.currentDemand(customer)
	return reply
}

// applyOwnerReply applies the owner's reply to a report.
func (gw *Gateway) applyOwnerReply(customer *customerState, rec quotaRecord) {
	granted := customer.admitted + wrappedDifference(rec.Total-customer.admitted)
	customer.remainingKnown, customer.remaining, customer.remainingAt, customer.acked =
		true, rec.Remaining, gw.now, granted
	customer.othersDemand, customer.othersInFlight = rec.DemandRate, rec.InFlight
	if rec.Requested > 0 && customer.reportedAwaiting > 0 {
		n := min(customer.reportedAwaiting, len(customer.awaitingOwner))
		customer.reportedAwaiting, customer.timeouts, customer.refuseUntil = 0, 0, gw.now+rec.RetryAfterS
		gw.resolve(customer, n,
			func(request *requestState) bool { return customer.admitted+request.Units <= granted+1e-9 },
			rec.FromReserve)
		if rec.RetryAfterS > 0 {
			gw.resolve(customer, len(customer.awaitingOwner), func(*requestState) bool { return false }, false)
		}
	}
	if customer.acked = min(granted, customer.admitted); granted > customer.admitted ||
		len(customer.awaitingOwner) > 0 && customer.reportedAwaiting == 0 {
		gw.markForReport(customer, len(customer.awaitingOwner) > 0)
	}
	if len(customer.awaitingOwner) == 0 {
		customer.unansweredSince, customer.timeouts = 0, 0
	} else if customer.reportedAwaiting == 0 {
		customer.unansweredSince = gw.now
		gw.awaitReply(customer)
	}
}

// reserveShareOf returns the share of a plan's ceiling that the primary of a customer, its first gateway
// on the ring, keeps as a reserve for grants. With it and its own split one gateway alone can serve the
// whole quota. It is no larger, as nobody can use it while the primary is away. All gateways compute the
// same share, whichever peers are silent.
func reserveShareOf(plan Plan, gateways int) float64 {
	if gateways < 2 {
		return maxReserveShare
	}
	even := 1 / float64(gateways)
	need := max(plan.Rate/max(plan.CeilingRate, 1e-9), plan.Burst/max(plan.CeilingBurst, 1e-9))
	return min(max((need-even)/(1-even), 0), maxReserveShare)
}

// ceilingFits brings this gateway's fixed split of the ceiling up to the present and reports whether it
// covers the units. A split starts empty, as a restarted gateway may just have used up its own.
func (gw *Gateway) ceilingFits(customer *customerState, units float64) bool {
	plan, n := customer.plan, float64(max(customer.gatewayCount, 1))
	if plan.CeilingRate <= 0 {
		return true
	}
	part := (1 - plan.reserveShare) / n
	customer.ceilingUnits = min(plan.CeilingBurst*part,
		customer.ceilingUnits+plan.CeilingRate*part*(gw.now-customer.ceilingAt))
	customer.ceilingAt = gw.now
	return units <= customer.ceilingUnits
}

// reserveFits does the same for the reserve, from which the customer's primary pays grants. The reserve
// does not depend on which peers are silent, so the parts of a ceiling add up through any message loss
// or restart.
func (gw *Gateway) reserveFits(customer *customerState, units float64) bool {
	if customer.primary != gw.settings.Self || customer.plan.CeilingRate <= 0 {
		return false
	}
	plan := customer.plan
	customer.reserveUnits = min(plan.CeilingBurst*plan.reserveShare,
		customer.reserveUnits+plan.CeilingRate*plan.reserveShare*(gw.now-customer.reserveAt))
	customer.reserveAt = gw.now
	return units <= customer.reserveUnits
}

// ---- Servers ----

// Servers handles a list of servers: the whole list, or only the entries that changed.
func (gw *Gateway) Servers(now float64, list []Server, whole bool) {
	gw.advance(now)
	before := float64(max(1, len(gw.listedServers)))
	gw.updateServers(list, whole, func(server *trackedServer) {
		server.latencyRatio, server.downUntil = 1, 0
		clear(server.suspicions)
	})
	gw.serversPerGateway = float64(len(gw.listedServers)) / float64(gw.settings.Gateways)
	gw.limit *= float64(max(1, len(gw.listedServers))) / before
	gw.drainQueue()
}

// slowStartAllows limits a cold server to its share of what a warm one is sent, over any window in which
// it could be overloaded. A gateway's part of that budget is not a whole number of requests, and often
// less than one. It is rounded up or down once per window by a draw that is spread evenly over the
// gateways, so that the sum over the fleet stays within the budget.
func (gw *Gateway) slowStartAllows(server *trackedServer, workS float64) bool {
	share := gw.capacityShare(server)
	if share >= 1 {
		server.coldSends = nil
		return true
	}
	sum := server.workSentWithin(gw.now, gw.settings.OverloadWindowS)
	budget := share * gw.warmWorkRate * gw.settings.OverloadWindowS
	return server.inFlight < 2 && sum+workS*gw.slowStartDraw(server) <= budget
}

// atLimit reports whether the concurrency limit is reached. When less than one attempt is free, it is
// rounded up to one while answers are fast. While they are slow, attempts are spaced out instead: many
// gateways that round up would overload the servers.
func (gw *Gateway) atLimit(request *requestState) bool {
	free := gw.limit - float64(gw.inFlight)
	spaced := free < 1 && gw.queueing >= highQueueing
	return free <= 0 || spaced && gw.now-gw.lastSentAt < max(request.class.latencyS, gw.meanElapsedS)/free
}

// chooseServer returns the server for the request's next attempt, or nil if none has capacity.
func (gw *Gateway) chooseServer(request *requestState) *trackedServer {
	var best *trackedServer
	lowest := math.Inf(1)
	if gw.atLimit(request) {
		return nil
	}
	// In a large fleet each gateway considers a few servers only: otherwise all gateways would pick the
	// same server on the same load reports.
	n := len(gw.listedServers)
	candidates, start := max(minCandidates, n*allCandidatesFleet/gw.settings.Gateways), gw.rng.IntN(max(1, n))
	for k := 0; k < n && candidates > 0; k++ {
		server := gw.listedServers[(start+k)%n]
		if server.State != Up || gw.now < server.downUntil ||
			!gw.slowStartAllows(server, request.class.latencyS) ||
			float64(server.inFlight) >= math.Ceil(serverShareWeight*gw.limit/float64(n)/server.latencyRatio) ||
			request.ranOn != nil && request.class.Effect == Keyed &&
				!sameKeyGroup(request.class.KeyScope, request.ranOn, server) ||
			request.home != nil && !sameKeyGroup(request.class.KeyScope, request.home, server) {
			continue
		}
		// What other gateways have in flight there is unknown: it is estimated as if each of them sent
		// as much as this one.
		load := float64(server.inFlight) + 1 + float64(gw.settings.Gateways-1)*
			server.recentLoad*math.Exp((server.lastSentAt-gw.now)/loadDecayS)
		if server.Zone != gw.settings.Zone {
			load += crossZoneWeight * gw.settings.CrossZoneCost
		}
		if gw.now-server.utilAt < utilFreshS {
			load += utilWeight * server.util
		}
		for i := range request.attempts {
			if request.attempts[i].server == server {
				load += reusedServerWeight
			}
		}
		suspected := gw.suspicionOf(server, request.class)
		if suspected < hedgeSuspicion {
			candidates--
		}
		cost := load * server.latencyRatio * (1 + suspicionWeight*suspected*suspected) *
			(1 + 0.02*gw.rng.Float64())
		if cost < lowest {
			best, lowest = server, cost
		}
	}
	return best
}

// suspect raises the suspicion of a server for a class, or for all classes where class is nil.
func (gw *Gateway) suspect(server *trackedServer, class *classState, by float64) {
	for _, affected := range gw.classes {
		if class == nil || affected == class {
			level := gw.suspicionOf(server, affected)
			server.suspicions[affected.index] = suspicion{level + by*(1-level), gw.now}
			gw.queueUpdate(serverUpdate{server.hash, affected.index,
				server.suspicions[affected.index].level, gw.now})
		}
	}
}

// applyUpdate applies what another gateway reports about a server, and passes it on while it is new.
func (gw *Gateway) applyUpdate(update serverUpdate) {
	server := gw.serversByHash[update.serverHash]
	if server == nil || server.StartedAt > update.at {
		return
	}
	if update.class == loadUpdate {
		if update.at < server.utilAt+gossipIntervalS {
			return
		}
		server.util, server.utilAt = update.value, update.at
	} else if update.class < len(server.suspicions) {
		known := &server.suspicions[update.class]
		if update.at < known.at+gossipIntervalS || update.at < server.classOKAt[update.class] {
			return
		}
		*known = suspicion{update.value, update.at}
	}
	gw.queueUpdate(update)
}

// learn updates what is known of the server, the class and the limit from the end of an attempt.
func (gw *Gateway) learn(request *requestState, attempt *attemptState, outcome Outcome) {
	server, class := attempt.server, request.class
	// Answers, and timeouts of servers that are not suspected, also reflect the load of all servers.
	general := outcome.Status == OK ||
		outcome.Status == Timeout && gw.suspicionOf(server, class) < hedgeSuspicion
	ratio := min(outcome.ElapsedS/class.latencyS, 4)
	switch outcome.Status {
	case OK:
		if gw.suspicionOf(server, class) > recoveryGossipLevel { // peers suspect it by the same updates
			gw.queueUpdate(serverUpdate{server.hash, class.index, 0, gw.now})
		}
		server.classOKAt[class.index], server.suspicions[class.index], server.lastOKAt =
			gw.now, suspicion{0, gw.now}, gw.now
		class.answers++
		class.latencyS += (outcome.ElapsedS - class.latencyS) * max(0.02, 1/float64(class.answers+1))
		if class.answers == baseLatencyAnswers ||
			class.answers > baseLatencyAnswers && class.latencyS < class.baseLatencyS {
			class.baseLatencyS = class.latencyS
		}
		server.latencyRatio = max(server.latencyRatio+0.1*(ratio-server.latencyRatio), 0.3)
	case Timeout, Error:
		by := errorSuspicion
		if outcome.Status == Timeout { // after a short wait, a healthy server may still be at work
			by = min(by, timeoutSuspicion*math.Exp(outcome.ElapsedS/class.latencyS))
		}
		if gw.suspect(server, class, by); outcome.Status == Timeout {
			server.latencyRatio += timeoutWeight * max(4-server.latencyRatio, 0) // slow, if not unresponsive
		}
	case ConnectFailed, Reset:
		single := outcome.Status == Reset && server.lastBrokenAt <= server.lastOKAt
		if server.lastBrokenAt = gw.now; single {
			break // only a second broken connection without an answer in between implicates the server
		}
		gw.suspect(server, nil, errorSuspicion)
		server.downUntil = gw.now + connectRetryS*(1+gw.rng.Float64())
	}
	if !general {
		return
	}
	gw.meanElapsedS += 0.1 * (outcome.ElapsedS - gw.meanElapsedS)
	gw.queueing += 0.1 * (max(outcome.ElapsedS-class.baseLatencyS, 0)/class.TargetLatencyS - gw.queueing)
	util, fresh := gw.meanUtil()
	idleCores := fresh && util < lowUtil        // the servers are not overloaded
	step := min(1, initialServerLimit/gw.limit) // one answer tells about one of the servers in use
	if outcome.Status == Timeout && !idleCores {
		gw.limit *= 1 - timeoutWeight*step
	}
	if gw.queueing > highQueueing && !idleCores {
		gw.limit *= 1 - limitDecreaseShare*step
	} else if (idleCores || gw.queueing < lowQueueing) && float64(gw.inFlight)+1.5 >= gw.limit {
		gw.limit += limitIncrease * min(1, gw.limit)
	}
	gw.limit = min(max(gw.limit, minServerLimit*gw.serversPerGateway), maxServerLimit*gw.serversPerGateway)
}

// checkAttempts looks at the attempts in flight. A server that leaves a class unanswered for long is
// suspected for it, and its attempts are hedged at another server where that is allowed.
func (gw *Gateway) checkAttempts() {
	gw.liveRequests = slices.DeleteFunc(gw.liveRequests,
		func(request *requestState) bool { return request.answered && request.inFlight == 0 })
	for _, request := range gw.liveRequests {
		if request.awaitsOwner && gw.now+tickS > request.giveUpAt()-request.class.latencyS {
			gw.refuse(request, OwnerSilent)
			continue
		}
		for i := range request.attempts {
			attempt := &request.attempts[i]
			if !attempt.ended && !attempt.silenceCounted && gw.now-max(attempt.sentAt, gw.pauseEndedAt) >
				max(silentLatencies*request.class.latencyS, gossipIntervalS) &&
				attempt.server.classOKAt[request.class.index] < attempt.sentAt {
				attempt.silenceCounted = true
				gw.suspect(attempt.server, request.class, 1)
			}
		}
		if request.answered || request.streaming || request.inFlight != 1 || request.class.Effect == Unsafe {
			continue
		}
		attempt := &request.attempts[len(request.attempts)-1]
		age, suspected := gw.now-attempt.sentAt, gw.suspicionOf(attempt.server, request.class) > hedgeSuspicion
		tooEarly := !suspected && (!gw.settings.ParallelAttempts ||
			age < hedgeLatencies*request.class.latencyS || len(gw.queue) > 0)
		if tooEarly || attempt.ended || attempt.cancelled || age < hedgeTargetShare*request.class.TargetLatencyS {
			continue
		}
		ranOn, ranAt := request.ranOn, request.ranAt
		if request.ranOn == nil {
			request.ranOn, request.ranAt = attempt.server, attempt.sentAt
		}
		server := (*trackedServer)(nil)
		if gw.mayAttempt(request) {
			server = gw.chooseServer(request)
		}
		switch {
		case server == nil || server == attempt.server:
			request.ranOn, request.ranAt = ranOn, ranAt
		case gw.settings.ParallelAttempts:
			gw.send(request, server)
		case gw.settings.Cancel:
			attempt.cancelled = true
			gw.actions.Cancel(request.ID, len(request.attempts)-1)
		}
	}
	gw.warmWorkRate *= math.Exp((gw.warmWorkRateAt - gw.now) / demandDecayS)
	gw.warmWorkRateAt = gw.now
}

// sendProbe probes a server for its load, where only probes carry load reports: the one without a
// report for the longest time. Probes are limited to a share of the requests.
func (gw *Gateway) sendProbe() {
	if !gw.settings.Probes || !gw.settings.LoadFromProbes || gw.probeTokens < 1 {
		return
	}
	next, oldest := (*trackedServer)(nil), gw.now-probeIntervalS
	for _, server := range gw.listedServers {
		if at := max(server.probedAt, server.utilAt); server.State == Up && at <= oldest {
			next, oldest = server, at
		}
	}
	if next != nil {
		next.probedAt = gw.now
		gw.probeTokens--
		gw.actions.Probe(next.ID)
	}
}

// ProbeEnded handles the end of a probe.
func (gw *Gateway) ProbeEnded(now float64, result ProbeResult) {
	gw.advance(now)
	server := gw.servers[result.Server]
	if server == nil {
		return
	}
	gw.applyLoad(server, result.Load)
	if result.Status == Timeout || result.Status == ConnectFailed {
		gw.suspect(server, nil, errorSuspicion)
	}
	gw.drainQueue()
}
