// Command simhost runs gateways for the simulator. It translates between the
// simulator's line protocol and the policy package and makes no decisions. The
// names on the wire differ from those of the code; they are mapped in this file.
package main

import (
	"fmt"
	"io"
	"os"

	"cometpond/internal/settings"
	"cometpond/internal/wire"
	"cometpond/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// simulatorHost is the state of one process: its gateways by instance and the numbered lists of servers.
type simulatorHost struct {
	now         float64
	in          *wire.Reader
	out         *wire.Writer
	line        wire.Line
	gateways    map[int]*policy.Gateway
	serverLists map[int][]policy.Server
}

// actionWriter writes the actions of one gateway as lines of the protocol.
type actionWriter struct {
	out      *wire.Writer
	instance int
}

func (writer actionWriter) Send(id, server string, timing policy.Timing) {
	line := writer.out.Begin("FORWARD", writer.instance).ID("id", id).ID("backend", server)
	if timing.AnswerWithinS != 0 {
		line.Float("withinS", timing.AnswerWithinS)
	}
	line.End()
}

func (writer actionWriter) Refuse(id string, retryInS float64, _ policy.Refusal) {
	line := writer.out.Begin("BOUNCE", writer.instance).ID("id", id)
	if retryInS > 0 {
		line.Float("retryInS", retryInS)
	}
	line.End()
}

func (writer actionWriter) Fail(id string) {
	writer.out.Begin("ERROR", writer.instance).ID("id", id).End()
}

// Admit does nothing: the simulator makes no request for admission alone.
func (writer actionWriter) Admit(string) {}

func (writer actionWriter) Cancel(id string, attempt int) {
	writer.out.Begin("STOP_ATTEMPT", writer.instance).ID("id", id).Int("hop", int64(attempt)).End()
}

func (writer actionWriter) SetTimer(token uint64, delayS float64) {
	writer.out.Begin("WAKE_AT", writer.instance).Int("mark", int64(token)).Float("offsetS", delayS).End()
}

func (writer actionWriter) Probe(server string) {
	writer.out.Begin("HEALTH_CHECK", writer.instance).ID("backend", server).End()
}

func (writer actionWriter) SendToPeer(gateway int, data []byte) {
	writer.out.Begin("BROADCAST_TO", writer.instance).Int("addressee", int64(gateway)).Hex("data", data).End()
}

func (writer actionWriter) Log(text string) {
	writer.out.Begin("EMIT", writer.instance).Text("msg", text).End()
}

// run answers batches of events until the input ends. A batch begins with CLOCK and ends with YOUR_TURN.
func run(in io.Reader, out io.Writer) error {
	host := &simulatorHost{
		in: wire.NewReader(in), out: wire.NewWriter(out),
		gateways: map[int]*policy.Gateway{}, serverLists: map[int][]policy.Server{},
	}
	inBatch := false
	for {
		err := host.in.Next(&host.line)
		if err == io.EOF && !inBatch {
			return nil
		} else if err == io.EOF {
			return fmt.Errorf("input ended within a batch")
		} else if err != nil {
			return err
		}
		switch {
		case host.line.Name == "CLOCK":
			if host.now, err = host.line.Float("timeS"); err != nil {
				return err
			}
			inBatch = true
		case !inBatch:
			return fmt.Errorf("%s: outside a batch", host.line.Name)
		case host.line.Name == "YOUR_TURN":
			if err := host.out.Flush(); err != nil {
				return err
			}
			inBatch = false
		default:
			if err := host.handleEvent(); err != nil {
				return err
			}
		}
	}
}

// handleEvent reads one event completely, then passes it to its gateway. A panic is reported as a FAULT.
func (host *simulatorHost) handleEvent() error {
	line := &host.line
	if line.Name == "REGISTER" {
		return host.readServerList()
	}
	readEvent, known := events[line.Name]
	if !known {
		return fmt.Errorf("%s: unknown message", line.Name)
	}
	instance, err := line.Int("i")
	if err != nil {
		return err
	}
	defer func() {
		if panicValue := recover(); panicValue != nil {
			host.out.Begin("FAULT", instance).Text("msg", fmt.Sprint(panicValue)).End()
		}
	}()
	deliver, err := readEvent(host, instance)
	if err != nil || deliver == nil {
		return err
	}
	if gateway := host.gateways[instance]; gateway != nil {
		deliver(gateway)
	}
	return nil
}

// readServerList reads a numbered list of servers: its REGISTER line and the ITEM lines that follow.
func (host *simulatorHost) readServerList() error {
	fields := fieldReader{line: &host.line}
	id, count := fields.integer("rosterId"), fields.integer("lines")
	if fields.err == nil && count < 0 {
		fields.err = fmt.Errorf("REGISTER: field lines cannot be read: %d", count)
	}
	if fields.err != nil {
		return fields.err
	}
	var list []policy.Server
	for range count {
		if err := host.in.Next(&host.line); err == io.EOF {
			return fmt.Errorf("ITEM: the list ends early")
		} else if err != nil {
			return err
		}
		if host.line.Name != "ITEM" {
			return fmt.Errorf("%s: ITEM expected", host.line.Name)
		}
		server := policy.Server{ID: fields.text("backend"), Zone: fields.text("hall"), Cell: fields.optInt("unitGroup"),
			Weight: fields.optFloat("share"), StartedAt: fields.optFloat("sinceS")}
		switch value := fields.text("status"); value {
		case "U":
			server.State = policy.Up
		case "L":
			server.State = policy.Draining
		case "D":
			server.State = policy.Removed
		default:
			if fields.err == nil {
				fields.err = fmt.Errorf("ITEM: field status cannot be read: %q", value)
			}
		}
		if fields.err != nil {
			return fields.err
		}
		list = append(list, server)
	}
	host.serverLists[id] = list
	return nil
}

// fieldReader reads fields of a line and records the first error.
type fieldReader struct {
	line *wire.Line
	err  error
}

// recordError records err if it is the first error, and returns value.
func recordError[T any](fields *fieldReader, value T, err error) T {
	if fields.err == nil {
		fields.err = err
	}
	return value
}

func (fields *fieldReader) text(name string) string {
	value, err := fields.line.Text(name)
	return recordError(fields, value, err)
}
func (fields *fieldReader) integer(name string) int {
	value, err := fields.line.Int(name)
	return recordError(fields, value, err)
}
func (fields *fieldReader) optInt(name string) int {
	value, err := fields.line.OptInt(name)
	return recordError(fields, value, err)
}
func (fields *fieldReader) float(name string) float64 {
	value, err := fields.line.Float(name)
	return recordError(fields, value, err)
}
func (fields *fieldReader) optFloat(name string) float64 {
	value, err := fields.line.OptFloat(name)
	return recordError(fields, value, err)
}
func (fields *fieldReader) flag(name string) bool {
	value, err := fields.line.OptBool(name)
	return recordError(fields, value, err)
}

// status reads the field code as the status of an attempt or a probe.
func (fields *fieldReader) status() policy.Status {
	code := fields.integer("code")
	status, ok := statusByCode[code]
	if fields.err == nil && !ok {
		fields.err = fmt.Errorf("%s: field code cannot be read: \"%d\"", fields.line.Name, code)
	}
	return status
}

// statusByCode maps the status codes on the wire.
var statusByCode = map[int]policy.Status{200: policy.OK, 500: policy.Error, 503: policy.Rejected, 504: policy.Timeout,
	502: policy.ConnectFailed, 598: policy.Reset, 499: policy.Cancelled, 410: policy.NotSent}

// load reads the load report of a server; it returns nil if there is none. Values that are not reported are -1.
func (fields *fieldReader) load() *policy.Load {
	report := policy.Load{InFlight: -1, Queue: -1, Util: -1, ServiceMS: -1, ServedPerS: -1, FailedPerS: -1}
	reported, err := fields.line.Pairs("load", func(name string, value float64) {
		switch name {
		case "busy_reqs":
			report.InFlight = value
		case "pending":
			report.Queue = value
		case "cpu_share":
			report.Util = value
		case "svc_ms":
			report.ServiceMS = value
		case "served_ps":
			report.ServedPerS = value
		case "failed_ps":
			report.FailedPerS = value
		}
	})
	if recordError(fields, reported, err) {
		return &report
	}
	return nil
}

// events has a function for each event. It reads the fields of the event and returns a function that passes the
// event to the gateway, or nil if there is nothing to pass.
var events = map[string]func(*simulatorHost, int) (func(*policy.Gateway), error){
	"ENLIST": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		seed, err := host.line.Uint("entropy")
		if err != nil {
			return nil, err
		}
		text, err := host.line.Text("settings")
		if err != nil {
			return nil, err
		}
		parsed, err := settings.Parse([]byte(text))
		if err != nil {
			return nil, fmt.Errorf("ENLIST: field settings: %w", err)
		}
		gateway, err := policy.New(parsed.Settings, seed, host.now, actionWriter{host.out, instance})
		if err != nil {
			return nil, fmt.Errorf("ENLIST: field settings: %w", err)
		}
		host.gateways[instance] = gateway
		return nil, nil
	},
	"DOWN": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		delete(host.gateways, instance)
		return nil, nil
	},
	"PEERS_KNOWN": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		kind, err := host.line.Text("kind")
		if err != nil {
			return nil, err
		}
		if kind == "Error" {
			return nil, nil
		}
		if kind != "Partial" && kind != "Complete" && kind != "Persisted" {
			return nil, fmt.Errorf("PEERS_KNOWN: field kind cannot be read: %q", kind)
		}
		id, err := host.line.Int("rosterId")
		if err != nil {
			return nil, err
		}
		list, ok := host.serverLists[id]
		if !ok {
			return nil, fmt.Errorf("PEERS_KNOWN: field rosterId names no list: \"%d\"", id)
		}
		return func(gateway *policy.Gateway) { gateway.Servers(host.now, list, kind != "Partial") }, nil
	},
	"REQUEST": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		fields := fieldReader{line: &host.line}
		request := policy.Request{ID: fields.text("id"), Class: fields.text("kind"), Plan: fields.text("tier"), Customer: fields.text("holder"),
			DeadlineAt: fields.float("dropDeadS"), FirstGateway: fields.optInt("base"), GatewayCount: int(fields.optFloat("nEntries")),
			Units: fields.optFloat("costUnits"), ClientRetry: fields.flag("isRetry")}
		return func(gateway *policy.Gateway) { gateway.Request(host.now, request) }, fields.err
	},
	"FLOWING": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		fields := fieldReader{line: &host.line}
		id, attempt := fields.text("id"), fields.integer("hop")
		return func(gateway *policy.Gateway) { gateway.StreamStarted(host.now, id, attempt) }, fields.err
	},
	"VERDICT": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		fields := fieldReader{line: &host.line}
		outcome := policy.Outcome{ID: fields.text("id"), Server: fields.text("backend"), Attempt: fields.integer("hop"), Status: fields.status(),
			RequestEnded: fields.flag("terminal"), ElapsedS: fields.optFloat("spentS"), Units: fields.optFloat("actual"), Load: fields.load()}
		return func(gateway *policy.Gateway) { gateway.Outcome(host.now, outcome) }, fields.err
	},
	"HANGUP": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		id, err := host.line.Text("id")
		return func(gateway *policy.Gateway) { gateway.RequestAbandoned(host.now, id) }, err
	},
	"ALARM": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		token, err := host.line.Uint("mark")
		return func(gateway *policy.Gateway) { gateway.Timer(host.now, token) }, err
	},
	"CHECK_RESULT": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		fields := fieldReader{line: &host.line}
		result := policy.ProbeResult{Server: fields.text("backend"), Status: fields.status(), ElapsedS: fields.optFloat("spentS"), Load: fields.load()}
		return func(gateway *policy.Gateway) { gateway.ProbeEnded(host.now, result) }, fields.err
	},
	"DATAGRAM": func(host *simulatorHost, instance int) (func(*policy.Gateway), error) {
		from, err := host.line.Int("sender")
		if err != nil {
			return nil, err
		}
		data, err := host.line.Hex("data")
		return func(gateway *policy.Gateway) { gateway.PeerMessage(host.now, from, data) }, err
	},
	"TALLY_BACK": func(*simulatorHost, int) (func(*policy.Gateway), error) { return nil, nil },
}
