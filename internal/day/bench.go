package day

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"time"
)

// benchScenario is the part that is read of a scenario that the bench has drawn; its other fields are ignored. Times are
// in microseconds.
type benchScenario struct {
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

// FromBench translates the kinds, times and sizes of the faults of a bench scenario for this machine. It returns a
// script for the default fleet and a note for each fault that can't be injected or only approximately.
func FromBench(path string) (*Script, []string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("bench scenario: %w", err)
	}
	var bench benchScenario
	if err := json.Unmarshal(raw, &bench); err != nil {
		return nil, nil, fmt.Errorf("bench scenario %s: %w", path, err)
	}
	if bench.Length <= 0 || len(bench.Servers) == 0 || len(bench.Balancers) == 0 {
		return nil, nil, fmt.Errorf("bench scenario %s: length, servers and balancers are required, as lbsim draw writes them", path)
	}
	script := &Script{Duration: time.Duration(bench.Length) * time.Microsecond, Rate: 300, Seed: 1,
		Instances: min(max(3, len(bench.Balancers)), 5), Zones: max(1, min(3, len(bench.Zones))), Servers: 12}
	var notes []string
	for _, trouble := range bench.Troubles {
		at, duration := time.Duration(trouble.At)*time.Microsecond, time.Duration(trouble.Len)*time.Microsecond
		add := func(kind string, size float64) {
			script.Faults = append(script.Faults, Fault{At: at, Kind: kind, Size: size, Duration: max(duration, time.Millisecond)})
		}
		shareOf := func(total int) float64 { // the same share of the servers as in the bench scenario
			return math.Max(1, math.Round(float64(len(trouble.On))/float64(max(1, len(bench.Servers)))*float64(total)))
		}
		switch trouble.Kind {
		case "shared_slow":
			add("slow", clamp("slow", trouble.Size))
		case "zone_loss":
			add("dark", float64(trouble.Which%script.Zones))
		case "vanish":
			add("silent", shareOf(script.Servers))
		case "class_fail":
			add("mute", shareOf(script.Servers))
		case "ageing":
			add("age", shareOf(script.Servers))
		case "burst":
			add("burst", clamp("burst", trouble.Size))
		case "heavy_tail":
			add("heavy", clamp("heavy", max(trouble.Size, trouble.Extra)))
		case "scan":
			add("scan", clamp("scan", trouble.Size))
		case "hot_key":
			add("flood", 8)
			notes = append(notes, fmt.Sprintf("hot_key at %v: approximated by one customer at eight times its quota", at))
		case "reconnect":
			script.Faults = append(script.Faults, Fault{At: at, Kind: "move", Size: clamp("move", trouble.Size)})
		case "balancer_stall":
			for i := range max(1, min(len(trouble.On), script.Instances-1)) {
				add("stall", float64(i))
			}
		case "balancer_crash", "balancer_roll":
			n := max(1, min(int(math.Round(trouble.Size*float64(script.Instances))), script.Instances))
			for i := range n {
				down := duration
				from := at
				if trouble.Kind == "balancer_roll" { // the instances restart one after the other
					down = max(time.Second, duration/time.Duration(2*n))
					from = at + time.Duration(i)*duration/time.Duration(n)
				}
				script.Faults = append(script.Faults, Fault{At: from, Kind: "kill", Size: float64(i), Duration: down})
			}
		default:
			notes = append(notes, fmt.Sprintf("%s at %v: this kind of fault is not supported", trouble.Kind, at))
		}
	}
	sort.Strings(notes)
	script.sortFaults()
	return script, notes, nil
}

func clamp(kind string, x float64) float64 {
	return min(max(x, faultKinds[kind].minSize), faultKinds[kind].maxSize)
}
