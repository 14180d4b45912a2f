// Package audit checks five rules against what clients, servers and the discovery server observed on their
// sockets. It relies on nothing that an instance reports about itself, does no I/O and reads no clock.
package audit

import (
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cometpond/policy"
)

// Rule is one of the five rules that are checked.
type Rule int

// The rules.
const (
	NoRequestLost          Rule = iota // each accepted request has one final answer in time, and nothing is sent to a server after it
	NoEffectTwice                      // no effect happens twice, and a refused request has had no effect
	DrainsKept                         // no new work goes to a server that drains or has been removed
	NoColdServerOverloaded             // no server that has just started is overloaded until it fails
	CeilingsKept                       // no customer exceeds its hard ceiling
	ruleCount
)

var ruleNames = [ruleCount]string{"no request lost", "no effect twice", "drains kept", "no cold box pushed over", "ceilings kept"}

// ShortNames are the rules' names on the command line.
var ShortNames = [ruleCount]string{"lost", "repeat", "drain", "cold", "ceiling"}

// String returns the name of the rule as it is printed in the report.
func (r Rule) String() string { return ruleNames[r] }

// Outcome is how an attempt ended for its client.
type Outcome string

// The outcomes.
const (
	Served         Outcome = "served"
	Refused        Outcome = "refused"
	Failed         Outcome = "failed"
	Admitted       Outcome = "admitted"   // a request for units alone, granted
	Limited        Outcome = "limited"    // a request for units alone, refused
	ConnectionLost Outcome = "broken"     // the connection ended before the answer
	Unanswered     Outcome = "unanswered" // no answer came in time
	NotConnected   Outcome = "unreached"  // no connection was established: no instance received it
)

// ClientAttempt is one command as its client observed it. A client retry is an attempt of its own.
type ClientAttempt struct {
	ID, Client, Class, Key string
	Instance               int
	Units                  float64
	SentAt, EndedAt        time.Time
	Outcome                Outcome
	ExtraAnswers           int  // answers beyond the first
	Excused                bool // its instance was killed while it was in flight
	WrongAnswer            bool // the answer belonged to another attempt
}

// Pause is a period in which an instance was paused, or in which the network between it and its clients, or to a
// server, was disturbed. The instance may then neither know how old a request is nor withdraw what it has sent.
type Pause struct {
	Instance int    // used if Server is empty
	Server   string // the network to this server, from all instances
	From, To time.Time
	Network  bool
}

// Arrival is one command as a server observed it.
type Arrival struct {
	At                                              time.Time
	Server, Instance, AttemptID, Class, Client, Key string
	Executed                                        bool
}

// Push is a list of servers that discovery offered to all instances.
type Push struct {
	At time.Time
	Up map[string]bool // the servers that may get new work
}

// Acknowledgement is the time at which an instance acknowledged a list, given by its index among the pushes, or,
// with Restarted, at which the instance was restarted.
type Acknowledgement struct {
	At        time.Time
	Instance  string
	PushIndex int
	Restarted bool
}

// Overload is the failure of a server under overload.
type Overload struct {
	At     time.Time
	Server string
}

// Record is everything that was observed.
type Record struct {
	Classes          []policy.Class
	Plans            []policy.Plan
	PlanOf           map[string]string // by client
	Attempts         []ClientAttempt
	Arrivals         []Arrival
	Pushes           []Push // in order
	Acknowledgements []Acknowledgement
	Overloads        []Overload
	Pauses           []Pause
	DrainGrace       time.Duration
	Slack            time.Duration // how late an answer or an arrival may be observed on this machine; 0 means 250 ms
}

// Tolerances for measuring on one busy machine.
const (
	defaultSlack  = 250 * time.Millisecond
	ceilingSlackS = 0.1 // arrivals may bunch by this many seconds of the ceiling's rate
)

// Result is the outcome of checking a record.
type Result struct {
	Violations [ruleCount][]string // descriptions of the violations of each rule
	Requests   int                 // attempts that an instance received
	Groups     []Group
	Overshoots []Overshoot
}

// Group summarizes the attempts of one class and plan.
type Group struct {
	Class, Plan string
	Outcomes    map[Outcome]int
	Latency     *hdrhistogram.Histogram // of served attempts, in microseconds
}

// Overshoot is how far the customers of a plan exceeded its quota and ceiling, in units: the furthest that the
// token bucket of any of them went below 0.
type Overshoot struct {
	Plan                    string
	Quota, Ceiling, Allowed float64 // Allowed is the ceiling's slack
	Units, BeyondQuota      float64 // all units sent to servers, and those of them beyond quotas
}

// Kept reports whether all rules were kept.
func (result *Result) Kept() bool {
	for _, b := range result.Violations {
		if len(b) > 0 {
			return false
		}
	}
	return true
}

func (result *Result) addViolation(r Rule, format string, args ...any) {
	result.Violations[r] = append(result.Violations[r], fmt.Sprintf(format, args...))
}

// Evaluate checks a record against the rules.
func Evaluate(r *Record) *Result {
	v := &Result{}
	if r.Slack == 0 {
		r.Slack = defaultSlack
	}
	slices.SortStableFunc(r.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(r.Pauses, func(a, b Pause) int { return a.From.Compare(b.From) })
	classes := map[string]*policy.Class{}
	for i := range r.Classes {
		classes[r.Classes[i].Name] = &r.Classes[i]
	}
	tries := map[string]*ClientAttempt{}
	for i := range r.Attempts {
		tries[r.Attempts[i].ID] = &r.Attempts[i]
	}
	v.checkLostRequests(r, classes, tries)
	v.checkRepeatedEffects(r, classes, tries)
	v.checkDrains(r)
	for _, f := range r.Overloads {
		v.addViolation(NoColdServerOverloaded, "%s failed under overload at %s", f.Server, f.At.Format("15:04:05.000"))
	}
	v.checkQuotas(r, tries)
	v.groupAttempts(r)
	return v
}

func (result *Result) checkLostRequests(r *Record, classes map[string]*policy.Class, tries map[string]*ClientAttempt) {
	for i := range r.Attempts {
		t := &r.Attempts[i]
		if t.Outcome != NotConnected {
			result.Requests++
		}
		late := time.Duration(0)
		if c := classes[t.Class]; c != nil {
			late = t.EndedAt.Sub(r.answerDue(t, c)) - r.Slack
		}
		switch {
		case t.WrongAnswer:
			result.addViolation(NoRequestLost, "attempt %s received the answer of another attempt", t.ID)
		case t.ExtraAnswers > 0:
			result.addViolation(NoRequestLost, "attempt %s received %d answers", t.ID, 1+t.ExtraAnswers)
		case t.Excused || t.Outcome == NotConnected:
		case t.Outcome == Unanswered:
			result.addViolation(NoRequestLost, "attempt %s at instance %d received no answer", t.ID, t.Instance)
		case t.Outcome == ConnectionLost:
			result.addViolation(NoRequestLost, "attempt %s lost its connection to instance %d, which kept running", t.ID, t.Instance)
		case late > 0:
			result.addViolation(NoRequestLost, "attempt %s (%s, sent at %s to instance %d, %s) was answered %v after its deadline", t.ID, t.Class,
				t.SentAt.Format("15:04:05.000"), t.Instance, t.Outcome, late)
		}
	}
	for i := range r.Arrivals {
		a := &r.Arrivals[i]
		t := tries[a.AttemptID]
		if t == nil {
			result.addViolation(NoRequestLost, "%s received %s, which no client sent", a.Server, a.AttemptID)
			continue
		}
		way, late := r.networkDelay(t, a)
		if answered(t.Outcome) && a.At.Sub(t.EndedAt)-late > r.Slack {
			result.addViolation(NoRequestLost, "%s received attempt %s %v after its final answer", a.Server, a.AttemptID, a.At.Sub(t.EndedAt))
		} else if c := classes[t.Class]; c != nil && a.At.Sub(t.SentAt)-way > time.Duration(c.DeadlineS*1e9)+r.Slack {
			result.addViolation(NoRequestLost, "%s received attempt %s %v after it was sent, past its deadline", a.Server, a.AttemptID, a.At.Sub(t.SentAt))
		}
	}
}

// answerDue returns when the answer to an attempt is due: at its deadline, or when its instance resumes if a pause
// lasts past the deadline, since a stopped process can't answer. A disturbed network delays the answer by as much
// as the disturbance lasts.
func (record *Record) answerDue(t *ClientAttempt, c *policy.Class) time.Time {
	due := t.SentAt.Add(time.Duration(c.DeadlineS * 1e9))
	for _, s := range record.Pauses { // ordered by start
		switch {
		case s.Server != "" || s.Instance != t.Instance || s.From.After(due.Add(record.Slack)) || s.To.Before(t.SentAt):
		case s.Network:
			due = due.Add(s.overlap(t.SentAt, s.To))
		case s.To.After(due):
			due = s.To
		}
	}
	return due
}

// overlap returns how much of a pause lies between two times.
func (pause *Pause) overlap(from, to time.Time) time.Duration {
	if from.Before(pause.From) {
		from = pause.From
	}
	if to.After(pause.To) {
		to = pause.To
	}
	return max(0, to.Sub(from))
}

// networkDelay returns the longest time that the network may have delayed an attempt before it reached a server: in
// all, and on the way from the instance to the server alone. Only the latter counts once it has been answered.
func (record *Record) networkDelay(t *ClientAttempt, a *Arrival) (before, after time.Duration) {
	for _, s := range record.Pauses {
		if s.Server == a.Server {
			after += s.overlap(t.SentAt, a.At)
		} else if s.Network && s.Server == "" && s.Instance == t.Instance {
			before += s.overlap(t.SentAt, a.At)
		}
	}
	return before + after, after
}

func answered(e Outcome) bool { return e == Served || e == Refused || e == Failed }

func (result *Result) checkRepeatedEffects(r *Record, classes map[string]*policy.Class, tries map[string]*ClientAttempt) {
	ran := map[string][]Arrival{} // by the identity of the effect
	for _, a := range r.Arrivals {
		c := classes[a.Class]
		if !a.Executed || c == nil || c.Effect == policy.Safe {
			continue
		}
		effect := a.Client + " " + a.AttemptID
		if c.Effect == policy.Keyed {
			effect = a.Client + " " + a.Key
		}
		ran[effect] = append(ran[effect], a)
		if t := tries[a.AttemptID]; t != nil && t.Outcome == Refused && !(c.Effect == policy.Keyed && c.KeyScope == policy.ScopeAll) {
			result.addViolation(NoEffectTwice, "attempt %s was refused as without effect but was executed at %s", a.AttemptID, a.Server)
		}
	}
	for effect, list := range ran {
		if len(list) > 1 {
			result.addViolation(NoEffectTwice, "%s was executed %d times, at %s and %s, %v apart", effect, len(list), list[0].Server, list[1].Server,
				list[1].At.Sub(list[0].At).Round(time.Millisecond))
		}
	}
	sort.Strings(result.Violations[NoEffectTwice])
}

// checkDrains looks for work that reached a server later than the grace period after its instance acknowledged a list
// in which the server no longer takes new work.
func (result *Result) checkDrains(r *Record) {
	byInstance := map[string][]Acknowledgement{}
	for _, n := range r.Acknowledgements {
		byInstance[n.Instance] = append(byInstance[n.Instance], n)
	}
	for _, list := range byInstance {
		slices.SortStableFunc(list, func(a, b Acknowledgement) int { return a.At.Compare(b.At) })
	}
	for _, a := range r.Arrivals {
		// A violation needs that the list acknowledged before the grace period excluded the server and no
		// later list included it: an instance may act on a list shortly before its acknowledgement is observed.
		list := byInstance[a.Instance]
		limit := a.At.Add(-r.DrainGrace - r.Slack)
		n := sort.Search(len(list), func(i int) bool { return list[i].At.After(limit) })
		off := n > 0 && !list[n-1].Restarted
		for _, l := range list[n:] {
			off = off && !(l.Restarted && l.At.Before(a.At))
		}
		for k := 0; off && n > 0 && list[n-1].PushIndex+k < len(r.Pushes) && !r.Pushes[list[n-1].PushIndex+k].At.After(a.At); k++ {
			off = !r.Pushes[list[n-1].PushIndex+k].Up[a.Server]
		}
		if off {
			result.addViolation(DrainsKept, "%s received attempt %s from %s at %s, more than %v after the instance acknowledged its drain or removal", a.Server, a.AttemptID, a.Instance,
				a.At.Format("15:04:05.000"), r.DrainGrace)
		}
	}
}

// tokenBucket is a quota or ceiling as the rules count it. Its level may go below 0.
type tokenBucket struct {
	level, rate, burst, lowest float64
	at                         time.Time
}

func (bucket *tokenBucket) take(at time.Time, units float64) (beyond bool) {
	if !bucket.at.IsZero() {
		bucket.level = min(bucket.burst, bucket.level+bucket.rate*max(0, at.Sub(bucket.at).Seconds()))
	}
	bucket.at = at
	beyond = bucket.level < units
	bucket.level -= units
	bucket.lowest = min(bucket.lowest, bucket.level)
	return beyond
}

// checkQuotas counts the units of each customer's attempts, each when it first reached a server or was admitted.
func (result *Result) checkQuotas(r *Record, tries map[string]*ClientAttempt) {
	type use struct {
		at     time.Time
		client string
		units  float64
	}
	var uses []use
	seen := map[string]bool{}
	for _, a := range r.Arrivals {
		if t := tries[a.AttemptID]; t != nil && !seen[a.AttemptID] {
			seen[a.AttemptID] = true
			uses = append(uses, use{a.At, t.Client, t.Units})
		}
	}
	for _, t := range r.Attempts {
		if t.Outcome == Admitted {
			uses = append(uses, use{t.EndedAt, t.Client, t.Units})
		}
	}
	slices.SortStableFunc(uses, func(a, b use) int { return a.at.Compare(b.at) })
	plans := map[string]*policy.Plan{}
	over := map[string]*Overshoot{}
	for i := range r.Plans {
		p := &r.Plans[i]
		plans[p.Name] = p
		over[p.Name] = &Overshoot{Plan: p.Name, Allowed: p.CeilingSlack}
	}
	quota, ceiling := map[string]*tokenBucket{}, map[string]*tokenBucket{}
	for _, u := range uses {
		p := plans[r.PlanOf[u.client]]
		if p == nil {
			continue
		}
		o := over[p.Name]
		o.Units += u.units
		if p.Rate > 0 {
			q := quota[u.client]
			if q == nil {
				q = &tokenBucket{level: p.Burst, rate: p.Rate, burst: p.Burst}
				quota[u.client] = q
			}
			if q.take(u.at, u.units) {
				o.BeyondQuota += u.units
				q.level += u.units // units beyond the quota are returned, so that they don't put the next use beyond it
				o.Quota = max(o.Quota, u.units-q.level)
			}
		}
		if p.CeilingRate > 0 {
			q := ceiling[u.client]
			if q == nil {
				q = &tokenBucket{level: p.CeilingBurst, rate: p.CeilingRate, burst: p.CeilingBurst}
				ceiling[u.client] = q
			}
			q.take(u.at, u.units)
			if q.lowest < -p.CeilingSlack-ceilingSlackS*p.CeilingRate && !math.IsInf(q.burst, 1) {
				result.addViolation(CeilingsKept, "client %s on %s went %.1f units below its ceiling at %s, %.1f are allowed", u.client, p.Name,
					-q.lowest, u.at.Format("15:04:05.000"), p.CeilingSlack)
				q.burst = math.Inf(1) // reported once
			}
			o.Ceiling = max(o.Ceiling, -q.lowest)
		}
	}
	for _, p := range r.Plans {
		result.Overshoots = append(result.Overshoots, *over[p.Name])
	}
}

func (result *Result) groupAttempts(r *Record) {
	index := map[[2]string]int{}
	for _, t := range r.Attempts {
		key := [2]string{t.Class, r.PlanOf[t.Client]}
		i, ok := index[key]
		if !ok {
			i = len(result.Groups)
			index[key] = i
			result.Groups = append(result.Groups, Group{key[0], key[1], map[Outcome]int{}, hdrhistogram.New(1, 60_000_000, 3)})
		}
		g := &result.Groups[i]
		g.Outcomes[t.Outcome]++
		if t.Outcome == Served {
			_ = g.Latency.RecordValue(max(1, t.EndedAt.Sub(t.SentAt).Microseconds())) // fails above one minute; no such attempt is served
		}
	}
	slices.SortFunc(result.Groups, func(a, b Group) int {
		return slices.Compare([]string{a.Plan, a.Class}, []string{b.Plan, b.Class})
	})
}

// maxShownViolations is how many violations of a rule are printed.
const maxShownViolations = 15

// Write prints the result. Its last line is the summary.
func (result *Result) Write(w io.Writer) error {
	var err error
	p := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	p("%-10s %-12s %7s %7s %7s %9s %8s %8s %9s  p50      p99      p99.9 ms\n", "plan", "class", "served", "refused", "failed",
		"admitted", "limited", "broken", "unreached")
	for _, g := range result.Groups {
		p("%-10s %-12s %7d %7d %7d %9d %8d %8d %9d", g.Plan, g.Class, g.Outcomes[Served], g.Outcomes[Refused], g.Outcomes[Failed], g.Outcomes[Admitted],
			g.Outcomes[Limited], g.Outcomes[ConnectionLost]+g.Outcomes[Unanswered], g.Outcomes[NotConnected])
		if g.Latency.TotalCount() > 0 {
			for _, q := range []float64{50, 99, 99.9} {
				p("  %-7.1f", float64(g.Latency.ValueAtQuantile(q))/1000)
			}
		}
		p("\n")
	}
	for _, o := range result.Overshoots {
		p("plan %s: %.0f units sent on, %.2f%% beyond quotas", o.Plan, o.Units, 100*o.BeyondQuota/max(o.Units, 1))
		if o.Allowed > 0 {
			p("; ceiling passed by %.1f units at most, %.1f allowed", o.Ceiling, o.Allowed)
		}
		p("\n")
	}
	broken := 0
	for r, list := range result.Violations {
		if len(list) == 0 {
			p("kept    %s\n", Rule(r))
			continue
		}
		broken++
		p("BROKEN  %s (%s), %d times\n", Rule(r), ShortNames[r], len(list))
		for _, s := range list[:min(maxShownViolations, len(list))] {
			p("        %s\n", s)
		}
	}
	p("rules: %d kept, %d broken; %d requests\n", int(ruleCount)-broken, broken, result.Requests)
	return err
}
