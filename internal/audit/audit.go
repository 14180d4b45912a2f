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
	for _, violations := range result.Violations {
		if len(violations) > 0 {
			return false
		}
	}
	return true
}

func (result *Result) addViolation(r Rule, format string, args ...any) {
	result.Violations[r] = append(result.Violations[r], fmt.Sprintf(format, args...))
}

// Evaluate checks a record against the rules.
func Evaluate(record *Record) *Result {
	result := &Result{}
	if record.Slack == 0 {
		record.Slack = defaultSlack
	}
	slices.SortStableFunc(record.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(record.Pauses, func(a, b Pause) int { return a.From.Compare(b.From) })
	classes := map[string]*policy.Class{}
	for i := range record.Classes {
		classes[record.Classes[i].Name] = &record.Classes[i]
	}
	attempts := map[string]*ClientAttempt{}
	for i := range record.Attempts {
		attempts[record.Attempts[i].ID] = &record.Attempts[i]
	}
	result.checkLostRequests(record, classes, attempts)
	result.checkRepeatedEffects(record, classes, attempts)
	result.checkDrains(record)
	for _, overload := range record.Overloads {
		result.addViolation(NoColdServerOverloaded, "%s failed under overload at %s", overload.Server,
			overload.At.Format("15:04:05.000"))
	}
	result.checkQuotas(record, attempts)
	result.groupAttempts(record)
	return result
}

// checkLostRequests checks that each attempt has one answer in time and that nothing reaches a server after the
// answer or the deadline.
func (result *Result) checkLostRequests(record *Record, classes map[string]*policy.Class, attempts map[string]*ClientAttempt) {
	for i := range record.Attempts {
		attempt := &record.Attempts[i]
		if attempt.Outcome != NotConnected {
			result.Requests++
		}
		late := time.Duration(0)
		if class := classes[attempt.Class]; class != nil {
			late = attempt.EndedAt.Sub(record.answerDue(attempt, class)) - record.Slack
		}
		switch {
		case attempt.WrongAnswer:
			result.addViolation(NoRequestLost, "attempt %s received the answer of another attempt", attempt.ID)
		case attempt.ExtraAnswers > 0:
			result.addViolation(NoRequestLost, "attempt %s received %d answers", attempt.ID, 1+attempt.ExtraAnswers)
		case attempt.Excused || attempt.Outcome == NotConnected:
		case attempt.Outcome == Unanswered:
			result.addViolation(NoRequestLost, "attempt %s at instance %d received no answer", attempt.ID, attempt.Instance)
		case attempt.Outcome == ConnectionLost:
			result.addViolation(NoRequestLost, "attempt %s lost its connection to instance %d, which kept running", attempt.ID,
				attempt.Instance)
		case late > 0:
			result.addViolation(NoRequestLost, "attempt %s (%s, sent at %s to instance %d, %s) was answered %v after its deadline",
				attempt.ID, attempt.Class,
				attempt.SentAt.Format("15:04:05.000"), attempt.Instance, attempt.Outcome, late)
		}
	}
	for i := range record.Arrivals {
		arrival := &record.Arrivals[i]
		attempt := attempts[arrival.AttemptID]
		if attempt == nil {
			result.addViolation(NoRequestLost, "%s received %s, which no client sent", arrival.Server, arrival.AttemptID)
			continue
		}
		delay, late := record.networkDelay(attempt, arrival)
		if answered(attempt.Outcome) && arrival.At.Sub(attempt.EndedAt)-late > record.Slack {
			result.addViolation(NoRequestLost, "%s received attempt %s %v after its final answer", arrival.Server, arrival.AttemptID,
				arrival.At.Sub(attempt.EndedAt))
		} else if class := classes[attempt.Class]; class != nil &&
			arrival.At.Sub(attempt.SentAt)-delay > time.Duration(class.DeadlineS*1e9)+record.Slack {
			result.addViolation(NoRequestLost, "%s received attempt %s %v after it was sent, past its deadline", arrival.Server,
				arrival.AttemptID, arrival.At.Sub(attempt.SentAt))
		}
	}
}

// answerDue returns when the answer to an attempt is due: at its deadline, or when its instance resumes if a pause
// lasts past the deadline, since a stopped process can't answer. A disturbed network delays the answer by as much
// as the disturbance lasts.
func (record *Record) answerDue(attempt *ClientAttempt, class *policy.Class) time.Time {
	due := attempt.SentAt.Add(time.Duration(class.DeadlineS * 1e9))
	for _, pause := range record.Pauses { // ordered by start
		switch {
		case pause.Server != "" || pause.Instance != attempt.Instance || pause.From.After(due.Add(record.Slack)) ||
			pause.To.Before(attempt.SentAt):
		case pause.Network:
			due = due.Add(pause.overlap(attempt.SentAt, pause.To))
		case pause.To.After(due):
			due = pause.To
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
func (record *Record) networkDelay(attempt *ClientAttempt, arrival *Arrival) (before, after time.Duration) {
	for _, pause := range record.Pauses {
		if pause.Server == arrival.Server {
			after += pause.overlap(attempt.SentAt, arrival.At)
		} else if pause.Network && pause.Server == "" && pause.Instance == attempt.Instance {
			before += pause.overlap(attempt.SentAt, arrival.At)
		}
	}
	return before + after, after
}

// answered reports whether an outcome is a final answer to a request for work.
func answered(outcome Outcome) bool {
	return outcome == Served || outcome == Refused || outcome == Failed
}

// checkRepeatedEffects checks that no unsafe or keyed effect happened twice and that refused attempts had none.
func (result *Result) checkRepeatedEffects(record *Record, classes map[string]*policy.Class, attempts map[string]*ClientAttempt) {
	executed := map[string][]Arrival{} // by the identity of the effect
	for _, arrival := range record.Arrivals {
		class := classes[arrival.Class]
		if !arrival.Executed || class == nil || class.Effect == policy.Safe {
			continue
		}
		effect := arrival.Client + " " + arrival.AttemptID
		if class.Effect == policy.Keyed {
			effect = arrival.Client + " " + arrival.Key
		}
		executed[effect] = append(executed[effect], arrival)
		if attempt := attempts[arrival.AttemptID]; attempt != nil && attempt.Outcome == Refused &&
			!(class.Effect == policy.Keyed && class.KeyScope == policy.ScopeAll) {
			result.addViolation(NoEffectTwice, "attempt %s was refused as without effect but was executed at %s", arrival.AttemptID,
				arrival.Server)
		}
	}
	for effect, list := range executed {
		if len(list) > 1 {
			result.addViolation(NoEffectTwice, "%s was executed %d times, at %s and %s, %v apart", effect, len(list), list[0].Server,
				list[1].Server, list[1].At.Sub(list[0].At).Round(time.Millisecond))
		}
	}
	sort.Strings(result.Violations[NoEffectTwice])
}

// checkDrains looks for work that reached a server later than the grace period after its instance acknowledged a list
// in which the server no longer takes new work.
func (result *Result) checkDrains(record *Record) {
	byInstance := map[string][]Acknowledgement{}
	for _, ack := range record.Acknowledgements {
		byInstance[ack.Instance] = append(byInstance[ack.Instance], ack)
	}
	for _, list := range byInstance {
		slices.SortStableFunc(list, func(a, b Acknowledgement) int { return a.At.Compare(b.At) })
	}
	for _, arrival := range record.Arrivals {
		// A violation needs that the list acknowledged before the grace period excluded the server and no
		// later list included it: an instance may act on a list shortly before its acknowledgement is observed.
		list := byInstance[arrival.Instance]
		limit := arrival.At.Add(-record.DrainGrace - record.Slack)
		first := sort.Search(len(list), func(i int) bool { return list[i].At.After(limit) })
		excluded := first > 0 && !list[first-1].Restarted
		for _, later := range list[first:] {
			excluded = excluded && !(later.Restarted && later.At.Before(arrival.At))
		}
		for offset := 0; excluded && first > 0 && list[first-1].PushIndex+offset < len(record.Pushes) &&
			!record.Pushes[list[first-1].PushIndex+offset].At.After(arrival.At); offset++ {
			excluded = !record.Pushes[list[first-1].PushIndex+offset].Up[arrival.Server]
		}
		if excluded {
			result.addViolation(DrainsKept,
				"%s received attempt %s from %s at %s, more than %v after the instance acknowledged its drain or removal",
				arrival.Server, arrival.AttemptID, arrival.Instance, arrival.At.Format("15:04:05.000"), record.DrainGrace)
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
func (result *Result) checkQuotas(record *Record, attempts map[string]*ClientAttempt) {
	type use struct {
		at     time.Time
		client string
		units  float64
	}
	var uses []use
	seen := map[string]bool{}
	for _, arrival := range record.Arrivals {
		if attempt := attempts[arrival.AttemptID]; attempt != nil && !seen[arrival.AttemptID] {
			seen[arrival.AttemptID] = true
			uses = append(uses, use{arrival.At, attempt.Client, attempt.Units})
		}
	}
	for _, attempt := range record.Attempts {
		if attempt.Outcome == Admitted {
			uses = append(uses, use{attempt.EndedAt, attempt.Client, attempt.Units})
		}
	}
	slices.SortStableFunc(uses, func(a, b use) int { return a.at.Compare(b.at) })
	plans := map[string]*policy.Plan{}
	overshoots := map[string]*Overshoot{}
	for i := range record.Plans {
		plan := &record.Plans[i]
		plans[plan.Name] = plan
		overshoots[plan.Name] = &Overshoot{Plan: plan.Name, Allowed: plan.CeilingSlack}
	}
	quotas, ceilings := map[string]*tokenBucket{}, map[string]*tokenBucket{}
	for _, current := range uses {
		plan := plans[record.PlanOf[current.client]]
		if plan == nil {
			continue
		}
		overshoot := overshoots[plan.Name]
		overshoot.Units += current.units
		if plan.Rate > 0 {
			bucket := quotas[current.client]
			if bucket == nil {
				bucket = &tokenBucket{level: plan.Burst, rate: plan.Rate, burst: plan.Burst}
				quotas[current.client] = bucket
			}
			if bucket.take(current.at, current.units) {
				overshoot.BeyondQuota += current.units
				bucket.level += current.units // units beyond the quota are returned, so that they don't put the next use beyond it
				overshoot.Quota = max(overshoot.Quota, current.units-bucket.level)
			}
		}
		if plan.CeilingRate > 0 {
			bucket := ceilings[current.client]
			if bucket == nil {
				bucket = &tokenBucket{level: plan.CeilingBurst, rate: plan.CeilingRate, burst: plan.CeilingBurst}
				ceilings[current.client] = bucket
			}
			bucket.take(current.at, current.units)
			if bucket.lowest < -plan.CeilingSlack-ceilingSlackS*plan.CeilingRate && !math.IsInf(bucket.burst, 1) {
				result.addViolation(CeilingsKept, "client %s on %s went %.1f units below its ceiling at %s, %.1f are allowed",
					current.client, plan.Name,
					-bucket.lowest, current.at.Format("15:04:05.000"), plan.CeilingSlack)
				bucket.burst = math.Inf(1) // reported once
			}
			overshoot.Ceiling = max(overshoot.Ceiling, -bucket.lowest)
		}
	}
	for _, plan := range record.Plans {
		result.Overshoots = append(result.Overshoots, *overshoots[plan.Name])
	}
}

// groupAttempts counts the outcomes and latencies of attempts by class and plan.
func (result *Result) groupAttempts(record *Record) {
	index := map[[2]string]int{}
	for _, attempt := range record.Attempts {
		key := [2]string{attempt.Class, record.PlanOf[attempt.Client]}
		i, ok := index[key]
		if !ok {
			i = len(result.Groups)
			index[key] = i
			result.Groups = append(result.Groups, Group{key[0], key[1], map[Outcome]int{}, hdrhistogram.New(1, 60_000_000, 3)})
		}
		group := &result.Groups[i]
		group.Outcomes[attempt.Outcome]++
		if attempt.Outcome == Served {
			_ = group.Latency.RecordValue(max(1,
				attempt.EndedAt.Sub(attempt.SentAt).Microseconds())) // fails above one minute; no such attempt is served
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
	printf := func(format string, args ...any) {
		if err == nil {
			_, err = fmt.Fprintf(w, format, args...)
		}
	}
	printf("%-10s %-12s %7s %7s %7s %9s %8s %8s %9s  p50      p99      p99.9 ms\n", "plan", "class", "served", "refused", "failed",
		"admitted", "limited", "broken", "unreached")
	for _, group := range result.Groups {
		printf("%-10s %-12s %7d %7d %7d %9d %8d %8d %9d", group.Plan, group.Class, group.Outcomes[Served], group.Outcomes[Refused],
			group.Outcomes[Failed], group.Outcomes[Admitted],
			group.Outcomes[Limited], group.Outcomes[ConnectionLost]+group.Outcomes[Unanswered], group.Outcomes[NotConnected])
		if group.Latency.TotalCount() > 0 {
			for _, quantile := range []float64{50, 99, 99.9} {
				printf("  %-7.1f", float64(group.Latency.ValueAtQuantile(quantile))/1000)
			}
		}
		printf("\n")
	}
	for _, overshoot := range result.Overshoots {
		printf("plan %s: %.0f units sent on, %.2f%% beyond quotas", overshoot.Plan, overshoot.Units,
			100*overshoot.BeyondQuota/max(overshoot.Units, 1))
		if overshoot.Allowed > 0 {
			printf("; ceiling passed by %.1f units at most, %.1f allowed", overshoot.Ceiling, overshoot.Allowed)
		}
		printf("\n")
	}
	broken := 0
	for rule, list := range result.Violations {
		if len(list) == 0 {
			printf("kept    %s\n", Rule(rule))
			continue
		}
		broken++
		printf("BROKEN  %s (%s), %d times\n", Rule(rule), ShortNames[rule], len(list))
		for _, violation := range list[:min(maxShownViolations, len(list))] {
			printf("        %s\n", violation)
		}
	}
	printf("rules: %d kept, %d broken; %d requests\n", int(ruleCount)-broken, broken, result.Requests)
	return err
}
