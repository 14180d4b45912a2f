// Package plan derives the limits of an ingress from the resources of its machine, decides how connections to servers are
// used, and decides the steps of a graceful shutdown. It has no I/O, no clock and no goroutine.
package plan

import (
	"time"

	"cometpond/internal/config"
	"cometpond/internal/connpool"
	"cometpond/internal/idleconn"
	"cometpond/internal/settings"
)

// Minimum resources that an ingress needs to serve.
const (
	MinMemoryMB = 24
	MinSockets  = 96
)

// Resources are what an ingress may use of its machine.
type Resources struct {
	Cores    float64 `json:"cores"`     // share of the machine's single core, above 0
	MemoryMB float64 `json:"memory_mb"` // the process is killed when it uses more
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Sufficient reports whether an ingress can serve with the resources.
func (resources Resources) Sufficient() bool {
	return resources.Cores > 0 && resources.MemoryMB >= MinMemoryMB && resources.Sockets >= MinSockets
}

// Budget distributes the resources of an ingress over its components.
type Budget struct {
	Threads           int   // threads that run Go code at once: one may be in a system call while another works
	ClientConnections int   // client connections
	ServerConnections int   // connections to servers, without those of probes
	OpenRequests      int   // requests in progress
	WorkBytes         int   // commands in progress, their answers, and incomplete answers of servers
	HeapBytes         int64 // soft memory limit of the garbage collector
	Front             config.FrontLimits
	IdleConnections   idleconn.Limits
}

// Shares of the file descriptors. Clients need up to a third of the descriptors for connections with requests, and get
// some more for the other connections that they open. What both shares leave is for probes (one connection per server),
// for the event loops, discovery and peers, and for the second descriptor that a connection briefly uses while an event
// loop takes it over.
const (
	clientConnectionShare = 0.48
	serverConnectionShare = 0.30
)

// heapShare is the heap limit as a share of the memory; stacks, the program and system buffers need the rest.
const heapShare = 0.6

// Divisors of the memory. The parts for work and for incomplete commands must stay well below the heap limit together: an
// idle ingress needs some megabytes, and the garbage collector works all the time if little of the heap is free.
const (
	workDivisor  = 6
	inputDivisor = 16
)

// Bounds of the size of one read, which each client connection may keep of an incomplete command without asking.
const (
	minReadBytes = 2 << 10
	maxReadBytes = 16 << 10
)

// commandTimeout limits the time from the first to the last byte of a command, and the time that a new connection may
// take to send its first command. A client that sends no command must be disconnected within 3 s, so this is lower.
const commandTimeout = 2 * time.Second

// inputWait limits the time that a long command waits for memory to be received. It is part of the time that a client has
// left, so it is short; a command of the maximum size arrives in a fraction of it over the platform's network.
const inputWait = 100 * time.Millisecond

// NewBudget distributes the resources. MaxOpenRequests is the limit of the settings on open requests, 0 for none;
// maxValueBytes is the maximum size of one value.
func NewBudget(resources Resources, maxOpenRequests, maxValueBytes int) Budget {
	memory := int(resources.MemoryMB) << 20
	budget := Budget{Threads: 2, ClientConnections: int(float64(resources.Sockets) * clientConnectionShare),
		ServerConnections: int(float64(resources.Sockets) * serverConnectionShare),
		HeapBytes:         int64(float64(memory) * heapShare), WorkBytes: memory / workDivisor}
	// The number bounds what each request needs whatever its size; WorkBytes bounds the sizes.
	budget.OpenRequests = max(64, memory/2/(3*maxValueBytes), 8*budget.ClientConnections)
	if maxOpenRequests > 0 {
		budget.OpenRequests = min(budget.OpenRequests, maxOpenRequests)
	}
	budget.IdleConnections = idleconn.DefaultLimits(budget.ClientConnections, commandTimeout.Seconds())
	budget.Front = config.FrontLimits{MaxConnections: budget.ClientConnections, MaxArgumentBytes: maxValueBytes, MaxPipelined: 256, MaxUnreadBytes: 2 * maxValueBytes,
		MaxInputBytes: memory / inputDivisor, PartialTimeout: commandTimeout, InputWait: inputWait,
		ReadBytes: min(max(memory/inputDivisor/budget.ClientConnections, minReadBytes), maxReadBytes)}
	return budget
}

// FirstListTimeoutS limits how long an ingress that knows no server waits for the first list before it accepts clients, in
// seconds. It waits because the platform's front sends clients to it as soon as it has answered once, and without servers
// it would refuse all their requests. The wait is limited because discovery may be down.
const FirstListTimeoutS = 5.0

// Parameters of the connections to servers.
const (
	restAfterAnswerS    = 0.03 // pause of a connection after an answer if another one is free: surplus bytes would spoil the next answer
	idleTimeoutShare    = 0.8  // of the time after which a server closes an idle connection: this end closes it earlier
	defaultDialTimeoutS = 1.0  // used where the settings contain no dial timeout
	maxPipeline         = 4    // attempts in flight on one connection, used when no further connection can be opened
)

// ConnectionLimits returns the limits of the connections to one server, and the dial timeout in seconds. Answers come in
// the order of the commands, so an abandoned attempt stays in flight until the attempt ahead of it on the same connection
// is answered. Where two attempts of a request must not be in flight at once, each connection therefore carries only one.
func ConnectionLimits(settings settings.Settings, budget Budget) (limits connpool.Limits, dialTimeoutS float64) {
	limits = connpool.Limits{Connections: budget.ServerConnections, Pipeline: 1, ReuseDelayS: restAfterAnswerS,
		IdleTimeoutS: idleTimeoutShare * settings.ConnIdleTimeoutS}
	if settings.ParallelAttempts {
		limits.Pipeline = min(maxPipeline, max(1, settings.AttemptsPerConnection))
	}
	if dialTimeoutS = settings.DialTimeoutS; !(dialTimeoutS > 0) {
		dialTimeoutS = defaultDialTimeoutS
	}
	return limits, dialTimeoutS
}
