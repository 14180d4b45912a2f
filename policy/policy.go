package policy

// This is the decision module; its interface is in api.go. Every customer is hashed on a ring of
// gateways to one owner, which alone keeps its window count against the whole quota. The others tell
// the owner their counts in batches, pass only their split of the room it last reported, and fall back
// to a local window when it is silent (docs/design.md tells what was kept and changed).

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants, with their reasons. Times are in seconds.
const (
	ringPoints    = 512   // points a gateway, as in the post, but
	ringMost      = 8192  // on the whole ring no more than about so many
	batchS        = 0.1   // least time between reports to one owner: "a few times a second"
	reportShare   = 0.45  // of peerIntake that a gateway's own reports may take
	tellEarly     = 0.5   // of its even split of the room: let in by a member, it is told at once
	holdShare     = 0.5   // of peerIntake that members refused by their owner may ask for again
	freshS        = 0.5   // a verdict no older is split; with an older one the owner is asked
	askWaitS      = 0.08  // how long a request waits for the owner's word before it is asked again
	reportWaitS   = 0.3   // the same for reports with no request waiting
	askTries      = 3     // then the local window decides
	missMost      = 2     // a peer that leaves so many unanswered is silent: it leaves the ring
	silentRetryS  = 1.0   // for so long
	touchS        = 2.0   // a peer heard of so late is there
	gapS          = 0.1   // no event for so long: this gateway itself stood still
	stoodS        = 0.3   // and for so long: others may have turned to the next on the ring
	poolMost      = 0.5   // of a ceiling, that grants of the first gateway on the ring are paid from, at most
	anyIntake     = 1e6   // stands for no bound on it
	lagS          = 0.05  // added to a verdict's age
	windowMargin  = 0.2   // an ingress may stand still for 0.15 s between its clock and its write
	demandTauS    = 1.5   // memory of what a customer asks for
	cheapLeaves   = 0.18  // of the burst, that the cheapest work leaves to dearer work of its customer
	memberS       = 10.0  // a member unheard of a customer for so long asks nothing of it
	outS          = 3.0   // a member's attempts out are believed for so long
	youngS        = 2.0   // a ledger younger than this believes the room that members hand back
	forgetS       = 60.0  // customers unused for so long are forgotten
	tickS         = 0.02  // how often queue and attempts are looked at
	probeEveryS   = 1.0   // load probes, where load reports come with probes alone
	probeShare    = 0.25  // probes a request, at most
	startLimit    = 3.0   // attempts out at one server, all gateways together, to begin with
	firstLat      = 0.15  // of its aim that a class is taken to need before it is known
	maxLimit      = 64.0  // attempts out at one server, all gateways together, at most
	growBy        = 0.1   // attempts that one fast answer adds to the limit
	shrinkBy      = 0.03  // share of one server's limit that a slow one takes off
	stretchHigh   = 0.22  // answers that take this share of their aim shrink a server's limit
	stretchLow    = 0.15  // and below this one it may grow
	minLimit      = 3.0   // and at least
	lookLeast     = 2     // healthy servers looked at for a request, at least
	lookAll       = 12    // gateways, up to which each looks at all servers
	utilS         = 3.0   // a load report counts for so long
	utilWeight    = 2.0   // attempts that a server's cores all busy stand for
	partWeight    = 1.0   // of its part of the limit by its speed that a server may hold
	crossWeight   = 25.0  // attempts out that the price of crossing zones stands for, a point of 1
	againWeight   = 4.0   // the same for a server that the request was sent to before
	sickTauS      = 4.0   // how long a sick server is shunned
	sickWeight    = 30.0  // how far
	errorSick     = 0.5   // how sick one error makes it
	doubt         = 0.01  // that a server is sick, at first; each mean latency of silence raises it e-fold
	wellNews      = 0.05  // a server held for so sick that answers is told of as well
	hedgeSick     = 0.3   // attempts at servers so sick are tried elsewhere early
	hedgeX        = 4.0   // and others after so many mean latencies
	newsKept      = 64    // what servers were last heard of doing, to be told to other gateways
	newsSent      = 6     // with each message
	newsS         = 2.0   // while it is no older
	newsStepS     = 0.2   // and so much newer than what is known already; also the least silence that tells
	baseAfter     = 10    // good answers, after which the lowest mean latency stands for work that did not queue
	utilLow       = 0.8   // cores less busy than this let a limit grow again
	silentX       = 6.0   // a server that answers nothing for so many mean latencies is in doubt
	patienceMin   = 10    // tries of a class before later ones are told from first ones
	patienceBins  = 101   // shares of the deadline told apart
	hedgeShare    = 0.4   // of the aim: an attempt in doubt this old is tried elsewhere
	downS         = 0.5   // a server that refuses connections is left alone so long, then probed
	timeoutWeight = 0.15  // how far one attempt that timed out moves a server's speed and limit
	busyTauS      = 1.0   // memory of what this gateway keeps out at a server
	guardS        = 0.004 // margin on deadlines
)

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if act == nil {
		return nil, errors.New("no actions given")
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	g := &Gateway{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, born: now,
		classes: map[string]*class{}, byPlan: map[string]*plan{}, servers: map[string]*server{},
		byHash: map[uint16]*server{}, reqs: map[string]*request{}, custs: map[uint32]*customer{},
		peers: make([]peer, s.Gateways), warmAt: now}
	g.boot = uint8(g.rng.Uint32())
	for i := range g.peers {
		g.peers[i].heardAt = math.Inf(-1)
	}
	g.tokens, g.tokensAt = 2, now
	g.limit = startLimit / float64(s.Gateways) // for one server
	g.s.PeerMessagesPerS = cmp.Or(max(s.PeerMessagesPerS, 0), anyIntake)
	g.setUp(min(ringPoints, max(8, ringMost/s.Gateways)))
	g.act.SetTimer(1, tickS)
	return g, nil
}

// newClass is a class as a gateway knows it at the start.
func newClass(c Class, i int) *class {
	return &class{Class: c, index: i, lat: firstLat * c.TargetLatencyS}
}

// newServer is a server as a gateway knows it when it is first listed.
func newServer(g *Gateway) *server {
	n := len(g.classList)
	return &server{speed: 1, utilAt: math.Inf(-1), sick: make([]sick, n), okAt: make([]float64, n)}
}

// newCustomer is a customer as a gateway knows it when it is first heard of: with a full window, but
// an empty split of its ceiling, filling since this gateway's start.
func (g *Gateway) newCustomer(key uint32, p *plan) *customer {
	c := &customer{key: key, plan: p, prime: g.s.Self, room: p.Burst, roomAt: g.now, usedAt: g.now,
		ceilAt: g.born, poolAt: g.born}
	g.custs[key] = c
	return c
}

// ---- The path of a request ----

// Request takes a client's request.
func (g *Gateway) Request(now float64, q Request) {
	g.clock(now)
	cls := g.classes[q.Class]
	if g.reqs[q.ID] != nil {
		return
	} else if cls == nil {
		g.act.Fail(q.ID)
		return
	}
	r := &request{Request: q, cls: cls, plan: g.byPlan[q.Plan], home: g.servers[q.HomeServer],
		ran: g.servers[q.EarlierServer], ranAt: q.EarlierSentAt}
	r.aimAt = now + cls.TargetLatencyS + cls.TargetLatencyStretch*cls.lat
	if cls.laterTry(q.DeadlineAt - now) {
		r.aimAt = min(r.aimAt, q.DeadlineAt-cls.DeadlineS+cls.TargetLatencyS+cls.TargetLatencyStretch*cls.lat)
	}
	r.aimAt = min(r.aimAt, q.DeadlineAt)
	price := 1.0
	if r.plan != nil {
		price, r.cust = r.plan.ValueFactor, g.customer(q)
		g.asked(r.cust, q.Units)
	}
	if r.aimAt < now+cls.lat {
		price *= cls.LateValueShare
	}
	r.prio = cls.Value * price // units stand for work as well as for worth, and cancel out
	r.cheap = 1 - cls.Value/max(g.maxWorth, 1e-9)
	g.probes = min(g.probes+probeShare, 2)
	g.reqs[q.ID] = r
	g.live = append(g.live, r)
	v := pass
	if r.cust != nil {
		v = g.inQuota(r)
	}
	switch {
	case v == deny:
		g.refuse(r, OverQuota)
	case !g.mayRetry(r): // a client's late try can arrive with no time left at all
		g.refuse(r, OutOfTime)
	case v == wait:
		g.ask(r)
	default:
		g.take(r, false)
		g.place(r)
	}
}

// laterTry tells a client's later try from a first one. First tries of a class all have the same time,
// the commonest; a later one has what is left of its first try's deadline. Guards against answers that
// come too late to count; it would harm where clients draw their patience for each try.
func (c *class) laterTry(left float64) bool {
	bin := c.came(left)
	return c.times[c.usual] > patienceMin && max(bin-c.usual, c.usual-bin) > 1
}

// place sends the request on, or queues it when no server has room. One that asks for units alone
// ends here, and what it took stays taken.
func (g *Gateway) place(r *request) {
	if r.QuotaOnly {
		r.taken = false
		g.act.Admit(r.ID)
		g.over(r)
	} else if !g.mayRetry(r) {
		g.refuse(r, g.whyNoRetry(r))
	} else if s := g.choose(r); s != nil {
		g.send(r, s)
	} else {
		g.queue = append(g.queue, r)
	}
}

func (g *Gateway) send(r *request, s *server) {
	s.busy = s.busy*math.Exp((s.sentAt-g.now)/busyTauS) + min(s.speed*r.cls.lat/busyTauS, 1)
	g.begin(r, s)
	if g.coldShare(s) < 1 {
		s.sentLog = append(s.sentLog, sentWork{g.now, r.cls.lat})
	} else {
		g.warmRate += r.cls.lat / (demandTauS * float64(max(1, len(g.order))))
	}
	answer := max(r.endAt()-g.now, guardS)
	g.act.Send(r.ID, s.ID, Timing{StartWithinS: min(answer, g.repeatWindow(r)), AnswerWithinS: answer})
}

// refuse ends the request with the mildest answer that is true.
func (g *Gateway) refuse(r *request, why Refusal) {
	if r.over {
		return
	}
	may := r.ran != nil || r.out > 0
	if may && (r.cls.Effect == Unsafe || r.cls.Effect == Keyed && r.cls.KeyScope != ScopeAll) {
		g.act.Fail(r.ID)
	} else {
		g.act.Refuse(r.ID, g.s.MaxRetryAfterS, why)
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; g.s.Cancel && !a.done && !a.called {
			a.called = true
			g.act.Cancel(r.ID, i)
		}
	}
	g.over(r)
}

// Outcome takes the end of an attempt.
func (g *Gateway) Outcome(now float64, o Outcome) {
	g.clock(now)
	r, a := g.ended(o)
	if r == nil {
		return
	}
	g.report(a.srv, o.Load)
	g.learn(r, a, o)
	if never := o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent; !never && r.ran == nil {
		r.ran, r.ranAt = a.srv, a.sentAt
	}
	if o.Status == OK && g.s.UnitsFromAnswer && r.taken && o.Units > 0 {
		g.charge(r.cust, o.Units-r.Units)
	}
	if r.over || o.RequestEnded || o.Status == OK {
		g.over(r)
	} else if r.out == 0 && !r.stream {
		g.place(r)
	}
	g.drain()
}

// endAt is when an answer is no longer worth the servers' work: after the aim, for
// the share of the time left in which it still earns something.
func (r *request) endAt() float64 { return r.aimAt + r.cls.LateValueShare*max(r.DeadlineAt-r.aimAt, 0) }

// mayRetry tells whether another attempt is allowed and worth it.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= max(1, g.s.MaxAttempts) || g.now+r.cls.lat > r.endAt() {
		return false
	}
	return r.ran == nil || r.cls.Effect == Safe || r.cls.Effect == Keyed && g.repeatWindow(r) >= 0
}

// repeatWindow is for how long servers still drop a repeat of the request: a repeat has to begin by then.
func (g *Gateway) repeatWindow(r *request) float64 {
	if r.cls.Effect != Keyed || r.ran == nil {
		return math.Inf(1)
	}
	return r.ranAt + r.cls.KeyTTLS - windowMargin - g.now
}

// whyNoRetry is the reason for which mayRetry says no.
func (g *Gateway) whyNoRetry(r *request) Refusal {
	if g.now+r.cls.lat > r.endAt() {
		return OutOfTime
	}
	return AttemptsUsed
}

// drain sends what waits, dearest per work first, and drops what can't make its aim.
func (g *Gateway) drain() {
	if len(g.queue) == 0 {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *request) int { return cmp.Compare(b.prio, a.prio) })
	g.queue = slices.DeleteFunc(g.queue, func(r *request) bool {
		if !r.over && g.now+r.cls.lat <= r.aimAt && g.mayRetry(r) {
			s := g.choose(r)
			if s != nil {
				g.send(r, s)
			}
			return s != nil
		}
		g.refuse(r, NoServer)
		return true
	})
}

// Timer takes a timer: all work that no event brings.
func (g *Gateway) Timer(now float64, token uint64) {
	g.clock(now)
	if token != 1 {
		return
	}
	g.act.SetTimer(1, tickS)
	g.drain()
	g.watch()
	g.probe()
	g.unanswered()
	g.flush()
	if now > g.sweepAt {
		g.sweepAt = now + forgetS/4
		g.forget(forgetS)
	}
}

// ---- Quotas and the exchange with owners ----

// alive tells that a peer answers: reports in a row without one take it off the ring for a while.
func (g *Gateway) alive(gw int) bool {
	p := &g.peers[gw]
	return gw == g.s.Self || p.missed < missMost || g.now-p.missAt > silentRetryS
}

// owner is the gateway that counts the customer.
func (g *Gateway) owner(c *customer) int {
	switch {
	case !g.s.PeerMessages || c.entries == 1:
		return g.s.Self
	case c.entries == 0 || g.alive(c.prime):
		return c.prime
	}
	return g.walk(c, true)
}

// inQuota decides on the ordinary path: the owner by its count, a member by its split of the room it
// last heard. Where that can't tell, since the split is under one request or the news is old, the
// request waits for the owner's word, which is the post's own call.
func (g *Gateway) inQuota(r *request) verdict {
	c, p := r.cust, r.plan
	if g.owner(c) == g.s.Self && g.fits(g.ledger(c), c, r.Units, r.cheap) &&
		(g.ceilingHolds(c, r.Units) || g.poolHolds(c, r.Units)) {
		return pass
	} else if g.owner(c) == g.s.Self {
		return deny
	}
	room, age, mine := g.roomNow(c), g.now-c.roomAt, g.demandNow(c)
	switch {
	case len(c.asks) > 0:
		return wait
	case g.now < c.holdTill:
		return deny
	case p.MaxParallel > 0 && (age > freshS || c.out+c.othersOut+1 >= p.MaxParallel), !g.ceilingHolds(c, r.Units):
		return wait
	}
	need, used := r.Units, max(c.total-c.acked, 0) // used: let in here since the owner took anything in
	if mine+c.others > p.Rate {
		need += r.cheap * cheapLeaves * p.Burst
	}
	switch old := !c.known || age > freshS; {
	case p.Rate == 0:
		return pass
	case old && (need+used)*float64(c.entries) <= used+min(room, room-(c.others-p.Rate)*age):
		return pass // each of the customer's gateways may think the same at this moment
	case !old && need+used <= max((room+used)*mine/max(mine+c.others, 1e-9), room+used-2*c.others*(age+lagS)):
		return pass
	case r.Units > room && age < batchS:
		return deny
	}
	return wait
}

// fits tells whether the owner's count has room. While the customer asks for more than its rate, the
// cheaper a class is a unit, the more room it must leave to dearer ones.
func (g *Gateway) fits(l *ledger, c *customer, units, cheap float64) bool {
	p := c.plan
	if p.MaxParallel > 0 && c.out+l.outs(g.now, -1) >= p.MaxParallel {
		return false
	} else if p.Rate == 0 {
		return true
	}
	if g.demandNow(c)+l.demandNow(g.now) > p.Rate {
		units += cheap * cheapLeaves * p.Burst
	}
	return units <= l.room
}

// inTouch tells that most others were heard of late: whoever is silent is gone, and not this gateway.
func (g *Gateway) inTouch() bool {
	n := 0
	for i := range g.peers {
		if i != g.s.Self && g.now-g.peers[i].heardAt < touchS {
			n++
		}
	}
	return 2*n >= g.s.Gateways-1 && n > 0
}

// ledger brings the owner's count up to now. The window opens evenly; for a stand-in that nobody has
// reported to and that hears few others, by its part alone: it may be cut off while others serve the
// customer. It stays shut while this gateway itself stood still.
func (g *Gateway) ledger(c *customer) *ledger {
	if c.led == nil {
		c.led = &ledger{room: g.roomNow(c), at: g.now, born: g.now, members: map[int]*member{}}
	}
	l, rate := c.led, c.plan.Rate
	if c.prime != g.s.Self && len(l.members) == 0 && !g.inTouch() {
		rate /= float64(c.entries)
	}
	open := g.now - l.at
	if g.s.PeerMessages && c.entries != 1 && l.at < g.stoodAt { // others counted meanwhile, and will tell
		open = max(open-g.stoodFor, 0)
	}
	l.room, l.at = min(c.plan.Burst, l.room+rate*open), g.now
	return l
}

// take charges a first send to quota and ceiling when it is let in.
func (g *Gateway) take(r *request, paid bool) {
	c := r.cust
	if c == nil {
		return
	}
	switch {
	case paid:
	case g.ceilingHolds(c, r.Units):
		c.ceil -= r.Units
	default:
		c.pool -= r.Units
	}
	r.taken = true
	g.charge(c, r.Units)
}

func (g *Gateway) charge(c *customer, units float64) {
	if g.owner(c) == g.s.Self {
		l := g.ledger(c)
		l.room = max(l.room-units, min(l.room, 0))
	}
	c.total += units
	if c.total > c.acked || units < 0 {
		// A sudden burst is told at once: each gateway would pass a batch of it on the same old room.
		urgent := g.owner(c) != g.s.Self && c.waitFrom == 0 && // nothing told is unanswered
			c.total-c.acked > tellEarly*g.roomNow(c)/float64(max(1, c.entries))
		if g.note(c, urgent); urgent {
			g.flush()
		}
	}
}

// note marks the customer for the next report to its owner.
func (g *Gateway) note(c *customer, urgent bool) {
	o := g.owner(c)
	if o == g.s.Self {
		c.acked = c.total
		return
	}
	if !c.dirty || c.askOf != o {
		g.due(c, o)
	}
	g.peers[o].urgent = g.peers[o].urgent || urgent
}

// ask holds the request until its customer's owner has spoken.
func (g *Gateway) ask(r *request) {
	c := r.cust
	c.asks, r.asking = append(c.asks, r), true
	if len(c.asks) > 1 {
		return // it joins the next report
	}
	c.tries, c.waitFrom = 0, g.now
	g.expect(c)
	g.note(c, true)
	g.flush()
}

// flush sends what is due to peers. All hear about as much as all send, so each gateway keeps its own
// reports to a share of what one takes in; answers come on top.
func (g *Gateway) flush() {
	share := g.s.PeerMessagesPerS * reportShare
	g.tokens = min(max(2, share*batchS*2), g.tokens+share*(g.now-g.tokensAt))
	g.tokensAt = g.now
	g.pending = slices.DeleteFunc(g.pending, func(i int) bool {
		p := &g.peers[i]
		if p.urgent && g.tokens >= 1 || g.tokens >= 2 && g.now-p.toldAt >= batchS {
			g.tokens--
			g.tell(i)
		}
		p.pending = len(p.reports) > 0
		return !p.pending
	})
}

// tell reports to a peer as owner.
func (g *Gateway) tell(i int) {
	p, n := &g.peers[i], 0
	b := g.header()
	for _, c := range p.reports {
		if len(b)+msgRecord > msgLimit {
			break
		}
		if n++; c.askOf != i || !c.dirty {
			continue
		}
		c.dirty = false
		r := record{Key: c.key, Plan: c.plan.index, Known: c.known, Flag: i == c.prime, Total: c.total,
			Room: g.roomNow(c), Rate: g.demandNow(c), Out: c.out, Unacked: max(c.total-c.acked, 0)}
		c.asked = len(c.asks)
		for k, q := range c.asks {
			if r.Want += q.Units; k == 0 {
				r.First, r.Cheap = q.Units, q.cheap
			}
		}
		b = appendRecord(b, r)
		if c.waitFrom == 0 || c.asked > 0 {
			c.waitFrom = g.now
		}
		g.expect(c)
	}
	p.reports = slices.Delete(p.reports, 0, n)
	p.toldAt, p.urgent = g.now, p.urgent && len(p.reports) > 0
	g.post(i, b)
}

// post sends a message with records, and with what is new of servers in the room left.
func (g *Gateway) post(to int, b []byte) {
	if len(b) == msgHeader {
		return
	}
	b[msgCount] = byte((len(b) - msgHeader) / msgRecord)
	for i := len(g.news) - 1; i >= max(0, len(g.news)-newsSent) && len(b)+msgItem <= msgLimit; i-- {
		if n := g.news[i]; g.now-n.at < newsS {
			b = appendItem(b, n, g.now)
		}
	}
	g.act.SendToPeer(to, b)
}

// unanswered looks after reports without a reply: they are told again, after a second silence to the
// next on the ring, and after a third the request falls back to the local window. A gap in this
// gateway's own time is nobody's silence.
func (g *Gateway) unanswered() {
	for _, c := range g.waiting {
		most := reportWaitS
		if len(c.asks) > 0 {
			most = askWaitS
		}
		if c.waitFrom > 0 && g.now-max(c.waitFrom, g.gapAt) > most {
			if !c.dirty { // it was told
				p := &g.peers[c.askOf]
				p.missed, p.missAt = p.missed+1, g.now
			}
			c.tries++
			c.waitFrom, c.asked = 0, 0
			if c.tries >= askTries {
				c.tries = 0
				g.resolve(c, len(c.asks), func(r *request) bool { return g.localHolds(c, r.Units) }, false)
			} else {
				g.note(c, len(c.asks) > 0)
				if len(c.asks) > 0 {
					c.waitFrom = g.now
				}
			}
		}
		c.waiting = c.waitFrom > 0
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(c *customer) bool { return !c.waiting })
}

// localHolds is the local window, where no owner answers: this gateway's count alone, and its part
// of the rate alone, as the others may go on serving the same customer.
func (g *Gateway) localHolds(c *customer, units float64) bool {
	p, n := c.plan, float64(c.entries)
	if p.MaxParallel > 0 && c.out+c.othersOut >= p.MaxParallel {
		return false
	}
	c.local = min(max(p.Burst/n, float64(g.s.MaxUnits)), c.local+p.Rate/n*(g.now-c.localAt))
	c.localAt = g.now
	if p.Rate > 0 && units > min(c.local, g.roomNow(c)) {
		return false
	}
	c.local -= units
	return true
}

// resolve ends the wait of the first n requests that asked.
func (g *Gateway) resolve(c *customer, n int, ok func(*request) bool, paid bool) {
	list := c.asks[:n]
	c.asks = slices.Clone(c.asks[n:])
	for _, r := range list {
		switch r.asking = false; {
		case r.over:
		case ok(r) && (paid || g.ceilingHolds(c, r.Units)):
			g.take(r, paid)
			g.place(r)
		default:
			g.refuse(r, OverQuota)
		}
	}
}

// PeerMessage takes a message of another gateway. Reports are answered at once, all in one message.
func (g *Gateway) PeerMessage(now float64, from int, data []byte) {
	g.clock(now)
	boot, seq, recs, items, ok := parseMessage(data, now)
	if !ok || from < 0 || from >= len(g.peers) || from == g.s.Self {
		return
	}
	p := &g.peers[from]
	if p.late(boot, seq) {
		return
	}
	p.missed, p.heardAt = 0, now
	g.inRate, g.inAt = g.inRate*math.Exp(g.inAt-now)+1, now
	for _, n := range items {
		g.told(n)
	}
	b := g.header()
	for _, r := range recs {
		c := g.custs[r.Key]
		switch {
		case r.Plan >= len(g.plans):
		case r.Owner && c != nil && c.askOf == from:
			g.heard(c, r)
		case !r.Owner:
			if c == nil {
				c = g.newCustomer(r.Key, g.plans[r.Plan])
			}
			c.usedAt = now
			b = appendRecord(b, g.count(c, from, r))
		}
	}
	g.post(from, b)
	g.flush()
}

// count takes in a member's report and gives the owner's answer. Units that are asked for are set
// aside at once: the next report shows which of them were used.
func (g *Gateway) count(c *customer, from int, r record) record {
	l := g.ledger(c)
	m := l.members[from]
	if m == nil || m.boot != g.peers[from].boot {
		if r.Known && g.now-l.born < youngS {
			// A young count, after a restart or a move: the member hands back what it heard.
			l.room = min(l.room, max(r.Room+r.Unacked, 0))
		}
		m = &member{boot: g.peers[from].boot, total: r.Total - r.Unacked}
		l.members[from] = m
	}
	l.room = max(l.room-l.told(m, r, g.now), min(l.room, 0))
	v := record{Key: c.key, Plan: c.plan.index, Owner: true, Known: true}
	if r.Want > 0 {
		grant := 0.0
		for _, w := range []float64{r.Want, r.First} {
			if c.plan.MaxParallel > 0 {
				w = r.First
			}
			if g.fits(l, c, w, r.Cheap) {
				grant = w
				break
			}
		}
		if grant > 0 {
			l.room -= grant
			m.total += grant
			m.out++
			if v.Flag = r.Flag && g.poolHolds(c, grant); v.Flag {
				c.pool -= grant
			}
		} else {
			busy := g.s.PeerMessagesPerS * holdShare
			v.Hold = float64(l.heard(g.now)) / max(busy, 1) * min(g.inRate/max(busy, 1), 3)
		}
		v.Want = r.Want
	}
	v.Total, v.Room, v.Out = m.total, l.room, c.out+l.outs(g.now, from)
	v.Rate = max(l.demandNow(g.now)-m.rate, 0) + g.demandNow(c)
	return v
}

// heard takes in what the owner says.
func (g *Gateway) heard(c *customer, r record) {
	most := c.total + quarters(r.Total-c.total)
	c.known, c.room, c.roomAt, c.acked = true, r.Room, g.now, most
	c.others, c.othersOut = r.Rate, r.Out
	if r.Want > 0 && c.asked > 0 {
		n := min(c.asked, len(c.asks))
		c.asked, c.tries, c.holdTill = 0, 0, g.now+r.Hold
		g.resolve(c, n, func(q *request) bool { return c.total+q.Units <= most+1e-9 }, r.Flag)
		if r.Hold > 0 {
			g.resolve(c, len(c.asks), func(*request) bool { return false }, false)
		}
	}
	if c.acked = min(most, c.total); most > c.total || len(c.asks) > 0 && c.asked == 0 {
		g.note(c, len(c.asks) > 0)
	}
	if len(c.asks) == 0 {
		c.waitFrom, c.tries = 0, 0
	} else if c.asked == 0 {
		c.waitFrom = g.now
		g.expect(c)
	}
}

// poolPart is the part of a plan's ceiling that a customer's first gateway on the ring keeps for grants: so
// much that one gateway alone can serve the whole quota with it and its own split, and no more, as nobody has
// it while that first one is away. All gateways find the same part, whoever is silent.
func poolPart(p Plan, gateways int) float64 {
	if gateways < 2 {
		return poolMost
	}
	even := 1 / float64(gateways)
	need := max(p.Rate/max(p.CeilingRate, 1e-9), p.Burst/max(p.CeilingBurst, 1e-9))
	return min(max((need-even)/(1-even), 0), poolMost)
}

// ceilingHolds brings this gateway's fixed split of its part of the ceiling up to now and tells whether
// units fit. A split starts empty, as a restarted gateway may just have spent its own.
func (g *Gateway) ceilingHolds(c *customer, units float64) bool {
	p, n := c.plan, float64(max(c.entries, 1))
	if p.CeilingRate <= 0 {
		return true
	}
	part := (1 - p.pool) / n
	c.ceil = min(p.CeilingBurst*part, c.ceil+p.CeilingRate*part*(g.now-c.ceilAt))
	c.ceilAt = g.now
	return units <= c.ceil
}

// poolHolds does so for the other part, which the first gateway on the customer's ring pays grants from.
// It is the same one for all, whoever is silent, so the parts add up whatever is lost or restarted.
func (g *Gateway) poolHolds(c *customer, units float64) bool {
	if c.prime != g.s.Self || c.plan.CeilingRate <= 0 {
		return false
	}
	p := c.plan
	c.pool = min(p.CeilingBurst*p.pool, c.pool+p.CeilingRate*p.pool*(g.now-c.poolAt))
	c.poolAt = g.now
	return units <= c.pool
}

// ---- Servers ----

// Servers takes the list of servers, whole or only what changed.
func (g *Gateway) Servers(now float64, list []Server, whole bool) {
	g.clock(now)
	before := float64(max(1, len(g.order)))
	g.list(list, whole, func(s *server) {
		s.speed, s.downUntil = 1, 0
		clear(s.sick)
	})
	g.part = float64(len(g.order)) / float64(g.s.Gateways)
	g.limit *= float64(max(1, len(g.order))) / before
	g.drain()
}

// slowStart holds a cold server to its share of what a warm one is sent, over any window in which it
// could fall. A gateway's part of that is no whole number of requests, and often under one: it is rounded
// up or down once a window, by a draw that is spread evenly over the gateways, so that the sum holds.
func (g *Gateway) slowStart(s *server, work float64) bool {
	share := g.coldShare(s)
	if share >= 1 {
		s.sentLog = nil
		return true
	}
	sum := s.sentWithin(g.now, g.s.OverloadWindowS)
	budget := share * g.warmRate * g.s.OverloadWindowS
	return s.inflight < 2 && sum+work*g.slowStartDraw(s) <= budget
}

// full tells that as much is out as may be. A part of one that is free is rounded up while answers
// are fast, and makes a pause while they are slow: many gateways that round up drive servers hard.
func (g *Gateway) full(r *request) bool {
	free := g.limit - float64(g.out)
	part := free < 1 && g.stretch >= stretchHigh
	return free <= 0 || part && g.now-g.sentAt < max(r.cls.lat, g.spent)/free
}

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) choose(r *request) *server {
	var best *server
	low := math.Inf(1)
	if g.full(r) {
		return nil
	}
	// With many gateways each looks at a few servers only: all would pick the same one by the same news.
	n := len(g.order)
	look, from := max(lookLeast, n*lookAll/g.s.Gateways), g.rng.IntN(max(1, n))
	for k := 0; k < n && look > 0; k++ {
		s := g.order[(from+k)%n]
		if s.State != Up || g.now < s.downUntil || !g.slowStart(s, r.cls.lat) ||
			float64(s.inflight) >= math.Ceil(partWeight*g.limit/float64(n)/s.speed) ||
			r.ran != nil && r.cls.Effect == Keyed && !sameGroup(r.cls.KeyScope, r.ran, s) ||
			r.home != nil && !sameGroup(r.cls.KeyScope, r.home, s) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does.
		load := float64(s.inflight) + 1 + float64(g.s.Gateways-1)*s.busy*math.Exp((s.sentAt-g.now)/busyTauS)
		if s.Zone != g.s.Zone {
			load += crossWeight * g.s.CrossZoneCost
		}
		if g.now-s.utilAt < utilS {
			load += utilWeight * s.util
		}
		for i := range r.attempts {
			if r.attempts[i].srv == s {
				load += againWeight
			}
		}
		ill := g.sickness(s, r.cls)
		if ill < hedgeSick {
			look--
		}
		cost := load * s.speed * (1 + sickWeight*ill*ill) * (1 + 0.02*g.rng.Float64())
		if cost < low {
			best, low = s, cost
		}
	}
	return best
}

// fails raises the sickness of a server for a class, or for all where c is nil.
func (g *Gateway) fails(s *server, c *class, by float64) {
	for _, k := range g.classList {
		if c == nil || k == c {
			x := g.sickness(s, k)
			s.sick[k.index] = sick{x + by*(1-x), g.now}
			g.spread(item{s.hash, k.index, s.sick[k.index].level, g.now})
		}
	}
}

// told takes in what another gateway tells of a server, and tells it on while it is new.
func (g *Gateway) told(n item) {
	s := g.byHash[n.server]
	if s == nil || s.StartedAt > n.at {
		return
	}
	if n.class == loadItem {
		if n.at < s.utilAt+newsStepS {
			return
		}
		s.util, s.utilAt = n.value, n.at
	} else if n.class < len(s.sick) {
		k := &s.sick[n.class]
		if n.at < k.at+newsStepS || n.at < s.okAt[n.class] {
			return
		}
		*k = sick{n.value, n.at}
	}
	g.spread(n)
}

// learn takes from an attempt's end what it tells of the server.
func (g *Gateway) learn(r *request, a *attempt, o Outcome) {
	s, c := a.srv, r.cls
	tells := o.Status == OK || o.Status == Timeout && g.sickness(s, c) < hedgeSick // of the others too
	slow := min(o.ElapsedS/c.lat, 4)
	switch o.Status {
	case OK:
		if g.sickness(s, c) > wellNews { // the others hold it for sick by the same news
			g.spread(item{s.hash, c.index, 0, g.now})
		}
		s.okAt[c.index], s.sick[c.index], s.goodAt = g.now, sick{0, g.now}, g.now
		c.n++
		c.lat += (o.ElapsedS - c.lat) * max(0.02, 1/float64(c.n+1))
		if c.n == baseAfter || c.n > baseAfter && c.lat < c.base {
			c.base = c.lat
		}
		s.speed = max(s.speed+0.1*(slow-s.speed), 0.3)
	case Timeout, Error:
		by := errorSick
		if o.Status == Timeout { // given up soon it tells little: a well server may still be at work on it
			by = min(by, doubt*math.Exp(o.ElapsedS/c.lat))
		}
		if g.fails(s, c, by); o.Status == Timeout {
			s.speed += timeoutWeight * max(4-s.speed, 0) // slow, if not silent
		}
	case ConnectFailed, Reset:
		alone := o.Status == Reset && s.brokeAt <= s.goodAt
		if s.brokeAt = g.now; alone {
			break // one broken connection tells of itself; a second without an answer in between, of the server
		}
		g.fails(s, nil, errorSick)
		s.downUntil = g.now + downS*(1+g.rng.Float64())
	}
	if !tells {
		return
	}
	g.spent += 0.1 * (o.ElapsedS - g.spent)
	g.stretch += 0.1 * (max(o.ElapsedS-c.base, 0)/c.TargetLatencyS - g.stretch)
	util, fresh := g.meanUtil()
	easy := fresh && util < utilLow    // cores are free: not driven too hard
	step := min(1, startLimit/g.limit) // one answer tells of one server among those in use
	if o.Status == Timeout && !easy {
		g.limit *= 1 - timeoutWeight*step
	}
	if g.stretch > stretchHigh && !easy {
		g.limit *= 1 - shrinkBy*step
	} else if (easy || g.stretch < stretchLow) && float64(g.out)+1.5 >= g.limit {
		g.limit += growBy * min(1, g.limit)
	}
	g.limit = min(max(g.limit, minLimit*g.part), maxLimit*g.part)
}

// watch looks at the attempts that are out: a server that leaves a class unanswered for long is sick
// for it, and what waits is tried elsewhere where allowed.
func (g *Gateway) watch() {
	g.live = slices.DeleteFunc(g.live, func(r *request) bool { return r.over && r.out == 0 })
	for _, r := range g.live {
		if r.asking && g.now+tickS > r.endAt()-r.cls.lat {
			g.refuse(r, OwnerSilent)
			continue
		}
		for i := range r.attempts {
			a := &r.attempts[i]
			if !a.done && !a.seen && g.now-max(a.sentAt, g.gapAt) > max(silentX*r.cls.lat, newsStepS) &&
				a.srv.okAt[r.cls.index] < a.sentAt {
				a.seen = true
				g.fails(a.srv, r.cls, 1)
			}
		}
		if r.over || r.stream || r.out != 1 || r.cls.Effect == Unsafe {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		age, ill := g.now-a.sentAt, g.sickness(a.srv, r.cls) > hedgeSick
		early := !ill && (!g.s.ParallelAttempts || age < hedgeX*r.cls.lat || len(g.queue) > 0)
		if early || a.done || a.called || age < hedgeShare*r.cls.TargetLatencyS {
			continue
		}
		ran, at := r.ran, r.ranAt
		if r.ran == nil {
			r.ran, r.ranAt = a.srv, a.sentAt
		}
		s := (*server)(nil)
		if g.mayRetry(r) {
			s = g.choose(r)
		}
		switch {
		case s == nil || s == a.srv:
			r.ran, r.ranAt = ran, at
		case g.s.ParallelAttempts:
			g.send(r, s)
		case g.s.Cancel:
			a.called = true
			g.act.Cancel(r.ID, len(r.attempts)-1)
		}
	}
	g.warmRate *= math.Exp((g.warmAt - g.now) / demandTauS)
	g.warmAt = g.now
}

// probe asks servers for their load where that comes with probes alone: the longest unheard of
// first, and no more than a share of the requests.
func (g *Gateway) probe() {
	if !g.s.Probes || !g.s.LoadFromProbes || g.probes < 1 {
		return
	}
	next, oldest := (*server)(nil), g.now-probeEveryS
	for _, s := range g.order {
		if at := max(s.askedAt, s.utilAt); s.State == Up && at <= oldest {
			next, oldest = s, at
		}
	}
	if next != nil {
		next.askedAt = g.now
		g.probes--
		g.act.Probe(next.ID)
	}
}

// ProbeEnded takes the end of a probe.
func (g *Gateway) ProbeEnded(now float64, p ProbeResult) {
	g.clock(now)
	s := g.servers[p.Server]
	if s == nil {
		return
	}
	g.report(s, p.Load)
	if p.Status == Timeout || p.Status == ConnectFailed {
		g.fails(s, nil, errorSick)
	}
	g.drain()
}
