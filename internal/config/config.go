// Package config reads the settings of an instance from a file of S-expressions and checks them. What is
// wrong is told with file, line and field, and with what would be right. The file holds facts and wishes
// of the operator (addresses, plans, classes, the figures of the rules); no tuned value of a decision.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"cometpond/internal/sexp"
	"cometpond/policy"
)

// Bounds that the messages between instances set (policy/message.go, version 2).
const (
	mostUnits = 60
	mostBurst = 8000
	mostRate  = 16000
	mostPlans = 15
)

// Config is a whole settings file. Times are in the units that the fields say.
type Config struct {
	Self       int    // this instance's number
	Zone       string // this instance's room
	Listen     string // address for RESP clients
	EventLoops int    // event loops of the front, 0: by the machine
	Instances  []Instance
	PeerKey    []byte // 32 bytes that all instances share, nil with one instance

	Servers   []policy.Server // the list of boxes, where it stands in the file
	Discovery *Discovery      // or where it is pushed from

	Classes       []policy.Class
	Plans         []policy.Plan
	Commands      []Command
	ThrottleClass int // index of the class that CL.THROTTLE is asked in
	Clients       []Client

	GRPC         *GRPC // the gRPC front, nil for none
	Rules        Rules
	Front        FrontLimits
	Backend      Backend
	DrainTimeout time.Duration // after SIGTERM, for what is in flight
}

// Instance is one gateway of the fleet.
type Instance struct {
	Number      int
	PeerAddress string // UDP address for messages between instances
}

// Discovery is where the list of boxes is pushed from.
type Discovery struct {
	Servers   []string // host:port of EDS servers, in order of preference
	Cluster   string
	CachePath string // path of the last list on disk, "" to keep none
}

// Command maps a command of clients to a class.
type Command struct {
	Name       string // in upper case
	Class      int
	Arity      int // words with the name; below 0: at least so many
	Units      int // units that one counts, where UnitsAt is 0
	UnitsIndex int // the word that holds the units, 0: none
	KeyIndex   int // the word that holds the submission key, 0: none
}

// Client is a customer that may come in.
type Client struct {
	Name       string
	Plan       int
	SecretHash [sha256.Size]byte // hash of the secret
}

// Rules are the figures of the five rules, in seconds where they are times.
type Rules struct {
	AnswerSlackS, ColdStartShare, ColdPeriodS, OverloadMultiple, OverloadWindowS float64
}

// FrontLimits bounds what clients may take up.
type FrontLimits struct {
	MaxConnections   int           // open at once
	MaxArgumentBytes int           // bytes of one argument
	MaxPipelined     int           // commands of one connection under way
	MaxUnreadBytes   int           // bytes that a client leaves unread
	MaxInputBytes    int           // bytes of unfinished commands that all connections hold beyond 16 kB each
	PartialTimeout   time.Duration // for a command to come in whole, and to authenticate
}

// GRPC is the gRPC front.
type GRPC struct {
	Listen                                 string
	CertificateFile, KeyFile, ClientCAFile string // PEM files: TLS, and mutual TLS where CAs stands; "" for none
	MaxConnections                         int    // open at once; one more is closed
	MaxStreams                             int    // calls and streams open on one connection
	MaxStreamRequests                      int    // requests under way on one Stream
	MaxMessageBytes                        int    // bytes of one message
	Domains                                []Domain
}

// Domain maps the descriptors of callers such as Envoy to customers.
type Domain struct {
	Name           string
	SecretHash     [sha256.Size]byte // hash of what its callers present
	Descriptors    []Descriptor      // the first that matches counts
	AllowUnmatched bool              // what an unmatched descriptor is answered
}

// Descriptor matches one that holds all Entries and a known customer.
type Descriptor struct {
	Entries     [][2]string // key and value; "" for any value
	CustomerKey string      // the key whose value is the customer
	Class       int
	Units       int // that one hit counts
}

// Backend is how boxes are reached.
type Backend struct {
	MaxConnections   int           // to one box at once
	MaxPipelined     int           // attempts on one of them at once
	ConnectTimeout   time.Duration // until a connection stands
	LoadSource       string        // "probe", "answer" or "none"
	MaxAttempts      int           // of one request at most
	ParallelAttempts bool          // two of them at once, where the class allows it
}

// Load reads and checks a file. The error names file, line and field.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse is Load for a text; path is used in errors.
func Parse(path, text string) (*Config, error) {
	f, err := sexp.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Config{DrainTimeout: 10 * time.Second, ThrottleClass: -1,
		Rules: Rules{AnswerSlackS: 0.01, ColdStartShare: 0.2, ColdPeriodS: 15, OverloadMultiple: 2, OverloadWindowS: 1.5},
		Front: FrontLimits{MaxConnections: 20000, MaxArgumentBytes: 512 << 10, MaxPipelined: 4096, MaxUnreadBytes: 4 << 20, MaxInputBytes: 64 << 20,
			PartialTimeout: 10 * time.Second},
		Backend: Backend{MaxConnections: 16, MaxPipelined: 8, ConnectTimeout: 250 * time.Millisecond, LoadSource: "probe", MaxAttempts: 3,
			ParallelAttempts: true},
	}
	r := &sexp.Reader{}
	c.read(r, f)
	if r.Err != nil {
		return nil, fmt.Errorf("settings: %w", r.Err)
	}
	return c, nil
}

// read takes in the file: what other parts refer to by name comes first, wherever it stands.
func (cfg *Config) read(r *sexp.Reader, f *sexp.File) {
	order := []string{"ingress", "instances", "classes", "plans", "rules", "front", "backend", "boxes", "discovery",
		"commands", "clients", "grpc"}
	top := &sexp.Node{}
	if len(f.Forms) > 0 {
		top = f.Forms[0]
	}
	var known []sexp.Field
	found := map[string]*sexp.Node{}
	for _, name := range order {
		known = append(known, sexp.Field{Name: name, Required: name == "ingress" || name == "classes" || name == "plans",
			Read: func(_ *sexp.Reader, n *sexp.Node) { found[name] = n }})
	}
	r.Fields(top, "file", f.Forms, known)
	for _, name := range order {
		if n := found[name]; n != nil && r.Err == nil {
			cfg.section(r, name, n)
		}
	}
	if r.Err == nil {
		cfg.whole(r, found)
	}
}

func (cfg *Config) section(r *sexp.Reader, name string, n *sexp.Node) {
	switch name {
	case "ingress":
		r.Fields(n, name, n.Args(), []sexp.Field{
			sexp.IntField("me", true, &cfg.Self, 0, 1023), sexp.NameField("zone", true, &cfg.Zone), addressField("listen", true, &cfg.Listen),
			sexp.IntField("loops", false, &cfg.EventLoops, 1, 64), sexp.DurationField("drain", false, &cfg.DrainTimeout, 0, 5*time.Minute)})
	case "instances":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "instance", Required: true, Repeatable: true, Read: cfg.instance}, {Name: "key", Read: cfg.peerKey}})
	case "classes":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "class", Required: true, Repeatable: true, Read: cfg.class}})
	case "plans":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "plan", Required: true, Repeatable: true, Read: cfg.plan}})
	case "rules":
		r.Fields(n, name, n.Args(), []sexp.Field{
			sexp.SecondsField("answer-slack", false, &cfg.Rules.AnswerSlackS, 0, time.Second),
			sexp.NumberField("cold-from", false, &cfg.Rules.ColdStartShare, 0, 1), sexp.SecondsField("cold", false, &cfg.Rules.ColdPeriodS, 0, time.Hour),
			sexp.NumberField("fall-multiple", false, &cfg.Rules.OverloadMultiple, 1, 100),
			sexp.SecondsField("fall", false, &cfg.Rules.OverloadWindowS, 0, time.Minute)})
	case "front":
		r.Fields(n, name, n.Args(), []sexp.Field{
			sexp.IntField("connections", false, &cfg.Front.MaxConnections, 1, 1<<20), sexp.IntField("bulk", false, &cfg.Front.MaxArgumentBytes, 64, 64<<20),
			sexp.IntField("pipeline", false, &cfg.Front.MaxPipelined, 1, 1<<16), sexp.IntField("output", false, &cfg.Front.MaxUnreadBytes, 1<<10, 1<<30),
			sexp.IntField("input", false, &cfg.Front.MaxInputBytes, 1<<20, 1<<34),
			sexp.DurationField("partial", false, &cfg.Front.PartialTimeout, 100*time.Millisecond, time.Hour)})
	case "backend":
		loads := []string{"probe", "answer", "none"}
		yes := 1
		r.Fields(n, name, n.Args(), []sexp.Field{
			sexp.IntField("connections", false, &cfg.Backend.MaxConnections, 1, 1024), sexp.IntField("pipeline", false, &cfg.Backend.MaxPipelined, 1, 1024),
			sexp.DurationField("connect", false, &cfg.Backend.ConnectTimeout, time.Millisecond, time.Minute),
			sexp.ChoiceField("load", false, &cfg.Backend.LoadSource, loads, loads),
			sexp.IntField("attempts", false, &cfg.Backend.MaxAttempts, 1, 16),
			sexp.ChoiceField("parallel", false, &yes, []string{"yes", "no"}, []int{1, 0})})
		cfg.Backend.ParallelAttempts = yes == 1
	case "grpc":
		cfg.grpc(r, n)
	case "boxes":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "box", Required: true, Repeatable: true, Read: cfg.box}})
	case "discovery":
		d := &Discovery{}
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "server", Required: true, Repeatable: true, Read: func(r *sexp.Reader, n *sexp.Node) {
			d.Servers = append(d.Servers, address(r, r.SingleArg(n, "ADDRESS"), "server"))
		}}, sexp.NameField("cluster", true, &d.Cluster), sexp.NameField("keep", false, &d.CachePath)})
		cfg.Discovery = d
	case "commands":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "command", Repeatable: true, Read: cfg.command}, {Name: "throttle", Read: func(r *sexp.Reader, n *sexp.Node) {
			r.Fields(n, "throttle", n.Args(), []sexp.Field{{Name: "class", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) {
				cfg.ThrottleClass = cfg.classOf(r, r.SingleArg(n, "CLASS"))
			}}})
		}}})
	case "clients":
		r.Fields(n, name, n.Args(), []sexp.Field{{Name: "client", Required: true, Repeatable: true, Read: cfg.client()}})
	}
}

func address(r *sexp.Reader, n *sexp.Node, field string) string {
	a := r.Name(n, field)
	if host, port, err := net.SplitHostPort(a); err != nil || port == "" || host == "" {
		r.Fail(n, field, "%s is no address, want host:port, as \"127.0.0.1:7379\"", n)
	}
	return a
}

func addressField(name string, required bool, to *string) sexp.Field {
	return sexp.Field{Name: name, Required: required,
		Read: func(r *sexp.Reader, n *sexp.Node) { *to = address(r, r.SingleArg(n, "ADDRESS"), name) }}
}

func (cfg *Config) instance(r *sexp.Reader, n *sexp.Node) {
	a := n.Args()
	if len(a) != 2 {
		r.Fail(n, "instance", "holds %d values, want (instance NUMBER PEER-ADDRESS)", len(a))
		return
	}
	i := Instance{r.Int(a[0], "instance", 0, 1023), address(r, a[1], "instance")}
	if i.Number != len(cfg.Instances) {
		r.Fail(a[0], "instance", "number %d, want %d: instances are numbered from 0, in order", i.Number, len(cfg.Instances))
	}
	cfg.Instances = append(cfg.Instances, i)
}

func (cfg *Config) peerKey(r *sexp.Reader, n *sexp.Node) {
	a := r.SingleArg(n, "HEX")
	key, err := hex.DecodeString(strings.TrimSpace(r.Name(a, "key")))
	if r.Err == nil && (err != nil || len(key) != 32) {
		r.Fail(a, "key", "want 64 hex digits, as `openssl rand -hex 32` prints them")
	}
	cfg.PeerKey = key
}

func (cfg *Config) class(r *sexp.Reader, n *sexp.Node) {
	k := policy.Class{Value: 1}
	name, rest := r.NameAndArgs(n)
	k.Name = name
	r.Fields(n, "class "+name, rest, []sexp.Field{
		sexp.SecondsField("aim", true, &k.TargetLatencyS, time.Millisecond, time.Hour),
		sexp.SecondsField("deadline", true, &k.DeadlineS, time.Millisecond, time.Hour),
		sexp.NumberField("worth", false, &k.Value, 0, 1e6), sexp.NumberField("late-worth", false, &k.LateValueShare, 0, 1),
		sexp.ChoiceField("effect", true, &k.Effect, []string{"safe", "keyed", "unsafe"},
			[]policy.Effect{policy.Safe, policy.Keyed, policy.Unsafe}),
		sexp.ChoiceField("key-scope", false, &k.KeyScope, []string{"all", "zone", "cell"},
			[]policy.KeyScope{policy.ScopeAll, policy.ScopeZone, policy.ScopeCell}),
		sexp.SecondsField("key-ttl", false, &k.KeyTTLS, 0, time.Hour)})
	if k.TargetLatencyS > k.DeadlineS {
		r.Fail(n, "class "+name+" aim", "is after the deadline, want it no later")
	}
	if (k.Effect == policy.Keyed) != (k.KeyTTLS > 0) {
		r.Fail(n, "class "+name+" key-ttl", "goes with (effect keyed), want both or neither")
	}
	for _, o := range cfg.Classes {
		if o.Name == name {
			r.Fail(n, "class "+name, "given twice, want one class a name")
		}
	}
	cfg.Classes = append(cfg.Classes, k)
}

func (cfg *Config) plan(r *sexp.Reader, n *sexp.Node) {
	p := policy.Plan{ValueFactor: 1, ExcessCostShare: 1}
	name, rest := r.NameAndArgs(n)
	p.Name = name
	where := "plan " + name
	r.Fields(n, where, rest, []sexp.Field{
		sexp.NumberField("rate", false, &p.Rate, 0.001, mostRate), sexp.NumberField("burst", false, &p.Burst, 1, mostBurst),
		sexp.IntField("parallel", false, &p.MaxParallel, 1, 65000), sexp.NumberField("price", false, &p.ValueFactor, 0, 1e6),
		sexp.NumberField("excess-cost", false, &p.ExcessCostShare, 0, 100), sexp.NumberField("extra-worth", false, &p.ExtraValueShare, 0, 1),
		{Name: "ceiling", Read: func(r *sexp.Reader, n *sexp.Node) {
			r.Fields(n, where+" ceiling", n.Args(), []sexp.Field{sexp.NumberField("rate", true, &p.CeilingRate, 0.001, mostRate),
				sexp.NumberField("burst", true, &p.CeilingBurst, 1, mostBurst), sexp.NumberField("slack", false, &p.CeilingSlack, 0, mostBurst)})
		}}})
	if p.Rate > 0 && p.Burst == 0 || p.Rate == 0 && p.Burst > 0 {
		r.Fail(n, where, "want (rate ..) and (burst ..) together, or neither")
	}
	if p.CeilingRate > 0 && p.CeilingRate < p.Rate {
		r.Fail(n, where+" ceiling", "rate %g is below the plan's %g, want it no less", p.CeilingRate, p.Rate)
	}
	if len(cfg.Plans) == mostPlans {
		r.Fail(n, where, "is one too many, want %d plans at most", mostPlans)
	}
	for _, o := range cfg.Plans {
		if o.Name == name {
			r.Fail(n, where, "given twice, want one plan a name")
		}
	}
	cfg.Plans = append(cfg.Plans, p)
}

func (cfg *Config) box(r *sexp.Reader, n *sexp.Node) {
	s := policy.Server{Weight: 1}
	if len(n.Args()) == 0 {
		r.Fail(n, "box", "holds nothing, want (box ADDRESS (zone NAME) ..)")
		return
	}
	s.ID = address(r, n.Args()[0], "box")
	where := "box " + s.ID
	r.Fields(n, where, n.Args()[1:], []sexp.Field{sexp.NameField("zone", true, &s.Zone), sexp.IntField("cell", false, &s.Cell, 0, 1<<20),
		sexp.NumberField("weight", false, &s.Weight, 0.001, 1e6),
		sexp.ChoiceField("state", false, &s.State, []string{"up", "draining"}, []policy.ServerState{policy.Up, policy.Draining})})
	for _, o := range cfg.Servers {
		if o.ID == s.ID {
			r.Fail(n, where, "given twice, want each address once")
		}
	}
	cfg.Servers = append(cfg.Servers, s)
}

func (cfg *Config) classOf(r *sexp.Reader, n *sexp.Node) int {
	return index(r, n, "class", cfg.Classes, func(k policy.Class) string { return k.Name })
}

func (cfg *Config) planOf(r *sexp.Reader, n *sexp.Node) int {
	return index(r, n, "plan", cfg.Plans, func(p policy.Plan) string { return p.Name })
}

// index finds what a name refers to among things that were read before.
func index[T any](r *sexp.Reader, n *sexp.Node, field string, list []T, nameOf func(T) string) int {
	name := r.Name(n, field)
	var names []string
	for i, x := range list {
		if nameOf(x) == name {
			return i
		}
		names = append(names, nameOf(x))
	}
	r.Fail(n, field, "%s is not known, want %s", n, strings.Join(names, " or "))
	return 0
}

func (cfg *Config) command(r *sexp.Reader, n *sexp.Node) {
	k := Command{Units: 1, Class: -1}
	name, rest := r.NameAndArgs(n)
	k.Name = strings.ToUpper(name)
	where := "command " + name
	r.Fields(n, where, rest, []sexp.Field{
		{Name: "class", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) { k.Class = cfg.classOf(r, r.SingleArg(n, "CLASS")) }},
		sexp.IntField("arity", true, &k.Arity, -64, 64), sexp.IntField("units", false, &k.Units, 1, mostUnits),
		sexp.IntField("units-at", false, &k.UnitsIndex, 1, 63), sexp.IntField("key-at", false, &k.KeyIndex, 1, 63)})
	least := max(k.Arity, -k.Arity)
	switch {
	case r.Err != nil:
	case least == 0:
		r.Fail(n, where+" arity", "is 0, want the number of words with the name, or less than 0 for at least so many")
	case k.UnitsIndex >= least || k.KeyIndex >= least:
		r.Fail(n, where, "units-at and key-at must name a word that always comes, want below %d", least)
	case (cfg.Classes[k.Class].Effect == policy.Keyed) != (k.KeyIndex > 0):
		r.Fail(n, where+" key-at", "goes with a class of (effect keyed), want both or neither")
	}
	for _, o := range cfg.Commands {
		if o.Name == k.Name {
			r.Fail(n, where, "given twice, want each name once")
		}
	}
	cfg.Commands = append(cfg.Commands, k)
}

// client returns the reader of clients, which finds names that come twice.
func (cfg *Config) client() func(r *sexp.Reader, n *sexp.Node) {
	seen := map[string]bool{}
	return func(r *sexp.Reader, n *sexp.Node) {
		k := Client{Plan: -1}
		name, rest := r.NameAndArgs(n)
		k.Name = name
		where := "client " + name
		r.Fields(n, where, rest, []sexp.Field{
			{Name: "plan", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) { k.Plan = cfg.planOf(r, r.SingleArg(n, "PLAN")) }},
			{Name: "secret-sha256", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) { k.SecretHash = secret(r, n) }}})
		if seen[name] {
			r.Fail(n, where, "given twice, want each name once")
		}
		if strings.ContainsAny(name, " \t\r\n") {
			r.Fail(n, where, "holds white space, want a name without")
		}
		seen[name] = true
		cfg.Clients = append(cfg.Clients, k)
	}
}

func (cfg *Config) grpc(r *sexp.Reader, n *sexp.Node) {
	g := &GRPC{MaxConnections: 10000, MaxStreams: 1000, MaxStreamRequests: 256, MaxMessageBytes: 1 << 20}
	r.Fields(n, "grpc", n.Args(), []sexp.Field{
		addressField("listen", true, &g.Listen),
		sexp.IntField("connections", false, &g.MaxConnections, 1, 1<<20),
		sexp.IntField("streams", false, &g.MaxStreams, 1, 1<<20), sexp.IntField("ahead", false, &g.MaxStreamRequests, 1, 1<<16),
		sexp.IntField("message", false, &g.MaxMessageBytes, 1<<10, 64<<20),
		{Name: "tls", Read: func(r *sexp.Reader, n *sexp.Node) {
			r.Fields(n, "grpc tls", n.Args(), []sexp.Field{sexp.NameField("certificate", true, &g.CertificateFile),
				sexp.NameField("key", true, &g.KeyFile), sexp.NameField("clients", false, &g.ClientCAFile)})
		}},
		{Name: "domain", Repeatable: true, Read: func(r *sexp.Reader, n *sexp.Node) {
			d := Domain{}
			name, rest := r.NameAndArgs(n)
			d.Name = name
			where := "domain " + name
			for _, o := range g.Domains {
				if o.Name == name {
					r.Fail(n, where, "given twice, want each name once")
				}
			}
			r.Fields(n, where, rest, []sexp.Field{
				{Name: "secret-sha256", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) { d.SecretHash = secret(r, n) }},
				sexp.ChoiceField("unmatched", true, &d.AllowUnmatched, []string{"allow", "refuse"}, []bool{true, false}),
				{Name: "descriptor", Required: true, Repeatable: true, Read: func(r *sexp.Reader, n *sexp.Node) {
					d.Descriptors = append(d.Descriptors, cfg.descriptor(r, n, where))
				}}})
			g.Domains = append(g.Domains, d)
		}}})
	cfg.GRPC = g
}

func (cfg *Config) descriptor(r *sexp.Reader, n *sexp.Node, where string) Descriptor {
	d := Descriptor{Units: 1}
	r.Fields(n, where+" descriptor", n.Args(), []sexp.Field{
		sexp.NameField("customer", true, &d.CustomerKey), sexp.IntField("units", false, &d.Units, 1, mostUnits),
		{Name: "class", Required: true, Read: func(r *sexp.Reader, n *sexp.Node) { d.Class = cfg.classOf(r, r.SingleArg(n, "CLASS")) }},
		{Name: "entry", Repeatable: true, Read: func(r *sexp.Reader, n *sexp.Node) {
			a := n.Args()
			if len(a) != 1 && len(a) != 2 {
				r.Fail(n, "entry", "holds %d values, want (entry KEY) or (entry KEY VALUE)", len(a))
				return
			}
			e := [2]string{r.Name(a[0], "entry")}
			if len(a) == 2 {
				e[1] = r.Name(a[1], "entry")
			}
			d.Entries = append(d.Entries, e)
		}}})
	return d
}

// secret reads the hash of a secret.
func secret(r *sexp.Reader, n *sexp.Node) (to [sha256.Size]byte) {
	a := r.SingleArg(n, "HEX")
	sum, err := hex.DecodeString(r.Name(a, n.Head()))
	if r.Err == nil && (err != nil || len(sum) != sha256.Size) {
		r.Fail(a, n.Head(), "want 64 hex digits, as `cometpond secret` prints them")
	}
	copy(to[:], sum)
	return to
}

// whole checks what several sections say together.
func (cfg *Config) whole(r *sexp.Reader, found map[string]*sexp.Node) {
	n := found["ingress"]
	if cfg.Servers == nil && cfg.Discovery == nil {
		r.Fail(n, "file", "no boxes, want (boxes ..) or (discovery ..)")
	}
	if cfg.Servers != nil && cfg.Discovery != nil {
		r.Fail(found["boxes"], "boxes", "stands beside (discovery ..), want one of them")
	}
	if len(cfg.Instances) == 0 && cfg.Self != 0 || len(cfg.Instances) > 0 && cfg.Self >= len(cfg.Instances) {
		r.Fail(n, "ingress me", "is %d, want the number of one of the %d instances", cfg.Self, max(1, len(cfg.Instances)))
	}
	if len(cfg.Instances) > 1 && cfg.PeerKey == nil {
		r.Fail(found["instances"], "instances", "(key ..) is missing: several instances share one to seal their messages")
	}
	if cfg.ThrottleClass < 0 { // the class worth most: nobody's dearer work is kept from limits
		cfg.ThrottleClass = 0
		for i, k := range cfg.Classes {
			if k.Value > cfg.Classes[cfg.ThrottleClass].Value {
				cfg.ThrottleClass = i
			}
		}
	}
}

// Settings are those of the decision module, for this instance.
func (cfg *Config) Settings() policy.Settings {
	units := 1
	for _, k := range cfg.Commands {
		units = max(units, k.Units)
		if k.UnitsIndex > 0 {
			units = mostUnits
		}
	}
	n := max(1, len(cfg.Instances))
	return policy.Settings{
		Self: cfg.Self, Gateways: n, Zone: cfg.Zone, Classes: cfg.Classes, Plans: cfg.Plans, MaxUnits: units,
		PeerMessagesPerS: 0, PeerMessages: n > 1, Probes: true, Cancel: true, ParallelAttempts: cfg.Backend.ParallelAttempts, RetryAfter: true,
		MaxAttempts: cfg.Backend.MaxAttempts, MaxRetryAfterS: 0.5,
		LoadFromProbes: cfg.Backend.LoadSource == "probe", LoadFromAnswers: cfg.Backend.LoadSource == "answer",
		AnswerSlackS: cfg.Rules.AnswerSlackS, ColdStartShare: cfg.Rules.ColdStartShare, ColdPeriodS: cfg.Rules.ColdPeriodS,
		OverloadMultiple: cfg.Rules.OverloadMultiple, OverloadWindowS: cfg.Rules.OverloadWindowS, TickS: 0.0005,
	}
}

// MaxUnits is the most units of one request (1 to it), as the messages between instances bear them.
func (cfg *Config) MaxUnits() int { return mostUnits }

// HashSecret is how a client's secret stands in the file.
func HashSecret(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }
