package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// The state of a gateway, and functions without decisions. The decisions are in policy.go.

type classState struct {
	Class
	index        int
	latencyS     float64 // mean latency of successful answers
	baseLatencyS float64 // lowest mean latency so far, 0 until it is known
	answers      int
	// arrivals is a histogram of the requests by the share of their deadline that was left on arrival;
	// commonBin is its largest bin.
	arrivals  [deadlineBinCount]int
	commonBin int
}

type planState struct {
	Plan
	index        int
	reserveShare float64 // share of the ceiling from which a customer's primary pays grants
}

type trackedServer struct {
	Server
	hash         uint16
	listed       bool
	lastListedAt float64 // meaningful while listed is false
	inFlight     int
	latencyRatio float64 // latency relative to the mean of its class
	lastSentAt   float64
	recentLoad   float64 // decaying mean of the attempts in flight from this gateway
	util, utilAt float64
	probedAt     float64
	suspicions   []suspicion // by class
	classOKAt    []float64   // last successful answer, by class
	lastOKAt     float64     // last successful answer of any class
	lastBrokenAt float64     // last broken or refused connection
	downUntil    float64
	coldSends    []sentWork // recorded during slow start
}

// suspicion is how certain it was, from 0 to 1, that a server leaves a class unanswered.
type suspicion struct{ level, at float64 }

// serverUpdate is a piece of gossip about a server: its suspicion for a class, or its utilization.
type serverUpdate struct {
	serverHash uint16
	class      int
	value, at  float64
}

// updateServers applies a list of servers and calls restarted for each server that has started anew.
func (gw *Gateway) updateServers(list []Server, whole bool, restarted func(*trackedServer)) {
	for _, server := range gw.listedServers {
		server.listed = server.listed && !whole
	}
	for _, entry := range list {
		server := gw.servers[entry.ID]
		if server == nil {
			server = newServer(gw)
			server.hash = uint16(hash64(entry.ID))
			gw.servers[entry.ID] = server
			gw.indexByHash(server)
		} else if entry.StartedAt > server.StartedAt {
			restarted(server)
		}
		server.Server, server.listed = entry, entry.State != Removed
	}
	gw.listedServers = gw.listedServers[:0]
	for _, server := range gw.servers {
		if server.listed {
			gw.listedServers = append(gw.listedServers, server)
			server.lastListedAt = gw.now
		}
	}
	slices.SortFunc(gw.listedServers, func(a, b *trackedServer) int { return cmp.Compare(a.ID, b.ID) })
}

// indexByHash makes a server known by its hash. When two servers share a hash, updates for it are ignored.
func (gw *Gateway) indexByHash(server *trackedServer) {
	if _, taken := gw.serversByHash[server.hash]; taken {
		gw.serversByHash[server.hash] = nil
	} else {
		gw.serversByHash[server.hash] = server
	}
}

// workSentWithin returns the work sent to a cold server within the last spanS seconds.
func (server *trackedServer) workSentWithin(now, spanS float64) (sum float64) {
	kept := server.coldSends[:0]
	for _, sent := range server.coldSends {
		if now-sent.at < spanS {
			kept = append(kept, sent)
			sum += sent.workS
		}
	}
	server.coldSends = kept
	return sum
}

type sentWork struct{ at, workS float64 }

type attemptState struct {
	server         *trackedServer
	sentAt         float64
	ended          bool
	cancelled      bool // by this gateway
	silenceCounted bool // its lack of an answer has raised the server's suspicion
}

type requestState struct {
	Request
	class        *classState
	plan         *planState
	customer     *customerState
	targetAt     float64
	attempts     []attemptState
	inFlight     int
	home         *trackedServer // server of HomeServer
	ranOn        *trackedServer // first server on which it may have run
	ranAt        float64        // when it was sent to that server
	answered     bool           // has had its final answer
	awaitsOwner  bool           // waits for the owner's reply
	charged      bool           // its units are charged to the quota
	streaming    bool
	priority     float64
	valueDeficit float64 // 0 for the class of the highest value, towards 1 for that of the lowest
}

// customerState is what a gateway keeps of one customer.
type customerState struct {
	key                        uint32
	hash                       uint64
	plan                       *planState
	firstGateway, gatewayCount int // gatewayCount 0: known from other gateways' reports only
	primary                    int // the first of its gateways on the ring
	usedAt                     float64
	admitted                   float64 // units admitted here since the start
	acked                      float64 // of them, acknowledged by the owner
	demandRate                 float64 // units per second requested here
	demandAt                   float64
	inFlight                   int
	remainingKnown             bool    // the owner has replied
	remaining, remainingAt     float64 // as last reported by the owner
	othersDemand               float64 // demand at the other gateways, in units per second
	othersInFlight             int
	refuseUntil                float64         // the owner asked not to be asked again before this time
	awaitingOwner              []*requestState // waiting for the owner's reply
	reportedAwaiting           int             // how many of them were reported to the owner
	timeouts                   int
	unansweredSince            float64 // since when a report is unanswered, 0: none
	inAwaitingReply            bool    // in Gateway.awaitingReply
	reportDue                  bool
	reportTo                   int // gateway that the report goes to
	ceilingUnits, ceilingAt    float64
	reserveUnits, reserveAt    float64
	localUnits, localAt        float64
	ledger                     *quotaLedger
}

// quotaLedger is an owner's count for one customer. Units accrue evenly, and unused ones
// carry over up to one burst.
type quotaLedger struct {
	remaining, updatedAt, createdAt float64
	demandRate, demandAt            float64
	members                         map[int]*memberState
}

type memberState struct {
	bootID     uint8
	total      float64 // as last reported, and the units reserved for it since
	demandRate float64
	inFlight   int
	reportedAt float64
}

// inFlightExcept returns the number of attempts that all members but one have in flight.
func (ledger *quotaLedger) inFlightExcept(now float64, except int) (n int) {
	for i, member := range ledger.members {
		if i != except && now-member.reportedAt < memberInFlightS {
			n += member.inFlight
		}
	}
	return n
}

// activeMembers returns the number of members that have reported recently.
func (ledger *quotaLedger) activeMembers(now float64) (n int) {
	for _, member := range ledger.members {
		if now-member.reportedAt < memberActiveS {
			n++
		}
	}
	return n
}

func (ledger *quotaLedger) currentDemand(now float64) float64 {
	return max(ledger.demandRate, 0) * math.Exp((ledger.demandAt-now)/demandDecayS)
}

// wrappedDifference rounds the difference of two counts to quarters, modulo 16384 like the count that
// came over the wire.
func wrappedDifference(x float64) float64 { return float64(int16(int64(math.Floor(x*4+0.5)))) / 4 }

type peerState struct {
	unanswered   int     // reports without a reply since the peer was last heard from
	unansweredAt float64 // time of the last of them
	reportedAt   float64
	heardAt      float64 // time of its last message
	bootID       uint8
	seq          uint16
	reports      []*customerState
	inPeersDue   bool // in Gateway.peersDue
	urgent       bool // a request waits for the peer's reply
}

// Gateway makes the decisions of one gateway.
type Gateway struct {
	settings             Settings
	actions              Actions
	rng                  *rand.Rand
	now                  float64
	createdAt            float64
	bootID               uint8
	seq                  uint16
	pauseEndedAt         float64 // when this gateway last resumed after a pause of its own
	takeoverPauseEndedAt float64 // when it last resumed after a pause in which others may have taken over
	takeoverPauseS       float64 // length of that pause
	unansweredShare      float64 // share of reports without a reply
	messageRate          float64 // peer messages received per second
	messageRateAt        float64
	reportTokens         float64 // reports that may be sent
	reportTokensAt       float64
	peersDue             []int            // peers with reports due
	awaitingReply        []*customerState // customers with unanswered reports
	limit                float64          // concurrency limit of this gateway, over all servers
	serversPerGateway    float64
	inFlight             int     // attempts in flight
	queueing             float64 // mean of the latency above the base latency, relative to the target
	meanElapsedS         float64 // mean time until an answer or a timeout
	limitCutAt           float64
	lastSentAt           float64
	probeTokens          float64 // probes that may be sent
	gossip               []serverUpdate
	serversByHash        map[uint16]*trackedServer
	classes              []*classState
	maxClassValue        float64 // highest value per unit of all classes
	ring                 []ringPoint
	classesByName        map[string]*classState
	plans                []*planState
	plansByName          map[string]*planState
	servers              map[string]*trackedServer
	listedServers        []*trackedServer
	requests             map[string]*requestState
	liveRequests         []*requestState
	queue                []*requestState
	customers            map[uint32]*customerState
	peers                []peerState
	warmWorkRate         float64 // work per second sent to each warm server
	warmWorkRateAt       float64
	nextCleanupAt        float64
}

type ringPoint struct {
	position uint64
	gateway  int
}

// mix64 spreads the bits of x (the finalizer of splitmix64).
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hash64 hashes a name; for a customer the result is its position on the ring.
func hash64(name string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix64(h)
}

// sameKeyGroup reports whether two servers drop repeats of the same key.
func sameKeyGroup(scope KeyScope, a, b *trackedServer) bool {
	switch scope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return true
}

// Validate returns an error unless New accepts the settings.
func (settings Settings) Validate() error {
	switch {
	case settings.Gateways < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", settings.Gateways)
	case settings.Self < 0 || settings.Self >= settings.Gateways:
		return fmt.Errorf("me is %d, want 0 to %d", settings.Self, settings.Gateways-1)
	case len(settings.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(settings.Plans) > 16:
		return fmt.Errorf("%d plans given, 16 at most", len(settings.Plans))
	}
	for _, class := range settings.Classes {
		if !(class.DeadlineS > 0) || !(class.TargetLatencyS > 0) || class.Value < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", class.Name)
		} else if class.Effect == Keyed && !(class.KeyTTLS > 0) {
			return fmt.Errorf("class %q: its keys are kept for %v s, want above 0", class.Name, class.KeyTTLS)
		}
	}
	for _, plan := range settings.Plans {
		if plan.Rate < 0 || plan.Rate > 0 && plan.Burst <= 0 || plan.MaxParallel < 0 || plan.CeilingRate < 0 ||
			plan.ValueFactor < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", plan.Name)
		}
	}
	return nil
}

// addInFlight counts the customer's attempts in flight, which are reported to the owner of a plan with
// MaxParallel.
func (gw *Gateway) addInFlight(request *requestState, n int) {
	if request.customer == nil {
		return
	}
	if request.customer.inFlight += n; request.plan.MaxParallel > 0 {
		gw.markForReport(request.customer, false)
	}
}

// finish records that a request has had its final answer, and removes it once no attempt is in flight.
// The units of a request that was never sent are given back.
func (gw *Gateway) finish(request *requestState) {
	request.answered = true
	if request.charged && len(request.attempts) == 0 {
		request.charged = false
		gw.charge(request.customer, -request.Units)
	}
	if request.inFlight == 0 {
		delete(gw.requests, request.ID)
	}
}

// countDemand counts the units that the customer requests here, admitted or not.
func (gw *Gateway) countDemand(customer *customerState, units float64) {
	customer.demandRate, customer.demandAt = gw.currentDemand(customer)+units/demandDecayS, gw.now
}

func (gw *Gateway) currentDemand(customer *customerState) float64 {
	return customer.demandRate * math.Exp((customer.demandAt-gw.now)/demandDecayS)
}

// ringWalk follows the ring from the customer's position to the first gateway that serves it, and with
// skipSilent to the first one that is responsive.
func (gw *Gateway) ringWalk(customer *customerState, skipSilent bool) int {
	i, _ := slices.BinarySearchFunc(gw.ring, customer.hash,
		func(p ringPoint, h uint64) int { return cmp.Compare(p.position, h) })
	for n := range gw.ring {
		gateway := gw.ring[(i+n)%len(gw.ring)].gateway
		if d := (gateway - customer.firstGateway + gw.settings.Gateways) %
			gw.settings.Gateways; d < customer.gatewayCount &&
			(!skipSilent || gw.isResponsive(gateway)) {
			return gateway
		}
	}
	return gw.settings.Self
}

// awaitReply has checkUnanswered look after the customer's reports until they are answered.
func (gw *Gateway) awaitReply(customer *customerState) {
	if !customer.inAwaitingReply {
		customer.inAwaitingReply = true
		gw.awaitingReply = append(gw.awaitingReply, customer)
	}
}

func (gw *Gateway) newMessage() []byte {
	gw.seq++
	return appendHeader(make([]byte, 0, msgMaxBytes), gw.bootID, gw.seq)
}

// queueUpdate keeps a server update that other gateways should receive, newest last.
func (gw *Gateway) queueUpdate(update serverUpdate) {
	if gw.gossip = append(gw.gossip, update); len(gw.gossip) > maxGossipKept {
		gw.gossip = gw.gossip[1:]
	}
}

// meanUtil returns the mean utilization of the servers' cores by recent load reports, if there are any.
func (gw *Gateway) meanUtil() (mean float64, fresh bool) {
	n := 0.0
	for _, server := range gw.listedServers {
		if gw.now-server.utilAt < utilFreshS {
			n++
			mean += server.util
		}
	}
	return mean / max(n, 1), n > 0
}

// memberRemaining returns the customer's remaining units as far as a member knows them.
func (gw *Gateway) memberRemaining(customer *customerState) float64 {
	if customer.ledger != nil {
		// This gateway is no longer the owner; what it counted is the best starting point for a member.
		customer.remaining, customer.remainingAt, customer.remainingKnown, customer.acked, customer.ledger =
			gw.ledgerOf(customer).remaining, gw.now, true, customer.admitted, nil
	}
	return min(customer.plan.Burst, customer.remaining+customer.plan.Rate*(gw.now-customer.remainingAt)) -
		max(customer.admitted-customer.acked, 0)
}

// advance sets the time and records when this gateway itself was paused.
func (gw *Gateway) advance(now float64) {
	if now-gw.now > minPauseS {
		gw.pauseEndedAt = now
	}
	if now-gw.now > minTakeoverPauseS {
		gw.takeoverPauseEndedAt, gw.takeoverPauseS = now, now-gw.now
	}
	gw.now = now
}

// RemainingUnits returns what this gateway knows to be left of a customer's quota, in units. It is
// negative when more was counted than the quota holds. It returns false for an unknown customer.
func (gw *Gateway) RemainingUnits(now float64, customerID string) (float64, bool) {
	gw.advance(now)
	customer := gw.customers[uint32(hash64(customerID)>>32)]
	if customer == nil {
		return 0, false
	} else if gw.ownerOf(customer) == gw.settings.Self {
		return gw.ledgerOf(customer).remaining, true
	}
	return gw.memberRemaining(customer), true
}

// ReturnUnits gives back units that were admitted for a QuotaOnly request and were not used. Units of a
// ceiling are not given back: it bounds what may have been sent.
func (gw *Gateway) ReturnUnits(now float64, customerID string, units float64) {
	gw.advance(now)
	if customer := gw.customers[uint32(hash64(customerID)>>32)]; customer != nil && units > 0 {
		gw.charge(customer, -units)
	}
}

// customerOf returns the state of the request's customer, and creates it if necessary.
func (gw *Gateway) customerOf(request Request) *customerState {
	hash := hash64(request.Customer)
	key := uint32(hash >> 32)
	customer := gw.customers[key]
	if customer == nil {
		customer = gw.newCustomer(key, gw.plansByName[request.Plan])
	}
	if customer.gatewayCount == 0 {
		customer.hash, customer.firstGateway, customer.gatewayCount =
			hash, request.FirstGateway, request.GatewayCount
		if customer.gatewayCount <= 0 || customer.gatewayCount > gw.settings.Gateways {
			customer.firstGateway, customer.gatewayCount = 0, gw.settings.Gateways
		}
		customer.primary = gw.ringWalk(customer, false)
	}
	customer.usedAt = gw.now
	return customer
}

// buildTables creates the tables of classes and plans and the ring.
func (gw *Gateway) buildTables(pointsPerGateway int) {
	for i, class := range gw.settings.Classes {
		gw.maxClassValue = max(gw.maxClassValue, class.Value)
		gw.classes = append(gw.classes, newClass(class, i))
		gw.classesByName[class.Name] = gw.classes[i]
	}
	for i, plan := range gw.settings.Plans {
		gw.plans = append(gw.plans, &planState{Plan: plan, index: i,
			reserveShare: reserveShareOf(plan, gw.settings.Gateways)})
		gw.plansByName[plan.Name] = gw.plans[i]
	}
	for gateway := range gw.settings.Gateways {
		for i := range pointsPerGateway {
			gw.ring = append(gw.ring, ringPoint{mix64(uint64(gateway)<<32 | uint64(i)), gateway})
		}
	}
	slices.SortFunc(gw.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.gateway, b.gateway))
	})
}

// capacityShare returns the share of its full capacity that the server is guaranteed to have by now.
func (gw *Gateway) capacityShare(server *trackedServer) float64 {
	age := gw.now - server.StartedAt
	if server.StartedAt <= 0 || age >= gw.settings.ColdPeriodS || gw.settings.ColdPeriodS <= 0 {
		return 1
	}
	return gw.settings.ColdStartShare + (1-gw.settings.ColdStartShare)*max(age, 0)/gw.settings.ColdPeriodS
}

// slowStartDraw returns this gateway's draw, from 0 to 1, for a server and the current window of
// OverloadWindowS. The draws of all gateways for one server are spread evenly, and so are the starts of
// their windows.
func (gw *Gateway) slowStartDraw(server *trackedServer) float64 {
	// The multiples of each constant are spread evenly over 0 to 1, and independently of the other's.
	const goldenRatio, plasticRatio = 0.6180339887498949, 0.7548776662466927
	_, phase := math.Modf(float64(gw.settings.Self) * plasticRatio)
	window := uint64(max((gw.now-server.StartedAt)/max(gw.settings.OverloadWindowS, 1e-3)+phase, 0))
	draw := float64(mix64(hash64(server.ID)+window)>>11) / (1 << 53)
	_, draw = math.Modf(draw + float64(gw.settings.Self)*goldenRatio)
	return draw
}

// suspicionOf returns how certain it is by now, from 0 to 1, that the server does not answer the class.
func (gw *Gateway) suspicionOf(server *trackedServer, class *classState) float64 {
	last := server.suspicions[class.index]
	return last.level * math.Exp((last.at-gw.now)/suspicionDecayS)
}

// forgetUnused removes customers that have not been used for ageS seconds, and servers that left the list.
func (gw *Gateway) forgetUnused(ageS float64) {
	// A server must stay known for as long as a key that ran there may be remembered.
	serverAgeS := ageS
	for _, class := range gw.classes {
		serverAgeS = max(serverAgeS, 2*class.KeyTTLS)
	}
	for id, server := range gw.servers {
		if server.listed {
			server.lastListedAt = gw.now
		} else if server.inFlight == 0 && gw.now-server.lastListedAt > serverAgeS {
			delete(gw.servers, id)
		}
	}
	clear(gw.serversByHash)
	for _, server := range gw.servers {
		gw.indexByHash(server)
	}
	for key, customer := range gw.customers {
		if gw.now-customer.usedAt > ageS && customer.inFlight == 0 && len(customer.awaitingOwner) == 0 {
			delete(gw.customers, key)
		} else if customer.ledger != nil {
			for i, member := range customer.ledger.members {
				if gw.now-member.reportedAt > ageS {
					delete(customer.ledger.members, i)
				}
			}
		}
	}
}

// scheduleReport adds the customer to the next report to a peer.
func (gw *Gateway) scheduleReport(customer *customerState, gateway int) {
	peer := &gw.peers[gateway]
	customer.reportDue, customer.reportTo = true, gateway
	peer.reports = append(peer.reports, customer)
	if !peer.inPeersDue {
		peer.inPeersDue = true
		gw.peersDue = append(gw.peersDue, gateway)
	}
}

// applyReport adds a member's report to the sums and returns the units by which it exceeds what was known.
func (ledger *quotaLedger) applyReport(member *memberState, rec quotaRecord, now float64) float64 {
	delta := wrappedDifference(rec.Total - member.total)
	ledger.demandRate = ledger.currentDemand(now) + rec.DemandRate -
		member.demandRate*math.Exp((member.reportedAt-now)/demandDecayS)
	ledger.demandAt = now
	*member = memberState{bootID: member.bootID, total: rec.Total, demandRate: rec.DemandRate,
		inFlight: rec.InFlight, reportedAt: now}
	return delta
}

// StreamStarted handles the start of a streamed answer. From then on the attempt is not retried, as part
// of the answer has been passed to the client.
func (gw *Gateway) StreamStarted(now float64, id string, attempt int) {
	gw.advance(now)
	if request := gw.requests[id]; request != nil {
		request.streaming = true
	}
}

// RequestAbandoned handles the event that a request needs no answer any more.
func (gw *Gateway) RequestAbandoned(now float64, id string) {
	gw.advance(now)
	if request := gw.requests[id]; request != nil && !request.answered {
		gw.finish(request)
	}
}

// ServerEstimate is what a gateway knows and assumes about one server.
type ServerEstimate struct {
	Server       Server
	InFlight     int
	LatencyRatio float64 // latency relative to the mean of its class: 1 is usual
	Suspicion    float64 // 0 to 1, for the class with the highest suspicion
	Util         float64 // as last reported
	UtilAgeS     float64 // age of that report, +Inf without one
}

// ServerEstimates returns the estimates for all listed servers, sorted by ID. It changes no state.
func (gw *Gateway) ServerEstimates(now float64) (list []ServerEstimate) {
	for _, server := range gw.listedServers {
		estimate := ServerEstimate{Server: server.Server, InFlight: server.inFlight,
			LatencyRatio: server.latencyRatio, Util: server.util, UtilAgeS: now - server.utilAt}
		for _, class := range gw.classes {
			estimate.Suspicion = max(estimate.Suspicion, gw.suspicionOf(server, class))
		}
		list = append(list, estimate)
	}
	return list
}

// applyLoad applies a load report.
func (gw *Gateway) applyLoad(server *trackedServer, load *Load) {
	if load != nil && load.Util >= 0 {
		server.util, server.utilAt = load.Util, gw.now
		gw.queueUpdate(serverUpdate{server.hash, loadUpdate, load.Util, gw.now})
	}
}

// quotaDecision is the decision by quota and ceiling on a request that has arrived.
type quotaDecision int

const (
	deny quotaDecision = iota
	allow
	askOwner // the request waits for the owner's reply
)

// countArrival counts the share of the deadline that was left when a request arrived, and returns its bin.
func (class *classState) countArrival(leftS float64) int {
	bin := int(min(max(leftS/class.DeadlineS, 0), 1)*(deadlineBinCount-1) + 0.5)
	class.arrivals[bin]++
	if class.arrivals[bin] > class.arrivals[class.commonBin] {
		class.commonBin = bin
	}
	return bin
}

// beginAttempt counts a new attempt as in flight.
func (gw *Gateway) beginAttempt(request *requestState, server *trackedServer) {
	server.inFlight++
	gw.inFlight++
	request.inFlight++
	gw.lastSentAt, server.lastSentAt = gw.now, gw.now
	gw.addInFlight(request, 1)
	request.attempts = append(request.attempts, attemptState{server: server, sentAt: gw.now})
}

// endAttempt finds the attempt of an outcome and marks it as ended. It returns nil if it is not in flight.
func (gw *Gateway) endAttempt(outcome Outcome) (*requestState, *attemptState) {
	request := gw.requests[outcome.ID]
	if request == nil || outcome.Attempt < 0 || outcome.Attempt >= len(request.attempts) ||
		request.attempts[outcome.Attempt].ended {
		return nil, nil
	}
	attempt := &request.attempts[outcome.Attempt]
	attempt.ended = true
	attempt.server.inFlight--
	gw.inFlight--
	request.inFlight--
	gw.addInFlight(request, -1)
	return request, attempt
}

// isStale reports whether a message is a duplicate or older than one already handled. If not, it is
// recorded as the newest one.
func (p *peerState) isStale(bootID uint8, seq uint16) bool {
	if bootID == p.bootID && p.seq != 0 && int16(seq-p.seq) <= 0 {
		return true
	}
	p.bootID, p.seq = bootID, seq
	return false
}
