package main

import (
	"fmt"
	"strings"
	"time"
)

// Class is a class of requests.
type Class struct {
	Name     string
	Aim      float64 // seconds
	Deadline float64
	Effect   string // as in the settings
	Scope    string
	TTL      float64
	Late     float64
	Worth    float64
}

// Plan is a plan of customers.
type Plan struct {
	Name                            string
	Rate, Burst, HardRate, CapDepth float64
	Slack                           float64
}

// Site is a deployment, with the figures of its page and site file.
type Site struct {
	Classes     []Class
	Plans       []Plan
	Zones       []string
	Parallel    bool
	MaxAttempts int
	MaxUnits    int
	Multiplex   int
	Probes      bool
	Load        string
	DrainS      float64
	ColdFrom    float64
	ColdS       float64
	FallTimes   float64
	FallS       float64
}

var rayon = Site{
	Classes: []Class{
		{Name: "zone-check", Aim: 0.5, Deadline: 2, Effect: "retryable", Worth: 1},
		{Name: "slot-hold", Aim: 1, Deadline: 4, Effect: "dedup", Scope: "all", TTL: 4, Worth: 3},
		{Name: "courier-send", Aim: 1.5, Deadline: 4, Effect: "fragile", Worth: 5},
	},
	Plans: []Plan{{Name: "resto", Rate: 9.5, Burst: 18}, {Name: "chaine", Rate: 38, Burst: 76, HardRate: 80, CapDepth: 160, Slack: 16}},
	Zones: []string{"qc-1"}, MaxAttempts: 5, MaxUnits: 6, Multiplex: 32, Load: "answers",
	DrainS: 0.25, ColdFrom: 0.26, ColdS: 15, FallTimes: 3, FallS: 1,
}

var portal = Site{
	Classes: []Class{
		{Name: "usage-view", Aim: 0.5, Deadline: 1.2, Effect: "retryable", Worth: 1},
		{Name: "order-change", Aim: 1.5, Deadline: 6, Effect: "dedup", Scope: "cell", TTL: 12, Worth: 3},
	},
	Plans: []Plan{{Name: "plus", Rate: 8.5, Burst: 17, HardRate: 19, CapDepth: 38, Slack: 4}, {Name: "obrt", Rate: 20, Burst: 40}},
	Zones: []string{"room-a", "room-b", "room-c"}, Parallel: true, MaxAttempts: 5, MaxUnits: 4, Multiplex: 32, Probes: true, Load: "probe",
	DrainS: 0.25, ColdFrom: 0.17, ColdS: 14, FallTimes: 4, FallS: 1.5,
}

var chaguanas = Site{
	Classes: []Class{
		{Name: "job-status", Aim: 1, Deadline: 2.5, Effect: "retryable", Late: 0.2, Worth: 3},
		{Name: "image-fetch", Aim: 2.5, Deadline: 6, Effect: "retryable", Late: 0.2, Worth: 1},
		{Name: "sign-submit", Aim: 3, Deadline: 12, Effect: "dedup", Scope: "zone", TTL: 7.5, Worth: 3},
	},
	Plans: []Plan{{Name: "basic", Rate: 3.2, Burst: 12.5}, {Name: "premium", Rate: 20, Burst: 40, HardRate: 40, CapDepth: 80, Slack: 8}},
	Zones: []string{"room-a", "room-b", "room-c"}, Parallel: true, MaxAttempts: 3, MaxUnits: 4, Multiplex: 100, Probes: true, Load: "probe",
	DrainS: 2, ColdFrom: 0.19, ColdS: 15, FallTimes: 2, FallS: 1.5,
}

// settings returns the settings object of one ingress.
func (s Site) settings(me, ingresses int) string {
	var profiles, plans []string
	for _, c := range s.Classes {
		scope := c.Scope
		if scope == "" {
			scope = "all"
		}
		profiles = append(profiles, fmt.Sprintf(`{"name":%q,"aimS":%g,"deadlineS":%g,"effect":%q,"keyScope":%q,"keyTtlS":%g,"lateWorth":%g,"stream":false,"worth":%g}`,
			c.Name, c.Aim, c.Deadline, c.Effect, scope, c.TTL, c.Late, c.Worth))
	}
	for _, p := range s.Plans {
		plans = append(plans, fmt.Sprintf(`{"name":%q,"unitsPerS":%g,"peakUnits":%g,"hardRate":%g,"capDepth":%g,"ceilingSlack":%g,"parallel":0,"pays":1,"extraWorth":0,"excessCost":1}`,
			p.Name, p.Rate, p.Burst, p.HardRate, p.CapDepth, p.Slack))
	}
	fields := `"svc_ms","cpu_share"`
	return fmt.Sprintf(`{"balancers":%d,"me":%d,"myZone":%q,"failureDomains":["%s"],"family":"gate","discovery":"pushed","kinds":["m2"],"tier":0,"stages":["front"],"tickS":0.002,"weights":"rough",
"clientHabits":{"marksRetry":false},
"familyInfo":{"maxUnits":%d,"peerIntake":40,"sharedCounter":false,"truedUp":false,"meterPeriodS":0},
"feedback":{"fields":[%s],"how":%q},
"limits":{"cancel":true,"connIdleS":15,"cpuUsPerRequest":0,"cpuUsPerS":500000,"dialTimeoutS":0.25,"maxAttempts":%d,"maxRetryAfterS":0.5,"mostHeld":20000,"multiplex":%d,"parallelTries":%v,"peerMessages":true,"probes":%v,"retryAfter":true},
"packages":[%s],
"prices":{"crossZone":0,"waste":0.03,"probe":0.01,"peer":0.02,"lateFail":0.05},
"profiles":[%s],
"rules":{"answerSlackS":0.008,"askWithinS":10,"coldFrom":%g,"coldS":%g,"fallMultiple":%g,"fallS":%g,"stopSendingWithinS":%g},
"scoreParts":{"whole":0.65,"worstClass":0,"worstTenant":0.15,"worstWindow":0.2}}`,
		ingresses, me, s.Zones[me%len(s.Zones)], strings.Join(s.Zones, `","`), s.MaxUnits, fields, s.Load, s.MaxAttempts, s.Multiplex, s.Parallel, s.Probes,
		strings.Join(plans, ","), strings.Join(profiles, ","), s.ColdFrom, s.ColdS, s.FallTimes, s.FallS, s.DrainS)
}

// request encodes a request of a class with its id.
func (s Site) request(class, id string, who int, plan string, spread, first int, wait time.Duration, body string) []byte {
	name, key := "SVC.QUERY", ""
	for _, c := range s.Classes {
		if c.Name == class && c.Effect != "retryable" {
			name = "SVC.SUBMIT"
			if c.Effect == "dedup" {
				key = ",k=" + id
			}
		}
	}
	words := []string{name, customer(who), id, fmt.Sprintf("c=%s,t=%s,d=%d%s,units=1,spread=%d,first=%d", class, plan, wait.Milliseconds(), key, spread, first)}
	if body != "" {
		words = append(words, body)
	}
	return command(words...)
}

// Fleet is a number of ingresses, with a discovery agent each and an address of each backend for each of them.
type Fleet struct {
	Site      Site
	Ingresses []*Ingress
	Discovery []*Discovery
	Backends  [][]*Backend // by ingress, by host
	Hosts     [][]Host
	Configs   []Config
	Fronts    []*Front
}

// hostName names the n-th host.
func hostName(n int) string { return fmt.Sprintf("s-%08x", 0x5be20000+n*77) }

// startFleet starts the stand-ins and the ingresses.
func startFleet(site Site, ingresses, hosts, memoryMB, sockets int, handle func(ingress, host int, a Arrival) Reply) *Fleet {
	f := &Fleet{Site: site}
	var peers []string
	for range ingresses {
		peers = append(peers, freeAddr())
	}
	for i := range ingresses {
		var list []Host
		var backends []*Backend
		for h := range hosts {
			b := startBackend(hostName(h), func(a Arrival) Reply { return handle(i, h, a) })
			backends = append(backends, b)
			list = append(list, Host{Host: b.Name, Dial: b.Addr(), Site: site.Zones[h%len(site.Zones)], Class: "m2",
				Block: h % len(site.Zones), Health: "SERVING", Share: 1})
		}
		f.Backends, f.Hosts = append(f.Backends, backends), append(f.Hosts, list)
		f.Discovery = append(f.Discovery, startDiscovery(41, list))
		f.Configs = append(f.Configs, Config{Name: fmt.Sprint("n", i), Discovery: f.Discovery[i].Addr(), Settings: site.settings(i, ingresses),
			Known: list, KnownSeq: 41, MemoryMB: memoryMB, Sockets: sockets, Peers: peers, PeerListen: peers[i]})
	}
	done := make(chan bool)
	f.Ingresses = make([]*Ingress, ingresses)
	for i := range ingresses {
		go func() {
			f.Ingresses[i] = startIngress(f.Configs[i])
			done <- true
		}()
	}
	for range ingresses {
		<-done
	}
	for i := range ingresses {
		f.Fronts = append(f.Fronts, &Front{addr: f.Ingresses[i].Listen})
	}
	note("ready: %d ingresses, %d backends", ingresses, hosts)
	return f
}
