// Package day plays a scripted day of trouble on loopback: instances as processes of their own, boxes,
// clients with real connections, and an auditor that judges from what was seen on the sockets.
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

// Script is a day: its length, load and trouble.
type Script struct {
	Duration  time.Duration
	Rate      float64 // requests a second, without retries
	Seed      uint64
	Instances int
	Zones     int
	Servers   int // in all, spread evenly over the rooms
	Faults    []Fault
}

// Fault is one trouble.
type Fault struct {
	At       time.Duration
	Kind     string
	Size     float64       // what it means is the kind's
	Duration time.Duration // 0 for troubles that are over at once
}

// kinds are the troubles with the meaning of their size and its range.
var kinds = map[string]struct {
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

// builtin is the day that is played without a script. Every kind of trouble that an operator fears comes
// once, some of them together.
const builtin = `
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

// Builtin returns the day that is played without a script.
func Builtin() *Script {
	s, err := parse("builtin", builtin)
	if err != nil {
		panic(err) // a test reads it
	}
	return s
}

// LoadScript reads a script.
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
		sexp.DurationField("for", false, &s.Duration, time.Second, 24*time.Hour),
		sexp.NumberField("rate", false, &s.Rate, 1, 1e5),
		sexp.IntField("seed", false, &seed, 0, 1<<31),
		sexp.IntField("instances", false, &s.Instances, 1, 64),
		sexp.IntField("rooms", false, &s.Zones, 1, 64),
		sexp.IntField("boxes", false, &s.Servers, 1, 1000),
		{Name: "at", Repeatable: true, Read: s.event},
	})
	s.Seed = uint64(seed)
	if r.Err != nil {
		return nil, fmt.Errorf("script: %w", r.Err)
	}
	for _, e := range s.Faults {
		if slices.Contains([]string{"kill", "stall", "hold", "sever"}, e.Kind) && int(e.Size) >= s.Instances || e.Kind == "dark" && int(e.Size) >= s.Zones {
			return nil, fmt.Errorf("script: (%s %g) at %v: there is none of that number", e.Kind, e.Size, e.At)
		}
	}
	s.order()
	return s, nil
}

func (s *Script) order() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// event reads (at TIME (KIND SIZE) (for TIME)).
func (s *Script) event(r *sexp.Reader, n *sexp.Node) {
	a := n.Args()
	if len(a) < 2 || len(a) > 3 {
		r.Fail(n, "at", "want (at TIME (KIND SIZE) (for TIME))")
		return
	}
	e := Fault{At: r.Duration(a[0], "at", 0, 24*time.Hour), Kind: a[1].Head()}
	k, ok := kinds[e.Kind]
	if !ok {
		var names []string
		for name := range kinds {
			names = append(names, name)
		}
		sort.Strings(names)
		r.Fail(a[1], "at", "unknown trouble %s, want one of: %s", a[1], strings.Join(names, " "))
		return
	}
	e.Size = r.Number(r.SingleArg(a[1], "SIZE"), e.Kind, k.lo, k.hi)
	switch {
	case k.lasts && len(a) == 3 && a[2].Head() == "for":
		e.Duration = r.Duration(r.SingleArg(a[2], "TIME"), "for", time.Millisecond, 24*time.Hour)
	case k.lasts:
		r.Fail(n, e.Kind, "lasts, want (for TIME) with it")
	case len(a) == 3:
		r.Fail(a[2], e.Kind, "is over at once, want no more after it")
	}
	s.Faults = append(s.Faults, e)
}

// ScaleTo plays the same day over another time: troubles keep their length and come earlier or later.
func (s *Script) ScaleTo(to time.Duration) {
	by := float64(to) / float64(s.Duration)
	for i := range s.Faults {
		e := &s.Faults[i]
		e.At = time.Duration(float64(e.At) * by)
		if by < 1 {
			e.Duration = time.Duration(float64(e.Duration) * by)
		}
	}
	s.Duration = to
}
