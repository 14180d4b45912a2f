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
	what   string
	lo, hi float64
	lasts  bool
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

// builtinScript is the scenario that is run without a script. It contains the common kinds of faults, some of them at the
// same time.
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
	s, err := parse("builtin", builtinScript)
	if err != nil {
		panic(err) // a test parses the built-in script
	}
	return s
}

// LoadScript reads a script from a file.
func LoadScript(path string) (*Script, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return parse(path, string(text))
}

func parse(path, text string) (*Script, error) {
	f, err := sexp.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	if len(f.Forms) != 1 || f.Forms[0].Head() != "day" {
		return nil, fmt.Errorf("script: %s: want one (day ..)", path)
	}
	s := &Script{Duration: 40 * time.Second, Rate: 300, Seed: 1, Instances: 3, Zones: 3, Servers: 12}
	r, top, seed := &sexp.Reader{}, f.Forms[0], 1
	r.Fields(top, "day", top.Args(), []sexp.Field{
		sexp.TimeField("for", false, &s.Duration, time.Second, 24*time.Hour),
		sexp.NumField("rate", false, &s.Rate, 1, 1e5),
		sexp.IntField("seed", false, &seed, 0, 1<<31),
		sexp.IntField("instances", false, &s.Instances, 1, 64),
		sexp.IntField("rooms", false, &s.Zones, 1, 64),
		sexp.IntField("boxes", false, &s.Servers, 1, 1000),
		{Name: "at", Many: true, Read: s.readFault},
	})
	s.Seed = uint64(seed)
	if r.Err != nil {
		return nil, fmt.Errorf("script: %w", r.Err)
	}
	for _, e := range s.Faults {
		if slices.Contains([]string{"kill", "stall", "hold", "sever"}, e.Kind) && int(e.Size) >= s.Instances || e.Kind == "dark" && int(e.Size) >= s.Zones {
			return nil, fmt.Errorf("script: (%s %g) at %v: no instance or zone has this number", e.Kind, e.Size, e.At)
		}
	}
	s.sortFaults()
	return s, nil
}

func (script *Script) sortFaults() {
	slices.SortStableFunc(script.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// readFault reads one fault, (at TIME (KIND SIZE) (for TIME)).
func (script *Script) readFault(r *sexp.Reader, n *sexp.Node) {
	a := n.Args()
	if len(a) < 2 || len(a) > 3 {
		r.Fail(n, "at", "want (at TIME (KIND SIZE) (for TIME))")
		return
	}
	e := Fault{At: r.Duration(a[0], "at", 0, 24*time.Hour), Kind: a[1].Head()}
	k, ok := faultKinds[e.Kind]
	if !ok {
		var names []string
		for name := range faultKinds {
			names = append(names, name)
		}
		sort.Strings(names)
		r.Fail(a[1], "at", "unknown fault %s, want one of: %s", a[1], strings.Join(names, " "))
		return
	}
	e.Size = r.Number(r.One(a[1], "SIZE"), e.Kind, k.lo, k.hi)
	switch {
	case k.lasts && len(a) == 3 && a[2].Head() == "for":
		e.Duration = r.Duration(r.One(a[2], "TIME"), "for", time.Millisecond, 24*time.Hour)
	case k.lasts:
		r.Fail(n, e.Kind, "has a duration, want (for TIME)")
	case len(a) == 3:
		r.Fail(a[2], e.Kind, "is over at once, want no (for TIME)")
	}
	script.Faults = append(script.Faults, e)
}

// ScaleTo changes the duration of the scenario and scales the start times of faults. Faults keep their length if it
// grows, and are shortened in proportion if it shrinks.
func (script *Script) ScaleTo(to time.Duration) {
	by := float64(to) / float64(script.Duration)
	for i := range script.Faults {
		e := &script.Faults[i]
		e.At = time.Duration(float64(e.At) * by)
		if by < 1 {
			e.Duration = time.Duration(float64(e.Duration) * by)
		}
	}
	script.Duration = to
}
