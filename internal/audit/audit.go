// Package audit judges the five rules from what clients, boxes and the discovery server saw on their
// sockets. It takes no instance's word, does no I/O and has no clock.
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

// Rule is one of the five.
type Rule int

// The rules.
const (
	NoRequestLost          Rule = iota // each request taken has one final answer in time, and nothing is sent for it after
	NoEffectTwice                      // no effect happens twice, and a refusal is harmless
	DrainsKept                         // nothing new to a box that drains or is gone
	NoColdServerOverloaded             // no box that has just started is pushed over
	CeilingsKept                       // no customer passes its hard ceiling
	rules
)

var ruleNames = [rules]string{"no request lost", "no effect twice", "drains kept", "no cold box pushed over", "ceilings kept"}

// ShortNames are the rules' names on the command line.
var ShortNames = [rules]string{"lost", "repeat", "drain", "cold", "ceiling"}

func (r Rule) String() string { return ruleNames[r] }

// Outcome is the way a try ended for its client.
type Outcome string

// The ends.
const (
	Served         Outcome = "served"
	Refused        Outcome = "refused"
	Failed         Outcome = "failed"
	Admitted       Outcome = "admitted"   // units alone
	Limited        Outcome = "limited"    // units alone, refused
	ConnectionLost Outcome = "broken"     // the connection ended first
	Unanswered     Outcome = "unanswered" // nothing came in time
	NotConnected   Outcome = "unreached"  // no connection was had: nobody took it
)

// ClientAttempt is one command as its client saw it.
type ClientAttempt struct {
	ID, Client, Class, Key string
	Instance               int
	Units                  float64
	SentAt, EndedAt        time.Time
	Outcome                Outcome
	ExtraAnswers           int  // answers beyond the first
	Excused                bool // its instance was killed while it was out
	WrongAnswer            bool // the answer was another's
}

// Pause is a time in which an instance stood still, or in which the wire between it and its clients did, or the
// one to a box: then it may not know how old a request is, nor call back what it has sent.
type Pause struct {
	Instance int    // without a box
	Server   string // the wire to this box, from all instances
	From, To time.Time
	Network  bool
}

// Arrival is one command as a box saw it.
type Arrival struct {
	At                                              time.Time
	Server, Instance, AttemptID, Class, Client, Key string
	Executed                                        bool
}

// Push is a list of boxes that discovery offered to all instances.
type Push struct {
	At time.Time
	Up map[string]bool // the boxes that may get new work
}

// Acknowledgement is the moment at which an instance acknowledged a list, by its index among the pushes, or, with
// Restart, began anew.
type Acknowledgement struct {
	At        time.Time
	Instance  string
	PushIndex int
	Restarted bool
}

// Overload is a box that was pushed over.
type Overload struct {
	At     time.Time
	Server string
}

// Record is all that was seen.
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
	Slack            time.Duration // how late the machine may see an answer or an arrival, 250 ms where it is 0
}

// Tolerances of measuring on one busy machine.
const (
	usualSlack   = 250 * time.Millisecond
	ceilingSlack = 0.1 // seconds of the ceiling's rate by which arrivals may bunch
)

// Result is what a record comes to.
type Result struct {
	Violations [rules][]string // what broke each rule
	Requests   int             // tries that an instance took
	Groups     []Group
	Overshoots []Overshoot
}

// Group is the tries of one class and plan.
type Group struct {
	Class, Plan string
	Outcomes    map[Outcome]int
	Latency     *hdrhistogram.Histogram // of served ones, microseconds
}

// Overshoot is how far the customers of a plan went past its quota and ceiling, in units: the deepest that
// the store of any of them went below 0.
type Overshoot struct {
	Plan                    string
	Quota, Ceiling, Allowed float64 // allowed: the ceiling's slack
	Units, BeyondQuota      float64 // sent on in all, and of them beyond quotas
}

// Kept tells whether all rules were kept.
func (v *Result) Kept() bool {
	for _, b := range v.Violations {
		if len(b) > 0 {
			return false
		}
	}
	return true
}

func (v *Result) broke(r Rule, format string, args ...any) {
	v.Violations[r] = append(v.Violations[r], fmt.Sprintf(format, args...))
}

// Evaluate reads a record.
func Evaluate(r *Record) *Result {
	v := &Result{}
	if r.Slack == 0 {
		r.Slack = usualSlack
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
	v.lost(r, classes, tries)
	v.repeats(r, classes, tries)
	v.drains(r)
	for _, f := range r.Overloads {
		v.broke(NoColdServerOverloaded, "%s fell over at %s", f.Server, f.At.Format("15:04:05.000"))
	}
	v.quotas(r, tries)
	v.groups(r)
	return v
}

func (v *Result) lost(r *Record, classes map[string]*policy.Class, tries map[string]*ClientAttempt) {
	for i := range r.Attempts {
		t := &r.Attempts[i]
		if t.Outcome != NotConnected {
			v.Requests++
		}
		late := time.Duration(0)
		if c := classes[t.Class]; c != nil {
			late = t.EndedAt.Sub(r.due(t, c)) - r.Slack
		}
		switch {
		case t.WrongAnswer:
			v.broke(NoRequestLost, "try %s had the answer of another", t.ID)
		case t.ExtraAnswers > 0:
			v.broke(NoRequestLost, "try %s had %d answers", t.ID, 1+t.ExtraAnswers)
		case t.Excused || t.Outcome == NotConnected:
		case t.Outcome == Unanswered:
			v.broke(NoRequestLost, "try %s at instance %d had no answer", t.ID, t.Instance)
		case t.Outcome == ConnectionLost:
			v.broke(NoRequestLost, "try %s lost its connection to instance %d, which ran on", t.ID, t.Instance)
		case late > 0:
			v.broke(NoRequestLost, "try %s (%s, sent at %s to instance %d, %s) was answered %v after its deadline", t.ID, t.Class,
				t.SentAt.Format("15:04:05.000"), t.Instance, t.Outcome, late)
		}
	}
	for i := range r.Arrivals {
		a := &r.Arrivals[i]
		t := tries[a.AttemptID]
		if t == nil {
			v.broke(NoRequestLost, "%s got %s, which no client sent", a.Server, a.AttemptID)
			continue
		}
		way, late := r.onTheWire(t, a)
		if answered(t.Outcome) && a.At.Sub(t.EndedAt)-late > r.Slack {
			v.broke(NoRequestLost, "%s got try %s %v after its final answer", a.Server, a.AttemptID, a.At.Sub(t.EndedAt))
		} else if c := classes[t.Class]; c != nil && a.At.Sub(t.SentAt)-way > time.Duration(c.DeadlineS*1e9)+r.Slack {
			v.broke(NoRequestLost, "%s got try %s %v after it was sent, past its deadline", a.Server, a.AttemptID, a.At.Sub(t.SentAt))
		}
	}
}

// due is when a try's answer is due: by its deadline, or when its instance goes on after having stood still over
// it. No stopped process can answer, and what is held on the wire comes as much later.
func (r *Record) due(t *ClientAttempt, c *policy.Class) time.Time {
	due := t.SentAt.Add(time.Duration(c.DeadlineS * 1e9))
	for _, s := range r.Pauses { // in the order of their beginnings
		switch {
		case s.Server != "" || s.Instance != t.Instance || s.From.After(due.Add(r.Slack)) || s.To.Before(t.SentAt):
		case s.Network:
			due = due.Add(s.within(t.SentAt, s.To))
		case s.To.After(due):
			due = s.To
		}
	}
	return due
}

// within is how much of a stall lies between two times.
func (s *Pause) within(from, to time.Time) time.Duration {
	if from.Before(s.From) {
		from = s.From
	}
	if to.After(s.To) {
		to = s.To
	}
	return max(0, to.Sub(from))
}

// onTheWire is how long, at most, a try lay held up before it reached a box: on its way to the instance, and,
// which is all that counts once it has been answered, on its way from there.
func (r *Record) onTheWire(t *ClientAttempt, a *Arrival) (before, after time.Duration) {
	for _, s := range r.Pauses {
		if s.Server == a.Server {
			after += s.within(t.SentAt, a.At)
		} else if s.Network && s.Server == "" && s.Instance == t.Instance {
			before += s.within(t.SentAt, a.At)
		}
	}
	return before + after, after
}

func answered(e Outcome) bool { return e == Served || e == Refused || e == Failed }

func (v *Result) repeats(r *Record, classes map[string]*policy.Class, tries map[string]*ClientAttempt) {
	ran := map[string][]Arrival{} // by effect
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
			v.broke(NoEffectTwice, "try %s was refused as harmless and ran at %s", a.AttemptID, a.Server)
		}
	}
	for effect, list := range ran {
		if len(list) > 1 {
			v.broke(NoEffectTwice, "%s ran %d times, at %s and %s, %v apart", effect, len(list), list[0].Server, list[1].Server,
				list[1].At.Sub(list[0].At).Round(time.Millisecond))
		}
	}
	sort.Strings(v.Violations[NoEffectTwice])
}

// drains looks for work that came to a box later than the grace after its instance was told not to.
func (v *Result) drains(r *Record) {
	byInstance := map[string][]Acknowledgement{}
	for _, n := range r.Acknowledgements {
		byInstance[n.Instance] = append(byInstance[n.Instance], n)
	}
	for _, list := range byInstance {
		slices.SortStableFunc(list, func(a, b Acknowledgement) int { return a.At.Compare(b.At) })
	}
	for _, a := range r.Arrivals {
		// What it had acknowledged before the grace said so, and no list since said otherwise: an
		// instance may act on a list a little before its acknowledgement is seen.
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
			v.broke(DrainsKept, "%s got try %s from %s at %s, told off over %v before", a.Server, a.AttemptID, a.Instance,
				a.At.Format("15:04:05.000"), r.DrainGrace)
		}
	}
}

// store is a quota or ceiling as the rules count it.
type store struct {
	level, rate, burst, low float64
	at                      time.Time
}

func (s *store) take(at time.Time, units float64) (beyond bool) {
	if !s.at.IsZero() {
		s.level = min(s.burst, s.level+s.rate*max(0, at.Sub(s.at).Seconds()))
	}
	s.at = at
	beyond = s.level < units
	s.level -= units
	s.low = min(s.low, s.level)
	return beyond
}

// quotas counts, for each customer, the units of each try when it first reached a box or was admitted.
func (v *Result) quotas(r *Record, tries map[string]*ClientAttempt) {
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
	quota, ceiling := map[string]*store{}, map[string]*store{}
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
				q = &store{level: p.Burst, rate: p.Rate, burst: p.Burst}
				quota[u.client] = q
			}
			if q.take(u.at, u.units) {
				o.BeyondQuota += u.units
				q.level += u.units // what is beyond takes nothing: it does not make the next one beyond
				o.Quota = max(o.Quota, u.units-q.level)
			}
		}
		if p.CeilingRate > 0 {
			q := ceiling[u.client]
			if q == nil {
				q = &store{level: p.CeilingBurst, rate: p.CeilingRate, burst: p.CeilingBurst}
				ceiling[u.client] = q
			}
			q.take(u.at, u.units)
			if q.low < -p.CeilingSlack-ceilingSlack*p.CeilingRate && !math.IsInf(q.burst, 1) {
				v.broke(CeilingsKept, "client %s on %s went %.1f units below its ceiling at %s, %.1f are allowed", u.client, p.Name,
					-q.low, u.at.Format("15:04:05.000"), p.CeilingSlack)
				q.burst = math.Inf(1) // told once
			}
			o.Ceiling = max(o.Ceiling, -q.low)
		}
	}
	for _, p := range r.Plans {
		v.Overshoots = append(v.Overshoots, *over[p.Name])
	}
}

func (v *Result) groups(r *Record) {
	index := map[[2]string]int{}
	for _, t := range r.Attempts {
		key := [2]string{t.Class, r.PlanOf[t.Client]}
		i, ok := index[key]
		if !ok {
			i = len(v.Groups)
			index[key] = i
			v.Groups = append(v.Groups, Group{key[0], key[1], map[Outcome]int{}, hdrhistogram.New(1, 60_000_000, 3)})
		}
		g := &v.Groups[i]
		g.Outcomes[t.Outcome]++
		if t.Outcome == Served {
			_ = g.Latency.RecordValue(max(1, t.EndedAt.Sub(t.SentAt).Microseconds())) // past a minute it is not served
		}
	}
	slices.SortFunc(v.Groups, func(a, b Group) int {
		return slices.Compare([]string{a.Plan, a.Class}, []string{b.Plan, b.Class})
	})
}

// shown is how many breaches of a rule are printed.
const shown = 15

// Write prints the verdict. Its last line is the sum.
func (v *Result) Write(w io.Writer) error {
	var err error
	p := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	p("%-10s %-12s %7s %7s %7s %9s %8s %8s %9s  p50      p99      p99.9 ms\n", "plan", "class", "served", "refused", "failed",
		"admitted", "limited", "broken", "unreached")
	for _, g := range v.Groups {
		p("%-10s %-12s %7d %7d %7d %9d %8d %8d %9d", g.Plan, g.Class, g.Outcomes[Served], g.Outcomes[Refused], g.Outcomes[Failed], g.Outcomes[Admitted],
			g.Outcomes[Limited], g.Outcomes[ConnectionLost]+g.Outcomes[Unanswered], g.Outcomes[NotConnected])
		if g.Latency.TotalCount() > 0 {
			for _, q := range []float64{50, 99, 99.9} {
				p("  %-7.1f", float64(g.Latency.ValueAtQuantile(q))/1000)
			}
		}
		p("\n")
	}
	for _, o := range v.Overshoots {
		p("plan %s: %.0f units sent on, %.2f%% beyond quotas", o.Plan, o.Units, 100*o.BeyondQuota/max(o.Units, 1))
		if o.Allowed > 0 {
			p("; ceiling passed by %.1f units at most, %.1f allowed", o.Ceiling, o.Allowed)
		}
		p("\n")
	}
	broken := 0
	for r, list := range v.Violations {
		if len(list) == 0 {
			p("kept    %s\n", Rule(r))
			continue
		}
		broken++
		p("BROKEN  %s (%s), %d times\n", Rule(r), ShortNames[r], len(list))
		for _, s := range list[:min(shown, len(list))] {
			p("        %s\n", s)
		}
	}
	p("rules: %d kept, %d broken; %d requests\n", int(rules)-broken, broken, v.Requests)
	return err
}
