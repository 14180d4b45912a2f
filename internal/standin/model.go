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
	p       Params
	free    []float64 // when each core has done what it was given
	started float64   // 0: long ago
	slow    float64
	fallen  bool
	offered []offer   // while cold
	pending []float64 // when what waits will begin
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
func NewModel(p Params) *Model { return &Model{p: p, free: make([]float64, p.Cores), slow: 1} }

// Restart empties the box and makes it cold.
func (m *Model) Restart(now float64) {
	slow := m.slow
	*m = *NewModel(m.p)
	m.started, m.slow = now, slow
}

// Slow makes all work take so many times as long, 1 for as usual.
func (m *Model) Slow(factor float64) { m.slow = factor }

// Crashed tells whether the box has fallen over.
func (m *Model) Crashed() bool { return m.fallen }

// warmth is the share of its capacity that the box has.
func (m *Model) warmth(now float64) float64 {
	age := now - m.started
	if m.started == 0 || age >= m.p.ColdPeriodS {
		return 1
	}
	return m.p.ColdStartShare + (1-m.p.ColdStartShare)*max(age, 0)/m.p.ColdPeriodS
}

// Offer gives the box work, in seconds of a core of speed 1, and tells when it will be done.
func (m *Model) Offer(now, work float64) (doneAt float64, r Outcome) {
	warmth := m.warmth(now)
	if warmth < 1 && !m.fallen {
		keep := m.offered[:0]
		sum, most := work, work
		for _, o := range m.offered {
			if now-o.at < m.p.OverloadWindowS {
				keep = append(keep, o)
				sum, most = sum+o.work, max(most, o.work)
			}
		}
		m.offered = append(keep, offer{now, work})
		capacity := float64(m.p.Cores) * m.p.Speed * warmth / m.slow
		// A little slack for chance: the two largest pieces may come together.
		m.fallen = sum > m.p.OverloadMultiple*capacity*m.p.OverloadWindowS+2*most
	}
	if m.fallen {
		return 0, Crashed
	}
	best := 0
	for i, f := range m.free {
		if f < m.free[best] {
			best = i
		}
	}
	start := max(now, m.free[best])
	waiting := 0
	keep := m.pending[:0]
	for _, at := range m.pending {
		if at > now {
			waiting++
			keep = append(keep, at)
		}
	}
	m.pending = keep
	if start > now {
		if waiting >= m.p.QueueLength {
			return 0, QueueFull
		}
		m.pending = append(m.pending, start)
	}
	doneAt = start + work*m.slow/(m.p.Speed*warmth)
	m.free[best] = doneAt
	return doneAt, Accepted
}

// Util is the share of the cores that is busy now.
func (m *Model) Util(now float64) float64 {
	n := 0
	for _, f := range m.free {
		if f > now {
			n++
		}
	}
	return float64(n) / math.Max(1, float64(len(m.free)))
}

// Waiting is the number of requests that have not begun.
func (m *Model) Waiting(now float64) (n int) {
	for _, at := range m.pending {
		if at > now {
			n++
		}
	}
	return n
}
