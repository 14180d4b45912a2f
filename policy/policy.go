package policy

// This is the decision module; its interface is in api.go. Every customer is
// hashed on a ring of gateways to one owner, which alone keeps its window count
// against the whole quota. The others tell the owner their count of the window in
// batches, pass only their split of the room it last reported, and fall back to a
// local window when it is silent (docs/design.md tells what was kept and changed).

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Constants, with their reasons. Times are in seconds.
const (
	ringPoints    = 512   // points a gateway, as in the post
	batchS        = 0.1   // least time between batches: "a few times a second"
	intakeShare   = 0.7   // of peerIntake that batches may fill, the rest is for bunched messages
	missBatches   = 3     // batches without a reply before the owner counts as silent
	peerSilentS   = 0.9   // a peer unheard for so long leaves the ring
	lagS          = 0.05  // added to the batch time: how old a verdict may be when it is used
	demandTauS    = 1.5   // memory of what a customer asks for
	cheapLeaves   = 0.18  // of the burst, that the cheapest work leaves to dearer work of its customer
	memberS       = 3.0   // a member unheard of a customer for so long asks nothing of it
	youngS        = 2.0   // a ledger younger than this believes the room that members hand back
	forgetS       = 60.0  // customers unused for so long are forgotten
	tickS         = 0.02  // how often queue and attempts are looked at
	probeEveryS   = 1.0   // load probes, where load reports come with probes alone
	suspectS      = 0.5   // probes of servers in doubt
	startLimit    = 3.0   // attempts out at one server, all gateways together, to begin with
	maxLimit      = 64.0  // and at most
	stretchHigh   = 0.22  // answers that take this share of their aim shrink a server's limit
	stretchLow    = 0.15  // and below this one it may grow
	minLimit      = 3.0   // and at least; below 1 for each gateway: one at a time, with pauses
	utilLow       = 0.8   // cores less busy than this let a limit grow again
	utilHigh      = 0.9   // cores busier than this, with
	slowX         = 2.2   // answers so many times slower than when calm: driven too hard
	cutEveryS     = 0.3   // least time between two cuts of a limit for that
	baseDrift     = 0.001 // an answer: how fast the calm latency follows a lasting change
	silentX       = 6.0   // a server that answers nothing for so many mean latencies is in doubt
	patienceMin   = 10    // tries of a class before later ones are told from first ones
	patienceBins  = 101   // shares of the deadline told apart
	calmShare     = 0.3   // of the limits: with less out than this, the back end is calm
	hedgeShare    = 0.4   // of the aim: an attempt in doubt this old is tried elsewhere
	downS         = 0.5   // a server that refuses connections is left alone so long, then probed
	timeoutWeight = 0.15  // how far one attempt that timed out moves a server's speed and limit
	busyTauS      = 1.0   // memory of what this gateway keeps out at a server
	guardS        = 0.004 // margin on deadlines
)

// New returns the gateway's decisions at its start. The list of servers follows through Servers.
func New(s Settings, seed uint64, now float64, act Actions) (*Gateway, error) {
	if err := check(s, act); err != nil {
		return nil, err
	}
	g := &Gateway{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), now: now, born: now,
		classes: map[string]*class{}, byPlan: map[string]*plan{}, servers: map[string]*server{},
		reqs: map[string]*request{}, custs: map[uint32]*customer{}, peers: make([]peer, s.Gateways), warmAt: now}
	g.boot = uint8(g.rng.Uint32())
	g.batch = batchS
	g.minLimit = min(1, minLimit/float64(s.Gateways))
	for _, c := range s.Classes {
		g.maxWorth = max(g.maxWorth, c.Worth)
		g.classes[c.Name] = &class{Class: c, lat: 0.15 * c.AimS}
	}
	for i, p := range s.Plans {
		q := &plan{Plan: p, index: i, extra: p.ExtraWorth > p.ExcessCost}
		if p.Rate > 0 {
			q.windowS = p.Burst / p.Rate
		}
		g.plans = append(g.plans, q)
		g.byPlan[p.Name] = q
	}
	for gw := range s.Gateways {
		for i := range ringPoints {
			g.ring = append(g.ring, ringPoint{mix(uint64(gw)<<32 | uint64(i)), gw})
		}
		g.peers[gw].heardAt = now
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.gw, b.gw))
	})
	g.nextTell = now + g.batch*(0.1+0.9*g.rng.Float64())
	g.act.SetTimer(1, tickS)
	return g, nil
}

// ---- The path of a request ----

// Request takes a client's request.
func (g *Gateway) Request(now float64, q Request) {
	g.now = now
	cls := g.classes[q.Class]
	if g.reqs[q.ID] != nil {
		return
	} else if cls == nil {
		g.act.Fail(q.ID)
		return
	}
	r := &request{Request: q, cls: cls, plan: g.byPlan[q.Plan]}
	r.aimAt = now + cls.AimS + cls.AimStretch*cls.lat
	if cls.laterTry(q.DeadlineS - now) {
		r.aimAt = min(r.aimAt, q.DeadlineS-cls.DeadlineS+cls.AimS+cls.AimStretch*cls.lat)
	}
	r.aimAt = min(r.aimAt, q.DeadlineS)
	price := 1.0
	if r.plan != nil {
		price, r.cust = r.plan.Price, g.customer(q)
		g.asked(r.cust, q.Units)
		g.note(r.cust)
	}
	if r.aimAt < now+cls.lat {
		price *= cls.LateWorth
	}
	r.prio = cls.Worth * price // units stand for work as well as for worth, and cancel out
	g.reqs[q.ID] = r
	g.live = append(g.live, r)
	if !g.admit(r) {
		g.refuse(r)
		return
	}
	g.place(r)
}

// laterTry tells a client's later try from a first one. First tries of a class all have
// the same time, the commonest; a later one has what is left of its first try's deadline, so
// its aim has run since then. Guards against spending quota and servers on answers that
// come too late to count; it would harm where clients draw their patience for each try.
func (c *class) laterTry(left float64) bool {
	bin := int(min(max(left/c.DeadlineS, 0), 1)*(patienceBins-1) + 0.5)
	c.times[bin]++
	if c.times[bin] > c.times[c.usual] {
		c.usual = bin
	}
	return c.times[c.usual] > patienceMin && max(bin-c.usual, c.usual-bin) > 1
}

// admit tells whether the request may be sent on now, by quota and ceiling.
func (g *Gateway) admit(r *request) bool {
	if r.cust == nil || len(r.attempts) > 0 {
		return true
	}
	if !g.ceilingHolds(r.cust, r.Units+r.cust.pend) {
		return false
	}
	if g.inQuota(r.cust, r.Units+r.cust.pend, 1-r.cls.Worth/max(g.maxWorth, 1e-9)) {
		return true
	}
	return r.plan.extra && g.calm()
}

// calm tells that the back end has room to spare: nothing waits here, and less
// than a share of what may be out is out. Only then is work beyond a quota let in
// that earns a little.
func (g *Gateway) calm() bool {
	out, limit := 0, 0.0
	for _, s := range g.order {
		if s.State == Up && !s.doubt {
			out += s.inflight
			limit += s.limit
		}
	}
	return len(g.queue) == 0 && float64(out) < calmShare*limit
}

// place sends the request on, or queues it when no server has room.
func (g *Gateway) place(r *request) {
	if !g.mayRetry(r) {
		g.refuse(r) // a client's late try can arrive with no time left at all
	} else if s := g.choose(r); s != nil {
		g.send(r, s)
	} else {
		g.hold(r, true)
		g.queue = append(g.queue, r)
	}
}

func (g *Gateway) send(r *request, s *server) {
	if len(r.attempts) == 0 && r.cust != nil {
		g.spend(r.cust, r.Units)
	}
	s.inflight++
	s.busy = s.busy*math.Exp((s.sentAt-g.now)/busyTauS) + min(s.ratio*r.cls.lat/busyTauS, 1)
	s.sentAt = g.now
	r.out++
	g.outBy(r, 1)
	r.attempts = append(r.attempts, attempt{srv: s, sentAt: g.now})
	if g.coldShare(s) < 1 {
		s.sentLog = append(s.sentLog, sentWork{g.now, r.cls.lat})
	} else {
		g.warmRate += r.cls.lat / (demandTauS * float64(max(1, len(g.order))))
	}
	g.act.Send(r.ID, s.ID, max(r.endAt()-g.now, guardS))
}

// refuse ends the request with the mildest answer that is true.
func (g *Gateway) refuse(r *request) {
	if r.over {
		return
	}
	r.over = true
	may := r.ran != nil || r.out > 0
	if may && (r.cls.Effect == Unsafe || r.cls.Effect == Keyed && r.cls.KeyScope != ScopeAll) {
		g.act.Fail(r.ID)
	} else {
		g.act.Refuse(r.ID, g.s.MaxRetryAfterS)
	}
	if g.s.Cancel {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.done && !a.called {
				a.called = true
				g.act.Cancel(r.ID, i)
			}
		}
	}
	g.tidy(r)
}

// Outcome takes the end of an attempt.
func (g *Gateway) Outcome(now float64, o Outcome) {
	g.now = now
	r := g.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	r.out--
	s := a.srv
	s.inflight--
	g.outBy(r, -1)
	g.report(s, o.Load)
	g.learn(r, a, o)
	if never := o.Status == Full || o.Status == ConnectFailed || o.Status == Moot; !never && r.ran == nil {
		r.ran, r.ranAt = s, a.sentAt
	}
	if o.Status == OK && g.s.TrueUp && r.cust != nil && o.Units > 0 {
		g.charge(r.cust, o.Units-r.Units)
	}
	if o.Over || o.Status == OK {
		r.over = true
	}
	if r.over {
		g.tidy(r)
	} else if r.out == 0 && !r.stream {
		g.place(r)
	}
	g.drain()
}

// endAt is when an answer is no longer worth the servers' work: after the aim, for
// the share of the time left in which it still earns something.
func (r *request) endAt() float64 { return r.aimAt + r.cls.LateWorth*max(r.DeadlineS-r.aimAt, 0) }

// mayRetry tells whether another attempt is allowed and worth it.
func (g *Gateway) mayRetry(r *request) bool {
	if len(r.attempts) >= max(1, g.s.MaxAttempts) || g.now+r.cls.lat > r.endAt() {
		return false
	}
	return r.ran == nil || r.cls.Effect == Safe || r.cls.Effect == Keyed && g.now <= r.ranAt+r.cls.KeyTTLS-lagS
}

// Started takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) Started(now float64, id string, attempt int) {
	if r := g.reqs[id]; r != nil {
		r.stream = true
	}
}

// Gone takes the news that the request needs no answer any more.
func (g *Gateway) Gone(now float64, id string) {
	g.now = now
	if r := g.reqs[id]; r != nil && !r.over {
		r.over = true
		g.tidy(r)
	}
}

// drain sends what waits, dearest per work first, and drops what can't make its aim.
func (g *Gateway) drain() {
	if len(g.queue) == 0 {
		return
	}
	slices.SortStableFunc(g.queue, func(a, b *request) int { return cmp.Compare(b.prio, a.prio) })
	kept := g.queue[:0]
	for _, r := range g.queue {
		if r.over {
			g.hold(r, false)
			continue
		}
		s, late := g.choose(r), g.now+r.cls.lat > r.aimAt || !g.mayRetry(r)
		if s == nil && !late {
			kept = append(kept, r)
			continue
		}
		if g.hold(r, false); late || !g.admit(r) {
			g.refuse(r) // it counts when it is sent: the room may be gone by now
		} else {
			g.send(r, s)
		}
	}
	clear(g.queue[len(kept):])
	g.queue = kept
}

// Timer takes a timer: all work that no event brings.
func (g *Gateway) Timer(now float64, token uint64) {
	g.now = now
	if token != 1 {
		return
	}
	g.act.SetTimer(1, tickS)
	g.drain()
	g.watch()
	g.probe()
	if g.s.Peers && g.s.Gateways > 1 && now >= g.nextTell {
		g.nextTell = max(g.nextTell+g.batch, now)
		g.tell()
	}
	if now > g.sweepAt {
		g.sweepAt = now + forgetS/4
		for k, c := range g.custs {
			if now-c.usedAt > forgetS && c.out == 0 {
				delete(g.custs, k)
			}
		}
	}
}

// ---- Quotas and the exchange with owners ----

// customer finds or makes what is kept of a customer.
func (g *Gateway) customer(q Request) *customer {
	h := hashOf(q.Customer)
	key := uint32(h) & keyMask
	c := g.custs[key]
	if c == nil {
		c = g.newCustomer(key, g.byPlan[q.Plan])
	}
	if c.hash != h {
		for i := range g.peers {
			if d := (i - q.First + g.s.Gateways) % g.s.Gateways; q.Entries <= 0 || d < q.Entries {
				g.meet(i)
			}
		}
	}
	c.hash, c.first, c.entries, c.usedAt = h, q.First, q.Entries, g.now
	return c
}

// meet makes a gateway a neighbour: it shares a customer with this one. Only neighbours talk,
// so that the rhythm follows what each must take in.
func (g *Gateway) meet(gw int) {
	p := &g.peers[gw]
	if p.near || gw == g.s.Me {
		return
	}
	p.near, p.heardAt = true, g.now
	g.near++
	if g.s.PeerIntake > 0 {
		g.batch = max(batchS, float64(g.near)/(g.s.PeerIntake*intakeShare))
	}
}

func (g *Gateway) alive(gw int) bool { return gw == g.s.Me || g.now-g.peers[gw].heardAt < peerSilentS }

// owner walks the ring from the customer's point to the first gateway that
// serves the customer and is not silent.
func (g *Gateway) owner(c *customer) int {
	if !g.s.Peers || g.s.Gateways == 1 {
		return g.s.Me
	}
	at := func(p ringPoint, h uint64) int { return cmp.Compare(p.at, h) }
	i, _ := slices.BinarySearchFunc(g.ring, c.hash, at)
	for n := range g.ring {
		gw := g.ring[(i+n)%len(g.ring)].gw
		d := (gw - c.first + g.s.Gateways) % g.s.Gateways
		if (c.entries <= 0 || d < c.entries) && g.alive(gw) {
			return gw
		}
	}
	return g.s.Me
}

// note marks the customer for the next batch.
func (g *Gateway) note(c *customer) {
	if o := g.owner(c); o == g.s.Me {
		g.replyAll(c)
	} else if !c.dirty {
		c.dirty = true
		g.peers[o].reports = append(g.peers[o].reports, c)
	}
}

// inQuota is the verdict on the ordinary path. While the customer asks for more than its rate,
// the cheaper a class is a unit, the more room it must leave to dearer ones.
func (g *Gateway) inQuota(c *customer, units, cheap float64) bool {
	room, others, othersOut, whole := g.view(c)
	if c.plan.Parallel > 0 && c.out+othersOut >= c.plan.Parallel {
		return false
	} else if c.plan.Rate == 0 || whole {
		return c.plan.Rate == 0 || units <= room
	}
	mine := g.demandNow(c)
	if mine+others > c.plan.Rate {
		units += cheap * cheapLeaves * c.plan.Burst
	}
	split := room * mine / max(mine+others, 1e-9)
	return units <= max(split, room-2*others*(g.batch+lagS))
}

// view gives the room of the whole quota as this gateway knows it, what the
// others are asked for, and whether it stands alone (a local window).
func (g *Gateway) view(c *customer) (room, others float64, out int, whole bool) {
	if g.owner(c) == g.s.Me {
		l := g.ledger(c)
		others, out = g.askedElsewhere(l, g.s.Me)
		return l.room, others, out, false
	}
	if c.led != nil {
		// Ownership moved on: what was counted here is the best start for a member.
		c.room, c.roomAt, c.known, c.acked, c.led = g.ledger(c).room, g.now, true, c.total, nil
	}
	room = min(c.plan.Burst, c.room+c.plan.Rate*(g.now-c.roomAt)) - max(c.total-c.acked, 0)
	silent := !c.known || c.waitFrom > 0 && g.now-c.waitFrom > missBatches*g.batch+lagS
	return room, c.others, c.othersOut, silent
}

// askedElsewhere sums what the members other than one are asked for and have out.
func (g *Gateway) askedElsewhere(l *ledger, but int) (rate float64, out int) {
	for i := range l.members {
		if m := &l.members[i]; i != but && m.at > 0 && g.now-m.at < memberS && g.alive(i) {
			rate += m.rate * math.Exp((m.at-g.now)/demandTauS)
			out += m.out
		}
	}
	return rate, out
}

// ledger brings the owner's count up to now.
func (g *Gateway) ledger(c *customer) *ledger {
	if c.led == nil {
		room := c.plan.Burst
		if c.known {
			room = min(room, c.room+c.plan.Rate*(g.now-c.roomAt)) - max(c.total-c.acked, 0)
		}
		c.led = &ledger{room: room, at: g.now, born: g.now, members: make([]member, g.s.Gateways)}
	}
	l, rate := c.led, c.plan.Rate
	if g.cut {
		// Most neighbours silent at once are cut off, not dead: they go on serving the same
		// customers. A local window then opens by this gateway's part alone. Covers lost links
		// and messages dropped alike; costs room where most gateways really died together.
		rate /= g.entriesOf(c)
	}
	l.room = min(c.plan.Burst, l.room+rate*(g.now-l.at))
	l.at = g.now
	return l
}

// spend counts a first send, in quota and ceiling.
func (g *Gateway) spend(c *customer, units float64) {
	g.ceilingHolds(c, 0)
	c.ceil -= units
	g.charge(c, units)
}

func (g *Gateway) charge(c *customer, units float64) {
	if c.plan.Rate == 0 {
		return
	}
	if g.owner(c) == g.s.Me {
		l := g.ledger(c)
		l.room = max(l.room-units, min(l.room, 0))
	}
	if w := int64(g.now / c.plan.windowS); w != c.window {
		// What was not sent yet goes into the new window.
		c.total = max(c.total-c.sent, 0)
		c.window, c.sent, c.acked = w, 0, 0
	}
	c.total = max(c.total+units, 0)
	g.note(c)
}

// replyAll marks replies to all members that lately used the customer.
func (g *Gateway) replyAll(c *customer) {
	if c.led == nil {
		return
	}
	for i := range c.led.members {
		m := &c.led.members[i]
		if i != g.s.Me && m.at > 0 && g.now-m.at < memberS && !m.due {
			m.due = true
			g.peers[i].replies = append(g.peers[i].replies, c)
		}
	}
}

// tell sends each peer its batch: reports to it as owner and replies to it as
// member ride together. A message goes out even if empty: it is the sign of life.
func (g *Gateway) tell() {
	heard := 0
	for i := range g.peers {
		if g.peers[i].near && g.alive(i) {
			heard++
		}
	}
	g.seq, g.cut = g.seq+1, g.near > 1 && 2*heard < g.near
	for i := range g.peers {
		p := &g.peers[i]
		if !p.near {
			continue
		}
		b := appendHeader(make([]byte, 0, msgLimit), g.boot, g.seq)
		n, later := 0, p.reports[:0]
		for _, c := range p.reports {
			if g.owner(c) != i {
				c.dirty = false
				if g.owner(c) != g.s.Me {
					defer g.note(c)
				}
				continue
			}
			if n == msgMost {
				later = append(later, c)
				continue
			}
			room, _, _, _ := g.view(c)
			b = appendRecord(b, record{Key: c.key, Plan: c.plan.index, Known: c.known, Window: uint8(c.window),
				Total: c.total, Room: room, Rate: g.demandNow(c), Out: uint8(min(c.out, 255))})
			n++
			c.sent, c.reportAt, c.dirty = c.total, g.now, false
			if c.waitFrom == 0 {
				c.waitFrom = g.now
			}
		}
		p.reports = later
		rest := p.replies[:0]
		for _, c := range p.replies {
			if n == msgMost {
				rest = append(rest, c)
				continue
			} else if c.led == nil {
				continue
			}
			m := &c.led.members[i]
			m.due = false
			l := g.ledger(c)
			others, out := g.askedElsewhere(l, i)
			b = appendRecord(b, record{Key: c.key, Plan: c.plan.index, Owner: true, Known: true, Window: m.window,
				Total: m.total, Room: l.room, Rate: others + g.demandNow(c), Out: uint8(min(out+c.out, 255))})
			n++
		}
		p.replies = rest
		g.act.Tell(i, b)
	}
}

// Peer takes a message of another gateway.
func (g *Gateway) Peer(now float64, from int, data []byte) {
	g.now = now
	boot, seq, recs, ok := parseMessage(data)
	if !ok || from < 0 || from >= len(g.peers) || from == g.s.Me {
		return
	}
	g.meet(from)
	p := &g.peers[from]
	if boot == p.boot && p.seq != 0 && int16(seq-p.seq) <= 0 {
		return // late or twice
	}
	p.boot, p.seq, p.heardAt = boot, seq, now
	for _, r := range recs {
		if r.Plan >= len(g.plans) {
			continue
		}
		c := g.custs[r.Key]
		if r.Owner {
			if c != nil {
				g.verdict(c, from, r)
			}
			continue
		}
		if c == nil {
			c = g.newCustomer(r.Key, g.plans[r.Plan])
			c.hash = 0
		}
		c.usedAt = now
		g.count(c, from, r)
	}
}

// count takes in a member's report.
func (g *Gateway) count(c *customer, from int, r record) {
	made := c.led == nil
	l := g.ledger(c)
	m := &l.members[from]
	delta := r.Total
	switch {
	case m.at > 0 && m.window == r.Window && r.Total >= m.total:
		delta = r.Total - m.total
	case m.at == 0 && r.Known && g.now-l.born < youngS:
		// A young count, after a restart or a move: the member hands back what it heard.
		if made {
			l.room = c.plan.Burst
		}
		l.room, delta = min(l.room, max(r.Room, 0)), 0
	}
	l.room = max(l.room-delta, min(l.room, 0))
	*m = member{window: r.Window, total: r.Total, rate: r.Rate, out: int(r.Out), at: g.now, due: m.due}
	g.replyAll(c)
}

// verdict takes in the room that the owner reports.
func (g *Gateway) verdict(c *customer, from int, r record) {
	if g.owner(c) != from {
		return
	}
	acked := 0.0
	if r.Window == uint8(c.window) {
		acked = r.Total
	}
	if r.Window == uint8(c.window) && acked < c.acked {
		return // a late verdict knows less than what is known already
	}
	c.known, c.room, c.roomAt, c.acked = true, r.Room, g.now, acked
	c.others, c.othersOut = r.Rate, int(r.Out)
	c.waitFrom = 0
	if acked < c.sent {
		c.waitFrom = c.reportAt
		if c.reportAt < g.now-2*g.batch {
			g.note(c)
		}
	}
}

// ceilingHolds brings this gateway's fixed split of the ceiling up to now and
// tells whether units fit. A split starts empty, as a restarted gateway may just
// have spent its own.
func (g *Gateway) ceilingHolds(c *customer, units float64) bool {
	p := c.plan
	if p.CeilingRate <= 0 {
		return true
	}
	n := g.entriesOf(c)
	c.ceil = min(p.CeilingBurst/n, c.ceil+p.CeilingRate/n*(g.now-c.ceilAt))
	c.ceilAt = g.now
	return units <= c.ceil
}

// ---- Servers ----

// Servers takes the list of servers, whole or only what changed.
func (g *Gateway) Servers(now float64, list []Server, whole bool) {
	g.now = now
	if whole {
		for _, s := range g.order {
			s.listed = false
		}
	}
	for _, e := range list {
		s := g.servers[e.ID]
		if s == nil {
			s = &server{limit: startLimit / float64(g.s.Gateways), ratio: 1}
			g.servers[e.ID] = s
		} else if e.SinceS > s.SinceS {
			s.limit, s.downUntil, s.doubt = startLimit/float64(g.s.Gateways), 0, false
			s.stretch, s.ratio, s.errs = 0, 1, 0
		}
		s.Server, s.listed = e, e.State != Removed
	}
	g.order = g.order[:0]
	for _, s := range g.servers {
		if s.listed {
			g.order = append(g.order, s)
		}
	}
	slices.SortFunc(g.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	g.drain()
}

// coldShare is the least part of its capacity that the server must have by now.
func (g *Gateway) coldShare(s *server) float64 {
	age := g.now - s.SinceS
	if s.SinceS <= 0 || age >= g.s.ColdS || g.s.ColdS <= 0 {
		return 1
	}
	return g.s.ColdFrom + (1-g.s.ColdFrom)*max(age, 0)/g.s.ColdS
}

// coldRoom holds a cold server to its share of what a warm one is sent, over any
// window in which it could fall.
func (g *Gateway) coldRoom(s *server, work float64) bool {
	share := g.coldShare(s)
	if share >= 1 {
		s.sentLog = nil
		return true
	}
	sum := 0.0
	keep := s.sentLog[:0]
	for _, w := range s.sentLog {
		if g.now-w.at < g.s.FallS {
			keep = append(keep, w)
			sum += w.work
		}
	}
	s.sentLog = keep
	budget := share * g.warmRate * g.s.FallS
	return s.inflight < 2 && (sum+work <= budget || sum == 0 && work <= 2*budget)
}

// choose picks the server for the request's next attempt, nil if none has room.
func (g *Gateway) choose(r *request) *server {
	var best *server
	low := math.Inf(1)
	for _, s := range g.order {
		if s.State != Up || g.now < s.downUntil || s.doubt || float64(s.inflight) >= math.Ceil(s.limit) ||
			s.limit < 1 && g.now-s.sentAt < s.ratio*r.cls.lat/s.limit {
			continue
		}
		if r.ran != nil && r.cls.Effect == Keyed && !sameGroup(r.cls.KeyScope, r.ran, s) {
			continue
		}
		if !g.coldRoom(s, r.cls.lat) {
			continue
		}
		// What the others have there is unseen: the best guess is that each sends as this one does.
		load := float64(s.inflight) + 1 + float64(g.s.Gateways-1)*s.busy*math.Exp((s.sentAt-g.now)/busyTauS)
		if s.Zone != g.s.Zone {
			load += 25 * g.s.CrossZonePrice
		}
		if g.now-s.utilAt < 2*probeEveryS {
			load += 2 * s.util
		}
		for i := range r.attempts {
			if r.attempts[i].srv == s {
				load += 4
			}
		}
		cost := load * s.ratio * (1 + 4*s.errs) * (1 + 0.02*g.rng.Float64())
		if cost < low {
			best, low = s, cost
		}
	}
	return best
}

// learn takes from an attempt's end what it tells of the server.
func (g *Gateway) learn(r *request, a *attempt, o Outcome) {
	s, c := a.srv, r.cls
	easy := s.util < utilLow && g.now-s.utilAt < 2*probeEveryS // cores are free: not driven too hard
	bad := 0.0
	switch o.Status {
	case OK:
		s.heardAt = g.now
		s.doubt = false
		c.n++
		c.lat += (o.SpentS - c.lat) * max(0.02, 1/float64(c.n+1))
		if c.base = min(c.base*(1+baseDrift), c.lat); c.n < 10 {
			c.base = c.lat
		}
		s.slow += 0.1 * (min(o.SpentS/c.base, 10) - s.slow)
		s.ratio += 0.1 * (min(o.SpentS/c.lat, 4) - s.ratio)
		s.ratio = min(max(s.ratio, 0.3), 4)
	case Error:
		s.heardAt, bad = g.now, 1
	case Timeout:
		// Guards against a server that is slow rather than silent: its answers in time look fine.
		s.ratio += timeoutWeight * (max(4, s.ratio) - s.ratio)
		if !easy {
			s.limit = max(g.minLimit, s.limit*(1-timeoutWeight))
		}
	case Full:
		s.heardAt = g.now
		s.limit = max(1, min(s.limit, float64(s.inflight))*0.9)
	case ConnectFailed, Reset:
		bad = 1
		s.downUntil = g.now + downS*(1+g.rng.Float64())
	}
	s.errs += 0.1 * (bad - s.errs)
	if o.Status == OK || o.Status == Timeout {
		s.stretch += 0.1 * (o.SpentS/c.AimS - s.stretch)
		// Guards against driving servers harder than they bear: cores all busy and answers far
		// slower than when calm. Covers thrash, throttling and a shared brake alike; costs some
		// throughput where full cores do no harm.
		if s.util > utilHigh && s.slow > slowX && g.now-s.utilAt < 2*probeEveryS && g.now-s.cutAt > cutEveryS {
			s.limit, s.cutAt = max(g.minLimit, min(s.limit, float64(s.inflight)+1)*0.9), g.now
		}
		if s.stretch > stretchHigh && !easy {
			s.limit = max(g.minLimit, s.limit*0.97)
		} else if (easy || s.stretch < stretchLow && s.slow < slowX) && float64(s.inflight)+1.5 >= s.limit {
			s.limit = min(maxLimit, s.limit+0.1*min(1, s.limit))
		}
	}
}

// report takes in a load report.
func (g *Gateway) report(s *server, l *Load) {
	if l != nil && l.Util >= 0 {
		s.util, s.utilAt = l.Util, g.now
	}
}

// watch looks at the attempts that are out: a server that answers nothing while
// others do is in doubt, and what waits there is tried elsewhere where allowed.
func (g *Gateway) watch() {
	keep := g.live[:0]
	for _, r := range g.live {
		if r.over && r.out == 0 {
			continue
		}
		keep = append(keep, r)
		for i := range r.attempts {
			a := &r.attempts[i]
			age := g.now - a.sentAt
			if a.done || age < max(silentX*r.cls.lat, 0.2) || a.srv.heardAt >= a.sentAt {
				continue
			}
			a.srv.doubt = true
		}
		if r.over || r.stream || r.out != 1 {
			continue
		}
		a := &r.attempts[len(r.attempts)-1]
		if a.done || a.called || !a.srv.doubt || g.now-a.sentAt < hedgeShare*r.cls.AimS || r.cls.Effect == Unsafe {
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
		case s == nil:
			r.ran, r.ranAt = ran, at
		case g.s.Parallel:
			g.send(r, s)
		case g.s.Cancel:
			a.called = true
			g.act.Cancel(r.ID, len(r.attempts)-1)
		}
	}
	clear(g.live[len(keep):])
	g.live = keep
	g.warmRate *= math.Exp((g.warmAt - g.now) / demandTauS)
	g.warmAt = g.now
}

// probe asks servers in doubt for a sign of life, and all for their load where
// that comes with probes alone.
func (g *Gateway) probe() {
	if !g.s.Probes {
		return
	}
	for _, s := range g.order {
		every := math.Inf(1)
		if g.s.ReportByProbe {
			every = probeEveryS
		}
		if s.doubt || s.errs > 0.05 && g.now < s.downUntil {
			every = suspectS
		}
		if s.State == Up && g.now-s.askedAt >= every {
			s.askedAt = g.now
			g.act.Probe(s.ID)
		}
	}
}

// Probed takes the end of a probe.
func (g *Gateway) Probed(now float64, p ProbeResult) {
	g.now = now
	s := g.servers[p.Server]
	if s == nil {
		return
	}
	g.report(s, p.Load)
	switch p.Status {
	case OK:
		s.heardAt, s.doubt = now, false
		if now < s.downUntil {
			s.downUntil = now
		}
	case ConnectFailed, Reset:
		s.downUntil = now + downS*(1+g.rng.Float64())
	case Timeout:
		if s.heardAt < now-1 {
			s.doubt = true
		}
	}
	g.drain()
}
