// Package core is the state machine of an instance: it connects the policy module to the fronts, the back ends and the
// other instances. Machine holds the state, which is the policy module, the table of submission keys and the open
// requests. It does no I/O and has no clock. Loop drives a Machine on one goroutine: it takes events in batches from
// bounded queues, reads the clock once per batch, and passes on the resulting actions. The package knows no protocol
// and no socket; fronts, back ends and peers are interfaces here.
package core

import (
	"context"
	"math"
	"sync"
	"time"

	"cometpond/internal/pause"
	"cometpond/policy"
)

// Backend sends attempts and probes to servers. Its methods are called while the Machine is driven and must not block.
// Each Send ends in one Result passed to the Loop, unless the attempt is cancelled; each Probe ends in one ProbeResult.
// An attempt that could not be written in time is not written any more. Its result is that it could not connect, or that it
// was not sent if there was still time to wait for its answer.
type Backend interface {
	Send(id AttemptID, server string, payload []byte, timing policy.Timing)
	Cancel(id AttemptID, server string)
	Withdraw(id AttemptID, server string) // ends as not sent if not yet written, otherwise continues
	Probe(server string)
	// UpdateServers applies a list of servers. Connections to servers that are not on it are closed once they are idle.
	UpdateServers(list []policy.Server, whole bool)
}

// Peers sends messages to other instances; messages may be lost. It must not block.
type Peers interface {
	// SendToPeer sends to one instance, or to all others with policy.Broadcast.
	SendToPeer(instance int, data []byte)
}

// Limits of the queues into the loop, and times.
const (
	maxQueuedCalls    = 1 << 14 // a further call is refused at once
	maxQueuedMessages = 1 << 12 // a further message of another instance is dropped, as the network may drop it
	maxBatchCalls     = 512     // calls between two readings of the clock
	idleWait          = time.Hour
)

// Loop drives a Machine. Its methods may be called from any goroutine; apart from Run and ServerEstimates none blocks.
type Loop struct {
	clock   Clock
	machine *Machine
	backend Backend
	peers   Peers

	mu              sync.Mutex // covers the fields below, up to wakeup
	pending         inbox
	closed          bool
	overloaded      uint64
	droppedMessages uint64
	counts          Counts
	openRequests    int
	wakeup          chan struct{}

	// driveMu is held by the goroutine that drives the machine: Run's own, or one that submits calls or results while no
	// other drives it. It covers the machine and all fields below.
	driveMu       sync.Mutex
	running       bool
	nextWakeup    float64 // when Run's goroutine will wake up by itself
	answers       []answerBatch
	current       inbox // the batch in progress
	pauseDetector pause.Detector
	settle        func() // waits until the data in the socket buffers has been read
}

type inbox struct {
	calls        []*Call
	disconnected []*Call
	returned     []*Call
	results      []Result
	probes       []policy.ProbeResult
	messages     []message
	serverLists  []serverList
	drain        bool
}

type message struct {
	from int
	data []byte
}

type serverList struct {
	servers []policy.Server
	whole   bool
	applied chan<- struct{}
}

// answerBatch holds the answered calls of one front.
type answerBatch struct {
	front Front
	calls []*Call
}

// Clock is a source of time in seconds that never goes back.
type Clock interface {
	Now() float64
}

// wallClock reads the wall clock once, at its start, and adds monotonic time to it. The clocks of all instances therefore
// agree about as well as the clocks of their machines, and later steps of the wall clock have no effect.
type wallClock struct {
	startS float64 // wall clock time at the start, seconds since 1970
	start  time.Time
}

// NewClock returns a clock of seconds since 1970 that reads the wall clock once and is monotonic from then on.
func NewClock() Clock {
	now := time.Now()
	return wallClock{float64(now.UnixNano()) / 1e9, now}
}

func (c wallClock) Now() float64 { return c.startS + time.Since(c.start).Seconds() }

// NewLoop returns a loop that is to be driven by Run. Attach sets the back end and the peers before Run is called.
func NewLoop(settings policy.Settings, seed uint64, clock Clock) (*Loop, error) {
	loop := &Loop{clock: clock, wakeup: make(chan struct{}, 1)}
	loop.settle = func() { time.Sleep(time.Duration(pause.SettleS * 1e9)) }
	machine, err := NewMachine(settings, seed, clock.Now(), (*loopEffects)(loop))
	if err != nil {
		return nil, err
	}
	loop.machine = machine
	return loop, nil
}

// Attach sets what sends attempts and messages. It must be called before Run.
func (loop *Loop) Attach(backend Backend, peers Peers) { loop.backend, loop.peers = backend, peers }

// SetMaxRequests sets how many requests may be open at once, at least 1. It must be called before Run.
func (loop *Loop) SetMaxRequests(limit int) { loop.machine.SetMaxRequests(limit) }

// Observe registers f, which is called at each event in the life of a request, on the goroutine that drives the machine.
// It must be called before Run.
func (loop *Loop) Observe(f func(Event)) { loop.machine.Observe(f) }

// notify wakes Run's goroutine up.
func (loop *Loop) notify() {
	select {
	case loop.wakeup <- struct{}{}:
	default:
	}
}

// Submit queues calls and returns how many of them, from the first, were accepted. The caller must refuse the others: the
// queue is full, or the loop has ended. The calls may be handled at once on the caller's goroutine, which must therefore
// hold no lock that a Front, a Backend or Peers take.
func (loop *Loop) Submit(calls []*Call) int {
	loop.mu.Lock()
	accepted := min(len(calls), maxQueuedCalls-len(loop.pending.calls))
	if loop.closed || accepted < 0 {
		accepted = 0
	}
	loop.pending.calls = append(loop.pending.calls, calls[:accepted]...)
	loop.overloaded += uint64(len(calls) - accepted)
	loop.mu.Unlock()
	if accepted > 0 && !loop.tryDrive() {
		loop.notify()
	}
	return accepted
}

// tryDrive processes the pending events on the caller's goroutine, which saves waking another one. It returns false if
// Run's goroutine must be woken up: it is driving the machine, the process may have been paused so that Run has to settle
// first, or a timer is now due earlier than Run would wake up.
func (loop *Loop) tryDrive() bool {
	if !loop.driveMu.TryLock() {
		return false
	}
	defer loop.driveMu.Unlock()
	if !loop.running || loop.pauseDetector.Paused(loop.clock.Now()) {
		return false
	}
	loop.swapInbox()
	loop.processBatch(&loop.current)
	return loop.machine.NextTimer() >= loop.nextWakeup
}

// swapInbox makes the pending events the current batch, and updates the counts that Status returns.
func (loop *Loop) swapInbox() {
	loop.mu.Lock()
	loop.pending, loop.current = loop.current, loop.pending
	loop.counts, loop.openRequests = loop.machine.Counts(), loop.machine.OpenRequests()
	loop.mu.Unlock()
}

// Disconnected reports that the clients of submitted calls will not read their answers.
func (loop *Loop) Disconnected(calls []*Call) {
	loop.mu.Lock()
	loop.pending.disconnected = append(loop.pending.disconnected, calls...)
	loop.mu.Unlock()
	loop.notify()
}

// ReturnUnits gives back the units for which QuotaOnly calls were admitted.
func (loop *Loop) ReturnUnits(calls []*Call) {
	loop.mu.Lock()
	loop.pending.returned = append(loop.pending.returned, calls...)
	loop.mu.Unlock()
	loop.notify()
}

// QueueResults queues the results of attempts for Run's goroutine. The loop copies the slice.
func (loop *Loop) QueueResults(results ...Result) {
	loop.mu.Lock()
	loop.pending.results = append(loop.pending.results, results...)
	loop.mu.Unlock()
	loop.notify()
}

// HandleResults is QueueResults, but may handle the results and what follows from them at once on the caller's goroutine,
// which must therefore hold no lock that a Front, a Backend or Peers take.
func (loop *Loop) HandleResults(results []Result) {
	loop.mu.Lock()
	loop.pending.results = append(loop.pending.results, results...)
	loop.mu.Unlock()
	if !loop.tryDrive() {
		loop.notify()
	}
}

// QueueProbeResult queues the result of a probe.
func (loop *Loop) QueueProbeResult(result policy.ProbeResult) {
	loop.mu.Lock()
	loop.pending.probes = append(loop.pending.probes, result)
	loop.mu.Unlock()
	loop.notify()
}

// QueueMessage queues a message of another instance; the loop keeps the slice. If too many are queued it drops the message.
func (loop *Loop) QueueMessage(from int, data []byte) {
	loop.mu.Lock()
	if len(loop.pending.messages) < maxQueuedMessages {
		loop.pending.messages = append(loop.pending.messages, message{from, data})
	} else {
		loop.droppedMessages++
	}
	loop.mu.Unlock()
	loop.notify()
}

// UpdateServers queues a list of servers. The returned channel is closed once the list is applied.
func (loop *Loop) UpdateServers(list []policy.Server, whole bool) <-chan struct{} {
	applied := make(chan struct{})
	loop.mu.Lock()
	loop.pending.serverLists = append(loop.pending.serverLists, serverList{list, whole, applied})
	loop.mu.Unlock()
	loop.notify()
	return applied
}

// Drain has the loop refuse later calls. Open requests continue.
func (loop *Loop) Drain() {
	loop.mu.Lock()
	loop.pending.drain = true
	loop.mu.Unlock()
	loop.notify()
}

// Status is a snapshot of the counts of a loop.
type Status struct {
	Counts
	OpenRequests    int    // requests without a final answer, or with attempts in flight
	QueuedCalls     int    // calls in the queue
	DroppedMessages uint64 // messages of other instances that found the queue full, or came before or during a pause
}

// Status returns the counts as of the last batch.
func (loop *Loop) Status() Status {
	loop.mu.Lock()
	defer loop.mu.Unlock()
	status := Status{Counts: loop.counts, OpenRequests: loop.openRequests, QueuedCalls: len(loop.pending.calls),
		DroppedMessages: loop.droppedMessages}
	status.Overloaded += loop.overloaded
	return status
}

// ServerEstimates returns the policy module's current estimate of the state of each server. It waits while another
// goroutine drives the machine, so it is only meant for traces.
func (loop *Loop) ServerEstimates() []policy.ServerEstimate {
	loop.driveMu.Lock()
	defer loop.driveMu.Unlock()
	return loop.machine.gateway.ServerEstimates(loop.clock.Now())
}

// Run drives the machine until ctx is done, then ends the requests that are still open. When it returns, every accepted
// call has its answer.
func (loop *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	loop.driveMu.Lock()
	loop.running = true
	for ctx.Err() == nil {
		loop.swapInbox()
		if loop.processBatch(&loop.current) {
			loop.driveMu.Unlock() // gives others that wait for the lock a chance
			loop.driveMu.Lock()
			continue
		}
		now, wait := loop.clock.Now(), idleWait
		if loop.nextWakeup = loop.machine.NextTimer(); !math.IsInf(loop.nextWakeup, 1) {
			wait = time.Duration(max(loop.nextWakeup-now, 0) * 1e9)
		}
		loop.driveMu.Unlock()
		timer.Reset(wait)
		select {
		case <-loop.wakeup:
		case <-timer.C:
		case <-ctx.Done():
		}
		loop.driveMu.Lock()
	}
	defer loop.driveMu.Unlock()
	loop.running = false
	loop.processBatch(&loop.current)
	loop.mu.Lock()
	loop.closed = true
	remaining := loop.pending
	loop.pending = inbox{}
	loop.mu.Unlock()
	loop.processBatch(&remaining)
	loop.machine.Shutdown(loop.clock.Now())
	loop.deliverAnswers()
	loop.mu.Lock()
	loop.counts, loop.openRequests = loop.machine.Counts(), loop.machine.OpenRequests()
	loop.mu.Unlock()
}

// processBatch handles all events of a batch and the timers that are due. It returns false if there were none.
func (loop *Loop) processBatch(batch *inbox) bool {
	machine, now := loop.machine, loop.clock.Now()
	if loop.pauseDetector.Update(now) {
		now = loop.recoverFromPause(batch)
	}
	some := len(batch.calls)+len(batch.disconnected)+len(batch.returned)+len(batch.results)+len(batch.probes)+
		len(batch.messages)+len(batch.serverLists) > 0 ||
		batch.drain || machine.NextTimer() <= now
	if !some {
		return false
	}
	for _, list := range batch.serverLists {
		machine.UpdateServers(now, list.servers, list.whole)
		if loop.backend != nil {
			loop.backend.UpdateServers(list.servers, list.whole)
		}
		close(list.applied)
	}
	if len(batch.disconnected) > 0 { // before anything is sent for them
		machine.Disconnected(now, batch.disconnected...)
	}
	for _, result := range batch.results {
		machine.HandleResult(now, result)
	}
	for _, probe := range batch.probes {
		machine.HandleProbeResult(now, probe)
	}
	for _, msg := range batch.messages {
		machine.HandleMessage(now, msg.from, msg.data)
	}
	machine.Tick(now)
	if batch.drain {
		machine.Drain()
	}
	for _, call := range batch.returned {
		machine.ReturnUnits(now, call)
	}
	for i, call := range batch.calls {
		if i > 0 && i%maxBatchCalls == 0 {
			loop.deliverAnswers()
			now = loop.clock.Now()
			machine.Tick(now)
		}
		machine.Submit(now, call)
	}
	loop.deliverAnswers()
	batch.reset()
	return true
}

// recoverFromPause prepares a batch after the process was paused. It waits until the data in the socket buffers has been
// read and adds the events that result, so that new lists of servers are applied before anything is decided. It drops all
// messages of other instances. It returns the new time.
func (loop *Loop) recoverFromPause(batch *inbox) (now float64) {
	loop.settle()
	loop.mu.Lock()
	batch.calls = append(batch.calls, loop.pending.calls...)
	batch.disconnected = append(batch.disconnected, loop.pending.disconnected...)
	batch.returned = append(batch.returned, loop.pending.returned...)
	batch.results = append(batch.results, loop.pending.results...)
	batch.probes = append(batch.probes, loop.pending.probes...)
	batch.serverLists = append(batch.serverLists, loop.pending.serverLists...)
	batch.drain = batch.drain || loop.pending.drain
	loop.droppedMessages += uint64(len(batch.messages) + len(loop.pending.messages))
	loop.pending.reset()
	loop.mu.Unlock()
	clear(batch.messages)
	batch.messages = batch.messages[:0]
	now = loop.clock.Now()
	loop.pauseDetector.Update(now)
	return now
}

// reset empties an inbox. It keeps the capacity of the slices but no pointer to what they held.
func (in *inbox) reset() {
	clear(in.calls)
	clear(in.disconnected)
	clear(in.returned)
	clear(in.results)
	clear(in.messages)
	clear(in.serverLists)
	*in = inbox{calls: in.calls[:0], disconnected: in.disconnected[:0], returned: in.returned[:0], results: in.results[:0],
		probes: in.probes[:0], messages: in.messages[:0], serverLists: in.serverLists[:0]}
}

// deliverAnswers passes the answered calls of a batch to their fronts.
func (loop *Loop) deliverAnswers() {
	for i := range loop.answers {
		batch := &loop.answers[i]
		if len(batch.calls) > 0 {
			batch.front.Answered(batch.calls)
			clear(batch.calls)
			batch.calls = batch.calls[:0]
		}
	}
}

// loopEffects implements the Effects of the loop's Machine.
type loopEffects Loop

func (loop *loopEffects) Send(id AttemptID, server string, payload []byte, timing policy.Timing) {
	loop.backend.Send(id, server, payload, timing)
}
func (loop *loopEffects) Cancel(id AttemptID, server string) { loop.backend.Cancel(id, server) }
func (loop *loopEffects) Withdraw(id AttemptID, server string) {
	loop.backend.Withdraw(id, server)
}
func (loop *loopEffects) Probe(server string) { loop.backend.Probe(server) }

func (loop *loopEffects) SendToPeer(instance int, data []byte) {
	if loop.peers != nil {
		loop.peers.SendToPeer(instance, data)
	}
}

func (loop *loopEffects) Answered(call *Call) {
	for i := range loop.answers {
		if loop.answers[i].front == call.Front {
			loop.answers[i].calls = append(loop.answers[i].calls, call)
			return
		}
	}
	loop.answers = append(loop.answers, answerBatch{call.Front, []*Call{call}})
}
