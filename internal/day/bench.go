package day

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"time"
)

// benchDay is what is read of a day that the bench has drawn; all else in it is left unread. Times are in
// microseconds.
type benchDay struct {
	Length  int64 `json:"length"`
	Servers []struct {
		Zone int `json:"zone"`
	} `json:"servers"`
	Balancers []struct {
		Zone int `json:"zone"`
	} `json:"balancers"`
	Zones    []string `json:"zones"`
	Troubles []struct {
		Kind  string  `json:"kind"`
		At    int64   `json:"at"`
		Len   int64   `json:"len"`
		Size  float64 `json:"size"`
		Extra float64 `json:"extra"`
		On    []int   `json:"on"`
		Which int     `json:"which"`
	} `json:"troubles"`
}

// FromBench translates the kinds, times and sizes of trouble of a bench's day for this machine: a script of
// the usual fleet, and a note for each trouble that can't be played, or only in likeness.
func FromBench(path string) (*Script, []string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	var d benchDay
	if err := json.Unmarshal(raw, &d); err != nil {
		return nil, nil, fmt.Errorf("bench day %s: %w", path, err)
	}
	if d.Length <= 0 || len(d.Servers) == 0 || len(d.Balancers) == 0 {
		return nil, nil, fmt.Errorf("bench day %s: want length, servers and balancers, as lbsim draw writes them", path)
	}
	s := &Script{Duration: time.Duration(d.Length) * time.Microsecond, Rate: 300, Seed: 1,
		Instances: min(max(3, len(d.Balancers)), 5), Zones: max(1, min(3, len(d.Zones))), Servers: 12}
	var notes []string
	for _, t := range d.Troubles {
		at, long := time.Duration(t.At)*time.Microsecond, time.Duration(t.Len)*time.Microsecond
		add := func(kind string, size float64) {
			s.Faults = append(s.Faults, Fault{At: at, Kind: kind, Size: size, Duration: max(long, time.Millisecond)})
		}
		part := func(of int) float64 { // of the boxes, as many as on the day
			return math.Max(1, math.Round(float64(len(t.On))/float64(max(1, len(d.Servers)))*float64(of)))
		}
		switch t.Kind {
		case "shared_slow":
			add("slow", clamp("slow", t.Size))
		case "zone_loss":
			add("dark", float64(t.Which%s.Zones))
		case "vanish":
			add("silent", part(s.Servers))
		case "class_fail":
			add("mute", part(s.Servers))
		case "ageing":
			add("age", part(s.Servers))
		case "burst":
			add("burst", clamp("burst", t.Size))
		case "heavy_tail":
			add("heavy", clamp("heavy", max(t.Size, t.Extra)))
		case "scan":
			add("scan", clamp("scan", t.Size))
		case "hot_key":
			add("flood", 8)
			notes = append(notes, fmt.Sprintf("hot_key at %v: one customer at eight times its quota stands for its share of all traffic", at))
		case "reconnect":
			s.Faults = append(s.Faults, Fault{At: at, Kind: "move", Size: clamp("move", t.Size)})
		case "balancer_stall":
			for i := range max(1, min(len(t.On), s.Instances-1)) {
				add("stall", float64(i))
			}
		case "balancer_crash", "balancer_roll":
			n := max(1, min(int(math.Round(t.Size*float64(s.Instances))), s.Instances))
			for i := range n {
				down := long
				from := at
				if t.Kind == "balancer_roll" { // one after the other
					down = max(time.Second, long/time.Duration(2*n))
					from = at + time.Duration(i)*long/time.Duration(n)
				}
				s.Faults = append(s.Faults, Fault{At: from, Kind: "kill", Size: float64(i), Duration: down})
			}
		default:
			notes = append(notes, fmt.Sprintf("%s at %v: not played", t.Kind, at))
		}
	}
	sort.Strings(notes)
	s.order()
	return s, notes, nil
}

func clamp(kind string, x float64) float64 { return min(max(x, kinds[kind].lo), kinds[kind].hi) }
