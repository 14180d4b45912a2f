package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a gateway keeps, and plain helpers. What is done with it is in policy.go.

type class struct {
	Class
	index int
	lat   float64 // mean latency of good answers
	base  float64 // the lowest mean so far, 0 until it is known
	n     int
	// how often tries came with which share of the deadline, and the commonest
	times [patienceBins]int
	usual int
}

type plan struct {
	Plan
	index int
	pool  float64 // part of the ceiling that its first gateway pays grants from
}

type server struct {
	Server
	hash         uint16
	listed       bool
	goneAt       float64 // when it was last listed, if it is not
	inflight     int
	speed        float64 // latency against the class's mean
	sentAt       float64
	busy         float64 // mean attempts out here of late
	util, utilAt float64
	askedAt      float64 // last probe
	sick         []sick  // by class
	okAt         []float64
	goodAt       float64 // last good answer
	brokeAt      float64 // last broken or refused connection
	downUntil    float64
	sentLog      []sentWork // while cold
}

// sick tells how sure it was that a server leaves a class unanswered.
type sick struct{ level, at float64 }

// item is news of a server: that it is sick for a class, or its use.
type item struct {
	server    uint16
	class     int
	value, at float64
}

// list takes in a list of servers; it calls restarted for each that has started anew.
func (g *Gateway) list(list []Server, whole bool, restarted func(*server)) {
	for _, s := range g.order {
		s.listed = s.listed && !whole
	}
	for _, e := range list {
		s := g.servers[e.ID]
		if s == nil {
			s = newServer(g)
			s.hash = uint16(hashOf(e.ID))
			g.servers[e.ID] = s
			g.hashed(s)
		} else if e.StartedAt > s.StartedAt {
			restarted(s)
		}
		s.Server, s.listed = e, e.State != Removed
	}
	g.order = g.order[:0]
	for _, s := range g.servers {
		if s.listed {
			g.order = append(g.order, s)
			s.goneAt = g.now
		}
	}
	slices.SortFunc(g.order, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// hashed makes a server known by its hash; of two of the same hash nothing that is told is used.
func (g *Gateway) hashed(s *server) {
	if _, twice := g.byHash[s.hash]; twice {
		g.byHash[s.hash] = nil
	} else {
		g.byHash[s.hash] = s
	}
}

// sentWithin sums the work sent to a cold server within the last so many seconds.
func (s *server) sentWithin(now, span float64) (sum float64) {
	keep := s.sentLog[:0]
	for _, w := range s.sentLog {
		if now-w.at < span {
			keep = append(keep, w)
			sum += w.work
		}
	}
	s.sentLog = keep
	return sum
}

type sentWork struct{ at, work float64 }

type attempt struct {
	srv    *server
	sentAt float64
	done   bool
	called bool // cancelled by us
	seen   bool // its silence was taken in
}

type request struct {
	Request
	cls      *class
	plan     *plan
	cust     *customer
	aimAt    float64
	attempts []attempt
	out      int
	home     *server // to whose group it is kept
	ran      *server // first server where it may have run
	ranAt    float64
	over     bool
	asking   bool // the owner's word is awaited
	taken    bool // charged to its quota
	stream   bool
	prio     float64
	cheap    float64 // 0 for the dearest class, towards 1 for the cheapest
}

// customer is what a gateway keeps of one customer.
type customer struct {
	key            uint32
	hash           uint64
	plan           *plan
	first, entries int // entries 0: known from others' reports alone
	prime          int // first on the ring of its gateways
	usedAt         float64
	total          float64 // own count of what was let in, ever
	acked          float64 // as the owner last took it in
	demand         float64 // units a second asked for here
	demandAt       float64
	out            int
	known          bool    // the owner has reported
	room, roomAt   float64 // as last reported
	others         float64 // what the others are asked for
	othersOut      int
	holdTill       float64    // the owner refuses until then
	asks           []*request // wait for the owner's word
	asked          int        // of them, told to the owner
	tries          int
	waitFrom       float64 // since when a report is unanswered, 0: none
	waiting        bool    // in Gateway.waiting
	dirty          bool    // to be reported
	askOf          int     // to this gateway
	ceil, ceilAt   float64
	pool, poolAt   float64
	local, localAt float64
	led            *ledger
}

// ledger is an owner's count: the window opens evenly, and what is unused
// carries over up to one burst.
type ledger struct {
	room, at, born   float64
	demand, demandAt float64
	members          map[int]*member
}

type member struct {
	boot  uint8
	total float64 // as last told, and what was set aside for it since
	rate  float64
	out   int
	at    float64 // last report
}

// outs sums the attempts that members other than one have out.
func (l *ledger) outs(now float64, but int) (n int) {
	for i, m := range l.members {
		if i != but && now-m.at < outS {
			n += m.out
		}
	}
	return n
}

// heard counts the members heard of late.
func (l *ledger) heard(now float64) (n int) {
	for _, m := range l.members {
		if now-m.at < memberS {
			n++
		}
	}
	return n
}

func (l *ledger) demandNow(now float64) float64 {
	return max(l.demand, 0) * math.Exp((l.demandAt-now)/demandTauS)
}

// quarters rounds a difference of two counts, of which one has come over the wire.
func quarters(x float64) float64 { return float64(int16(int64(math.Floor(x*4+0.5)))) / 4 }

type peer struct {
	missed  int     // reports without an answer since it was last heard
	missAt  float64 // the last of them
	toldAt  float64
	heardAt float64 // its last message
	boot    uint8
	seq     uint16
	reports []*customer
	pending bool // in Gateway.pending
	urgent  bool // a request waits
}

// Gateway decides for one gateway.
type Gateway struct {
	s         Settings
	act       Actions
	rng       *rand.Rand
	now       float64
	born      float64
	boot      uint8
	seq       uint16
	gapAt     float64 // when this gateway last came back from a gap of its own
	stoodAt   float64 // when it last came back from one so long that others counted in its place
	stoodFor  float64 // and how long that was
	lost      float64 // share of reports unanswered
	inRate    float64 // messages a second that come in
	inAt      float64
	tokens    float64 // reports that may be sent
	tokensAt  float64
	pending   []int       // peers with reports due
	waiting   []*customer // with reports unanswered
	limit     float64     // attempts out here, at all servers
	part      float64     // servers a gateway
	out       int         // attempts out
	stretch   float64     // mean of latency over aim
	spent     float64     // mean time until an answer or a time-out
	cutAt     float64
	sentAt    float64
	probes    float64 // that may be sent
	news      []item
	byHash    map[uint16]*server
	classList []*class
	maxWorth  float64 // of any class, a unit
	ring      []ringPoint
	classes   map[string]*class
	plans     []*plan
	byPlan    map[string]*plan
	servers   map[string]*server
	order     []*server
	reqs      map[string]*request
	live      []*request
	queue     []*request
	custs     map[uint32]*customer
	peers     []peer
	warmRate  float64 // work a second sent to each warm server
	warmAt    float64
	sweepAt   float64
}

type ringPoint struct {
	at uint64
	gw int
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashOf is a customer's point on the ring.
func hashOf(customer string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for i := range len(customer) {
		h = (h ^ uint64(customer[i])) * 1099511628211
	}
	return mix(h)
}

// sameGroup tells whether two servers drop the repeats of the same key.
func sameGroup(scope KeyScope, a, b *server) bool {
	switch scope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return true
}

// Validate tells what is wrong with the settings, nil if New takes them.
func (s Settings) Validate() error {
	switch {
	case s.Gateways < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return fmt.Errorf("me is %d, want 0 to %d", s.Self, s.Gateways-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > 16:
		return fmt.Errorf("%d plans given, 16 at most", len(s.Plans))
	}
	for _, c := range s.Classes {
		if !(c.DeadlineS > 0) || !(c.TargetLatencyS > 0) || c.Value < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", c.Name)
		} else if c.Effect == Keyed && !(c.KeyTTLS > 0) {
			return fmt.Errorf("class %q: its keys are kept for %v s, want above 0", c.Name, c.KeyTTLS)
		}
	}
	for _, p := range s.Plans {
		if p.Rate < 0 || p.Rate > 0 && p.Burst <= 0 || p.MaxParallel < 0 || p.CeilingRate < 0 || p.ValueFactor < 0 {
			return fmt.Errorf("plan %q: rates must not be below 0, and a rate needs a burst", p.Name)
		}
	}
	return nil
}

// outBy counts the customer's attempts out, which a parallel plan's owner hears of.
func (g *Gateway) outBy(r *request, n int) {
	if r.cust == nil {
		return
	}
	if r.cust.out += n; r.plan.MaxParallel > 0 {
		g.note(r.cust, false)
	}
}

// over notes that a request has had its final answer, and forgets it once nothing is out. What was
// never sent never counted.
func (g *Gateway) over(r *request) {
	r.over = true
	if r.taken && len(r.attempts) == 0 {
		r.taken = false
		g.charge(r.cust, -r.Units)
	}
	if r.out == 0 {
		delete(g.reqs, r.ID)
	}
}

// asked counts what the customer asks for here, passed or not.
func (g *Gateway) asked(c *customer, units float64) {
	c.demand, c.demandAt = g.demandNow(c)+units/demandTauS, g.now
}

func (g *Gateway) demandNow(c *customer) float64 {
	return c.demand * math.Exp((c.demandAt-g.now)/demandTauS)
}

// walk goes on the ring from the customer's point to the first gateway that serves it, and with
// skip to the first that is not silent.
func (g *Gateway) walk(c *customer, skip bool) int {
	i, _ := slices.BinarySearchFunc(g.ring, c.hash, func(p ringPoint, h uint64) int { return cmp.Compare(p.at, h) })
	for n := range g.ring {
		gw := g.ring[(i+n)%len(g.ring)].gw
		if d := (gw - c.first + g.s.Gateways) % g.s.Gateways; d < c.entries && (!skip || g.alive(gw)) {
			return gw
		}
	}
	return g.s.Self
}

// expect has the customer's reports looked after until they are answered.
func (g *Gateway) expect(c *customer) {
	if !c.waiting {
		c.waiting = true
		g.waiting = append(g.waiting, c)
	}
}

func (g *Gateway) header() []byte {
	g.seq++
	return appendHeader(make([]byte, 0, msgLimit), g.boot, g.seq)
}

// spread keeps what is to be told to other gateways of servers, newest last.
func (g *Gateway) spread(n item) {
	if g.news = append(g.news, n); len(g.news) > newsKept {
		g.news = g.news[1:]
	}
}

// meanUtil is the use of the servers' cores, by what was reported of late.
func (g *Gateway) meanUtil() (mean float64, fresh bool) {
	n := 0.0
	for _, s := range g.order {
		if g.now-s.utilAt < utilS {
			n++
			mean += s.util
		}
	}
	return mean / max(n, 1), n > 0
}

// roomNow is the room as a member knows it.
func (g *Gateway) roomNow(c *customer) float64 {
	if c.led != nil {
		// Ownership moved on: what was counted here is the best start for a member.
		c.room, c.roomAt, c.known, c.acked, c.led = g.ledger(c).room, g.now, true, c.total, nil
	}
	return min(c.plan.Burst, c.room+c.plan.Rate*(g.now-c.roomAt)) - max(c.total-c.acked, 0)
}

// clock sets the time, and notes when this gateway itself stood still.
func (g *Gateway) clock(now float64) {
	if now-g.now > gapS {
		g.gapAt = now
	}
	if now-g.now > stoodS {
		g.stoodAt, g.stoodFor = now, now-g.now
	}
	g.now = now
}

// RemainingUnits tells what this gateway knows to be left of a customer's quota, in units, below 0 where more
// was counted than it holds; false for a customer of whom it knows nothing.
func (g *Gateway) RemainingUnits(now float64, customer string) (float64, bool) {
	g.clock(now)
	c := g.custs[uint32(hashOf(customer)>>32)]
	if c == nil {
		return 0, false
	} else if g.owner(c) == g.s.Self {
		return g.ledger(c).room, true
	}
	return g.roomNow(c), true
}

// ReturnUnits hands back units that a Limit request was admitted for and that were not used after all. A
// ceiling is not given back: it bounds what may have been sent.
func (g *Gateway) ReturnUnits(now float64, customer string, units float64) {
	g.clock(now)
	if c := g.custs[uint32(hashOf(customer)>>32)]; c != nil && units > 0 {
		g.charge(c, -units)
	}
}

// customer finds or makes what is kept of a customer.
func (g *Gateway) customer(q Request) *customer {
	h := hashOf(q.Customer)
	key := uint32(h >> 32)
	c := g.custs[key]
	if c == nil {
		c = g.newCustomer(key, g.byPlan[q.Plan])
	}
	if c.entries == 0 {
		c.hash, c.first, c.entries = h, q.FirstGateway, q.GatewayCount
		if c.entries <= 0 || c.entries > g.s.Gateways {
			c.first, c.entries = 0, g.s.Gateways
		}
		c.prime = g.walk(c, false)
	}
	c.usedAt = g.now
	return c
}

// setUp makes the classes, the plans and the ring.
func (g *Gateway) setUp(points int) {
	for i, c := range g.s.Classes {
		g.maxWorth = max(g.maxWorth, c.Value)
		g.classList = append(g.classList, newClass(c, i))
		g.classes[c.Name] = g.classList[i]
	}
	for i, p := range g.s.Plans {
		g.plans = append(g.plans, &plan{Plan: p, index: i, pool: poolPart(p, g.s.Gateways)})
		g.byPlan[p.Name] = g.plans[i]
	}
	for gw := range g.s.Gateways {
		for i := range points {
			g.ring = append(g.ring, ringPoint{mix(uint64(gw)<<32 | uint64(i)), gw})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.gw, b.gw))
	})
}

// coldShare is the least part of its capacity that the server must have by now.
func (g *Gateway) coldShare(s *server) float64 {
	age := g.now - s.StartedAt
	if s.StartedAt <= 0 || age >= g.s.ColdPeriodS || g.s.ColdPeriodS <= 0 {
		return 1
	}
	return g.s.ColdStartShare + (1-g.s.ColdStartShare)*max(age, 0)/g.s.ColdPeriodS
}

// slowStartDraw is this gateway's draw, 0 to 1, for a server and the window of fallS that it is in. The draws of
// all gateways for one server are spread evenly, and so are the beginnings of their windows.
func (g *Gateway) slowStartDraw(s *server) float64 {
	const golden, silver = 0.6180339887498949, 0.7548776662466927 // their multiples spread evenly, and apart from each other
	_, phase := math.Modf(float64(g.s.Self) * silver)
	window := uint64(max((g.now-s.StartedAt)/max(g.s.OverloadWindowS, 1e-3)+phase, 0))
	draw := float64(mix(hashOf(s.ID)+window)>>11) / (1 << 53)
	_, draw = math.Modf(draw + float64(g.s.Self)*golden)
	return draw
}

// sickness tells how sure it is, from 0 to 1, that the server does not answer the class.
func (g *Gateway) sickness(s *server, c *class) float64 {
	k := s.sick[c.index]
	return k.level * math.Exp((k.at-g.now)/sickTauS)
}

// forget drops customers unused for so long.
func (g *Gateway) forget(age float64) {
	longest := age // no key that ran at a forgotten server is still remembered there
	for _, c := range g.classList {
		longest = max(longest, 2*c.KeyTTLS)
	}
	for id, s := range g.servers {
		if s.listed {
			s.goneAt = g.now
		} else if s.inflight == 0 && g.now-s.goneAt > longest {
			delete(g.servers, id)
		}
	}
	clear(g.byHash)
	for _, s := range g.servers {
		g.hashed(s)
	}
	for k, c := range g.custs {
		if g.now-c.usedAt > age && c.out == 0 && len(c.asks) == 0 {
			delete(g.custs, k)
		} else if c.led != nil {
			for i, m := range c.led.members {
				if g.now-m.at > age {
					delete(c.led.members, i)
				}
			}
		}
	}
}

// due puts the customer on the list of what a peer is to be told.
func (g *Gateway) due(c *customer, peer int) {
	p := &g.peers[peer]
	c.dirty, c.askOf = true, peer
	p.reports = append(p.reports, c)
	if !p.pending {
		p.pending = true
		g.pending = append(g.pending, peer)
	}
}

// told takes a member's report into the sums, and returns the units it is beyond what was known.
func (l *ledger) told(m *member, r record, now float64) float64 {
	delta := quarters(r.Total - m.total)
	l.demand = l.demandNow(now) + r.Rate - m.rate*math.Exp((m.at-now)/demandTauS)
	l.demandAt = now
	*m = member{boot: m.boot, total: r.Total, rate: r.Rate, out: r.Out, at: now}
	return delta
}

// StreamStarted takes the start of a streamed answer: the attempt belongs to the client now.
func (g *Gateway) StreamStarted(now float64, id string, attempt int) {
	g.clock(now)
	if r := g.reqs[id]; r != nil {
		r.stream = true
	}
}

// RequestAbandoned takes the news that the request needs no answer any more.
func (g *Gateway) RequestAbandoned(now float64, id string) {
	g.clock(now)
	if r := g.reqs[id]; r != nil && !r.over {
		g.over(r)
	}
}

// ServerEstimate is what a gateway holds of one server.
type ServerEstimate struct {
	Server       Server
	InFlight     int
	LatencyRatio float64 // latency against the mean of its class: 1 is usual
	Suspicion    float64 // 0 to 1, of the class it is sickest for
	Util         float64 // as last reported
	UtilAgeS     float64 // how long ago, +Inf for never
}

// ServerEstimates is what a gateway holds of each server on its list, in the order of their names. It decides nothing.
func (g *Gateway) ServerEstimates(now float64) (list []ServerEstimate) {
	for _, s := range g.order {
		b := ServerEstimate{Server: s.Server, InFlight: s.inflight, LatencyRatio: s.speed, Util: s.util, UtilAgeS: now - s.utilAt}
		for _, c := range g.classList {
			b.Suspicion = max(b.Suspicion, g.sickness(s, c))
		}
		list = append(list, b)
	}
	return list
}

// report takes in a load report.
func (g *Gateway) report(s *server, l *Load) {
	if l != nil && l.Util >= 0 {
		s.util, s.utilAt = l.Util, g.now
		g.spread(item{s.hash, loadItem, l.Util, g.now})
	}
}

// verdict is what quota and ceiling say of a first send.
type verdict int

const (
	deny verdict = iota
	pass
	wait // the owner is asked
)

// came counts what was left of the deadline when a try came, and returns its bin.
func (c *class) came(left float64) int {
	bin := int(min(max(left/c.DeadlineS, 0), 1)*(patienceBins-1) + 0.5)
	c.times[bin]++
	if c.times[bin] > c.times[c.usual] {
		c.usual = bin
	}
	return bin
}

// begin counts an attempt as out.
func (g *Gateway) begin(r *request, s *server) {
	s.inflight++
	g.out++
	r.out++
	g.sentAt, s.sentAt = g.now, g.now
	g.outBy(r, 1)
	r.attempts = append(r.attempts, attempt{srv: s, sentAt: g.now})
}

// ended finds the attempt and counts it as done; nil if there is none out.
func (g *Gateway) ended(o Outcome) (*request, *attempt) {
	r := g.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return nil, nil
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.srv.inflight--
	g.out--
	r.out--
	g.outBy(r, -1)
	return r, a
}

// late tells whether a message is older than one taken in already, or comes twice.
func (p *peer) late(boot uint8, seq uint16) bool {
	if boot == p.boot && p.seq != 0 && int16(seq-p.seq) <= 0 {
		return true
	}
	p.boot, p.seq = boot, seq
	return false
}
