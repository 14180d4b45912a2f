package audit

import (
	"strings"
	"testing"
	"time"

	"cometpond/policy"
)

var t0 = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func at(s float64) time.Time { return t0.Add(time.Duration(s * 1e9)) }

// clean is a record in which all rules are kept.
func clean() *Record {
	return &Record{
		Classes: []policy.Class{{Name: "read", DeadlineS: 2, Effect: policy.Safe},
			{Name: "put", DeadlineS: 4, Effect: policy.Keyed, KeyScope: policy.ScopeZone, KeyTTLS: 7.5},
			{Name: "pay", DeadlineS: 4, Effect: policy.Unsafe}},
		Plans:  []policy.Plan{{Name: "capped", Rate: 1, Burst: 2, CeilingRate: 2, CeilingBurst: 4, CeilingSlack: 1}},
		PlanOf: map[string]string{"ada": "capped"},
		Attempts: []ClientAttempt{
			{ID: "r1", Client: "ada", Class: "read", Units: 1, SentAt: at(1), EndedAt: at(1.1), Outcome: Served},
			{ID: "p1", Client: "ada", Class: "put", Key: "k", Units: 1, SentAt: at(2), EndedAt: at(2.2), Outcome: Served},
			{ID: "x1", Client: "ada", Class: "pay", Units: 1, SentAt: at(3), EndedAt: at(3.2), Outcome: Failed},
			{ID: "r2", Client: "ada", Class: "read", Units: 1, SentAt: at(8), EndedAt: at(8.1), Outcome: ConnectionLost, Excused: true},
		},
		Arrivals: []Arrival{
			{At: at(1.02), Server: "b1", Instance: "i0", AttemptID: "r1", Class: "read", Client: "ada", Executed: true},
			{At: at(1.05), Server: "b2", Instance: "i0", AttemptID: "r1", Class: "read", Client: "ada", Executed: true},
			{At: at(2.05), Server: "b1", Instance: "i0", AttemptID: "p1", Class: "put", Client: "ada", Key: "k", Executed: true},
			{At: at(3.05), Server: "b1", Instance: "i0", AttemptID: "x1", Class: "pay", Client: "ada", Executed: true},
		},
		Pushes: []Push{{at(0), map[string]bool{"b1": true, "b2": true}}, {at(1.4), map[string]bool{"b1": true}},
			{at(20), map[string]bool{"b1": true, "b2": true}}},
		Acknowledgements: []Acknowledgement{{At: at(0), Instance: "i0"}, {At: at(1.5), Instance: "i0", PushIndex: 1}},
		DrainGrace:       2 * time.Second,
	}
}

func TestJudge(t *testing.T) {
	if v := Evaluate(clean()); !v.Kept() || v.Requests != 4 {
		t.Fatalf("a clean record: %+v", v.Violations)
	}
	for name, change := range map[string]func(*Record){
		"answered when it went on": func(r *Record) { r.Pauses, r.Attempts[0].EndedAt = []Pause{{From: at(1.05), To: at(6)}}, at(6.1) },
		"two stalls": func(r *Record) {
			r.Pauses, r.Attempts[0].EndedAt = []Pause{{From: at(6.05), To: at(9)}, {From: at(1.05), To: at(6)}}, at(9.1)
		},
		"held on the way to the box": func(r *Record) {
			r.Pauses, r.Arrivals[1].At = []Pause{{Server: "b2", From: at(1.05), To: at(1.6), Network: true}}, at(1.62)
		},
		"held on the wire": func(r *Record) {
			r.Pauses, r.Attempts[0].EndedAt = []Pause{{From: at(1.01), To: at(4), Network: true}}, at(4.5)
			r.Arrivals[0].At, r.Arrivals[1].At = at(4.1), at(4.2)
			r.Pushes, r.Acknowledgements = r.Pushes[:1], r.Acknowledgements[:1]
		},
	} {
		r := clean()
		change(r)
		if v := Evaluate(r); !v.Kept() {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
	for name, c := range map[string]struct {
		rule   Rule
		change func(*Record)
	}{
		"no answer":         {NoRequestLost, func(r *Record) { r.Attempts[0].Outcome = Unanswered }},
		"late answer":       {NoRequestLost, func(r *Record) { r.Attempts[0].EndedAt = at(3.5) }},
		"two answers":       {NoRequestLost, func(r *Record) { r.Attempts[0].ExtraAnswers = 1 }},
		"connection closed": {NoRequestLost, func(r *Record) { r.Attempts[3].Excused = false }},
		"sent after answer": {NoRequestLost, func(r *Record) { r.Arrivals[1].At = at(1.5) }},
		"another's answer":  {NoRequestLost, func(r *Record) { r.Attempts[0].WrongAnswer = true }},
		"sent past its time": {NoRequestLost, func(r *Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Excused, r.Arrivals[1].At = ConnectionLost, true, at(3.3)
		}},
		"late after a stall": {NoRequestLost, func(r *Record) {
			r.Pauses, r.Attempts[0].EndedAt = []Pause{{From: at(1.05), To: at(6)}}, at(6.3)
		}},
		"sent after answer, another's wire held": {NoRequestLost, func(r *Record) {
			r.Pauses, r.Arrivals[1].At = []Pause{{Server: "b1", From: at(1.05), To: at(1.6), Network: true}}, at(1.62)
		}},
		"sent late in a stall": {NoRequestLost, func(r *Record) { // what the instance held is past its deadline whatever stood still
			r.Pauses, r.Attempts[0].EndedAt = []Pause{{From: at(1.05), To: at(6)}}, at(6.1)
			r.Arrivals[1].At, r.Acknowledgements = at(6.05), r.Acknowledgements[:1]
		}},
		"work of no client":    {NoRequestLost, func(r *Record) { r.Arrivals[1].AttemptID = "zz" }},
		"unsafe ran twice":     {NoEffectTwice, func(r *Record) { r.Arrivals = append(r.Arrivals, r.Arrivals[3]) }},
		"key ran twice":        {NoEffectTwice, func(r *Record) { r.Arrivals = append(r.Arrivals, r.Arrivals[2]) }},
		"refused after it ran": {NoEffectTwice, func(r *Record) { r.Attempts[2].Outcome = Refused }},
		"told off": {DrainsKept, func(r *Record) {
			a := r.Arrivals[1]
			a.At, a.AttemptID = at(8.05), "r2"
			r.Arrivals = append(r.Arrivals, a)
		}},
		"pushed over": {NoColdServerOverloaded, func(r *Record) { r.Overloads = []Overload{{at(3), "b1"}} }},
		"over the ceiling": {CeilingsKept, func(r *Record) {
			for i := range r.Attempts[:3] {
				r.Attempts[i].Units = 5
			}
		}},
	} {
		r := clean()
		c.change(r)
		v := Evaluate(r)
		for rule, list := range v.Violations {
			if (len(list) > 0) != (Rule(rule) == c.rule) {
				t.Errorf("%s: rule %q: %v", name, Rule(rule), list)
			}
		}
		var b strings.Builder
		if err := v.Write(&b); err != nil || !strings.HasSuffix(b.String(), "rules: 4 kept, 1 broken; 4 requests\n") ||
			!strings.Contains(b.String(), "("+ShortNames[c.rule]+")") {
			t.Errorf("%s: %v %s", name, err, b.String())
		}
	}
}

// Work within the grace, to a box that came back meanwhile, or from an instance that began anew is no breach.
func TestDrainGrace(t *testing.T) {
	for name, change := range map[string]func(*Record){
		"within the grace": func(r *Record) { r.Arrivals[1].At = at(1.1) },
		"back again": func(r *Record) {
			r.Pushes[2].At = at(8.04) // acted on before its acknowledgement is seen
			a := r.Arrivals[1]
			a.At, a.AttemptID = at(8.05), "r2"
			r.Arrivals = append(r.Arrivals, a)
		},
		"restarted": func(r *Record) {
			r.Acknowledgements = append(r.Acknowledgements, Acknowledgement{At: at(7), Instance: "i0", Restarted: true})
			a := r.Arrivals[1]
			a.At, a.AttemptID = at(8.05), "r2"
			r.Arrivals = append(r.Arrivals, a)
		},
	} {
		r := clean()
		change(r)
		if v := Evaluate(r); !v.Kept() {
			t.Errorf("%s: %v", name, v.Violations)
		}
	}
}
