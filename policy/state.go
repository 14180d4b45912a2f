package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// What a gateway keeps, and plain helpers. What is done with it is in policy.go.

type class struct {
	Class
	index int
	lat   float64 // mean latency of good answers
	base  float64 // the same when calm
	n     int
	// how often tries came with which share of the deadline, and the commonest
	times [patienceBins]int
	usual int
}

type plan struct {
	Plan
	index   int
	extra   bool    // beyond the quota earns more than it costs
	windowS float64 // burst over rate
}

type server struct {
	Server
	hash         uint16
	listed       bool
	inflight     int
	speed        float64 // latency against the class's mean
	sentAt       float64
	busy         float64 // mean attempts out here of late
	util, utilAt float64
	askedAt      float64 // last probe
	sick         []sick  // by class
	okAt         []float64
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

func (g *Gateway) newServer(id string) *server {
	s := &server{hash: uint16(hashOf(id)), speed: 1, utilAt: math.Inf(-1),
		sick: make([]sick, len(g.classList)), okAt: make([]float64, len(g.classList))}
	g.servers[id] = s
	if _, twice := g.byHash[s.hash]; twice {
		g.byHash[s.hash] = nil // two of the same hash: what is told of either is not used
	} else {
		g.byHash[s.hash] = s
	}
	return s
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
	slow      float64     // latency against the class's when calm
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
	h := fnv.New64a()
	h.Write([]byte(customer))
	return mix(h.Sum64())
}

// sameGroup tells whether two servers drop the repeats of the same key.
func sameGroup(scope Scope, a, b *server) bool {
	switch scope {
	case ScopeZone:
		return a.Zone == b.Zone
	case ScopeCell:
		return a.Zone == b.Zone && a.Cell == b.Cell
	}
	return true
}

// check tells what is wrong with the settings.
func check(s Settings, act Actions) error {
	switch {
	case act == nil:
		return fmt.Errorf("no actions given")
	case s.Gateways < 1:
		return fmt.Errorf("gateways is %d, want 1 at least", s.Gateways)
	case s.Me < 0 || s.Me >= s.Gateways:
		return fmt.Errorf("me is %d, want 0 to %d", s.Me, s.Gateways-1)
	case len(s.Classes) == 0:
		return fmt.Errorf("no classes given")
	case len(s.Plans) > 16:
		return fmt.Errorf("%d plans given, 16 at most", len(s.Plans))
	}
	for _, c := range s.Classes {
		if !(c.DeadlineS > 0) || !(c.AimS > 0) || c.Worth < 0 {
			return fmt.Errorf("class %q: aim and deadline must be above 0 and worth not below", c.Name)
		}
	}
	for _, p := range s.Plans {
		if p.Rate < 0 || p.Rate > 0 && p.Burst <= 0 || p.Parallel < 0 || p.CeilingRate < 0 || p.Price < 0 {
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
	if r.cust.out += n; r.plan.Parallel > 0 {
		g.note(r.cust, false)
	}
}

// tidy forgets a request that is over and has nothing out.
func (g *Gateway) tidy(r *request) {
	if r.over && r.out == 0 {
		delete(g.reqs, r.ID)
	}
}

func (g *Gateway) newCustomer(key uint32, p *plan) *customer {
	c := &customer{key: key, plan: p, room: p.Burst, roomAt: g.now, demandAt: g.now, usedAt: g.now,
		ceilAt: g.born, poolAt: g.born}
	g.custs[key] = c
	return c
}

// asked counts what the customer asks for here, passed or not.
func (g *Gateway) asked(c *customer, units float64) {
	c.demand, c.demandAt = g.demandNow(c)+units/demandTauS, g.now
}

func (g *Gateway) demandNow(c *customer) float64 {
	return c.demand * math.Exp((c.demandAt-g.now)/demandTauS)
}
