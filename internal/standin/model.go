// Package standin holds stand-ins for the systems around an instance: back-end servers that speak RESP, discovery servers, and
// relays that impair network traffic. They serve tests and the command 'cometpond day'.
package standin

import "math"

// Params are the parameters of a simulated server. Times are in seconds.
type Params struct {
	Cores            int
	QueueLength      int     // number of waiting requests above which work is rejected
	Speed            float64 // of each core; a core of speed 1 does one second of work per second
	ColdStartShare   float64 // share of the full capacity right after a start
	ColdPeriodS      float64 // time from a start to full capacity
	OverloadMultiple float64 // a cold server crashes if it is sent more than this multiple of its capacity
	OverloadWindowS  float64 // period over which OverloadMultiple is measured
}

// DefaultParams are the parameters of a server with three cores.
var DefaultParams = Params{Cores: 3, QueueLength: 48, Speed: 1, ColdStartShare: 0.3, ColdPeriodS: 10,
	OverloadMultiple: 2, OverloadWindowS: 1.5}

// Model simulates the cores and the first-come, first-served queue of a server. It has no clock and does no I/O: callers pass
// the current time in seconds.
type Model struct {
	params       Params
	coreFreeAt   []float64 // when each core finishes its work
	startedAt    float64   // time of the last start, 0: long ago
	slowdown     float64
	crashed      bool
	recentOffers []offer   // work offered within OverloadWindowS while cold
	queuedStarts []float64 // when each queued request starts
}

// offer is work that was offered at a point in time.
type offer struct{ at, work float64 }

// Outcome is the result of offering work to a server.
type Outcome int

// The outcomes.
const (
	Accepted  Outcome = iota
	QueueFull         // rejected without running, because the queue was full
	Crashed           // the server crashed on this work, or had crashed before
)

// NewModel returns the model of an idle, warm server.
func NewModel(p Params) *Model {
	return &Model{params: p, coreFreeAt: make([]float64, p.Cores), slowdown: 1}
}

// Restart drops all work and makes the server cold.
func (model *Model) Restart(now float64) {
	slow := model.slowdown
	*model = *NewModel(model.params)
	model.startedAt, model.slowdown = now, slow
}

// Slow multiplies the duration of all later work by a factor; 1 restores normal speed.
func (model *Model) Slow(factor float64) { model.slowdown = factor }

// Crashed reports whether the server has crashed from overload.
func (model *Model) Crashed() bool { return model.crashed }

// warmShare returns the share of the full capacity that the server has at a time. It rises linearly during the cold period.
func (model *Model) warmShare(now float64) float64 {
	age := now - model.startedAt
	if model.startedAt == 0 || age >= model.params.ColdPeriodS {
		return 1
	}
	return model.params.ColdStartShare + (1-model.params.ColdStartShare)*max(age, 0)/model.params.ColdPeriodS
}

// Offer gives the server work, in seconds of a core of speed 1. It returns the outcome and, if accepted, when the work is done.
func (model *Model) Offer(now, work float64) (doneAt float64, r Outcome) {
	warmth := model.warmShare(now)
	if warmth < 1 && !model.crashed {
		keep := model.recentOffers[:0]
		sum, most := work, work
		for _, o := range model.recentOffers {
			if now-o.at < model.params.OverloadWindowS {
				keep = append(keep, o)
				sum, most = sum+o.work, max(most, o.work)
			}
		}
		model.recentOffers = append(keep, offer{now, work})
		capacity := float64(model.params.Cores) * model.params.Speed * warmth / model.slowdown
		// The tolerance of twice the largest piece covers two large pieces that arrive together by chance.
		model.crashed = sum > model.params.OverloadMultiple*capacity*model.params.OverloadWindowS+2*most
	}
	if model.crashed {
		return 0, Crashed
	}
	best := 0
	for i, f := range model.coreFreeAt {
		if f < model.coreFreeAt[best] {
			best = i
		}
	}
	start := max(now, model.coreFreeAt[best])
	waiting := 0
	keep := model.queuedStarts[:0]
	for _, at := range model.queuedStarts {
		if at > now {
			waiting++
			keep = append(keep, at)
		}
	}
	model.queuedStarts = keep
	if start > now {
		if waiting >= model.params.QueueLength {
			return 0, QueueFull
		}
		model.queuedStarts = append(model.queuedStarts, start)
	}
	doneAt = start + work*model.slowdown/(model.params.Speed*warmth)
	model.coreFreeAt[best] = doneAt
	return doneAt, Accepted
}

// Util returns the share of the cores that is busy.
func (model *Model) Util(now float64) float64 {
	n := 0
	for _, f := range model.coreFreeAt {
		if f > now {
			n++
		}
	}
	return float64(n) / math.Max(1, float64(len(model.coreFreeAt)))
}

// Waiting returns the number of requests in the queue.
func (model *Model) Waiting(now float64) (n int) {
	for _, at := range model.queuedStarts {
		if at > now {
			n++
		}
	}
	return n
}
