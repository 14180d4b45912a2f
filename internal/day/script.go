// Package day runs a scripted scenario of faults on loopback: instances as separate processes, stand-in servers,
// clients with real connections, and an auditor that checks the rules against what was observed on the sockets.
package day

import (
	"fmt"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"cometpond/internal/sexp"
)

// Script is a scenario: its duration, load and faults.
type Script struct {
	Duration  time.Duration
	Rate      float64 // requests per second, without client retries
	Seed      uint64
	Instances int
	Zones     int
	Servers   int // total number, spread evenly over the zones
	Faults    []Fault
}

// Fault is one fault, injected at a time after the start.
type Fault struct {
	At       time.Duration
	Kind     string
	Size     float64       // its meaning depends on the kind, see faultKinds
	Duration time.Duration // 0 for faults that are over at once
}

// faultKinds are the kinds of faults with the meaning of their size, its range, and whether they have a duration.
var faultKinds = map[string]struct {
	meaning          string
	minSize, maxSize float64
	hasDuration      bool
}{
	"kill":       {"instance that is killed, and restarted after the time", 0, 63, true},
	"stall":      {"instance that stands still for the time", 0, 63, true},
	"silent":     {"boxes that answer nothing for the time and come back cold", 1, 1000, true},
	"reset":      {"boxes whose connections break once", 1, 1000, false},
	"slow":       {"times as long that all work takes at all boxes", 1, 20, true},
	"age":        {"boxes that grow slower and slower over the time, up to ten times", 1, 1000, true},
	"mute":       {"boxes that leave the first command unanswered for the time", 1, 1000, true},
	"dark":       {"room, by number, that is gone for the time and comes back cold", 0, 63, true},
	"drain":      {"boxes that drain for the time", 1, 1000, true},
	"flood":      {"times its quota that one customer asks for on top", 1, 100, true},
	"burst":      {"times the usual load", 0.1, 10, true},
	"heavy":      {"times the work that one request in fifty costs", 1, 50, true},
	"scan":       {"share of the load that customers never seen before add", 0.01, 1, true},
	"move":       {"share of the customers that turn to other instances at once", 0, 1, false},
	"pieces":     {"bytes of the largest piece into which all streams of clients and boxes are cut", 1, 65536, true},
	"trickle":    {"bytes a second that pass on each connection of clients and boxes, each way", 100, 1e9, true},
	"hold":       {"instance whose clients' bytes stop in one direction for the time", 0, 63, true},
	"hold-boxes": {"boxes whose bytes stop in one direction for the time", 1, 1000, true},
	"sever":      {"instance whose clients' connections are reset, wherever they are in a command", 0, 63, false},
	"lossy":      {"share of the messages between instances that is lost", 0, 1, true},
	"split":      {"parts that the instances fall into", 2, 64, true},
}

// builtinScript is the scenario that is run without a script. It contains the kinds of faults that operators fear, once
// or more, some of them at the same time.
const builtinScript = `
(day (for 40s) (rate 300) (seed 1) (instances 3) (rooms 3) (boxes 12)
  (at 100ms (pieces 65536) (for 39s))
  (at 2s   (sever 0))
  (at 3s   (kill 1) (for 2s))
  (at 7s   (silent 2) (for 5s))
  (at 9s   (reset 4))
  (at 10s  (flood 8) (for 6s))
  (at 12s  (move 0.4))
  (at 13s  (lossy 0.3) (for 4s))
  (at 14s  (hold 2) (for 1.5s))
  (at 15s  (slow 2) (for 4s))
  (at 17s  (kill 0) (for 1.5s))
  (at 20s  (dark 1) (for 9s))
  (at 22s  (split 3) (for 4s))
  (at 26s  (hold-boxes 2) (for 1s))
  (at 27s  (drain 3) (for 6s))
  (at 33s  (kill 2) (for 1.5s))
  (at 34s  (slow 1.8) (for 3s))
  (at 37s  (stall 1) (for 400ms)))
`

// Builtin returns the scenario that is run without a script.
func Builtin() *Script {
	script, err := parse("builtin", builtinScript)
	if err != nil {
		panic(err) // a test parses the built-in script
	}
	return script
}

// LoadScript reads a script from a file.
func LoadScript(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return parse(path, string(raw))
}

func parse(path, text string) (*Script, error) {
	file, err := sexp.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	if len(file.Forms) != 1 || file.Forms[0].Head() != "day" {
		return nil, fmt.Errorf("script: %s: want one (day ..)", path)
	}
	script := &Script{Duration: 40 * time.Second, Rate: 300, Seed: 1, Instances: 3, Zones: 3, Servers: 12}
	reader, root, seed := &sexp.Reader{}, file.Forms[0], 1
	reader.Fields(root, "day", root.Args(), []sexp.Field{
		sexp.DurationField("for", false, &script.Duration, time.Second, 24*time.Hour),
		sexp.NumberField("rate", false, &script.Rate, 1, 1e5),
		sexp.IntField("seed", false, &seed, 0, 1<<31),
		sexp.IntField("instances", false, &script.Instances, 1, 64),
		sexp.IntField("rooms", false, &script.Zones, 1, 64),
		sexp.IntField("boxes", false, &script.Servers, 1, 1000),
		{Name: "at", Repeatable: true, Read: script.readFault},
	})
	script.Seed = uint64(seed)
	if reader.Err != nil {
		return nil, fmt.Errorf("script: %w", reader.Err)
	}
	for _, fault := range script.Faults {
		if slices.Contains([]string{"kill", "stall", "hold", "sever"}, fault.Kind) && int(fault.Size) >= script.Instances ||
			fault.Kind == "dark" && int(fault.Size) >= script.Zones {
			return nil, fmt.Errorf("script: (%s %g) at %v: no instance or zone has this number", fault.Kind, fault.Size, fault.At)
		}
	}
	script.sortFaults()
	return script, nil
}

func (script *Script) sortFaults() {
	slices.SortStableFunc(script.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// readFault reads one fault, (at TIME (KIND SIZE) (for TIME)).
func (script *Script) readFault(reader *sexp.Reader, node *sexp.Node) {
	args := node.Args()
	if len(args) < 2 || len(args) > 3 {
		reader.Fail(node, "at", "want (at TIME (KIND SIZE) (for TIME))")
		return
	}
	fault := Fault{At: reader.Duration(args[0], "at", 0, 24*time.Hour), Kind: args[1].Head()}
	kind, ok := faultKinds[fault.Kind]
	if !ok {
		var names []string
		for name := range faultKinds {
			names = append(names, name)
		}
		sort.Strings(names)
		reader.Fail(args[1], "at", "unknown fault %s, want one of: %s", args[1], strings.Join(names, " "))
		return
	}
	fault.Size = reader.Number(reader.SingleArg(args[1], "SIZE"), fault.Kind, kind.minSize, kind.maxSize)
	switch {
	case kind.hasDuration && len(args) == 3 && args[2].Head() == "for":
		fault.Duration = reader.Duration(reader.SingleArg(args[2], "TIME"), "for", time.Millisecond, 24*time.Hour)
	case kind.hasDuration:
		reader.Fail(node, fault.Kind, "has a duration, want (for TIME)")
	case len(args) == 3:
		reader.Fail(args[2], fault.Kind, "is over at once, want no (for TIME)")
	}
	script.Faults = append(script.Faults, fault)
}

// ScaleTo changes the duration of the scenario and scales the start times of faults. Faults keep their length if it
// grows, and are shortened in proportion if it shrinks.
func (script *Script) ScaleTo(duration time.Duration) {
	factor := float64(duration) / float64(script.Duration)
	for i := range script.Faults {
		fault := &script.Faults[i]
		fault.At = time.Duration(float64(fault.At) * factor)
		if factor < 1 {
			fault.Duration = time.Duration(float64(fault.Duration) * factor)
		}
	}
	script.Duration = duration
}
