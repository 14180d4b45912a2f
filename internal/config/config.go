// Package config reads the settings of an instance from a file of S-expressions and validates them. Errors name file,
// line and field, and say what is expected. The file holds the operator's facts and requirements (addresses, plans,
// classes, the thresholds of the rules); the tuning constants of the policy module are not part of it.
//
// The keywords of the file are its outside names and stay as they are; the fields of the types here use the terms of
// the field. (box ..) is a back-end server, for example, and (aim ..) the target latency of a class.
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

// Limits set by the format of the messages between instances (policy/message.go, version 2).
const (
	maxUnits = 60
	maxBurst = 8000
	maxRate  = 16000
	maxPlans = 15
)

// Config holds the content of a settings file. Fields with the suffix S are in seconds.
type Config struct {
	Self       int    // this instance's number
	Zone       string // this instance's zone
	Listen     string // address for RESP clients
	EventLoops int    // event loops of the RESP front, 0: chosen by the number of CPUs
	Instances  []Instance
	PeerKey    []byte // 32 bytes that all instances share, nil with one instance

	Servers   []policy.Server // the list of servers, nil with discovery
	Discovery *Discovery      // where lists of servers come from, nil if the file holds the list

	Classes       []policy.Class
	Plans         []policy.Plan
	Commands      []Command
	ThrottleClass int // index of the class of CL.THROTTLE calls
	Clients       []Client

	GRPC         *GRPC // the gRPC front, nil for none
	Rules        Rules
	Front        FrontLimits
	Backend      Backend
	DrainTimeout time.Duration // how long requests in flight may take to finish after SIGTERM
}

// Instance is one gateway of the fleet.
type Instance struct {
	Number      int
	PeerAddress string // UDP address for messages between instances
}

// Discovery describes where lists of servers come from.
type Discovery struct {
	Servers   []string // host:port of EDS servers, in order of preference
	Cluster   string
	CachePath string // path of the file that keeps the last list, "" to keep none
}

// Command maps a command of clients to a class.
type Command struct {
	Name       string // in upper case
	Class      int
	Arity      int // number of words with the name; a negative one is a minimum
	Units      int // units of one request, used if UnitsIndex is 0
	UnitsIndex int // index of the word with the units, 0: none
	KeyIndex   int // index of the word with the submission key, 0: none
}

// Client is a customer that may log in.
type Client struct {
	Name       string
	Plan       int
	SecretHash [sha256.Size]byte
}

// Rules holds the thresholds of the five rules that the fleet keeps. Fields with the suffix S are in seconds.
//
// A server that has started recently is cold: it has at least ColdStartShare of its full capacity at the start, and all
// of it after ColdPeriodS. The load sent to a cold server is limited over each window of OverloadWindowS.
type Rules struct {
	AnswerSlackS, ColdStartShare, ColdPeriodS, OverloadMultiple, OverloadWindowS float64
}

// FrontLimits limits the resources that clients of the RESP front may use.
type FrontLimits struct {
	MaxConnections   int           // open connections
	MaxArgumentBytes int           // size of one argument
	MaxPipelined     int           // commands of one connection in progress
	MaxUnreadBytes   int           // output that a client has not read
	MaxInputBytes    int           // unfinished commands of all connections together, beyond 16 kB each
	PartialTimeout   time.Duration // to receive a command completely, and to authenticate
	ReadBytes        int           // size of one read, which arrives before any limit can be applied; 0: 16 kB
	// InputWait is how long a command waits for input memory, and how long one may take to arrive whose memory another one
	// needs. Beyond it the command is refused. 0: no limit.
	InputWait time.Duration
}

// GRPC holds the settings of the gRPC front.
type GRPC struct {
	Listen                                 string
	CertificateFile, KeyFile, ClientCAFile string // PEM files for TLS; ClientCAFile adds mutual TLS; "" for none
	MaxConnections                         int    // open connections; further ones are closed
	MaxStreams                             int    // calls and streams open on one connection
	MaxStreamRequests                      int    // requests in progress on one Stream
	MaxMessageBytes                        int    // size of one message
	Domains                                []Domain
}

// Domain maps the descriptors of callers such as Envoy to customers.
type Domain struct {
	Name           string
	SecretHash     [sha256.Size]byte // hash of the secret that callers present
	Descriptors    []Descriptor      // the first match applies
	AllowUnmatched bool              // whether a descriptor without a match is allowed
}

// Descriptor matches a request's descriptor that holds all Entries and a known customer.
type Descriptor struct {
	Entries     [][2]string // key and value; "" for any value
	CustomerKey string      // the key whose value is the customer
	Class       int
	Units       int // units of one hit
}

// Backend says how servers are reached.
type Backend struct {
	MaxConnections   int           // connections to one server
	MaxPipelined     int           // attempts in flight on one connection
	ConnectTimeout   time.Duration // for a connection to be established
	LoadSource       string        // where load reports come from: "probe", "answer" or "none"
	MaxAttempts      int           // attempts of one request
	ParallelAttempts bool          // whether a request may have two attempts in flight, where its class allows it
}

// Load reads and validates a settings file. The error names file, line and field.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse does the same as Load for a text; path is used in errors.
func Parse(path, text string) (*Config, error) {
	file, err := sexp.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	cfg := &Config{DrainTimeout: 10 * time.Second, ThrottleClass: -1,
		Rules: Rules{AnswerSlackS: 0.01, ColdStartShare: 0.2, ColdPeriodS: 15, OverloadMultiple: 2, OverloadWindowS: 1.5},
		Front: FrontLimits{MaxConnections: 20000, MaxArgumentBytes: 512 << 10, MaxPipelined: 4096,
			MaxUnreadBytes: 4 << 20, MaxInputBytes: 64 << 20, PartialTimeout: 10 * time.Second, InputWait: time.Second},
		Backend: Backend{MaxConnections: 16, MaxPipelined: 8, ConnectTimeout: 250 * time.Millisecond,
			LoadSource: "probe", MaxAttempts: 3, ParallelAttempts: true},
	}
	reader := &sexp.Reader{}
	cfg.read(reader, file)
	if reader.Err != nil {
		return nil, fmt.Errorf("settings: %w", reader.Err)
	}
	return cfg, nil
}

// read reads the sections in order of their dependencies, whatever their order in the file: sections that others
// refer to by name come first.
func (cfg *Config) read(reader *sexp.Reader, file *sexp.File) {
	order := []string{"ingress", "instances", "classes", "plans", "rules", "front", "backend", "boxes", "discovery",
		"commands", "clients", "grpc"}
	top := &sexp.Node{}
	if len(file.Forms) > 0 {
		top = file.Forms[0]
	}
	var known []sexp.Field
	found := map[string]*sexp.Node{}
	for _, name := range order {
		known = append(known, sexp.Field{Name: name, Required: name == "ingress" || name == "classes" || name == "plans",
			Read: func(_ *sexp.Reader, node *sexp.Node) { found[name] = node }})
	}
	reader.Fields(top, "file", file.Forms, known)
	for _, name := range order {
		if node := found[name]; node != nil && reader.Err == nil {
			cfg.readSection(reader, name, node)
		}
	}
	if reader.Err == nil {
		cfg.checkConsistency(reader, found)
	}
}

// readSection reads the fields of one section.
func (cfg *Config) readSection(reader *sexp.Reader, name string, node *sexp.Node) {
	switch name {
	case "ingress":
		reader.Fields(node, name, node.Args(), []sexp.Field{
			sexp.IntField("me", true, &cfg.Self, 0, 1023), sexp.NameField("zone", true, &cfg.Zone),
			addressField("listen", true, &cfg.Listen),
			sexp.IntField("loops", false, &cfg.EventLoops, 1, 64),
			sexp.DurationField("drain", false, &cfg.DrainTimeout, 0, 5*time.Minute)})
	case "instances":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "instance", Required: true, Repeatable: true,
			Read: cfg.readInstance}, {Name: "key", Read: cfg.readPeerKey}})
	case "classes":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "class", Required: true, Repeatable: true, Read: cfg.readClass}})
	case "plans":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "plan", Required: true, Repeatable: true, Read: cfg.readPlan}})
	case "rules":
		reader.Fields(node, name, node.Args(), []sexp.Field{
			sexp.SecondsField("answer-slack", false, &cfg.Rules.AnswerSlackS, 0, time.Second),
			sexp.NumberField("cold-from", false, &cfg.Rules.ColdStartShare, 0, 1),
			sexp.SecondsField("cold", false, &cfg.Rules.ColdPeriodS, 0, time.Hour),
			sexp.NumberField("fall-multiple", false, &cfg.Rules.OverloadMultiple, 1, 100),
			sexp.SecondsField("fall", false, &cfg.Rules.OverloadWindowS, 0, time.Minute)})
	case "front":
		reader.Fields(node, name, node.Args(), []sexp.Field{
			sexp.IntField("connections", false, &cfg.Front.MaxConnections, 1, 1<<20),
			sexp.IntField("bulk", false, &cfg.Front.MaxArgumentBytes, 64, 64<<20),
			sexp.IntField("pipeline", false, &cfg.Front.MaxPipelined, 1, 1<<16),
			sexp.IntField("output", false, &cfg.Front.MaxUnreadBytes, 1<<10, 1<<30),
			sexp.IntField("input", false, &cfg.Front.MaxInputBytes, 1<<20, 1<<34),
			sexp.DurationField("partial", false, &cfg.Front.PartialTimeout, 100*time.Millisecond, time.Hour)})
	case "backend":
		loads := []string{"probe", "answer", "none"}
		yes := 1
		reader.Fields(node, name, node.Args(), []sexp.Field{
			sexp.IntField("connections", false, &cfg.Backend.MaxConnections, 1, 1024),
			sexp.IntField("pipeline", false, &cfg.Backend.MaxPipelined, 1, 1024),
			sexp.DurationField("connect", false, &cfg.Backend.ConnectTimeout, time.Millisecond, time.Minute),
			sexp.ChoiceField("load", false, &cfg.Backend.LoadSource, loads, loads),
			sexp.IntField("attempts", false, &cfg.Backend.MaxAttempts, 1, 16),
			sexp.ChoiceField("parallel", false, &yes, []string{"yes", "no"}, []int{1, 0})})
		cfg.Backend.ParallelAttempts = yes == 1
	case "grpc":
		cfg.readGRPC(reader, node)
	case "boxes":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "box", Required: true, Repeatable: true, Read: cfg.readServer}})
	case "discovery":
		discovery := &Discovery{}
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "server", Required: true, Repeatable: true,
			Read: func(reader *sexp.Reader, node *sexp.Node) {
				discovery.Servers = append(discovery.Servers, readAddress(reader, reader.SingleArg(node, "ADDRESS"), "server"))
			}}, sexp.NameField("cluster", true, &discovery.Cluster), sexp.NameField("keep", false, &discovery.CachePath)})
		cfg.Discovery = discovery
	case "commands":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "command", Repeatable: true, Read: cfg.readCommand},
			{Name: "throttle", Read: func(reader *sexp.Reader, node *sexp.Node) {
				reader.Fields(node, "throttle", node.Args(), []sexp.Field{{Name: "class", Required: true,
					Read: func(reader *sexp.Reader, node *sexp.Node) {
						cfg.ThrottleClass = cfg.classIndex(reader, reader.SingleArg(node, "CLASS"))
					}}})
			}}})
	case "clients":
		reader.Fields(node, name, node.Args(), []sexp.Field{{Name: "client", Required: true, Repeatable: true,
			Read: cfg.clientReader()}})
	}
}

// readAddress reads an address of the form host:port.
func readAddress(reader *sexp.Reader, node *sexp.Node, field string) string {
	address := reader.Name(node, field)
	if host, port, err := net.SplitHostPort(address); err != nil || port == "" || host == "" {
		reader.Fail(node, field, "%s is no address, want host:port, as \"127.0.0.1:7379\"", node)
	}
	return address
}

// addressField is a field that holds an address of the form host:port.
func addressField(name string, required bool, to *string) sexp.Field {
	return sexp.Field{Name: name, Required: required,
		Read: func(r *sexp.Reader, n *sexp.Node) { *to = readAddress(r, r.SingleArg(n, "ADDRESS"), name) }}
}

func (cfg *Config) readInstance(reader *sexp.Reader, node *sexp.Node) {
	args := node.Args()
	if len(args) != 2 {
		reader.Fail(node, "instance", "holds %d values, want (instance NUMBER PEER-ADDRESS)", len(args))
		return
	}
	instance := Instance{reader.Int(args[0], "instance", 0, 1023), readAddress(reader, args[1], "instance")}
	if instance.Number != len(cfg.Instances) {
		reader.Fail(args[0], "instance", "number %d, want %d: instances are numbered from 0, in order",
			instance.Number, len(cfg.Instances))
	}
	cfg.Instances = append(cfg.Instances, instance)
}

func (cfg *Config) readPeerKey(reader *sexp.Reader, node *sexp.Node) {
	arg := reader.SingleArg(node, "HEX")
	key, err := hex.DecodeString(strings.TrimSpace(reader.Name(arg, "key")))
	if reader.Err == nil && (err != nil || len(key) != 32) {
		reader.Fail(arg, "key", "want 64 hex digits, as `openssl rand -hex 32` prints them")
	}
	cfg.PeerKey = key
}

func (cfg *Config) readClass(reader *sexp.Reader, node *sexp.Node) {
	class := policy.Class{Value: 1}
	name, rest := reader.NameAndArgs(node)
	class.Name = name
	reader.Fields(node, "class "+name, rest, []sexp.Field{
		sexp.SecondsField("aim", true, &class.TargetLatencyS, time.Millisecond, time.Hour),
		sexp.SecondsField("deadline", true, &class.DeadlineS, time.Millisecond, time.Hour),
		sexp.NumberField("worth", false, &class.Value, 0, 1e6), sexp.NumberField("late-worth", false, &class.LateValueShare, 0, 1),
		sexp.ChoiceField("effect", true, &class.Effect, []string{"safe", "keyed", "unsafe"},
			[]policy.Effect{policy.Safe, policy.Keyed, policy.Unsafe}),
		sexp.ChoiceField("key-scope", false, &class.KeyScope, []string{"all", "zone", "cell"},
			[]policy.KeyScope{policy.ScopeAll, policy.ScopeZone, policy.ScopeCell}),
		sexp.SecondsField("key-ttl", false, &class.KeyTTLS, 0, time.Hour)})
	if class.TargetLatencyS > class.DeadlineS {
		reader.Fail(node, "class "+name+" aim", "is after the deadline, want it no later")
	}
	if (class.Effect == policy.Keyed) != (class.KeyTTLS > 0) {
		reader.Fail(node, "class "+name+" key-ttl", "goes with (effect keyed), want both or neither")
	}
	for _, other := range cfg.Classes {
		if other.Name == name {
			reader.Fail(node, "class "+name, "given twice, want one class a name")
		}
	}
	cfg.Classes = append(cfg.Classes, class)
}

func (cfg *Config) readPlan(reader *sexp.Reader, node *sexp.Node) {
	plan := policy.Plan{ValueFactor: 1, ExcessCostShare: 1}
	name, rest := reader.NameAndArgs(node)
	plan.Name = name
	where := "plan " + name
	reader.Fields(node, where, rest, []sexp.Field{
		sexp.NumberField("rate", false, &plan.Rate, 0.001, maxRate), sexp.NumberField("burst", false, &plan.Burst, 1, maxBurst),
		sexp.IntField("parallel", false, &plan.MaxParallel, 1, 65000), sexp.NumberField("price", false, &plan.ValueFactor, 0, 1e6),
		sexp.NumberField("excess-cost", false, &plan.ExcessCostShare, 0, 100),
		sexp.NumberField("extra-worth", false, &plan.ExtraValueShare, 0, 1),
		{Name: "ceiling", Read: func(reader *sexp.Reader, node *sexp.Node) {
			reader.Fields(node, where+" ceiling", node.Args(), []sexp.Field{
				sexp.NumberField("rate", true, &plan.CeilingRate, 0.001, maxRate),
				sexp.NumberField("burst", true, &plan.CeilingBurst, 1, maxBurst),
				sexp.NumberField("slack", false, &plan.CeilingSlack, 0, maxBurst)})
		}}})
	if plan.Rate > 0 && plan.Burst == 0 || plan.Rate == 0 && plan.Burst > 0 {
		reader.Fail(node, where, "want (rate ..) and (burst ..) together, or neither")
	}
	if plan.CeilingRate > 0 && plan.CeilingRate < plan.Rate {
		reader.Fail(node, where+" ceiling", "rate %g is below the plan's %g, want it no less", plan.CeilingRate, plan.Rate)
	}
	if len(cfg.Plans) == maxPlans {
		reader.Fail(node, where, "is one too many, want %d plans at most", maxPlans)
	}
	for _, other := range cfg.Plans {
		if other.Name == name {
			reader.Fail(node, where, "given twice, want one plan a name")
		}
	}
	cfg.Plans = append(cfg.Plans, plan)
}

func (cfg *Config) readServer(reader *sexp.Reader, node *sexp.Node) {
	server := policy.Server{Weight: 1}
	if len(node.Args()) == 0 {
		reader.Fail(node, "box", "holds nothing, want (box ADDRESS (zone NAME) ..)")
		return
	}
	server.ID = readAddress(reader, node.Args()[0], "box")
	where := "box " + server.ID
	reader.Fields(node, where, node.Args()[1:], []sexp.Field{sexp.NameField("zone", true, &server.Zone),
		sexp.IntField("cell", false, &server.Cell, 0, 1<<20),
		sexp.NumberField("weight", false, &server.Weight, 0.001, 1e6),
		sexp.ChoiceField("state", false, &server.State, []string{"up", "draining"}, []policy.ServerState{policy.Up, policy.Draining})})
	for _, other := range cfg.Servers {
		if other.ID == server.ID {
			reader.Fail(node, where, "given twice, want each address once")
		}
	}
	cfg.Servers = append(cfg.Servers, server)
}

// classIndex returns the index of the class that node names.
func (cfg *Config) classIndex(reader *sexp.Reader, node *sexp.Node) int {
	return indexByName(reader, node, "class", cfg.Classes, func(k policy.Class) string { return k.Name })
}

// planIndex returns the index of the plan that node names.
func (cfg *Config) planIndex(reader *sexp.Reader, node *sexp.Node) int {
	return indexByName(reader, node, "plan", cfg.Plans, func(p policy.Plan) string { return p.Name })
}

// indexByName returns the index of the item that a name refers to among the items read before.
func indexByName[T any](reader *sexp.Reader, node *sexp.Node, field string, list []T, nameOf func(T) string) int {
	name := reader.Name(node, field)
	var names []string
	for i, x := range list {
		if nameOf(x) == name {
			return i
		}
		names = append(names, nameOf(x))
	}
	reader.Fail(node, field, "%s is not known, want %s", node, strings.Join(names, " or "))
	return 0
}

func (cfg *Config) readCommand(reader *sexp.Reader, node *sexp.Node) {
	command := Command{Units: 1, Class: -1}
	name, rest := reader.NameAndArgs(node)
	command.Name = strings.ToUpper(name)
	where := "command " + name
	reader.Fields(node, where, rest, []sexp.Field{
		{Name: "class", Required: true,
			Read: func(r *sexp.Reader, n *sexp.Node) { command.Class = cfg.classIndex(r, r.SingleArg(n, "CLASS")) }},
		sexp.IntField("arity", true, &command.Arity, -64, 64), sexp.IntField("units", false, &command.Units, 1, maxUnits),
		sexp.IntField("units-at", false, &command.UnitsIndex, 1, 63), sexp.IntField("key-at", false, &command.KeyIndex, 1, 63)})
	minWords := max(command.Arity, -command.Arity)
	switch {
	case reader.Err != nil:
	case minWords == 0:
		reader.Fail(node, where+" arity", "is 0, want the number of words with the name, or less than 0 for at least so many")
	case command.UnitsIndex >= minWords || command.KeyIndex >= minWords:
		reader.Fail(node, where, "units-at and key-at must name a word that always comes, want below %d", minWords)
	case (cfg.Classes[command.Class].Effect == policy.Keyed) != (command.KeyIndex > 0):
		reader.Fail(node, where+" key-at", "goes with a class of (effect keyed), want both or neither")
	}
	for _, other := range cfg.Commands {
		if other.Name == command.Name {
			reader.Fail(node, where, "given twice, want each name once")
		}
	}
	cfg.Commands = append(cfg.Commands, command)
}

// clientReader returns a function that reads one client and rejects duplicate names.
func (cfg *Config) clientReader() func(reader *sexp.Reader, node *sexp.Node) {
	seen := map[string]bool{}
	return func(reader *sexp.Reader, node *sexp.Node) {
		client := Client{Plan: -1}
		name, rest := reader.NameAndArgs(node)
		client.Name = name
		where := "client " + name
		reader.Fields(node, where, rest, []sexp.Field{
			{Name: "plan", Required: true,
				Read: func(r *sexp.Reader, n *sexp.Node) { client.Plan = cfg.planIndex(r, r.SingleArg(n, "PLAN")) }},
			{Name: "secret-sha256", Required: true,
				Read: func(r *sexp.Reader, n *sexp.Node) { client.SecretHash = readSecretHash(r, n) }}})
		if seen[name] {
			reader.Fail(node, where, "given twice, want each name once")
		}
		if strings.ContainsAny(name, " \t\r\n") {
			reader.Fail(node, where, "holds white space, want a name without")
		}
		seen[name] = true
		cfg.Clients = append(cfg.Clients, client)
	}
}

func (cfg *Config) readGRPC(reader *sexp.Reader, node *sexp.Node) {
	grpc := &GRPC{MaxConnections: 10000, MaxStreams: 1000, MaxStreamRequests: 256, MaxMessageBytes: 1 << 20}
	reader.Fields(node, "grpc", node.Args(), []sexp.Field{
		addressField("listen", true, &grpc.Listen),
		sexp.IntField("connections", false, &grpc.MaxConnections, 1, 1<<20),
		sexp.IntField("streams", false, &grpc.MaxStreams, 1, 1<<20), sexp.IntField("ahead", false, &grpc.MaxStreamRequests, 1, 1<<16),
		sexp.IntField("message", false, &grpc.MaxMessageBytes, 1<<10, 64<<20),
		{Name: "tls", Read: func(reader *sexp.Reader, node *sexp.Node) {
			reader.Fields(node, "grpc tls", node.Args(), []sexp.Field{sexp.NameField("certificate", true, &grpc.CertificateFile),
				sexp.NameField("key", true, &grpc.KeyFile), sexp.NameField("clients", false, &grpc.ClientCAFile)})
		}},
		{Name: "domain", Repeatable: true, Read: func(reader *sexp.Reader, node *sexp.Node) {
			domain := Domain{}
			name, rest := reader.NameAndArgs(node)
			domain.Name = name
			where := "domain " + name
			for _, other := range grpc.Domains {
				if other.Name == name {
					reader.Fail(node, where, "given twice, want each name once")
				}
			}
			reader.Fields(node, where, rest, []sexp.Field{
				{Name: "secret-sha256", Required: true,
					Read: func(r *sexp.Reader, n *sexp.Node) { domain.SecretHash = readSecretHash(r, n) }},
				sexp.ChoiceField("unmatched", true, &domain.AllowUnmatched, []string{"allow", "refuse"}, []bool{true, false}),
				{Name: "descriptor", Required: true, Repeatable: true, Read: func(reader *sexp.Reader, node *sexp.Node) {
					domain.Descriptors = append(domain.Descriptors, cfg.readDescriptor(reader, node, where))
				}}})
			grpc.Domains = append(grpc.Domains, domain)
		}}})
	cfg.GRPC = grpc
}

func (cfg *Config) readDescriptor(reader *sexp.Reader, node *sexp.Node, where string) Descriptor {
	descriptor := Descriptor{Units: 1}
	reader.Fields(node, where+" descriptor", node.Args(), []sexp.Field{
		sexp.NameField("customer", true, &descriptor.CustomerKey), sexp.IntField("units", false, &descriptor.Units, 1, maxUnits),
		{Name: "class", Required: true,
			Read: func(r *sexp.Reader, n *sexp.Node) { descriptor.Class = cfg.classIndex(r, r.SingleArg(n, "CLASS")) }},
		{Name: "entry", Repeatable: true, Read: func(reader *sexp.Reader, node *sexp.Node) {
			args := node.Args()
			if len(args) != 1 && len(args) != 2 {
				reader.Fail(node, "entry", "holds %d values, want (entry KEY) or (entry KEY VALUE)", len(args))
				return
			}
			entry := [2]string{reader.Name(args[0], "entry")}
			if len(args) == 2 {
				entry[1] = reader.Name(args[1], "entry")
			}
			descriptor.Entries = append(descriptor.Entries, entry)
		}}})
	return descriptor
}

// readSecretHash reads the hash of a secret as hex digits.
func readSecretHash(reader *sexp.Reader, node *sexp.Node) (to [sha256.Size]byte) {
	arg := reader.SingleArg(node, "HEX")
	sum, err := hex.DecodeString(reader.Name(arg, node.Head()))
	if reader.Err == nil && (err != nil || len(sum) != sha256.Size) {
		reader.Fail(arg, node.Head(), "want 64 hex digits, as `cometpond secret` prints them")
	}
	copy(to[:], sum)
	return to
}

// checkConsistency validates conditions that concern several sections.
func (cfg *Config) checkConsistency(reader *sexp.Reader, found map[string]*sexp.Node) {
	ingress := found["ingress"]
	if cfg.Servers == nil && cfg.Discovery == nil {
		reader.Fail(ingress, "file", "no boxes, want (boxes ..) or (discovery ..)")
	}
	if cfg.Servers != nil && cfg.Discovery != nil {
		reader.Fail(found["boxes"], "boxes", "given together with (discovery ..), want one of them")
	}
	if len(cfg.Instances) == 0 && cfg.Self != 0 || len(cfg.Instances) > 0 && cfg.Self >= len(cfg.Instances) {
		reader.Fail(ingress, "ingress me", "is %d, want the number of one of the %d instances", cfg.Self, max(1, len(cfg.Instances)))
	}
	if len(cfg.Instances) > 1 && cfg.PeerKey == nil {
		reader.Fail(found["instances"], "instances", "(key ..) is missing: several instances share one to seal their messages")
	}
	if cfg.ThrottleClass < 0 {
		// The default is the class of the highest value, so that a CL.THROTTLE call for high-value work is not refused as
		// low-value work.
		cfg.ThrottleClass = 0
		for i, class := range cfg.Classes {
			if class.Value > cfg.Classes[cfg.ThrottleClass].Value {
				cfg.ThrottleClass = i
			}
		}
	}
}

// Settings returns the settings of the policy module for this instance.
func (cfg *Config) Settings() policy.Settings {
	maxRequestUnits := 1
	for _, command := range cfg.Commands {
		maxRequestUnits = max(maxRequestUnits, command.Units)
		if command.UnitsIndex > 0 {
			maxRequestUnits = maxUnits
		}
	}
	gateways := max(1, len(cfg.Instances))
	return policy.Settings{
		Self: cfg.Self, Gateways: gateways, Zone: cfg.Zone, Classes: cfg.Classes, Plans: cfg.Plans, MaxUnits: maxRequestUnits,
		PeerMessagesPerS: 0, PeerMessages: gateways > 1, Probes: true, Cancel: true, ParallelAttempts: cfg.Backend.ParallelAttempts, RetryAfter: true,
		MaxAttempts: cfg.Backend.MaxAttempts, MaxRetryAfterS: 0.5,
		LoadFromProbes: cfg.Backend.LoadSource == "probe", LoadFromAnswers: cfg.Backend.LoadSource == "answer",
		AnswerSlackS: cfg.Rules.AnswerSlackS, ColdStartShare: cfg.Rules.ColdStartShare, ColdPeriodS: cfg.Rules.ColdPeriodS,
		OverloadMultiple: cfg.Rules.OverloadMultiple, OverloadWindowS: cfg.Rules.OverloadWindowS, TickS: 0.0005,
	}
}

// MaxUnits returns the maximum units of one request (the minimum is 1), as the messages between instances encode them.
func (cfg *Config) MaxUnits() int { return maxUnits }

// HashSecret returns the hash of a secret that the settings file holds instead of the secret itself.
func HashSecret(secret string) [sha256.Size]byte { return sha256.Sum256([]byte(secret)) }
