// Package plan decides how an ingress of the platform uses its machine: what each part may take up, how connections to
// backends are used, and how it leaves. It has no I/O, no clock and no goroutine.
package plan

import (
	"time"

	"cometpond/internal/config"
	"cometpond/internal/crowd"
	"cometpond/internal/links"
	"cometpond/internal/terms"
)

// The least machine that an ingress can serve on.
const (
	LeastMemoryMB = 24
	LeastSockets  = 96
)

// Machine is what an ingress has for itself.
type Machine struct {
	Cores    float64 `json:"cores"`     // of the machine's one core, the part that it may use, above 0
	MemoryMB float64 `json:"memory_mb"` // over which it is killed
	Sockets  int     `json:"sockets"`   // descriptors
}

// Enough tells whether an ingress can serve on the machine.
func (m Machine) Enough() bool {
	return m.Cores > 0 && m.MemoryMB >= LeastMemoryMB && m.Sockets >= LeastSockets
}

// Budget is how an ingress deals out what its machine has.
type Budget struct {
	Threads   int   // that run at once: one may wait in a system call while another works
	Clients   int   // connections of clients
	Backends  int   // connections to backends, probes' aside
	Held      int   // requests under way
	HeapBytes int64 // that the collector keeps to
	Front     config.FrontLimits
	Crowd     crowd.Limits
}

// Shares of the descriptors. Clients hold a third at most for requests, and the others that they send get a little; the
// rest is for probes, one connection a backend, for the loops, discovery and peers, and for the second descriptor that a
// connection takes for the moment in which a loop takes it over.
const (
	clientShare  = 0.48
	backendShare = 0.30
)

// heapShare is the part of the memory that the collector keeps the heap to; stacks, the program and the system's
// buffers need the rest.
const heapShare = 0.6

// partial is how long a client may take over one command, and be silent at first: those who send no command in that
// time are owed a close by 3 s.
const partial = 2 * time.Second

// NewBudget deals out a machine. MostHeld is how many requests may be open by the settings, 0 for any number; valueMost
// bounds one value, bytes.
func NewBudget(l Machine, mostHeld, valueMost int) Budget {
	memory := int(l.MemoryMB) << 20
	b := Budget{Threads: 2, Clients: int(float64(l.Sockets) * clientShare), Backends: int(float64(l.Sockets) * backendShare),
		HeapBytes: int64(float64(memory) * heapShare)}
	// A request under way holds its command and at most two answers; half of the memory is for the largest of them.
	b.Held = max(64, memory/2/(3*valueMost))
	b.Held = max(b.Held, 8*b.Clients) // as a rule commands are small
	if mostHeld > 0 {
		b.Held = min(b.Held, mostHeld)
	}
	b.Crowd = crowd.DefaultLimits(b.Clients, partial.Seconds())
	b.Front = config.FrontLimits{MaxConnections: b.Clients, MaxArgumentBytes: valueMost, MaxPipelined: 256, MaxUnreadBytes: 2 * valueMost,
		MaxInputBytes: memory / 16, PartialTimeout: partial}
	return b
}

// FirstListS is how long an ingress that knows no backend waits for a first list before it lets clients in, in seconds:
// the front sends to it from its first answer on, and all would be refused. Longer it does not wait: discovery may be
// down.
const FirstListS = 5.0

// Figures of the connections to backends.
const (
	restS     = 0.03 // after an answer, for what a backend may send behind it
	idleShare = 0.8  // of the time after which a backend closes an idle connection: it is closed here before
	dialS     = 1.0  // until a connection stands, where the settings don't say
	lineMost  = 4    // attempts in line on one connection, where no more connections can be had
)

// Links is how the connections to one backend are used, and how many seconds one may take to open. An attempt given
// up behind a neighbour stays out until the neighbour has its answer: where two attempts of a request may not be out
// at once, each connection carries one alone.
func Links(t terms.Settings, b Budget) (l links.Limits, openS float64) {
	l = links.Limits{Connections: b.Backends, Pipeline: 1, ReuseDelayS: restS, IdleTimeoutS: idleShare * t.ConnIdleS}
	if t.ParallelAttempts {
		l.Pipeline = min(lineMost, max(1, t.Multiplex))
	}
	if openS = t.DialTimeoutS; !(openS > 0) {
		openS = dialS
	}
	return l, openS
}
