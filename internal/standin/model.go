// Package standin plays the outside systems that an instance meets: boxes that speak RESP, an endpoint
// discovery server, and a relay between instances that loses and cuts. For tests and for 'cometpond day'.
package standin

import "math"

// Params describe a box. Times are in seconds.
type Params struct {
	Cores            int
	QueueLength      int     // requests waiting, beyond which work is turned away
	Speed            float64 // of a core; 1 does one second of work a second
	ColdStartShare   float64 // share of its capacity just after its start
	ColdPeriodS      float64 // until it is warm
	OverloadMultiple float64 // sent more than this multiple of its capacity
	OverloadWindowS  float64 // for so long while cold, it falls over
}

// DefaultParams are a box of three cores.
var DefaultParams = Params{Cores: 3, QueueLength: 48, Speed: 1, ColdStartShare: 0.3, ColdPeriodS: 10, OverloadMultiple: 2, OverloadWindowS: 1.5}

// Model is the state of a box's cores and queue: first come, first served. It has no clock and no I/O.
type Model struct {
	params       Params
	coreFreeAt   []float64 // when each core has done what it was given
	startedAt    float64   // 0: long ago
	slowdown     float64
	crashed      bool
	recentOffers []offer   // while cold
	queuedStarts []float64 // when what waits will begin
}

type offer struct{ at, work float64 }

// Outcome is what becomes of work offered to a box.
type Outcome int

// The rulings.
const (
	Accepted  Outcome = iota
	QueueFull         // turned away unseen
	Crashed           // the box fell over, or had before
)

// NewModel returns an idle, warm box.
func NewModel(p Params) *Model {
	return &Model{params: p, coreFreeAt: make([]float64, p.Cores), slowdown: 1}
}

// Restart empties the box and makes it cold.
func (model *Model) Restart(now float64) {
	slow := model.slowdown
	*model = *NewModel(model.params)
	model.startedAt, model.slowdown = now, slow
}

// Slow makes all work take so many times as long, 1 for as usual.
func (model *Model) Slow(factor float64) { model.slowdown = factor }

// Crashed tells whether the box has fallen over.
func (model *Model) Crashed() bool { return model.crashed }

// warmShare is the share of its capacity that the box has.
func (model *Model) warmShare(now float64) float64 {
	age := now - model.startedAt
	if model.startedAt == 0 || age >= model.params.ColdPeriodS {
		return 1
	}
	return model.params.ColdStartShare + (1-model.params.ColdStartShare)*max(age, 0)/model.params.ColdPeriodS
}

// Offer gives the box work, in seconds of a core of speed 1, and tells when it will be done.
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
		// A little slack for chance: the two largest pieces may come together.
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

// Util is the share of the cores that is busy now.
func (model *Model) Util(now float64) float64 {
	n := 0
	for _, f := range model.coreFreeAt {
		if f > now {
			n++
		}
	}
	return float64(n) / math.Max(1, float64(len(model.coreFreeAt)))
}

// Waiting is the number of requests that have not begun.
func (model *Model) Waiting(now float64) (n int) {
	for _, at := range model.queuedStarts {
		if at > now {
			n++
		}
	}
	return n
}
